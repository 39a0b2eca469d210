// Case 1: servers send a second copy of some answers a few milliseconds late.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"review/rig"
)

const (
	clients   = 12
	duration  = 30 * time.Second
	oneWay    = 2 * time.Millisecond // between halls: 1.4 to 2.6 ms
	copyEvery = 100                  // one answer in so many is followed by a copy
	minLate   = time.Millisecond     // of a copy, from the answer on
	maxLate   = 5 * time.Millisecond
	minWork   = 67 * time.Millisecond // of read-latest
	maxWork   = 120 * time.Millisecond
	maxPause  = 4 * time.Millisecond // of a client, between an answer and its next request
	budget    = 2 * time.Second
)

func main() { os.Exit(run()) }

type counts struct{ sent, served, foreign, other, copies atomic.Int64 }

func run() int {
	rig.Guard()
	dir := os.Getenv("REVIEW_CASE")
	record, err := rig.NewRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return rig.NotRun
	}
	defer record.Close()
	n := &counts{}
	var addrs []string
	for _, name := range []string{"s-a", "s-b", "s-c"} {
		addr, err := startServer(name, record, n)
		if err != nil {
			return record.NotRun(err)
		}
		addrs = append(addrs, addr)
	}
	discovery, err := rig.StartDiscovery(addrs...)
	if err != nil {
		return record.NotRun(err)
	}
	limiter, err := rig.Start(rig.Options{
		Discovery: discovery.Addr, Classes: []map[string]any{rig.ReadLatest}, MemoryMB: 192, Sockets: 1024,
	}, filepath.Join(dir, "limiter.log"))
	if limiter != nil {
		defer limiter.Stop()
	}
	if err != nil {
		return record.NotRun(err)
	}
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range clients {
		wg.Go(func() { runClient(limiter.Addr, i+1, end, record, n) })
	}
	wg.Wait()
	record.Say("sent %d, served with their own answers %d, served with the answer to another request %d, other %d; late copies %d",
		n.sent.Load(), n.served.Load(), n.foreign.Load(), n.other.Load(), n.copies.Load())
	switch {
	case n.foreign.Load() > 0:
		return rig.Broken
	case limiter.Ended() || n.served.Load() < n.sent.Load()/2:
		return rig.NotRun
	}
	return rig.Held
}

// startServer starts a server behind the network between two halls, and returns its address there.
func startServer(name string, record *rig.Record, n *counts) (string, error) {
	s := &rig.Server{Name: name}
	s.Began = func(r *rig.Request) { record.Line("ran id=%s customer=%s server=%s", r.CallID, r.Customer, r.Server) }
	s.Answer = func(c *rig.Conn, r *rig.Request) bool {
		time.Sleep(minWork + rand.N(maxWork-minWork))
		answer := rig.Answer200(bodyFor(r.Customer, r.CallID))
		if _, err := io.WriteString(c, answer); err != nil {
			return false
		}
		if !rig.Trouble() || rand.IntN(copyEvery) > 0 {
			return true
		}
		begun := c.Requests()
		late := minLate + rand.N(maxLate-minLate)
		time.AfterFunc(late, func() {
			if c.Requests() != begun { // something else waits on the connection by now: no copy
				return
			}
			n.copies.Add(1)
			record.Line("copy of the answer to id=%s server=%s, %v late", r.CallID, r.Server, late)
			_, _ = io.WriteString(c, answer)
		})
		return true
	}
	if err := s.Listen(); err != nil {
		return "", err
	}
	return rig.Delay(s.Addr, oneWay)
}

// bodyFor returns the body of the answer to a request.
func bodyFor(customer, id string) string { return "readings of " + customer + " for " + id }

// runClient sends requests of one customer, one after another.
func runClient(addr string, customer int, end time.Time, record *rig.Record, n *counts) {
	c := &rig.Client{Addr: addr}
	defer c.Close()
	for time.Now().Before(end) {
		id := rig.NewID()
		n.sent.Add(1)
		record.Line("sent id=%s", id)
		status, body, err := c.Do(rig.Get("read-latest", id, customer, budget), budget+time.Second)
		record.Line("answered id=%s status=%d body=%q err=%v", id, status, body, err)
		switch {
		case err != nil || status != http.StatusOK:
			n.other.Add(1)
		case body == bodyFor(fmt.Sprintf("%016x", customer), id):
			n.served.Add(1)
		default:
			if n.foreign.Add(1) == 1 {
				record.Say("the first: request %s of customer %016x was served with %q", id, customer, body)
			}
		}
		time.Sleep(rand.N(maxPause))
	}
}
