//go:build crossrelease

package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"lemongate/internal/processharness"
)

// previousReleaseVariable is the environment variable with the path of a binary of an earlier release. The test is
// built only with the tag crossrelease, as a clean checkout has no such binary; README says how to run it.
const previousReleaseVariable = "LEMONGATE_PREVIOUS_RELEASE"

// Processes of this release and of an earlier one take over from each other in turn under load: no request is lost,
// none runs twice, the ceiling holds as checkCeiling requires, and the peers see one epoch of the limiter.
func TestHotRestartAcrossReleases(t *testing.T) {
	const restarts, rate, burst = 10, 100.0, 60.0
	previous := os.Getenv(previousReleaseVariable)
	if previous == "" {
		t.Fatalf("%s is not set", previousReleaseVariable)
	}
	tier := newTier(t, 3, 4)
	tier.Plans = append(tier.Plans, processharness.Plan{Name: "capped", Rate: rate, Burst: burst, CeilingRate: rate, CeilingBurst: burst})
	current := tier.Program[0]
	tier.Program[0] = previous
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
		tier.Program[0] = current
		if i%2 == 1 {
			tier.Program[0] = previous
		}
		successor := tier.Limiters[0].Start()
		successor.AwaitHealthy(t)
		processharness.WaitUntil(t, "the takeover by the successor", func() bool { return successor.HasLogged("takes over") })
		// This release logs the first text. The second is one of the earlier release.
		if successor.HasLogged("without the state") || predecessor.HasLogged("with no state") {
			t.Errorf("restart %d: a process took over without the state of its predecessor", i)
		}
		if i%3 == 0 { // leave the successor in probation for a while
			time.Sleep(200 * time.Millisecond)
		}
		predecessor.Signal(syscall.SIGTERM)
		if err := predecessor.Wait(t); err != nil {
			t.Errorf("restart %d: the predecessor ended with %v", i, err)
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
	t.Logf("%d restarts, %d requests, %d served, longest time without one %v", restarts, len(results), served, gap)
}

// Limiters of this release and of an earlier one account for usage together, while processes of the other release take
// over from one limiter after another, the lease holder among them. No unit is reported twice, and none is missing, as
// no message is lost.
func TestUsageAcrossReleases(t *testing.T) {
	const restarts, requestsPerSecond, settlePeriods = 12, 200, 5
	previous := os.Getenv(previousReleaseVariable)
	if previous == "" {
		t.Fatalf("%s is not set", previousReleaseVariable)
	}
	dir := t.TempDir()
	tier := newTierWithUsage(t, dir)
	releases := []string{tier.Program[0], previous}
	var processes []*processharness.Process
	for i, l := range tier.Limiters {
		tier.Program[0] = releases[i%2]
		processes = append(processes, l.Start())
	}
	for _, p := range processes {
		p.AwaitHealthy(t)
	}
	load := tier.StartLoad(requestsPerSecond, func(n int) processharness.Request {
		return processharness.Request{Limiter: n % 3, Class: "read", Plan: "free", Customer: uint64(n % 30), SetSize: 3}
	})
	for i := range restarts {
		time.Sleep(usagePeriod * 3 / 2)
		n := i % 3
		tier.Program[0] = releases[(n+i/3+1)%2]
		successor := tier.Limiters[n].Start()
		successor.AwaitHealthy(t)
		processharness.WaitUntil(t, "the takeover by the successor", func() bool { return successor.HasLogged("takes over") })
		processes[n].Signal(syscall.SIGTERM)
		if err := processes[n].Wait(t); err != nil {
			t.Errorf("restart %d: the predecessor ended with %v", i, err)
		}
		processes[n] = successor
	}
	results := load.End()
	time.Sleep(settlePeriods * usagePeriod)
	checkUsage(t, tier, dir, 2)
	t.Logf("%d restarts, %d requests", restarts, len(results))
}
