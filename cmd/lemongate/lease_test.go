package main

import (
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/lease"
	"lemongate/internal/processharness"
)

// leaseLength is the shortest that the operators' file allows.
const leaseLength = time.Second

// leased makes a tier whose limiters try ejected backends one for all.
func leased(t *testing.T, limiters, backends int) *processharness.Tier {
	t.Helper()
	operator := t.TempDir() + "/operator.json"
	text := `{"leases":{"on":true,"length_ms":1000,"keepers":3,"tasks":["trials"]}}`
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	x := processharness.New(t, limiters, backends, os.Args[0], "serve", "--operator", operator)
	x.Env = []string{"LEMONGATE_TEST=serve"}
	return x
}

// views asks a limiter's console how the trials' lease stands.
func views(t *testing.T, p *processharness.Process) (v lease.View, ok bool) {
	t.Helper()
	out, err := run(t, "leases", "--json", "--console", p.Console)
	if err != nil {
		return v, false // it may be stopped or dead
	}
	var list []lease.View
	if err := jsoniter.UnmarshalFromString(out, &list); err != nil || len(list) != 1 {
		t.Fatalf("%q, %v", out, err)
	}
	return list[0], true
}

// holder finds the limiter that says it holds the lease.
func holder(t *testing.T, processes []*processharness.Process) int {
	who := -1
	processharness.Until(t, "a holder", func() bool {
		for i, p := range processes {
			if v, ok := views(t, p); ok && v.Holds {
				who = i
			}
		}
		return who >= 0
	})
	return who
}

// tokensGrow holds what came to the backends under a lease against the promise: tokens never fall.
// An attempt that was on its way when the next holder began would be one, but a lease's end comes
// before its first byte.
func tokensGrow(t *testing.T, acts []processharness.Act) (holders int) {
	t.Helper()
	for i, a := range acts {
		if i > 0 && a.Token < acts[i-1].Token {
			t.Errorf("act %d came under token %d, %v after one under %d", i, a.Token, a.At.Sub(acts[i-1].At), acts[i-1].Token)
		}
		if i == 0 || a.Token != acts[i-1].Token {
			holders++
		}
	}
	if !processharness.Locked(acts) {
		t.Error("no history of a lock with tokens")
	}
	return holders
}

// The judge of histories sees a late act, and lets one pass that ends after the next holder's began.
func TestLocked(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, int64(ms)*1e6) }
	acts := []processharness.Act{{At: at(0), End: at(10), Token: 5}, {At: at(20), End: at(40), Token: 6}, {At: at(30), End: at(50), Token: 5}}
	if !processharness.Locked(acts) {
		t.Error("two that overlap may have been in either order")
	}
	acts[2].At = at(41)
	if processharness.Locked(acts) {
		t.Error("an act under token 5 after one under 6 was over")
	}
}

// A backend that is gone and there again and again is tried by one limiter at a time; its holder
// is stopped for parts of a lease and for longer, cut off one way and both, killed, and started
// again empty. At the backends tokens only grow, and there are far fewer trials than limiters would
// make each for itself.
func TestTrialsUnderLease(t *testing.T) {
	for _, trouble := range []string{"none", "stopped", "killed", "cut", "one way"} {
		t.Run(trouble, func(t *testing.T) {
			t.Parallel()
			x := leased(t, 3, 3)
			x.Net.Bad(0.08, 0.1, 30*time.Millisecond)
			for _, b := range x.Backends {
				b.Delay(40 * time.Millisecond) // so that all are in use
			}
			processes := startAll(t, x)
			holder(t, processes)
			stop, done := make(chan bool), make(chan bool)
			go func() { // gone for a while, and there for a while
				defer close(done)
				for i := 0; ; i++ {
					select {
					case <-stop:
						if i%2 == 1 {
							x.Backends[0].Down(false)
						}
						return
					case <-time.After([]time.Duration{1500, 300}[i%2] * time.Millisecond):
						x.Backends[0].Down(i%2 == 0)
					}
				}
			}()
			load := x.Begin(240, func(n int) processharness.Req {
				return processharness.Req{Limiter: n % 3, Class: "read", Plan: "free", Customer: uint64(n % 30), Spread: 3}
			})
			rounds := 4
			for round := range rounds {
				time.Sleep(2 * leaseLength)
				who := holder(t, processes)
				switch trouble {
				case "stopped":
					processes[who].Signal(syscall.SIGSTOP)
					time.Sleep([]time.Duration{leaseLength / 2, leaseLength, 2 * leaseLength, 5 * leaseLength}[round])
					processes[who].Signal(syscall.SIGCONT)
				case "killed":
					processes[who].Signal(syscall.SIGKILL)
					processes[who].Wait(t)
					processes[who] = x.Limiters[who].Start()
					processes[who].Await(t)
				case "cut", "one way":
					for i := range 3 {
						if i != who {
							x.Net.Cut(who, i, true)
							x.Net.Cut(i, who, trouble == "cut")
						}
					}
					time.Sleep(2 * leaseLength)
					for i := range 3 {
						x.Net.Cut(who, i, false)
						x.Net.Cut(i, who, false)
					}
				}
			}
			who := holder(t, processes)
			time.Sleep(leaseLength)
			close(stop)
			<-done
			results := load.End()
			acts := x.Acts()
			holders := tokensGrow(t, acts)
			if len(acts) < 5 {
				t.Errorf("just %d trials", len(acts))
			}
			if trouble == "none" && holders != 1 {
				t.Errorf("%d holders with nothing but loss", holders)
			}
			if trouble == "killed" && holders < 2 {
				t.Errorf("%d holders", holders)
			}
			t.Logf("%d reqs, %d trials by %d holders, the last limiter %d", len(results), len(acts), holders, who)
		})
	}
}

