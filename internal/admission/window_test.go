package admission

import (
	"fmt"
	"math"
	"testing"
)

// A request is forwarded at once while the window is not full, and queued while it is full.
func TestFullWindowQueuesRequests(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b")...)
	size := int(math.Ceil(f.ctl.windowSize()))
	for i := range size {
		f.request("read", "free", fmt.Sprint("c", i))
	}
	if forwarded := len(actionsOf[StartAttempt](f.takeActions())); forwarded != size {
		t.Fatalf("%d requests forwarded before the window is full, want %d", forwarded, size)
	}
	queued := f.request("read", "free", "more")
	if actions := f.takeActions(); len(actions) != 0 {
		t.Fatalf("with a full window: %v, want the request queued without an action", actions)
	}
	f.now += 20 * ms
	f.finish(1, 0, f.ctl.requests[1].backend.ID, Succeeded, 20*ms)
	f.attemptOf(queued)
}

// Attempts without a response shrink the window: during an overload, the latencies of responses alone would grow it.
func TestOverloadShrinksWindow(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b")...)
	for i := range 40 {
		f.request("pay", "free", fmt.Sprint("c", i))
	}
	before := f.ctl.window.scale
	f.advance(1200 * ms)
	if f.ctl.window.scale >= before {
		t.Errorf("window scale %.2f after 1.2 s without responses, want less than the %.2f before", f.ctl.window.scale, before)
	}
}

// A window smaller than one attempt still admits some attempts: otherwise no attempt would ever start at low request
// rates.
func TestWindowBelowOneAdmitsAttempts(t *testing.T) {
	settings := testSettings()
	settings.Limiters, settings.GossipEnabled = 100, false
	f := newFixture(t, settings, backendList("a", "b", "c", "d")...)
	f.ctl.window.scale = windowMinScale
	forwarded := 0
	for range 200 {
		f.advance(100 * ms)
		f.ctl.window.scale = windowMinScale
		f.request("read", "free", "x")
		for _, attempt := range actionsOf[StartAttempt](f.takeActions()) {
			forwarded++
			f.finish(attempt.Request, 0, attempt.Backend, Succeeded, ms)
		}
	}
	if forwarded < 5 || forwarded > 150 {
		t.Errorf("%d of 200 requests forwarded with a window of %.2f, want 5 to 150", forwarded, f.ctl.windowSize())
	}
}
