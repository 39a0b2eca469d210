package main

import (
	"bytes"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["6"] = case6 }

// A bucket is the store of a ceiling, as the rule counts it.
type bucket struct {
	rate, depth, level, lowest float64
	at                         time.Time
}

func (b *bucket) take(at time.Time, units float64) {
	if !b.at.IsZero() {
		b.level = min(b.level+at.Sub(b.at).Seconds()*b.rate, b.depth)
	}
	b.at = at
	b.level -= units
	b.lowest = min(b.lowest, b.level)
}

// case6: a predecessor that did not run for some seconds of a successor's probation.
func case6(r *rig) {
	const (
		rate, depth, tolerance = 6.0, 12.0, 2.0
		stopFor                = 11500 * time.Millisecond
	)
	city := plan{
		"name": "city", "refill": 0.0, "depth": 0.0, "concurrency": 0, "pays": 1.0, "never_over_rate": rate,
		"never_over_depth": depth, "tolerance": tolerance, "excess_worth": 0.0, "over_cost": 0.0,
	}
	long := bytes.Repeat([]byte("x"), 60000)
	var mu sync.Mutex
	store := bucket{rate: rate, depth: depth, level: depth, lowest: depth}
	seen := map[string]bool{}
	s := r.serve("s-1", func(a arrival, c net.Conn) bool {
		if filepath.Base(a.path) == "000000000badcafe" {
			settle(500 * time.Millisecond)
			answer(c, long)
			return true
		}
		mu.Lock()
		if !seen[a.id] {
			seen[a.id] = true
			store.take(a.at, 1)
			r.note("server: %s of the customer with a ceiling, its store is at %.2f", a.id, store.level)
		}
		mu.Unlock()
		answer(c, []byte("ok"))
		return true
	})
	d := r.discover(s)
	listen, tmpdir := r.freeAddr("tcp"), filepath.Join(r.temp, "tmp")
	p := r.start("predecessor", tmpdir, config(0, 1, listen, d, free, city))
	r.await("the predecessor is ready", func() bool { return ok(listen, "/ready") })

	var kept []*client
	for range 8 { // clients keep their connections
		c, err := dial(listen)
		r.check(err, "client")
		r.check(c.send(call{newID(), "read", "free", ordinary, 2 * time.Second, ""}), "client")
		status, _, err := c.receive(3 * time.Second)
		r.check(err, "client")
		r.note("client: answer %d on a connection that it keeps", status)
		kept = append(kept, c)
	}
	var asked, served int
	done := make(chan struct{})
	go func() { // the customer asks for five times its ceiling, each request on a new connection
		tick := time.NewTicker(time.Second / 30)
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			go func() {
				c, err := dial(listen)
				if err != nil {
					return
				}
				defer c.Close()
				if c.send(call{newID(), "read", "city", pressing, time.Second, ""}) != nil {
					return
				}
				status, _, _ := c.receive(2 * time.Second)
				mu.Lock()
				asked++
				if status == http.StatusOK {
					served++
				}
				mu.Unlock()
			}()
		}
	}()
	settle(4 * time.Second)
	q := r.start("successor", tmpdir, config(0, 1, listen, d, free, city))
	r.await("the successor says yes", func() bool { return ok(q.console, "/healthcheck") })
	settle(300 * time.Millisecond)
	for _, c := range kept { // with answers that are on their way when the predecessor stops
		r.check(c.send(call{newID(), "read", "free", ordinary, 2 * time.Second, ""}), "client")
	}
	settle(150 * time.Millisecond)
	if r.trouble {
		r.signal(p, syscall.SIGSTOP)
	}
	settle(stopFor)
	if r.trouble {
		r.signal(p, syscall.SIGCONT)
	}
	both := 0
	for range 14 {
		settle(time.Second)
		atPredecessor, atSuccessor := ok(p.console, "/healthcheck"), ok(q.console, "/healthcheck")
		r.note("health checks: predecessor %v, successor %v", atPredecessor, atSuccessor)
		if atPredecessor && atSuccessor {
			both++
		}
	}
	close(done)
	r.noteLog(p, "hot restart", "phase", "successor", "killing")
	r.noteLog(q, "hot restart", "phase", "takes over", "killing")
	mu.Lock()
	defer mu.Unlock()
	slack := tolerance + rate*0.15
	r.note("clients: %d requests under the ceiling asked, %d served", asked, served)
	r.verdict(store.lowest < -slack,
		"the ceiling's store fell to %.2f, the rule allows %.2f; both processes said that they take clients %d times of 14",
		store.lowest, -slack, both)
}
