package main

import (
	"net/http"
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

// A process is suspended for 0.15 s shortly before the end of its shutdown, when requests to backends that hang are due. It
// answers each request that a backend has received (review case 2).
func TestSuspendedAtEndOfShutdown(t *testing.T) {
	const hangTime = 6 * time.Second // longer than any request waits
	// Each function makes the backends hang, sends SIGTERM, and returns when the last requests have been sent.
	for name, shutDown := range map[string]func(*testing.T, *processharness.Tier, *processharness.Process){
		"alone": func(_ *testing.T, tier *processharness.Tier, p *processharness.Process) {
			p.Signal(syscall.SIGTERM)
			time.Sleep(300 * time.Millisecond)
			hang(tier, hangTime)
			time.Sleep(180 * time.Millisecond) // clients connect for 0.4 s, and connections are accepted for 0.5 s
		},
		"hot restart": func(t *testing.T, tier *processharness.Tier, p *processharness.Process) {
			hang(tier, hangTime)
			tier.Limiters[0].Start().AwaitHealthy(t)
			p.Signal(syscall.SIGTERM)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range 3 { // a slow machine may delay the steps so that no request is due in the suspension
				due := suspendAtEndOfShutdown(t, shutDown)
				t.Logf("%d requests were due while the process was suspended", due)
				if due > 0 {
					return
				}
			}
			t.Error("no request was due while the process was suspended, so the test proves nothing")
		})
	}
}

// suspendAtEndOfShutdown shuts a process down under load, suspends it when the last requests are due, and checks that each
// request that a backend has received is answered. It returns how many were due while the process was suspended.
func suspendAtEndOfShutdown(t *testing.T, shutDown func(*testing.T, *processharness.Tier, *processharness.Process)) (due int) {
	t.Helper()
	const (
		longestDeadline = 3 * time.Second        // of processharness.ClassKeyed
		suspended       = 150 * time.Millisecond // which the platform's rules allow
		suspendBefore   = 120 * time.Millisecond // before the last requests are due
	)
	tier := newTier(t, 1, 4)
	p := startAll(t, tier)[0]
	load := tier.StartLoad(60, func(n int) processharness.Request {
		return processharness.Request{Class: processharness.ClassKeyed, Key: strconv.Itoa(n), Plan: "free", Customer: uint64(n % 30)}
	})
	time.Sleep(300 * time.Millisecond)
	shutDown(t, tier, p)
	results := make(chan []processharness.Result, 1)
	go func() { results <- load.End() }()
	lastDue := time.Now().Add(longestDeadline)
	time.Sleep(longestDeadline - suspendBefore)
	p.Signal(syscall.SIGSTOP)
	time.Sleep(suspended)
	p.Signal(syscall.SIGCONT)
	if err := p.Wait(t); err != nil {
		t.Errorf("the process ended with %v", err)
	}
	attempts, _ := tier.Attempts()
	for _, r := range <-results {
		if attempts[r.ID] == 0 {
			continue
		}
		beforeLast := lastDue.Sub(r.SentAt.Add(longestDeadline))
		if r.Status == 0 {
			t.Errorf("request due %v before the last one: no response after %v: %s", beforeLast, r.Took, r.ConnError)
		}
		if r.Status != http.StatusOK && beforeLast < suspendBefore {
			due++
		}
	}
	return due
}

// hang makes the backends hang for a time with each request.
func hang(tier *processharness.Tier, d time.Duration) {
	for _, b := range tier.Backends {
		b.SetDelay(d)
	}
}
