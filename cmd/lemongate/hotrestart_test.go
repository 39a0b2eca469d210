package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"lemongate/internal/hotrestart"
	"lemongate/internal/hotrestart/link"
	"lemongate/internal/processharness"
)

// Hot restarts in sequence under load: no connection is reset or refused, every request gets one complete response, few
// reach backends twice, the ceiling holds as checkCeiling requires, and the peers see one epoch of the limiter.
func TestHotRestartsUnderLoad(t *testing.T) {
	const restarts, rate, burst = 10, 100.0, 60.0
	tier := newTier(t, 3, 4)
	tier.Plans = append(tier.Plans, processharness.Plan{Name: "capped", Rate: rate, Burst: burst, CeilingRate: rate, CeilingBurst: burst})
	processes := startAll(t, tier)
	for _, b := range tier.Backends {
		b.SetDelay(15 * time.Millisecond)
	}
	load := tier.StartLoad(500, mixedRequest)
	if err := load.OpenIdle(0, 30); err != nil {
		t.Fatal(err)
	}
	predecessor := processes[0]
	for i := range restarts {
		successor := tier.Limiters[0].Start()
		successor.AwaitHealthy(t)
		processharness.WaitUntil(t, "the takeover by the successor", func() bool { return successor.HasLogged("takes over") })
		if i%3 == 0 { // leave the successor in probation for a while
			time.Sleep(200 * time.Millisecond)
		}
		predecessor.Signal(syscall.SIGTERM)
		if err := predecessor.Wait(t); err != nil {
			t.Errorf("hot restart %d: the predecessor ended with %v", i, err)
		}
		predecessor = successor
	}
	results := load.End()
	served, gap := checkResults(t, tier, results)
	if len(results) < 500 || served < len(results)/2 {
		t.Errorf("served %d of %d requests, want at least half of 500 or more", served, len(results))
	}
	if n := len(tier.Network.Epochs(0)); n != 1 {
		t.Errorf("the peers saw %d epochs of the limiter, want 1", n)
	}
	_, attempts := tier.Attempts()
	checkCeiling(t, attempts, rate, burst)
	t.Logf("%d requests, %d served, longest time without one %v; p99 %v at the limiter that restarts, %v at the others",
		len(results), served, gap, p99(results, func(r processharness.Result) bool { return r.Limiter == 0 }),
		p99(results, func(r processharness.Result) bool { return r.Limiter > 0 }))
}

