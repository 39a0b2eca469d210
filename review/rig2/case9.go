package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["9"] = case9 }

// case9: an upgrade soon after another one.
func case9(r *rig) {
	dir := filepath.Join(r.temp, "use")
	r.check(os.MkdirAll(dir, 0o700), "folder of usage")
	operator := filepath.Join(r.temp, "operator.json")
	text := fmt.Sprintf(`{"takeover": {"on": true, "silence_ms": 1000},
 "leases": {"on": true, "tasks": ["trials", "rollup"], "length_ms": 1000, "keepers": 1}, "rollup": {"dir": %q, "period_s": 2}}`, dir)
	r.check(os.WriteFile(operator, []byte(text), 0o600), "operators' file")
	r.run = strings.Replace(r.run, "deploy/lemongate.json", operator, 1)
	var mu sync.Mutex
	ran := map[string]bool{}
	s := r.serve("s-1", func(a arrival, c net.Conn) bool {
		mu.Lock()
		ran[a.id] = true
		mu.Unlock()
		r.note("server: %s ran", a.id)
		settle(1200 * time.Millisecond)
		answer(c, []byte("ok"))
		return true
	})
	d := r.discover(s)
	listen, tmpdir := r.freeAddr("tcp"), filepath.Join(r.temp, "tmp")
	p := r.start("process-1", tmpdir, config(0, 1, listen, d, free))
	r.await("process 1 is ready", func() bool { return ok(listen, "/ready") })
	settle(4 * time.Second)
	var group sync.WaitGroup
	answered := 0
	burst := func() {
		for range 10 {
			group.Go(func() {
				c, err := dial(listen)
				r.check(err, "client")
				defer c.Close()
				id := newID()
				r.check(c.send(call{id, "post", "free", ordinary, 5 * time.Second, ""}), "client")
				status, _, _ := c.receive(6 * time.Second)
				r.note("client: %s: answer %d", id, status)
				mu.Lock()
				if status == http.StatusOK {
					answered++
				}
				mu.Unlock()
			})
			settle(10 * time.Millisecond)
		}
	}
	upgrade := func(name string, old *proc) *proc {
		next := r.start(name, tmpdir, config(0, 1, listen, d, free))
		r.await(name+" says yes", func() bool { return ok(next.console, "/healthcheck") })
		r.signal(old, syscall.SIGTERM)
		return next
	}
	burst()
	next := upgrade("process-2", p)
	if r.trouble {
		settle(300 * time.Millisecond)
		next = upgrade("process-3", next)
	}
	group.Wait()
	settle(time.Second)
	burst()
	group.Wait()
	settle(10 * time.Second) // five periods
	files, _ := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	for _, f := range files {
		lines, _ := os.ReadFile(f)
		r.note("%s:\n%s", filepath.Base(f), lines)
	}
	out, err := exec.Command("bin/lemongate", append([]string{"usage", "--json"}, files...)...).Output()
	r.note("lemongate usage --json: error %v\n%s", err, out)
	var summary struct {
		Use []struct {
			Units float64 `json:"units"`
		} `json:"use"`
	}
	r.check(json.Unmarshal(out, &summary), "summary")
	units := 0.0
	for _, u := range summary.Use {
		units += u.Units
	}
	// A loss that the reports show, by which the command ends with 1, would be one that the pages allow.
	r.verdict(int(units) != len(ran) && err == nil,
		"%d requests of one unit ran, %d were answered with 200; the usage is %.0f units, with no fault: %v", len(ran), answered, units, err == nil)
}
