package main

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["10"] = case10 }

// case10: a new configuration, with another address of discovery, during an upgrade.
func case10(r *rig) {
	const grace = 300 * time.Millisecond // drain_grace_s, and 50 ms
	var mu sync.Mutex
	var told, stopped time.Time // s-1 drains; its process has ended
	late, running := 0, 0
	var conns []net.Conn
	drains := r.serve("s-1", func(a arrival, c net.Conn) bool {
		mu.Lock()
		if !told.IsZero() && a.at.Sub(told) > grace {
			late++
			r.note("s-1: %s of %s arrives %.3f s after discovery told that s-1 drains", a.id, a.path, a.at.Sub(told).Seconds())
		}
		running++
		conns = append(conns, c)
		mu.Unlock()
		settle(400 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		if !stopped.IsZero() {
			return false
		}
		running--
		answer(c, []byte("ok"))
		return true
	})
	stays := r.serve("s-2", func(_ arrival, c net.Conn) bool {
		settle(400 * time.Millisecond)
		answer(c, []byte("ok"))
		return true
	})
	first, second := r.discover(drains, stays), r.discover(drains, stays)
	listen, tmpdir := r.freeAddr("tcp"), filepath.Join(r.temp, "tmp")
	p := r.start("predecessor", tmpdir, config(0, 1, listen, first, free))
	r.await("the predecessor is ready", func() bool { return ok(listen, "/ready") })
	answers := map[int]int{}
	var group sync.WaitGroup
	done := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			group.Go(func() {
				c, err := dial(listen)
				if err != nil {
					return
				}
				defer c.Close()
				if c.send(call{newID(), []string{"read", "book"}[i%2], "free", ordinary, 2 * time.Second, ""}) != nil {
					return
				}
				status, _, _ := c.receive(3 * time.Second)
				mu.Lock()
				answers[status]++
				mu.Unlock()
			})
		}
	}()
	settle(2 * time.Second)
	current := first
	if r.trouble { // the configuration files are replaced
		current = second
		replaced := config(0, 1, listen, second, free)
		replaced["console"] = p.console
		data, err := json.Marshal(replaced)
		r.check(err, "configuration")
		r.check(os.WriteFile(filepath.Join(r.temp, "predecessor.json"), data, 0o600), "configuration")
		r.note("the configuration names discovery at %s, before it was %s", second.addr, first.addr)
	}
	q := r.start("successor", tmpdir, config(0, 1, listen, current, free))
	r.await("the successor says yes", func() bool { return ok(q.console, "/healthcheck") })
	settle(300 * time.Millisecond)
	if r.trouble {
		r.signal(p, syscall.SIGHUP)
		first.move()
	}
	settle(2 * time.Second)
	r.signal(p, syscall.SIGTERM)
	settle(6 * time.Second) // over 4 s after SIGHUP
	mu.Lock()
	told = time.Now()
	mu.Unlock()
	r.note("discovery tells that s-1 drains")
	current.set(drains, "draining")
	settle(6 * time.Second)
	mu.Lock()
	stopped = time.Now()
	_ = drains.listener.Close()
	for _, c := range conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	r.note("s-1 ends, %d requests are running there", running)
	cutOff := running
	mu.Unlock()
	settle(time.Second)
	close(done)
	group.Wait()
	r.noteLog(q, "endpoint")
	r.verdict(late > 0, "%d requests came to s-1 later than %v after discovery told that it drains, %d of its requests were cut off by its end; answers by status: %v",
		late, grace, cutOff, answers)
}
