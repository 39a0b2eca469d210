package admission

import (
	"fmt"
	"math"
	"testing"
)

// A queued request is rejected within its own budget, also behind one that may wait for longer.
func TestQueuedRequestEndsWithinItsBudget(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a")...)
	for i := range int(math.Ceil(f.ctl.windowSize())) + 1 {
		f.request("read", "free", fmt.Sprint("c", i))
	}
	f.ctl.window.attemptRate.Add(f.now, 1000, 1) // the queue seems to move fast, so the next request is queued
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
	t.Error("a queued request was not rejected within its budget")
}
