package core

import (
	"testing"
	"time"

	"lemongate/internal/admission"
)

// Metrics count each end of a request under its class, include the last change though nothing comes
// after it, and cost an idle program no wake-up.
func TestMetrics(t *testing.T) {
	m, first := New(time.Hour, Config{
		Settings: testSettings, Seed: 1, PublishesMetrics: true,
		KnownEndpoints: []Endpoint{newEndpoint("b1", "h:1", admission.Live, 0), newEndpoint("b2", "h:2", admission.Draining, 0)},
	})
	now := time.Hour
	last := func(effects []Effect) *Metrics {
		if p := effectsOf[PublishMetrics](effects); len(p) > 0 {
			return &p[len(p)-1].Metrics
		}
		return nil
	}
	got := last(m.Step(now, &EndpointsUpdated{Kind: admission.ListDelta}))
	if got == nil || got.ListedBackends != 2 || got.Unavailable != 1 {
		t.Errorf("at first: %+v, %v", got, first)
	}
	started := effectsOf[StartAttempt](m.Step(now, readRequest(1, now, time.Second)))
	if len(started) != 1 {
		t.Fatal("not forwarded")
	}
	m.Step(now, readRequest(2, now, time.Second))
	m.Step(now+time.Millisecond, &AttemptFinished{Attempt: started[0].Attempt, Result: admission.Succeeded, Response: "x"})
	var published *Metrics
	for at := now; at <= now+metricsInterval; at += time.Millisecond {
		if got := last(m.Step(at, TimerFired{})); got != nil && published == nil {
			published = got
		}
	}
	if published == nil || published.Pending != 1 || published.Classes[0] != (ClassCounts{Class: "read", Completed: 1}) {
		t.Errorf("a little later: %+v", published)
	}
	m.Step(now+2*time.Second, TimerFired{}) // the other one is overdue
	m.Step(now+4*time.Second, TimerFired{})
	if got := m.currentMetrics(); got.Pending != 0 || got.Classes[0].Completed+got.Classes[0].Rejected != 2 {
		t.Errorf("at the end: %+v", got)
	}
}
