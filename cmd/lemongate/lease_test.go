package main

import (
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"

	"lemongate/internal/lease"
	"lemongate/internal/processharness"
)

// leaseDuration is the shortest hold duration that the operators' file allows.
const leaseDuration = time.Second

// A history is rejected if an attempt arrived after one with a higher token had ended, and accepted if the two overlap.
func TestIsFencedLockHistory(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, int64(ms)*1e6) }
	attempts := []processharness.LeasedAttempt{{ArrivedAt: at(0), RespondedAt: at(10), Token: 5}, {ArrivedAt: at(20), RespondedAt: at(40), Token: 6}, {ArrivedAt: at(30), RespondedAt: at(50), Token: 5}}
	if !processharness.IsFencedLockHistory(attempts) {
		t.Error("rejected a history in which two overlapping attempts may have come in either order")
	}
	attempts[2].ArrivedAt = at(41)
	if processharness.IsFencedLockHistory(attempts) {
		t.Error("accepted a history in which an attempt with token 5 came after one with token 6 had ended")
	}
}

// A backend that repeatedly goes down and comes back gets recovery attempts of one limiter at a time. Meanwhile the
// lease holder is suspended for less than the hold duration and for longer, cut off from its peers in one direction and
// in both, or killed and started again without state. At the backends fencing tokens never decrease.
func TestRecoveryAttemptsUnderLease(t *testing.T) {
	for _, fault := range []string{"none", "suspended", "killed", "cut", "one way"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			tier := newTierWithLeases(t, 3, 3)
			tier.Network.SetQuality(0.08, 0.1, 30*time.Millisecond)
			for _, b := range tier.Backends {
				b.SetDelay(40 * time.Millisecond) // so that all backends are in use
			}
			processes := startAll(t, tier)
			awaitHolder(t, processes)
			stop, done := make(chan bool), make(chan bool)
			go func() { // takes the backend down and up in turn; ends with stop
				defer close(done)
				for i := 0; ; i++ {
					select {
					case <-stop:
						if i%2 == 1 {
							tier.Backends[0].SetDown(false)
						}
						return
					case <-time.After([]time.Duration{1500, 300}[i%2] * time.Millisecond):
						tier.Backends[0].SetDown(i%2 == 0)
					}
				}
			}()
			load := tier.StartLoad(240, func(n int) processharness.Request {
				return processharness.Request{Limiter: n % 3, Class: "read", Plan: "free", Customer: uint64(n % 30), SetSize: 3}
			})
			rounds := 4
			for round := range rounds {
				time.Sleep(2 * leaseDuration)
				holder := awaitHolder(t, processes)
				switch fault {
				case "suspended":
					processes[holder].Signal(syscall.SIGSTOP)
					time.Sleep([]time.Duration{leaseDuration / 2, leaseDuration, 2 * leaseDuration, 5 * leaseDuration}[round])
					processes[holder].Signal(syscall.SIGCONT)
				case "killed":
					processes[holder].Signal(syscall.SIGKILL)
					_ = processes[holder].Wait(t) // fails, as the process was killed
					processes[holder] = tier.Limiters[holder].Start()
					processes[holder].AwaitHealthy(t)
				case "cut", "one way":
					for i := range 3 {
						if i != holder {
							tier.Network.Block(holder, i, true)
							tier.Network.Block(i, holder, fault == "cut")
						}
					}
					time.Sleep(2 * leaseDuration)
					for i := range 3 {
						tier.Network.Block(holder, i, false)
						tier.Network.Block(i, holder, false)
					}
				}
			}
			holder := awaitHolder(t, processes)
			time.Sleep(leaseDuration)
			close(stop)
			<-done
			results := load.End()
			attempts := tier.LeasedAttempts()
			holders := checkFencingTokens(t, attempts)
			if len(attempts) < 5 {
				t.Errorf("got %d recovery attempts, want at least 5", len(attempts))
			}
			if fault == "none" && holders != 1 {
				t.Errorf("got %d lease holders while datagrams were lost, duplicated and delayed and nothing else failed, want 1", holders)
			}
			if fault == "killed" && holders < 2 {
				t.Errorf("got %d lease holders although the holder was killed, want at least 2", holders)
			}
			t.Logf("%d requests, %d recovery attempts by %d lease holders, the last limiter %d", len(results), len(attempts), holders, holder)
		})
	}
}