// A successor ends, is suspended or hangs at any step: the predecessor continues to serve, or serves again soon, and no
// request is lost.
func TestFailedSuccessor(t *testing.T) {
	for _, step := range []string{"hello", "offer", "prepared", "transfer", "taken", "commit", "beats"} {
		for _, failure := range []string{"end", "stop", "hang"} {
			t.Run(step+" "+failure, func(t *testing.T) {
				t.Parallel()
				tier := newTier(t, 1, 2)
				predecessor := startAll(t, tier)[0]
				load := tier.StartLoad(150, func(n int) processharness.Request {
					return processharness.Request{Class: "read", Plan: "free", Customer: uint64(n % 20)}
				})
				time.Sleep(100 * time.Millisecond) // some connections and requests are open
				successor := startFailingProcess(t, tier, "successor:"+step+":"+failure)
				processharness.WaitUntil(t, "the step", func() bool { return successor.HasLogged("at " + step) })
				before := time.Now()
				processharness.WaitUntil(t, "a predecessor that accepts clients", predecessor.Healthy)
				recovery := time.Since(before)
				time.Sleep(700 * time.Millisecond) // all timeouts of the hot restart have passed after it
				if !predecessor.Healthy() {
					t.Error("the predecessor accepts no clients 700 ms after it was healthy again")
				}
				results := load.End()
				served, gap := checkResults(t, tier, results)
				// While the successor hangs, requests that it has to decide are rejected.
				if served < len(results)/2 || gap > 1500*time.Millisecond {
					t.Errorf("served %d of %d requests, longest time without a response %v; want at least half, and 1.5 s at most", served, len(results), gap)
				}
				t.Logf("healthy after %v, longest time without a response %v", recovery, gap)
				// A working successor takes over after the failed one.
				if failure != "end" {
					successor.Signal(syscall.SIGKILL)
				}
				workingSuccessor := tier.Limiters[0].Start()
				processharness.WaitUntil(t, "a working successor", workingSuccessor.Healthy)
				predecessor.Signal(syscall.SIGTERM)
				if err := predecessor.Wait(t); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// A predecessor that ends during a hot restart leaves the successor to serve with what it has received. One that is
// suspended while neither process accepts clients is killed by the successor. One that is suspended before that may
// still accept clients, and the successor waits until it ends.
func TestFailedPredecessor(t *testing.T) {
	for _, c := range []struct{ step, failure string }{
		{"listening", "end"}, {"hello", "end"}, {"offer", "end"}, {"prepared", "end"}, {"transfer", "end"}, {"taken", "end"}, {"commit", "end"},
		{"transfer", "stop"}, {"taken", "stop"}, {"commit", "stop"},
		{"hello", "stop"}, {"offer", "stop"}, {"prepared", "stop"},
	} {
		t.Run(c.step+" "+c.failure, func(t *testing.T) {
			t.Parallel()
			tier := newTier(t, 1, 2)
			predecessor := startFailingProcess(t, tier, "predecessor:"+c.step+":"+c.failure)
			processharness.WaitUntil(t, "the predecessor", func() bool { return predecessor.HasLogged("ready") })
			successor := tier.Limiters[0].Start()
			waits := c.failure == "stop" && c.step != "transfer" && c.step != "taken" && c.step != "commit"
			if waits {
				processharness.WaitUntil(t, "the step", func() bool { return predecessor.HasLogged("at " + c.step) })
				time.Sleep(800 * time.Millisecond)
				if successor.Healthy() {
					t.Error("the successor accepts clients although the predecessor may accept them too")
				}
				predecessor.Signal(syscall.SIGKILL)
			}
			successor.AwaitHealthy(t)
			load := tier.StartLoad(100, func(n int) processharness.Request {
				return processharness.Request{Class: "read", Plan: "free", Customer: uint64(n % 20)}
			})
			time.Sleep(300 * time.Millisecond)
			if served, _ := checkResults(t, tier, load.End()); served < 20 {
				t.Errorf("served %d requests, want at least 20", served)
			}
		})
	}
}

// One of the two processes is killed or suspended at the start of the hot restart or up to 44 ms later. In the end the
// other process serves, and after a suspended successor continues, the two never accept clients at the same time.
func TestKilledAtAnyPoint(t *testing.T) {
	for i := range 12 {
		for _, side := range []string{"predecessor", "successor"} {
			sig, fault := syscall.SIGKILL, "killed"
			if i%2 == 1 {
				sig, fault = syscall.SIGSTOP, "suspended"
			}
			after := time.Duration(i) * 4 * time.Millisecond
			t.Run(fmt.Sprintf("%s %s after %v", side, fault, after), func(t *testing.T) {
				t.Parallel()
				tier := newTier(t, 1, 2)
				predecessor := startAll(t, tier)[0]
				successor := tier.Limiters[0].Start()
				processharness.WaitUntil(t, "the hot restart", func() bool { return successor.HasLogged("takes over") || successor.HasLogged("listening") })
				time.Sleep(after)
				target, other := predecessor, successor
				if side == "successor" {
					target, other = successor, predecessor
				}
				target.Signal(sig)
				processharness.WaitUntil(t, "a process that serves", func() bool {
					if sig == syscall.SIGSTOP && side == "predecessor" && !other.Healthy() {
						target.Signal(syscall.SIGKILL) // the predecessor was suspended before the handover; an operator would kill it
					}
					return other.Healthy()
				})
				if sig == syscall.SIGSTOP && side == "successor" {
					target.Signal(syscall.SIGCONT) // if it still runs, it must not accept clients now
					for range 20 {
						if target.Healthy() && other.Healthy() {
							t.Error("both processes accept clients")
						}
						time.Sleep(10 * time.Millisecond)
					}
				}
			})
		}
	}
}

// Signals to either process, a third process, different configurations, and the files that a killed process leaves.
func TestUnusualHotRestarts(t *testing.T) {
	t.Run("both shut down", func(t *testing.T) {
		t.Parallel()
		tier := newTier(t, 1, 1)
		predecessor := startAll(t, tier)[0]
		successor := tier.Limiters[0].Start()
		successor.AwaitHealthy(t)
		predecessor.Signal(syscall.SIGTERM)
		successor.Signal(syscall.SIGTERM)
		if a, b := predecessor.Wait(t), successor.Wait(t); a != nil || b != nil {
			t.Error(a, b)
		}
	})
	t.Run("the successor shut down", func(t *testing.T) {
		t.Parallel()
		tier := newTier(t, 1, 1)
		predecessor := startAll(t, tier)[0]
		successor := tier.Limiters[0].Start()
		successor.AwaitHealthy(t)
		successor.Signal(syscall.SIGTERM)
		if err := successor.Wait(t); err != nil {
			t.Error(err)
		}
		processharness.WaitUntil(t, "a predecessor that serves again", predecessor.Healthy)
	})
	t.Run("SIGHUP during the hot restart", func(t *testing.T) {
		t.Parallel()
		tier := newTier(t, 1, 1)
		predecessor := startAll(t, tier)[0]
		successor := tier.Limiters[0].Start()
		for range 5 {
			predecessor.Signal(syscall.SIGHUP)
			time.Sleep(3 * time.Millisecond)
		}
		successor.AwaitHealthy(t)
		successor.Signal(syscall.SIGHUP)
		predecessor.Signal(syscall.SIGTERM)
		if err := predecessor.Wait(t); err != nil {
			t.Error(err)
		}
		time.Sleep(50 * time.Millisecond)
		if !successor.Healthy() {
			t.Error("the successor does not serve")
		}
	})
	t.Run("a third process", func(t *testing.T) {
		t.Parallel()
		tier := newTier(t, 1, 1)
		predecessor := startAll(t, tier)[0]
		successor := tier.Limiters[0].Start()
		successor.AwaitHealthy(t) // it is in probation now
		third := tier.Limiters[0].Start()
		processharness.WaitUntil(t, "a reply to the third process", func() bool {
			return predecessor.HasLogged("another takeover is under way") || predecessor.HasLogged("is handed")
		})
		if third.Healthy() || !successor.Healthy() {
			t.Error("the third process accepts clients, or the successor does not")
		}
		predecessor.Signal(syscall.SIGTERM)
		_ = predecessor.Wait(t) // the test does not check how it ends
		third.Signal(syscall.SIGTERM)
		third.Signal(syscall.SIGKILL)
		time.Sleep(50 * time.Millisecond)
		if !successor.Healthy() {
			t.Error("the successor no longer serves")
		}
	})
	t.Run("other settings", func(t *testing.T) {
		t.Parallel()
		tier := newTier(t, 1, 1)
		predecessor := startAll(t, tier)[0]
		successor := tier.Limiters[0].Start(func(c map[string]any) {
			c["settings"].(map[string]any)["tiers_of_service"] = []map[string]any{{"name": "free"}, {"name": "more", "refill": 3, "depth": 9}}
		})
		successor.AwaitHealthy(t)
		processharness.WaitUntil(t, "rejection of the state of other settings", func() bool { return successor.HasLogged("of other settings") })
		predecessor.Signal(syscall.SIGTERM)
		if err := predecessor.Wait(t); err != nil || !successor.Healthy() {
			t.Error(err)
		}
	})
	t.Run("another limiter", func(t *testing.T) {
		t.Parallel()
		tier := newTier(t, 1, 1)
		predecessor := startAll(t, tier)[0]
		tier.Limiters[0].Start(func(c map[string]any) { c["listen"] = "127.0.0.1:1" })
		processharness.WaitUntil(t, "denial of the other limiter", func() bool { return predecessor.HasLogged("listens elsewhere") })
		if !predecessor.Healthy() {
			t.Error("the running process no longer serves")
		}
	})
	t.Run("what a killed process left", func(t *testing.T) {
		t.Parallel()
		tier := newTier(t, 1, 1)
		predecessor := startAll(t, tier)[0]
		predecessor.Signal(syscall.SIGKILL)
		_ = predecessor.Wait(t) // the test does not check how it ends
		if list, _ := os.ReadDir(tier.Limiters[0].Dir); len(list) != 1 {
			t.Errorf("the killed process left %v, want one file", list)
		}
		next := tier.Limiters[0].Start()
		next.AwaitHealthy(t)
		again := tier.Limiters[0].Start()
		again.AwaitHealthy(t)
		processharness.WaitUntil(t, "a takeover from the process that replaced the socket of the killed one", func() bool { return again.HasLogged("takes over") })
		next.Signal(syscall.SIGTERM)
		_ = next.Wait(t)
		again.Signal(syscall.SIGTERM)
		_ = again.Wait(t)
		if list, _ := os.ReadDir(tier.Limiters[0].Dir); len(list) != 0 {
			t.Errorf("the processes left %v, want no files", list)
		}
	})
	t.Run("a directory with a long name", func(t *testing.T) {
		t.Parallel()
		tier := newTier(t, 1, 1)
		tier.Limiters[0].Dir += "/" + strings.Repeat("long", 40)
		if err := os.Mkdir(tier.Limiters[0].Dir, 0o700); err != nil {
			t.Fatal(err)
		}
		startAll(t, tier)
		next := tier.Limiters[0].Start()
		next.AwaitHealthy(t)
		processharness.WaitUntil(t, "the takeover by the successor", func() bool { return next.HasLogged("takes over") })
	})
}

// Client connections in all states at the time of the hot restart: used and idle, never used, and with half of a
// request head sent. Each connection stays open, and each request gets its response.
func TestConnectionsAcrossHotRestart(t *testing.T) {
	tier := newTier(t, 1, 2)
	predecessor := startAll(t, tier)[0]
	load := tier.StartLoad(100, func(n int) processharness.Request {
		return processharness.Request{Class: "read", Plan: "free", Customer: uint64(n % 20)}
	})
	const idleConns, partialConns = 300, 100
	send := func(c net.Conn, id string) error {
		_, err := fmt.Fprintf(c, "GET /read/%016x HTTP/1.1\r\nHost: h\r\nX-Call-Id: %s\r\nPlan: free\r\nX-Budget: 2000m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n", 9, id)
		return err
	}
	expectResponse := func(c net.Conn, connState string) {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second)) // if this fails, the read fails too
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusTooManyRequests {
			t.Errorf("%s: got error %v, response %+v; want status 200 or 429", connState, err, resp)
		}
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", tier.Limiters[0].Addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	var idle, partial []net.Conn
	for i := range idleConns {
		c := dial()
		if i%2 == 0 {
			if err := send(c, fmt.Sprintf("before%d", i)); err != nil {
				t.Error(err)
			}
			expectResponse(c, "before the hot restart")
		}
		idle = append(idle, c)
	}
	for i := range partialConns {
		c := dial()
		_, _ = fmt.Fprintf(c, "GET /read/%016x HTTP/1.1\r\nHost: h\r\nX-Call-Id: half%d\r\nPl", 9, i) // an error shows in the response
		partial = append(partial, c)
	}
	successor := tier.Limiters[0].Start()
	successor.AwaitHealthy(t)
	predecessor.Signal(syscall.SIGTERM)
	processharness.WaitUntil(t, "a predecessor in phase closing", func() bool { return predecessor.HasLogged("phase closing") })
	for _, c := range partial {
		_, _ = fmt.Fprint(c, "an: free\r\nX-Budget: 2000m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n") // an error shows in the response
	}
	for i, c := range idle {
		if err := send(c, fmt.Sprintf("after%d", i)); err != nil {
			t.Error(err)
		}
	}
	for _, c := range partial {
		expectResponse(c, "a connection with half of a request head sent")
	}
	for _, c := range idle {
		expectResponse(c, "an idle connection")
	}
	if err := predecessor.Wait(t); err != nil {
		t.Error(err)
	}
	checkResults(t, tier, load.End())
}

// A request with an idempotency key is in flight at a backend that fails during a hot restart: it runs once, its client
// gets one response, and the client's own retry through the successor gets the response that the backends have stored.
func TestIdempotencyKeyAcrossHotRestart(t *testing.T) {
	tier := newTier(t, 1, 3)
	predecessor := startAll(t, tier)[0]
	for _, b := range tier.Backends {
		b.SetDelay(400 * time.Millisecond)
	}
	load := tier.StartLoad(40, func(n int) processharness.Request {
		return processharness.Request{Class: "post", Plan: "free", Customer: uint64(n % 5), Key: fmt.Sprintf("%032x", n/2), Body: 100}
	})
	time.Sleep(300 * time.Millisecond)
	successor := tier.Limiters[0].Start()
	successor.AwaitHealthy(t)
	tier.Backends[0].AbortConns() // while requests are in flight to it
	predecessor.Signal(syscall.SIGTERM)
	if err := predecessor.Wait(t); err != nil {
		t.Error(err)
	}
	time.Sleep(500 * time.Millisecond)
	results := load.End()
	served := 0
	for _, r := range results {
		if r.ConnError != "" {
			t.Errorf("lost after %v: %s", r.Took, r.ConnError)
		}
		if r.Status == http.StatusOK {
			served++
		}
	}
	if n := tier.RepeatedExecutions(); n > 0 {
		t.Errorf("requests with an idempotency key were executed again %d times after their idempotency window, want 0", n)
	}
	if served < len(results)/2 {
		t.Errorf("served %d of %d requests, want at least half", served, len(results))
	}
}

// A process that cannot take over does not affect the running one: a process with another version of the format, a
// process that sends invalid frames, one with an invalid configuration, and one that starts while the running process
// shuts down.
func TestInvalidSuccessors(t *testing.T) {
	tier := newTier(t, 1, 1)
	predecessor := startAll(t, tier)[0]
	c, err := link.Dial(link.Path(tier.Limiters[0].Dir, "n0"))
	if err != nil {
		t.Fatal(err)
	}
	hello := `{"Format":2,"Name":"n0","Listen":"` + tier.Limiters[0].Addr + `"}`
	if !c.Send(uint8(hotrestart.Hello), []byte(hello)) {
		t.Error("failed to send Hello with format 2")
	}
	if f, err := c.Read(); err != nil || f.Kind != uint8(hotrestart.Deny) || !strings.Contains(string(f.Body), "format 2") {
		t.Errorf("got frame %+v, error %v; want a Deny that names format 2", f, err)
	}
	for _, invalidFrame := range []string{"", "x", "\xff\xff\xff\xff\xff\xff", "\x00\x00\x00\x02\x00\x00{}", "\x00\x00\x00\x01\x00\x09x"} {
		raw, err := net.Dial("unix", link.Path(tier.Limiters[0].Dir, "n0"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = raw.Write([]byte(invalidFrame)) // the process may have closed the connection already
		_ = raw.Close()
	}
	invalid := tier.Limiters[0].Start(func(c map[string]any) { c["settings"] = map[string]any{} })
	if err := invalid.Wait(t); err == nil || !predecessor.Healthy() {
		t.Error("a process with an invalid configuration started, or the running process is not healthy")
	}
	load := tier.StartLoad(50, func(n int) processharness.Request {
		return processharness.Request{Class: "read", Plan: "free", Customer: 1}
	})
	tier.Backends[0].SetDelay(300 * time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	results := load.End()
	predecessor.Signal(syscall.SIGTERM)
	late := tier.Limiters[0].Start()
	late.AwaitHealthy(t) // it listens once the address is free
	processharness.WaitUntil(t, "the late process in phase serving", func() bool { return late.HasLogged("phase serving") })
	if late.HasLogged("without the state") {
		t.Error("the late process took over from a process that was shutting down, want a start without a predecessor")
	}
	checkResults(t, tier, results)
}

// The units of a token bucket with a very low rate are consumed once, whichever of the two processes receives the
// requests: connections to the predecessor stay in use through a long probation, while new ones go to the successor.
func TestUnitsConsumedOnceAcrossHotRestart(t *testing.T) {
	const burst = 60
	tier := newTier(t, 1, 2)
	tier.Plans = append(tier.Plans, processharness.Plan{Name: "capped", Rate: 0.5, Burst: burst})
	predecessor := startAll(t, tier)[0]
	for _, b := range tier.Backends {
		b.SetDelay(30 * time.Millisecond) // so that several connections are in use
	}
	begin := time.Now()
	load := tier.StartLoad(100, func(n int) processharness.Request {
		return processharness.Request{Class: "read", Plan: "capped", Customer: 7}
	})
	time.Sleep(250 * time.Millisecond)
	for range 2 {
		successor := tier.Limiters[0].Start()
		successor.AwaitHealthy(t)
		time.Sleep(400 * time.Millisecond)
		predecessor.Signal(syscall.SIGTERM)
		if err := predecessor.Wait(t); err != nil {
			t.Error(err)
		}
		predecessor = successor
	}
	checkResults(t, tier, load.End())
	byID, _ := tier.Attempts()
	maxUnits := burst + int(0.5*time.Since(begin).Seconds())
	if len(byID) > maxUnits || len(byID) < burst*9/10 {
		t.Errorf("%d requests of the plan were forwarded, want at most the %d units of burst and refill, and at least nine tenths of the burst", len(byID), maxUnits)
	}
}
