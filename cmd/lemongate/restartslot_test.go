package main

import (
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lemongate/internal/processharness"
)

// Operators restart all limiters at once, each when it is granted a slot, while datagrams are lost, delayed and
// duplicated, and while the lease holder is suspended, cut off in one direction, and restarted itself. As counted by
// the test, at most two limiters are restarting at any time, and all have been restarted at the end.
func TestRollingRestart(t *testing.T) {
	const limiters, maxConcurrent = 5, 2
	operator := t.TempDir() + "/operator.json"
	text := `{"leases":{"on":true,"length_ms":1000,"keepers":3,"tasks":["restarts"]},"restarts":{"most":2,"turn_s":1}}`
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	tier := processharness.New(t, limiters, 2, os.Args[0], "serve", "--operator", operator)
	tier.Env = []string{"LEMONGATE_TEST=serve"}
	tier.Network.SetQuality(0.08, 0.1, 30*time.Millisecond)
	processes := startAll(t, tier)
	holder := awaitHolder(t, processes)

	var mu sync.Mutex
	restarting, maxRestarting := 0, 0
	count := func(change int) {
		mu.Lock()
		restarting += change
		maxRestarting = max(maxRestarting, restarting)
		mu.Unlock()
	}
	process := func(n int) *processharness.Process {
		mu.Lock()
		defer mu.Unlock()
		return processes[n]
	}
	var operators sync.WaitGroup
	for n := range limiters {
		operators.Go(func() {
			output, err := run(t, "restart-slot", "--wait", "50s", "--console", process(n).AdminAddr)
			if err != nil || !strings.HasPrefix(output, "restart within ") {
				t.Errorf("limiter %d: got output %q, error %v; want a slot", n, output, err)
				return
			}
			count(1)
			old := process(n)
			old.Signal(syscall.SIGTERM)
			_ = old.Wait(t) // the process may be suspended at that moment
			next := tier.Limiters[n].Start()
			processharness.WaitUntil(t, "a process that accepts clients", next.Healthy)
			count(-1)
			mu.Lock()
			processes[n] = next
			mu.Unlock()
		})
	}
	done := make(chan bool)
	go func() {
		operators.Wait()
		close(done)
	}()
	for round := 0; ; round++ {
		select {
		case <-done:
			if maxRestarting > maxConcurrent {
				t.Errorf("%d limiters restarted at once, want at most %d", maxRestarting, maxConcurrent)
			}
			t.Logf("%d limiters restarted, %d at once at most", limiters, maxRestarting)
			return
		// The first round is longer: a new coordinator grants no slot for twice the duration of a grant.
		case <-time.After([]time.Duration{4 * time.Second, time.Second}[min(round, 1)]):
		}
		for n := range limiters {
			if v, ok := recoveryLease(t, process(n)); ok && v.Holds {
				holder = n
			}
		}
		if p := process(holder); round%2 == 0 {
			p.Signal(syscall.SIGSTOP)
			time.Sleep(1300 * time.Millisecond)
			p.Signal(syscall.SIGCONT)
			continue
		}
		for n := range limiters {
			tier.Network.Block(holder, n, n != holder)
		}
		time.Sleep(1500 * time.Millisecond)
		for n := range limiters {
			tier.Network.Block(holder, n, false)
		}
	}
}

// The command reports that a limiter has no restart slots, and a slot that was released can be granted again.
func TestRestartSlotCommand(t *testing.T) {
	disabled := startAll(t, newTierWithLeases(t, 1, 1))[0]
	if _, err := run(t, "restart-slot", "--console", disabled.AdminAddr); err == nil || !strings.Contains(err.Error(), "gives no turns") {
		t.Error(err)
	}
	if _, err := run(t, "restart-slot", "--console", "127.0.0.1:1"); err == nil || !strings.HasPrefix(err.Error(), "console: ") {
		t.Error(err)
	}
	operator := t.TempDir() + "/operator.json"
	text := `{"leases":{"on":true,"length_ms":1000,"keepers":3,"tasks":["restarts"]},"restarts":{"turn_s":1}}`
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	tier := processharness.New(t, 3, 1, os.Args[0], "serve", "--operator", operator)
	tier.Env = []string{"LEMONGATE_TEST=serve"}
	processes := startAll(t, tier)
	for range 2 {
		if out, err := run(t, "restart-slot", "--wait", "20s", "--console", processes[0].AdminAddr); err != nil {
			t.Fatalf("got output %q, error %v; want a slot for limiter 0", out, err)
		}
		if _, err := run(t, "restart-slot", "--wait", "200ms", "--console", processes[1].AdminAddr); err == nil || !strings.Contains(err.Error(), "none came") {
			t.Errorf("got error %v while limiter 0 has the only slot, want one that no slot was granted", err)
		}
		if _, err := run(t, "restart-slot", "--back", "--console", processes[0].AdminAddr); err != nil {
			t.Error(err)
		}
	}
	// A limiter that was killed keeps its slot until an operator releases it with the forget flag.
	if _, err := run(t, "restart-slot", "--wait", "20s", "--console", processes[0].AdminAddr); err != nil {
		t.Fatal(err)
	}
	processes[0].Signal(syscall.SIGKILL)
	_ = processes[0].Wait(t) // fails, as the process was killed
	if _, err := run(t, "restart-slot", "--wait", "3s", "--console", processes[1].AdminAddr); err == nil {
		t.Error("limiter 1 was granted a slot while the killed limiter 0 had the only one")
	}
	if _, err := run(t, "restart-slot", "--forget", "0", "--console", processes[1].AdminAddr); err != nil {
		t.Error(err)
	}
	if out, err := run(t, "restart-slot", "--wait", "20s", "--console", processes[1].AdminAddr); err != nil {
		t.Errorf("got output %q, error %v; want the slot that was released", out, err)
	}
}
