package main

import (
	"strconv"
	"syscall"
	"testing"
	"time"

	"lemongate/internal/processharness"
)

// A process is shut down repeatedly under load, with client connections that are in use, new and idle. In every second
// round it is suspended right after the signal. It answers every request that it has read.
func TestShutdownUnderLoad(t *testing.T) {
	tier := newSingleLimiter(t)
	for round := range 6 {
		p := tier.Limiters[0].Start()
		p.AwaitHealthy(t)
		load := tier.StartLoad(500, func(n int) processharness.Request {
			return processharness.Request{Class: []string{"read", "post"}[n%2], Key: []string{"", strconv.Itoa(round) + "k" + strconv.Itoa(n)}[n%2], Plan: "free", Customer: uint64(n % 30), Body: n % 2 * 3000}
		})
		if err := load.OpenIdle(0, 20); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
		p.Signal(syscall.SIGTERM)
		if round%2 == 1 {
			p.Signal(syscall.SIGSTOP)
			time.Sleep(100 * time.Millisecond)
			p.Signal(syscall.SIGCONT)
		}
		time.Sleep(300 * time.Millisecond) // clients retry for 0.4 s at most
		results := load.End()
		if err := p.Wait(t); err != nil {
			t.Errorf("the process ended with %v", err)
		}
		if unread := checkAllAnswered(t, results, p); unread > len(results)/50 {
			t.Errorf("%d of %d requests were not read", unread, len(results))
		}
	}
}

// A limiter with many client connections is repeatedly suspended for nearly as long as these connections may be idle.
// Requests that were sent during the suspension are answered.
func TestSuspendedUnderLoad(t *testing.T) {
	tier := newSingleLimiter(t)
	tier.Sockets = 256
	p := tier.Limiters[0].Start()
	p.AwaitHealthy(t)
	load := tier.StartLoad(120, func(n int) processharness.Request {
		return processharness.Request{Class: "read", Plan: "free", Customer: uint64(n % 30)}
	})
	if err := load.OpenIdle(0, 70); err != nil { // more than a quarter of the limit on client connections
		t.Fatal(err)
	}
	for range 3 {
		time.Sleep(700 * time.Millisecond)
		p.Signal(syscall.SIGSTOP)
		time.Sleep(1900 * time.Millisecond)
		p.Signal(syscall.SIGCONT)
	}
	time.Sleep(500 * time.Millisecond)
	results := load.End()
	p.Signal(syscall.SIGTERM)
	if err := p.Wait(t); err != nil {
		t.Errorf("the process ended with %v", err)
	}
	if unread := checkAllAnswered(t, results, p); unread > len(results)/50 {
		t.Errorf("%d of %d requests were not read", unread, len(results))
	}
}
