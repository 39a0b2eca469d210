//go:build crossrelease

package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"lemongate/internal/processharness"
)

// previousReleaseVariable names a binary of an earlier release. The test is built with the tag
// crossrelease alone, as a clean checkout has no such binary; README says how to run it.
const previousReleaseVariable = "LEMONGATE_PREVIOUS_RELEASE"

// A process of this release takes over from one of an earlier release under load, and the other way
// round, again and again: no request is lost, none runs twice, the ceiling holds to the unit, and the
// peers see one epoch of the limiter.
func TestHotRestartAcrossReleases(t *testing.T) {
	const restarts, rate, burst = 10, 100.0, 60.0
	previous := os.Getenv(previousReleaseVariable)
	if previous == "" {
		t.Fatalf("%s is not set", previousReleaseVariable)
	}
	x := newTier(t, 3, 4)
	x.Plans = append(x.Plans, processharness.Plan{Name: "capped", Rate: rate, Burst: burst, CeilingRate: rate, CeilingBurst: burst})
	current := x.Program[0]
	x.Program[0] = previous
	processes := startAll(t, x)
	for _, b := range x.Backends {
		b.Delay(15 * time.Millisecond)
	}
	load := x.StartLoad(500, mixedRequest)
	if err := load.Warm(0, 30); err != nil {
		t.Fatal(err)
	}
	predecessor := processes[0]
	for i := range restarts {
		x.Program[0] = current
		if i%2 == 1 {
			x.Program[0] = previous
		}
		successor := x.Limiters[0].Start()
		successor.Await(t)
		processharness.Until(t, "it takes over", func() bool { return successor.HasLogged("takes over") })
		if successor.HasLogged("without the state") || predecessor.HasLogged("with no state") {
			t.Errorf("restart %d: the state did not go over", i)
		}
		if i%3 == 0 { // on probation for a while
			time.Sleep(200 * time.Millisecond)
		}
		predecessor.Signal(syscall.SIGTERM)
		if err := predecessor.Wait(t); err != nil {
			t.Errorf("restart %d: the predecessor ended with %v", i, err)
		}
		predecessor = successor
	}
	results := load.End()
	served, gap := checkResults(t, x, results)
	if len(results) < 500 || served < len(results)/2 {
		t.Errorf("served %d of %d", served, len(results))
	}
	if n := len(x.Network.Epochs(0)); n != 1 {
		t.Errorf("the peers saw %d epochs of the limiter", n)
	}
	_, first := x.Attempts()
	checkCeiling(t, first, rate, burst)
	t.Logf("%d restarts, %d requests, %d served, longest time without one %v", restarts, len(results), served, gap)
}
