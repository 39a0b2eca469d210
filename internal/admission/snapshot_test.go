package admission

import (
	"errors"
	"reflect"
	"slices"
	"testing"
	"time"
)

// endRequests withdraws all requests, which is required before a snapshot.
func endRequests(ctl *Controller) {
	for id := range ctl.requests {
		ctl.Handle(ctl.now, &RequestEnded{Request: id}, nil)
	}
}

// A snapshot is complete: a Controller that resumes from it returns the same snapshot again, in a tier with allocated
// accounts and in one with owners.
func TestSnapshotIsComplete(t *testing.T) {
	for _, limiters := range []int{2, 3, 80} {
		tr := busyTier(limiters)
		for number, ctl := range tr.controllers[:min(limiters, 3)] {
			endRequests(ctl)
			first, err := ctl.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			resumed, err := Resume(ctl.settings, 9, first)
			if err != nil {
				t.Fatal(err)
			}
			second, err := resumed.Snapshot()
			if err != nil || string(first) != string(second) {
				t.Errorf("limiter %d of %d: snapshots before (%d bytes) and after Resume (%d bytes) differ, or error: %v",
					number, limiters, len(first), len(second), err)
			}
			if !derivedSizesEqual(ctl, resumed) {
				t.Errorf("limiter %d of %d: derived state differs after Resume", number, limiters)
			}
			other := ctl.settings
			other.Plans = slices.Clone(other.Plans)
			other.Plans[0].Rate *= 2
			if _, err := Resume(other, 9, first); !errors.Is(err, ErrOtherSettings) {
				t.Errorf("Resume with other settings: error %v, want ErrOtherSettings", err)
			}
		}
	}
}

// derivedSizesEqual reports whether the collections that a resumed Controller derives from its snapshot have the same
// sizes as in the original, and whether the epochs are equal.
func derivedSizesEqual(original, resumed *Controller) bool {
	return resumed.settings.Epoch == original.settings.Epoch &&
		len(resumed.customers.byKey) == len(original.customers.byKey) &&
		len(resumed.customers.order) == len(resumed.customers.byKey) &&
		len(resumed.endpoints.listed) == len(original.endpoints.listed) &&
		len(resumed.endpoints.byGossipKey) == len(original.endpoints.byGossipKey) &&
		len(resumed.gossip.queued) == len(original.gossip.queued)
}

// Invalid snapshots are rejected, and a Controller has no snapshot before its first event.
func TestInvalidSnapshots(t *testing.T) {
	for _, data := range []string{"", "{}", "null", `{"Print":1,"Gateway":null}`, `{"Gateway":{"ledger":7}}`} {
		if _, err := Resume(testSettings(), 1, []byte(data)); err == nil {
			t.Errorf("Resume accepted the invalid snapshot %q", data)
		}
	}
	if _, err := New(testSettings(), 1).Snapshot(); !errors.Is(err, ErrNotStarted) {
		t.Errorf("Snapshot before the first event: error %v, want ErrNotStarted", err)
	}
}

// withoutTimers returns the actions that are not SetTimer.
func withoutTimers(actions []Action) []Action {
	return slices.DeleteFunc(actions, func(action Action) bool {
		_, isTimer := action.(SetTimer)
		return isTimer
	})
}

// A resumed Controller and the original return the same actions for the same events.
func TestResumedControllerMakesSameDecisions(t *testing.T) {
	tr := busyTier(3)
	original := tr.controllers[0]
	endRequests(original)
	data, err := original.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	resumed, err := Resume(original.settings, 5, data)
	if err != nil {
		t.Fatal(err)
	}
	// A snapshot does not contain the state of the random generator.
	original.random, resumed.random = New(original.settings, 3).random, New(original.settings, 3).random
	now := original.now
	for i := range 600 {
		now += 10 * time.Millisecond
		for _, ev := range []Event{
			TimerFired{},
			&Request{
				ID: RequestID(1e9 + i), Class: "read", Plan: "small", Customer: "x", Units: 1, Budget: time.Second, SetSize: 3,
			},
		} {
			want := withoutTimers(original.Handle(now, ev, nil))
			got := withoutTimers(resumed.Handle(now, ev, nil))
			if len(want)+len(got) > 0 && !reflect.DeepEqual(want, got) {
				t.Fatalf("step %d: resumed Controller returned %v, want %v as the original", i, got, want)
			}
		}
	}
}

// A process that resumes its limiter after another process has run it treats quotas like a new process: it does not
// grant what the other process may have granted, and other limiters see a new epoch.
func TestRenewedEpoch(t *testing.T) {
	tr := busyTier(3)
	ctl := tr.controllers[0]
	epoch := ctl.settings.Epoch + 9
	ctl.Handle(ctl.now, EpochRenewed{Epoch: epoch}, nil)
	if ctl.settings.Epoch != epoch || ctl.customers.ledger.Epoch != epoch {
		t.Errorf("epoch %d, epoch of the ledger %d, want %d for both", ctl.settings.Epoch, ctl.customers.ledger.Epoch, epoch)
	}
	if customers, requests := len(ctl.customers.byKey), len(ctl.requests); customers > requests {
		t.Errorf("%d customers are known with %d requests, want no more customers than requests", customers, requests)
	}
	for range 500 {
		tr.step()
		tr.request(0, "small")
	}
	if p := tr.controllers[1].gossip.peers[0]; p.epoch != epoch {
		t.Errorf("another limiter sees epoch %d, want %d", p.epoch, epoch)
	}
}

// Any input for Resume is rejected or results in a Controller that handles events.
func FuzzResume(f *testing.F) {
	ctl := busyTier(2).controllers[0]
	data, err := ctl.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"Print":1,"Gateway":{"classes":[null]}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		resumed, err := Resume(ctl.settings, 1, data)
		if err != nil {
			return
		}
		resumed.Handle(resumed.now, TimerFired{}, nil)
		resumed.Handle(resumed.now, &Request{
			ID: 1 << 40, Class: "read", Plan: "small", Customer: "x", Units: 1, Budget: time.Second, SetSize: 2,
		}, nil)
	})
}
