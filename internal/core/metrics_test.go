package core

import (
	"testing"
	"time"

	"lemongate/internal/admission"
)

// Metrics count how each request ended under its class, include the last change even if no event follows,
// and do not wake an idle program.
func TestMetrics(t *testing.T) {
	m, initialEffects := New(time.Hour, Config{
		Settings: testSettings, Seed: 1, PublishesMetrics: true,
		KnownEndpoints: []Endpoint{newEndpoint("b1", "h:1", admission.Live, 0), newEndpoint("b2", "h:2", admission.Draining, 0)},
	})
	now := time.Hour
	lastMetrics := func(effects []Effect) *Metrics {
		if p := effectsOf[PublishMetrics](effects); len(p) > 0 {
			return &p[len(p)-1].Metrics
		}
		return nil
	}
	got := lastMetrics(m.Step(now, &EndpointsUpdated{Kind: admission.ListDelta}))
	if got == nil || got.ListedBackends != 2 || got.Unavailable != 1 {
		t.Errorf("first metrics %+v, want 2 backends, 1 of them unavailable; initial effects %v", got, initialEffects)
	}
	started := effectsOf[StartAttempt](m.Step(now, newReadRequest(1, now, time.Second)))
	if len(started) != 1 {
		t.Fatal("the request was not forwarded")
	}
	m.Step(now, newReadRequest(2, now, time.Second))
	m.Step(now+time.Millisecond, &AttemptFinished{Attempt: started[0].Attempt, Result: admission.Succeeded, Response: "x"})
	var published *Metrics
	for at := now; at <= now+metricsInterval; at += time.Millisecond {
		if got := lastMetrics(m.Step(at, TimerFired{})); got != nil && published == nil {
			published = got
		}
	}
	if published == nil || published.Pending != 1 || published.Classes[0] != (ClassCounts{Class: "read", Completed: 1}) {
		t.Errorf("after the response: %+v, want 1 request pending and 1 of class read completed", published)
	}
	m.Step(now+2*time.Second, TimerFired{}) // past the deadline of the other request
	m.Step(now+4*time.Second, TimerFired{})
	if got := m.currentMetrics(); got.Pending != 0 || got.Classes[0].Completed+got.Classes[0].Rejected != 2 {
		t.Errorf("at the end: %+v, want no request pending and 2 of class read ended", got)
	}
}
