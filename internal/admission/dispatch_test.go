package admission

import (
	"fmt"
	"math"
	"testing"
)

// A queued request is rejected within its own budget, even behind a request with a longer budget.
func TestQueuedRequestEndsWithinItsBudget(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a")...)
	for i := range int(math.Ceil(f.ctl.windowSize())) + 1 {
		f.request("read", "free", fmt.Sprint("c", i))
	}
	f.ctl.window.attemptRate.Add(f.now, 1000, 1) // the estimated queue delay is short, so the next request is queued
	id := f.requestWithBudget("read", "free", "hasty", 60*ms)
	if len(actionsOf[Reject](f.takeActions())) > 0 {
		t.Fatal("the request with a short budget was not queued")
	}
	f.advance(60 * ms)
	for _, reject := range actionsOf[Reject](f.takeActions()) {
		if reject.Request == id {
			return
		}
	}
	t.Error("a queued request was not rejected within its budget of 60 ms")
}

// Classes with queued requests are dispatched in proportion to their shares.
func TestDispatchByShares(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b")...)
	dispatched := map[string]int{}
	for _, class := range f.ctl.classes.all {
		class.queue = []*request{{Request: &Request{}, class: class, usefulUntil: math.MaxInt64, deadline: math.MaxInt64}}
		class.queue[0].Budget = math.MaxInt64 / 2
	}
	shares := []float64{0.2, 0.3, 0.5}
	for i, class := range f.ctl.classes.all {
		class.share = shares[i]
	}
	const dispatches = 1000
	for range dispatches {
		next := f.ctl.nextClass()
		dispatched[next.Name]++
		f.ctl.chargeCredit(next)
	}
	for _, class := range f.ctl.classes.all {
		if got := dispatched[class.Name]; math.Abs(float64(got)-class.share*dispatches) > 2*maxCredit {
			t.Errorf("%s: %d of %d dispatches with a share of %.1f, want them in proportion to the share",
				class.Name, got, dispatches, class.share)
		}
	}
}
