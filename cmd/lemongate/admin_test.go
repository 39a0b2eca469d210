package main

import (
	"fmt"
	"net"
	"testing"
	"time"

	"lemongate/internal/processharness"
)

// A hundred connections that are kept open to the administration server delay neither its responses nor the requests
// of clients.
func TestAdminServerUnderLoad(t *testing.T) {
	tier := newTier(t, 1, 2)
	p := startAll(t, tier)[0]
	load := tier.StartLoad(200, func(n int) processharness.Request {
		return processharness.Request{Class: "read", Plan: "free", Customer: uint64(n % 20)}
	})
	for i := range 100 {
		c, err := net.Dial("tcp", p.AdminAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if i%3 == 0 {
			_, _ = fmt.Fprint(c, "GET /stats HTTP/1.1\r\nHos") // the server may have closed the connection already
		}
	}
	for range 10 {
		begin := time.Now()
		if !p.Healthy() || time.Since(begin) > time.Second {
			t.Errorf("health check took %v, want a healthy response within 1 s", time.Since(begin))
		}
	}
	results := load.End()
	checkResults(t, tier, results)
	slow := 0
	for _, r := range results {
		if r.Took > 300*time.Millisecond {
			slow++
		}
	}
	if slow > len(results)/20 {
		t.Errorf("%d of %d requests took over 0.3 s", slow, len(results))
	}
}