// Random bytes, messages of an older format, ballots in another limiter's name and messages of unknown tasks have no
// effect, nor does a limiter that is configured for a larger tier and so has other acceptors: fencing tokens at the
// backends never decrease, the lease is held and passes to another limiter, and invalid messages are counted.
func TestForeignMessages(t *testing.T) {
	tier := newTierWithLeases(t, 3, 3)
	for _, b := range tier.Backends {
		b.SetDelay(30 * time.Millisecond)
	}
	largerTier := func(c map[string]any) {
		settings := c["settings"].(map[string]any)
		settings["siblings"] = 5
		c["peers"] = append(c["peers"].([]string), "127.0.0.1:9", "127.0.0.1:9")
	}
	processes := []*processharness.Process{tier.Limiters[0].Start(), tier.Limiters[1].Start(), tier.Limiters[2].Start(largerTier)}
	for _, p := range processes {
		p.AwaitHealthy(t)
	}
	stop, done := make(chan bool), make(chan bool)
	go func() {
		defer close(done)
		rng, down := rand.New(rand.NewPCG(1, 2)), false
		for i := 0; ; i++ {
			select {
			case <-stop:
				if down {
					tier.Backends[0].SetDown(false)
				}
				return
			case <-time.After(4 * time.Millisecond):
			}
			if wantDown := i%300 >= 100 && i%300 < 200; wantDown != down {
				down = wantDown
				tier.Backends[0].SetDown(down)
			}
			from := rng.IntN(3)
			to := (from + 1 + rng.IntN(2)) % 3
			m := lease.Message{
				Kind: lease.Kind(rng.IntN(int(lease.NumKinds))), Task: lease.TaskID("trials"), Token: rng.Uint64() >> 1,
				Ballot: lease.Ballot{Round: 1 << 30, Epoch: rng.Uint32(), By: lease.Limiter((from + 1) % 3)},
			}
			data := m.Append(nil)
			switch rng.IntN(4) {
			case 0: // random bytes
				for k := 1; k < len(data); k++ {
					data[k] = byte(rng.Uint32())
				}
			case 1: // an older format: without a payload, with a valid checksum
				data = data[:39]
				h := fnv.New32a()
				_, _ = h.Write(data) // a hash never returns an error
				data = h.Sum(data)
			case 2: // a ballot in another limiter's name, in a message of a kind that names one
				m.Kind, m.Token = []lease.Kind{lease.Prepare, lease.Propose}[rng.IntN(2)], 0
				data = m.Append(nil)
			case 3:
				m.Task++
				data = m.Append(nil)
			}
			tier.Network.Inject(from, to, data)
		}
	}()
	load := tier.StartLoad(200, func(n int) processharness.Request {
		return processharness.Request{Limiter: n % 3, Class: "read", Plan: "free", Customer: uint64(n % 30), SetSize: 3}
	})
	holder := awaitHolder(t, processes)
	time.Sleep(4 * leaseDuration)
	if now := awaitHolder(t, processes); now != holder {
		t.Errorf("limiter %d holds the lease after limiter %d, although the holder did not fail, want the same holder", now, holder)
	}
	processes[holder].Signal(syscall.SIGSTOP)
	time.Sleep(3 * leaseDuration)
	processes[holder].Signal(syscall.SIGCONT)
	next := awaitHolder(t, processes)
	time.Sleep(2 * leaseDuration)
	close(stop)
	<-done
	load.End()
	attempts, invalid := tier.LeasedAttempts(), uint64(0)
	checkFencingTokens(t, attempts)
	for _, p := range processes {
		if v, ok := recoveryLease(t, p); ok {
			invalid += v.Counts.InvalidMessages
		}
	}
	if invalid == 0 || len(attempts) < 3 {
		t.Errorf("%d messages counted as invalid, want at least 1; %d recovery attempts, want at least 3", invalid, len(attempts))
	}
	t.Logf("limiter %d, then %d; %d recovery attempts, %d invalid messages", holder, next, len(attempts), invalid)
}

// The table that the leases command prints names the task, and a limiter without leases has an empty list.
func TestLeasesCommand(t *testing.T) {
	tier := newTierWithLeases(t, 1, 1)
	p := startAll(t, tier)[0]
	awaitHolder(t, []*processharness.Process{p})
	out, err := run(t, "leases", "--console", p.AdminAddr)
	if err != nil || !strings.Contains(out, "trials") || !strings.Contains(out, "yes") {
		t.Errorf("got table %q, %v; want one with the task and a lease that is held", out, err)
	}
	if _, err := run(t, "leases", "--console", "127.0.0.1:1"); err == nil || !strings.HasPrefix(err.Error(), "console: ") {
		t.Error(err)
	}
	disabled := startAll(t, newTier(t, 1, 1))[0]
	if out, err := run(t, "leases", "--json", "--console", disabled.AdminAddr); err != nil || strings.TrimSpace(out) != "[]" {
		t.Errorf("limiter without leases: got %q, %v; want an empty list", out, err)
	}
}

// A process that shuts down releases its leases before it ends, and reports none from then on. The tests that ask for the
// lease holder take that for a process without a lease, not for a failure.
func TestClosingProcessReportsNoLease(t *testing.T) {
	tier := newTierWithLeases(t, 3, 2)
	processes := startAll(t, tier)
	awaitHolder(t, processes)
	processes[0].Signal(syscall.SIGTERM)
	processharness.WaitUntil(t, "a process that reports no lease, or has ended", func() bool {
		_, ok := recoveryLease(t, processes[0])
		return !ok
	})
	if err := processes[0].Wait(t); err != nil {
		t.Errorf("the process ended with %v", err)
	}
}
