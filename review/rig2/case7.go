package main

import (
	"net"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["7"] = case7 }

// case7: an upgrade soon after another one, and a bad client that sends the id of another client's open request.
func case7(r *rig) {
	var mu sync.Mutex
	runs := map[string]int{}
	id := newID() // of the request that costs more than usual, one of 61
	s := r.serve("s-1", func(a arrival, c net.Conn) bool {
		mu.Lock()
		runs[a.id]++
		n := runs[a.id]
		mu.Unlock()
		r.note("server: %s of %s begins, run %d", a.id, a.path, n)
		work := 130 * time.Millisecond
		if a.id == id {
			work = 1500 * time.Millisecond
		}
		settle(work)
		answer(c, []byte("ok"))
		return true
	})
	d := r.discover(s)
	listen, tmpdir := r.freeAddr("tcp"), filepath.Join(r.temp, "tmp")
	p := r.start("process-1", tmpdir, config(0, 1, listen, d, free))
	r.await("process 1 is ready", func() bool { return ok(listen, "/ready") })
	settle(time.Second)
	r.ordinaryRequests(listen, "book")
	upgrade := func(name string, old *proc) *proc {
		next := r.start(name, tmpdir, config(0, 1, listen, d, free))
		r.await(name+" says yes", func() bool { return ok(next.console, "/healthcheck") })
		r.signal(old, syscall.SIGTERM)
		return next
	}
	send := func(who string) *client {
		c, err := dial(listen)
		r.check(err, who)
		r.check(c.send(call{id, "book", "free", ordinary, 4 * time.Second, ""}), who)
		r.note("%s: %s sent", who, id)
		return c
	}
	var group sync.WaitGroup
	receive := func(who string, c *client) {
		group.Go(func() {
			defer c.Close()
			status, body, err := c.receive(5 * time.Second)
			r.note("%s: answer %d %q %v", who, status, body, err)
		})
	}
	receive("client", send("client"))
	settle(100 * time.Millisecond)
	next := upgrade("process-2", p)
	if r.trouble {
		settle(300 * time.Millisecond)
		upgrade("process-3", next)
	}
	settle(100 * time.Millisecond)
	receive("bad client", send("bad client"))
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.verdict(runs[id] > 1, "a request that must not run twice ran %d times", runs[id])
}
