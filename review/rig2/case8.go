package main

import (
	"net"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["8"] = case8 }

// case8: a successor that gets SIGTERM while its predecessor is still there.
func case8(r *rig) {
	heavy := newID() // of the request that costs more than usual, one of 61 of its class
	s := r.serve("s-1", func(a arrival, c net.Conn) bool {
		r.note("server: %s begins", a.id)
		switch {
		case a.id == heavy:
			settle(3 * time.Second)
		case filepath.Base(filepath.Dir(a.path)) == "post":
			settle(200 * time.Millisecond)
		}
		answer(c, []byte("ok "+a.id))
		return true
	})
	d := r.discover(s)
	listen, tmpdir := r.freeAddr("tcp"), filepath.Join(r.temp, "tmp")
	r.start("predecessor", tmpdir, config(0, 1, listen, d, free))
	r.await("the predecessor is ready", func() bool { return ok(listen, "/ready") })
	settle(time.Second)
	r.ordinaryRequests(listen, "post")
	q := r.start("successor", tmpdir, config(0, 1, listen, d, free))
	r.await("the successor says yes", func() bool { return ok(q.console, "/healthcheck") })
	settle(500 * time.Millisecond)

	var mu sync.Mutex
	var group sync.WaitGroup
	lost, sent := 0, 0
	ask := func(id, class string, budget time.Duration) {
		c, err := dial(listen)
		if err != nil {
			r.note("client: %s: %v", id, err) // refused: the limiter has not taken it
			return
		}
		defer c.Close()
		if err := c.send(call{id, class, "free", ordinary, budget, ""}); err != nil {
			r.note("client: %s: %v", id, err)
			return
		}
		at := time.Now()
		status, _, err := c.receive(12 * time.Second)
		late := time.Since(at) - budget
		mu.Lock()
		defer mu.Unlock()
		sent++
		// A final answer may come up to half a second after the request's time; each limit grows by 50 ms.
		if status == 0 || late > 550*time.Millisecond {
			lost++
			r.note("client: %s, %s: LOST: answer %d (%v) %.3f s after it was sent, it had %.1f s", id, class, status, err,
				time.Since(at).Seconds(), budget.Seconds())
			return
		}
		r.note("client: %s, %s: answer %d after %.3f s", id, class, status, time.Since(at).Seconds())
	}
	group.Go(func() { ask(heavy, "post", 5*time.Second) })
	settle(300 * time.Millisecond)
	if r.trouble {
		r.signal(q, syscall.SIGTERM)
	}
	for range 40 {
		group.Go(func() { ask(newID(), "read", time.Second) })
		settle(100 * time.Millisecond)
	}
	group.Wait()
	for _, p := range r.procs {
		r.noteLog(p, "hot restart", "phase", "successor", "takes over", "killing")
	}
	r.verdict(lost > 0, "%d requests sent, %d lost", sent, lost)
}
