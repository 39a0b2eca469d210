package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["9"] = case9 }

// connecting returns the ports of this machine from which connections to an address are being established.
func connecting(addr string) map[int]bool {
	_, text, _ := net.SplitHostPort(addr)
	port, _ := strconv.Atoi(text)
	ports := map[int]bool{}
	data, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(data)) {
		const synSent = "02"
		f := strings.Fields(line)
		if len(f) > 3 && strings.HasSuffix(f[2], fmt.Sprintf(":%04X", port)) && f[3] == synSent {
			_, local, _ := strings.Cut(f[1], ":")
			n, _ := strconv.ParseInt(local, 16, 32)
			ports[int(n)] = true
		}
	}
	return ports
}

// case9: an upgrade while the connection of a recovery attempt, made under a lease, comes up late.
func case9(r *rig) {
	operator := filepath.Join(r.temp, "operator.json")
	text := `{"takeover": {"on": true, "silence_ms": 1000}, "leases": {"on": true, "tasks": ["trials"], "length_ms": 3000, "keepers": 1}}`
	r.check(os.WriteFile(operator, []byte(text), 0o600), "operators' file")
	r.run = strings.Replace(r.run, "deploy/lemongate.json", operator, 1)
	type act struct {
		token uint64
		at    time.Time
		port  int // of the limiter's end of the connection
	}
	var mu, gate sync.Mutex
	var acts []act
	requests := 0
	bad := r.serveGated("s-bad", &gate, func(a arrival, c net.Conn) bool {
		token, _ := strconv.ParseUint(a.request.Header.Get("X-Lease-Token"), 10, 64)
		mu.Lock()
		if token > 0 {
			acts = append(acts, act{token, a.at, c.RemoteAddr().(*net.TCPAddr).Port})
			r.note("s-bad: a recovery attempt, token %d", token)
		}
		requests++
		fails := requests%20 != 0 // 95 in 100
		mu.Unlock()
		if !fails {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"))
			return false
		}
		_, _ = c.Write([]byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
		return false
	})
	good := func(_ arrival, c net.Conn) bool { settle(400 * time.Millisecond); answer(c, []byte("ok")); return true }
	servers := []*server{bad}
	for _, id := range []string{"s-2", "s-3", "s-4", "s-5", "s-6"} {
		servers = append(servers, r.serve(id, good))
	}
	d := r.discover(servers...)
	listen, tmpdir := r.freeAddr("tcp"), filepath.Join(r.temp, "tmp")
	cfg := func() map[string]any {
		c := config(0, 1, listen, d, free)
		c["settings"].(map[string]any)["allowed"].(map[string]any)["connect_timeout_s"] = 2.0
		return c
	}
	p := r.start("predecessor", tmpdir, cfg())
	r.await("the predecessor is ready", func() bool { return ok(listen, "/ready") })
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			go func() {
				if c, err := dial(listen); err == nil {
					defer c.Close()
					if c.send(call{newID(), "read", "free", ordinary, 2 * time.Second, ""}) == nil {
						_, _, _ = c.receive(3 * time.Second)
					}
				}
			}()
		}
	}()
	count := func() int { mu.Lock(); defer mu.Unlock(); return len(acts) }
	r.await("two recovery attempts came to s-bad", func() bool { return count() >= 2 })

	gate.Lock() // from here on connections to s-bad come up late: its queue is full
	raw, err := bad.listener.(*net.TCPListener).SyscallConn()
	r.check(err, "listener")
	backlog := func(n int) { _ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) }) }
	backlog(0)
	var fill []net.Conn
	for {
		c, err := net.DialTimeout("tcp", bad.addr, 150*time.Millisecond)
		if err != nil {
			break
		}
		fill = append(fill, c)
	}
	r.await("the next recovery attempt is connecting", func() bool { return len(connecting(bad.addr)) > 0 })
	began := time.Now()
	mu.Lock()
	first := acts[len(acts)-1].token
	mu.Unlock()
	var held uint64
	var heldAt time.Time
	var notUp map[int]bool // connections that were not up when the successor held the lease: no byte was written on them
	if r.trouble {
		q := r.start("successor", tmpdir, cfg())
		r.await("the successor says yes", func() bool { return ok(q.console, "/healthcheck") })
		r.await("the successor holds the lease", func() bool {
			out, err := exec.Command("bin/lemongate", "leases", "--console", q.console, "--json").Output()
			var views []struct {
				Task  string `json:"task"`
				Holds bool   `json:"holds"`
				Token uint64 `json:"token"`
			}
			if err != nil || json.Unmarshal(out, &views) != nil || len(views) != 1 || !views[0].Holds {
				return false
			}
			held, heldAt, notUp = views[0].Token, time.Now(), connecting(bad.addr)
			return true
		})
		r.note("the successor's lease has token %d, before it was %d", held, first)
		r.signal(p, syscall.SIGTERM)
	}
	settle(time.Until(began.Add(600 * time.Millisecond)))
	backlog(128)
	for _, c := range fill {
		_ = c.Close()
	}
	gate.Unlock()
	r.note("connections to s-bad come up again, %.3f s after the attempt began to connect", time.Since(began).Seconds())
	settle(4 * time.Second)
	close(done)
	mu.Lock()
	defer mu.Unlock()
	stale := 0
	for _, a := range acts {
		if a.token < held && a.at.After(heldAt) && notUp[a.port] {
			stale++
			r.note("STALE: an attempt with token %d begins %.3f s after the lease with token %d was held", a.token, a.at.Sub(heldAt).Seconds(), held)
		}
	}
	r.verdict(stale > 0, "%d recovery attempts, %d of them under a lease that another process held by then", len(acts), stale)
}
