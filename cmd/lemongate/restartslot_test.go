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

// Operators restart all limiters at once, each when it has its turn, while datagrams are lost, late and
// twice, and the holder of the lease is stopped, cut off one way, and restarted itself: never more
// than two are out, by the operators' own count, and all have been at the end.
func TestWalkThroughRestarts(t *testing.T) {
	const limiters, most = 5, 2
	operator := t.TempDir() + "/operator.json"
	text := `{"leases":{"on":true,"length_ms":1000,"keepers":3,"tasks":["restarts"]},"restarts":{"most":2,"turn_s":1}}`
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	x := processharness.New(t, limiters, 2, os.Args[0], "serve", "--operator", operator)
	x.Env = []string{"LEMONGATE_TEST=serve"}
	x.Net.Bad(0.08, 0.1, 30*time.Millisecond)
	processes := startAll(t, x)
	who := holder(t, processes)

	var mu sync.Mutex
	out, worst := 0, 0
	count := func(by int) {
		mu.Lock()
		out += by
		worst = max(worst, out)
		mu.Unlock()
	}
	process := func(n int) *processharness.Process {
		mu.Lock()
		defer mu.Unlock()
		return processes[n]
	}
	var all sync.WaitGroup
	for n := range limiters {
		all.Go(func() {
			said, err := run(t, "turn", "--wait", "50s", "--console", process(n).Console)
			if err != nil || !strings.HasPrefix(said, "restart within ") {
				t.Errorf("limiter %d: %q, %v", n, said, err)
				return
			}
			count(1)
			old := process(n)
			old.Signal(syscall.SIGTERM)
			old.Wait(t)
			next := x.Limiters[n].Start()
			processharness.Until(t, "a process that takes clients", next.Healthy)
			count(-1)
			mu.Lock()
			processes[n] = next
			mu.Unlock()
		})
	}
	done := make(chan bool)
	go func() {
		all.Wait()
		close(done)
	}()
	for round := 0; ; round++ {
		select {
		case <-done:
			if worst > most {
				t.Errorf("%d limiters were out at once, %d may be", worst, most)
			}
			t.Logf("%d limiters restarted, %d at once at most", limiters, worst)
			return
		case <-time.After([]time.Duration{4 * time.Second, time.Second}[min(round, 1)]): // the first turn comes after two lengths of one
		}
		for n := range limiters {
			if v, ok := views(t, process(n)); ok && v.Holds {
				who = n
			}
		}
		if p := process(who); round%2 == 0 {
			p.Signal(syscall.SIGSTOP)
			time.Sleep(1300 * time.Millisecond)
			p.Signal(syscall.SIGCONT)
			continue
		}
		for n := range limiters {
			x.Net.Cut(who, n, n != who)
		}
		time.Sleep(1500 * time.Millisecond)
		for n := range limiters {
			x.Net.Cut(who, n, false)
		}
	}
}

// A limiter that gives no turns says so, and one that is given back can be asked for again.
func TestTurnCommand(t *testing.T) {
	off := startAll(t, leased(t, 1, 1))[0]
	if _, err := run(t, "turn", "--console", off.Console); err == nil || !strings.Contains(err.Error(), "gives no turns") {
		t.Error(err)
	}
	if _, err := run(t, "turn", "--console", "127.0.0.1:1"); err == nil || !strings.HasPrefix(err.Error(), "console: ") {
		t.Error(err)
	}
	operator := t.TempDir() + "/operator.json"
	text := `{"leases":{"on":true,"length_ms":1000,"keepers":3,"tasks":["restarts"]},"restarts":{"turn_s":1}}`
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	x := processharness.New(t, 3, 1, os.Args[0], "serve", "--operator", operator)
	x.Env = []string{"LEMONGATE_TEST=serve"}
	list := startAll(t, x)
	for range 2 {
		if out, err := run(t, "turn", "--wait", "20s", "--console", list[0].Console); err != nil {
			t.Fatalf("%q, %v", out, err)
		}
		if _, err := run(t, "turn", "--wait", "200ms", "--console", list[1].Console); err == nil || !strings.Contains(err.Error(), "none came") {
			t.Errorf("a second one is out: %v", err)
		}
		if _, err := run(t, "turn", "--back", "--console", list[0].Console); err != nil {
			t.Error(err)
		}
	}
	// One that died in its turn holds its place until an operator says that it will not come back.
	if _, err := run(t, "turn", "--wait", "20s", "--console", list[0].Console); err != nil {
		t.Fatal(err)
	}
	list[0].Signal(syscall.SIGKILL)
	list[0].Wait(t)
	if _, err := run(t, "turn", "--wait", "3s", "--console", list[1].Console); err == nil {
		t.Error("two are out")
	}
	if _, err := run(t, "turn", "--forget", "0", "--console", list[1].Console); err != nil {
		t.Error(err)
	}
	if out, err := run(t, "turn", "--wait", "20s", "--console", list[1].Console); err != nil {
		t.Errorf("%q, %v", out, err)
	}
}

// The files of the fleet's use are joined; what is missing is told, and then the command fails.
func TestUseCommand(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		if err := os.WriteFile(dir+"/"+name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return dir + "/" + name
	}
	a := write("use-1.jsonl", `{"period":4,"after":0,"token":1,"limiter":0,"at":"x","use":[{"customer":"c","plan":"gold","units":2.5}]}`+"\n")
	b := write("use-2.jsonl", `{"period":5,"after":4,"token":2,"limiter":1,"at":"x","use":[{"customer":"c","plan":"gold","units":1}]}`+"\n"+`{"period":6,`)
	if out, err := run(t, "use", a); err != nil || !strings.Contains(out, "2.500") || !strings.Contains(out, "1 periods, 4 to 4") {
		t.Errorf("%q, %v", out, err)
	}
	out, err := run(t, "use", "--json", a, b)
	if err == nil || !strings.Contains(out, `"units":3.5`) || !strings.Contains(out, "line 2 cannot be read") {
		t.Errorf("%q, %v", out, err)
	}
	if _, err := run(t, "use", "no such file"); err == nil {
		t.Error("a file that is not there")
	}
	if out, err := run(t, "schema"); err != nil || !strings.Contains(out, `"rollup"`) {
		t.Errorf("%v", err)
	}
}
