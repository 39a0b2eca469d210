package main

import (
	"os"
	"regexp"
	"strconv"
	"syscall"
	"testing"
	"time"

	"lemongate/internal/processharness"
)

// counter is what a process counted, at its end.
func counter(t *testing.T, p *processharness.Process, name string) int {
	t.Helper()
	found := regexp.MustCompile(`"` + name + `":(\d+)`).FindStringSubmatch(p.Last(`"msg":"counters"`))
	if found == nil {
		t.Fatal("no counter ", name)
	}
	n, _ := strconv.Atoi(found[1])
	return n
}

// account holds what clients got against what a process says it has read, or told to come again for want
// of room: each such req has one whole answer, and one without was not read. It tells how many these are.
func account(t *testing.T, results []processharness.Result, p *processharness.Process) (unread int) {
	t.Helper()
	answered, faults := 0, map[string]int{}
	for _, r := range results {
		if r.Status != 0 {
			answered++
		} else {
			faults[regexp.MustCompile(`[0-9.]+:[0-9]+`).ReplaceAllString(r.Fault, "")]++
			unread++
		}
	}
	if n := counter(t, p, "received") + counter(t, p, "full"); n != answered {
		t.Errorf("%d reqs taken, %d answered of %d; without an answer: %v", n, answered, len(results), faults)
	}
	return unread
}

func alone(t *testing.T) *processharness.Tier {
	t.Helper()
	x := processharness.New(t, 1, 2, os.Args[0], "serve")
	x.Env = []string{"LEMONGATE_TEST=serve"}
	for _, b := range x.Backends {
		b.Delay(30 * time.Millisecond)
	}
	return x
}

// A process is told to end again and again under load, on sessions that are kept, on new ones and on such
// that rest, and at times it stands still just then. Whatever it reads it answers, to the last.
func TestToldToEndUnderLoad(t *testing.T) {
	x := alone(t)
	for round := range 6 {
		p := x.Limiters[0].Start()
		p.Await(t)
		load := x.Begin(500, func(n int) processharness.Req {
			return processharness.Req{Class: []string{"read", "post"}[n%2], Key: []string{"", strconv.Itoa(round) + "k" + strconv.Itoa(n)}[n%2], Plan: "free", Customer: uint64(n % 30), Body: n % 2 * 3000}
		})
		if err := load.Warm(0, 20); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
		p.Signal(syscall.SIGTERM)
		if round%2 == 1 {
			p.Signal(syscall.SIGSTOP)
			time.Sleep(100 * time.Millisecond)
			p.Signal(syscall.SIGCONT)
		}
		time.Sleep(300 * time.Millisecond) // clients come for 0.4 s at most
		results := load.End()
		if err := p.Wait(t); err != nil {
			t.Errorf("ended with %v", err)
		}
		if unread := account(t, results, p); unread > len(results)/50 {
			t.Errorf("%d of %d reqs were not read", unread, len(results))
		}
	}
}

// A limiter with many sessions open stands still for nearly as long as it lets them idle, again and again.
// What came meanwhile is answered. Trouble: 290 of 290 such reqs met a close.
func TestStandsStillUnderLoad(t *testing.T) {
	x := alone(t)
	x.Sockets = 256
	p := x.Limiters[0].Start()
	p.Await(t)
	load := x.Begin(120, func(n int) processharness.Req {
		return processharness.Req{Class: "read", Plan: "free", Customer: uint64(n % 30)}
	})
	if err := load.Warm(0, 70); err != nil { // over a quarter of what is allowed
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
		t.Errorf("ended with %v", err)
	}
	if unread := account(t, results, p); unread > len(results)/50 {
		t.Errorf("%d of %d reqs were not read", unread, len(results))
	}
}
