package core

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"lemongate/internal/admission"
)

// Connections opened before a backend drains, is removed, restarts or moves to another address must carry no new
// request. A backend that is listed again without a change keeps its connections.
func TestConnsOfChangedBackendsAreClosed(t *testing.T) {
	for name, c := range map[string]struct {
		kind   admission.ListKind
		update []Endpoint
		want   []CloseBackendConns
	}{
		"draining":  {admission.ListDelta, []Endpoint{newEndpoint("b1", "h:1", admission.Draining, 0)}, []CloseBackendConns{{"b1"}}},
		"removed":   {admission.ListDelta, []Endpoint{newEndpoint("b1", "", admission.Removed, 0)}, []CloseBackendConns{{"b1"}}},
		"restarted": {admission.ListDelta, []Endpoint{newEndpoint("b1", "h:1", admission.Live, time.Hour)}, []CloseBackendConns{{"b1"}}},
		"moved":     {admission.ListDelta, []Endpoint{newEndpoint("b1", "h:3", admission.Live, 0)}, []CloseBackendConns{{"b1"}}},
		"missing":   {admission.ListComplete, []Endpoint{newEndpoint("b2", "h:2", admission.Live, 0)}, []CloseBackendConns{{"b1"}}},
		"unchanged": {admission.ListDelta, []Endpoint{newEndpoint("b1", "h:1", admission.Live, 0)}, nil},
	} {
		m := newTestMachine(t, newEndpoint("b1", "h:1", admission.Live, 0), newEndpoint("b2", "h:2", admission.Live, 0))
		got := effectsOf[CloseBackendConns](m.Step(time.Hour, &EndpointsUpdated{Kind: c.kind, Endpoints: c.update}))
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: closed the connections of %v, want %v", name, got, c.want)
		}
	}
}

// Backends are often replaced under new IDs. Removed ones must be deleted, whether they are listed as removed or are
// missing from a complete list.
func TestRemovedBackendsAreDeleted(t *testing.T) {
	m := newTestMachine(t)
	for i := range 50 {
		removed, kept := fmt.Sprint("a", i), fmt.Sprint("b", i)
		m.Step(time.Hour, &EndpointsUpdated{Kind: admission.ListComplete, Endpoints: []Endpoint{
			newEndpoint(removed, "h:1", admission.Live, 0), newEndpoint(kept, "h:2", admission.Live, 0),
		}})
		removal := &EndpointsUpdated{Kind: admission.ListDelta, Endpoints: []Endpoint{newEndpoint(removed, "", admission.Removed, 0)}}
		got := effectsOf[CloseBackendConns](m.Step(time.Hour, removal))
		if len(got) != 1 || got[0].Backend != removed {
			t.Fatalf("closed the connections of %v, want those of the removed backend", got)
		}
	}
	if len(m.endpoints.byID) != 1 {
		t.Errorf("%d backends kept, want 1", len(m.endpoints.byID))
	}
}
