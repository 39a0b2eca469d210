package core

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemongate/internal/admission"
)

// A backend that is listed at the address of another one has replaced it: no attempt is made for the other one, and nothing is
// sent on its connections, although it is listed as live.
func TestNewBackendAtAddressOfAnotherReplacesIt(t *testing.T) {
	old := newEndpoint("old", "h:1", admission.Live, 0)
	started := newEndpoint("new", "h:1", admission.Live, time.Hour)
	for name, update := range map[string]*EndpointsUpdated{
		"delta":                  {Kind: admission.ListDelta, Endpoints: []Endpoint{started}},
		"complete":               {Kind: admission.ListComplete, Endpoints: []Endpoint{old, started}},
		"complete, in new order": {Kind: admission.ListComplete, Endpoints: []Endpoint{started, old}},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMachine(t, old)
			if a := effectsOf[StartAttempt](m.Step(time.Hour, newReadRequest(1, time.Hour, time.Second))); len(a) != 1 || a[0].Backend != "old" {
				t.Fatalf("started %+v, want an attempt at the only backend", a)
			}
			effects := m.Step(time.Hour, update)
			if closed := effectsOf[CloseBackendConns](effects); len(closed) != 1 || closed[0].Backend != "old" {
				t.Errorf("closed the connections of %+v, want those of the backend that was replaced", closed)
			}
			m.Step(time.Hour, &AttemptFinished{Attempt: AttemptID{1, 0}, Result: admission.ConnectFailed})
			for now := time.Hour; now < time.Hour+500*time.Millisecond; now += 4 * time.Millisecond {
				for _, a := range effectsOf[StartAttempt](m.Step(now, TimerFired{})) {
					if a.Backend != "new" {
						t.Errorf("started %+v, want attempts at the new backend alone", a)
					}
				}
			}
			if m.endpoints.byID["old"] != nil || m.endpoints.byID["new"] == nil {
				t.Errorf("the list has %v, want the new backend alone", slices.Sorted(maps.Keys(m.endpoints.byID)))
			}
		})
	}
}

// A backend that was replaced at its address is used again once it is listed with a later start or another address, or once
// no other backend is listed there.
func TestReplacedBackendReturns(t *testing.T) {
	old, started := newEndpoint("old", "h:1", admission.Live, 0), newEndpoint("new", "h:1", admission.Live, time.Hour)
	for name, update := range map[string]Endpoint{
		"restarted":           newEndpoint("old", "h:1", admission.Live, time.Hour+time.Minute),
		"moved":               newEndpoint("old", "h:2", admission.Live, 0),
		"the other one left":  newEndpoint("new", "h:1", admission.Removed, time.Hour),
		"the other one moved": newEndpoint("new", "h:2", admission.Live, time.Hour),
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMachine(t, old)
			m.Step(time.Hour, &EndpointsUpdated{Kind: admission.ListDelta, Endpoints: []Endpoint{started}})
			m.Step(time.Hour, &EndpointsUpdated{Kind: admission.ListDelta, Endpoints: []Endpoint{old}}) // listed as before
			if m.endpoints.byID["old"] != nil {
				t.Error("the backend that was replaced is used as it is listed again as it was")
			}
			m.Step(time.Hour, &EndpointsUpdated{Kind: admission.ListDelta, Endpoints: []Endpoint{update}})
			if m.endpoints.byID["old"] == nil {
				t.Error("the backend that was replaced is not used again")
			}
		})
	}
}

// Whatever is listed, no two backends that may get attempts have the same address, and of those listed with an address one
// has it.
func TestAddressesBelongToOneBackend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, _ := New(time.Hour, Config{Settings: testSettings, Seed: 1})
		listed := map[string]Endpoint{}
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			isComplete := rapid.Bool().Draw(t, "complete")
			update := &EndpointsUpdated{Kind: admission.ListDelta}
			if isComplete {
				update.Kind = admission.ListComplete
				listed = map[string]Endpoint{}
			}
			ids := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 4, rapid.ID[string]).Draw(t, "IDs")
			for _, id := range ids {
				addr := rapid.SampledFrom([]string{"h:1", "h:2", "h:3"}).Draw(t, "address")
				state := admission.BackendState(rapid.IntRange(0, 2).Draw(t, "state"))
				startedAt := time.Duration(rapid.IntRange(0, 2).Draw(t, "start")) * time.Minute
				endpoint := newEndpoint(id, addr, state, startedAt)
				update.Endpoints = append(update.Endpoints, endpoint)
				if listed[id] = endpoint; state == admission.Removed {
					delete(listed, id)
				}
			}
			m.Step(time.Hour, update)
			holders := map[string]string{}
			for id, endpoint := range m.endpoints.byID {
				if other := holders[endpoint.Addr]; other != "" {
					t.Fatalf("%s and %s have the address %s", id, other, endpoint.Addr)
				}
				holders[endpoint.Addr] = id
				if listed[id] != *endpoint {
					t.Fatalf("%s is used as %+v, listed as %+v", id, *endpoint, listed[id])
				}
			}
			for id, endpoint := range listed {
				holder := holders[endpoint.Addr]
				if holder == "" {
					t.Fatalf("%s is listed at %s, and no backend has the address", id, endpoint.Addr)
				}
				if m.endpoints.byID[holder].StartedAt < endpoint.StartedAt {
					t.Fatalf("%s started later than %s, which has its address", id, holder)
				}
			}
		}
	})
}