// Noise, messages of an older form, ballots under another's name and messages of unknown tasks change
// nothing, nor does a limiter that takes the tier for a larger one and so has other keepers: tokens at
// the backends only grow, the lease is kept and given on, and what did not belong is counted.
func TestStrangers(t *testing.T) {
	x := leased(t, 3, 3)
	for _, b := range x.Backends {
		b.Delay(30 * time.Millisecond)
	}
	odd := func(c map[string]any) {
		settings := c["settings"].(map[string]any)
		settings["siblings"] = 5
		c["peers"] = append(c["peers"].([]string), "127.0.0.1:9", "127.0.0.1:9")
	}
	processes := []*processharness.Process{x.Limiters[0].Start(), x.Limiters[1].Start(), x.Limiters[2].Start(odd)}
	for _, p := range processes {
		p.Await(t)
	}
	stop, done := make(chan bool), make(chan bool)
	go func() {
		defer close(done)
		rng, down := rand.New(rand.NewPCG(1, 2)), false
		for i := 0; ; i++ {
			select {
			case <-stop:
				if down {
					x.Backends[0].Down(false)
				}
				return
			case <-time.After(4 * time.Millisecond):
			}
			if is := i%300 >= 100 && i%300 < 200; is != down {
				down = is
				x.Backends[0].Down(down)
			}
			from := rng.IntN(3)
			to := (from + 1 + rng.IntN(2)) % 3
			m := lease.Message{
				Kind: lease.Kind(rng.IntN(int(lease.NumKinds))), Task: lease.TaskID("trials"), Token: rng.Uint64() >> 1,
				Ballot: lease.Ballot{Round: 1 << 30, Epoch: rng.Uint32(), By: lease.Limiter((from + 1) % 3)},
			}
			data := m.Append(nil)
			switch rng.IntN(4) {
			case 0: // noise
				for k := 1; k < len(data); k++ {
					data[k] = byte(rng.Uint32())
				}
			case 1: // of an older form: without a mark, and sealed
				data = data[:39]
				h := fnv.New32a()
				h.Write(data)
				data = h.Sum(data)
			case 2: // another's ballot, but for those that name no ballot or nobody's
				m.Kind, m.Token = []lease.Kind{lease.Prepare, lease.Propose}[rng.IntN(2)], 0
				data = m.Append(nil)
			case 3:
				m.Task++
				data = m.Append(nil)
			}
			x.Net.Say(from, to, data)
		}
	}()
	load := x.Begin(200, func(n int) processharness.Req {
		return processharness.Req{Limiter: n % 3, Class: "read", Plan: "free", Customer: uint64(n % 30), Spread: 3}
	})
	who := holder(t, processes)
	time.Sleep(4 * leaseLength)
	if now := holder(t, processes); now != who {
		t.Errorf("limiter %d holds the lease after limiter %d, with nothing but strangers about", now, who)
	}
	processes[who].Signal(syscall.SIGSTOP)
	time.Sleep(3 * leaseLength)
	processes[who].Signal(syscall.SIGCONT)
	next := holder(t, processes)
	time.Sleep(2 * leaseLength)
	close(stop)
	<-done
	load.End()
	acts, bad := x.Acts(), uint64(0)
	tokensGrow(t, acts)
	for _, p := range processes {
		if v, ok := views(t, p); ok {
			bad += v.Counts.InvalidMessages
		}
	}
	if bad == 0 || len(acts) < 3 {
		t.Errorf("%d messages counted as strangers', %d acts", bad, len(acts))
	}
	t.Logf("limiter %d, then %d; %d acts, %d messages that did not belong", who, next, len(acts), bad)
}

// The command's table names the task, and a limiter without leases has none.
func TestLeasesCommand(t *testing.T) {
	x := leased(t, 1, 1)
	p := startAll(t, x)[0]
	holder(t, []*processharness.Process{p})
	out, err := run(t, "leases", "--console", p.Console)
	if err != nil || !strings.Contains(out, "trials") || !strings.Contains(out, "yes") {
		t.Errorf("%q, %v", out, err)
	}
	if _, err := run(t, "leases", "--console", "127.0.0.1:1"); err == nil || !strings.HasPrefix(err.Error(), "console: ") {
		t.Error(err)
	}
	off := startAll(t, tier(t, 1, 1))[0]
	if out, err := run(t, "leases", "--json", "--console", off.Console); err != nil || strings.TrimSpace(out) != "[]" {
		t.Errorf("%q, %v", out, err)
	}
}
