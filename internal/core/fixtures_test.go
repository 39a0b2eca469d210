package core

import (
	"os"
	"slices"
	"testing"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/rapidtest"
)

// TestMain fixes the seed of the rapid tests, so that their results are the same every time.
func TestMain(m *testing.M) { os.Exit(rapidtest.Main(m, "20261201", nil)) }

var testSettings = admission.Settings{
	Limiters: 2, Zone: "a", ClockResolution: 2 * time.Millisecond,
	Classes: []admission.Class{
		{Name: "read", Idempotency: admission.Idempotent, LatencyObjective: 700 * time.Millisecond, Deadline: 2 * time.Second, Weight: 2},
		{Name: "post", Idempotency: admission.IdempotentByKey, IdempotencyScope: admission.ScopeAll, IdempotencyWindow: 3 * time.Second,
			LatencyObjective: time.Second, Deadline: 5 * time.Second, Weight: 3},
		{Name: "once", Idempotency: admission.NonIdempotent, LatencyObjective: time.Second, Deadline: 3 * time.Second, Weight: 1},
	},
	Plans:       []admission.Plan{{Name: "small", Rate: 5, Burst: 20, WeightFactor: 1}},
	MaxAttempts: 3, MayCancel: true, MayProbe: true, GossipEnabled: true, PeerMessagesPerSecond: 40,
	MaxRetryAfter: time.Second, DrainGrace: 250 * time.Millisecond, LoadReportFields: []string{"util"},
	SlowStartFraction: 0.2, SlowStartDuration: 10 * time.Second, OverloadMultiple: 4, OverloadDuration: time.Second,
}

// settingsWithFreePlan returns the test settings with an additional plan without a quota.
func settingsWithFreePlan() admission.Settings {
	settings := testSettings
	settings.Plans = append(slices.Clone(settings.Plans), admission.Plan{Name: "free", WeightFactor: 1})
	return settings
}

func newEndpoint(id, addr string, state admission.BackendState, startedAt time.Duration) Endpoint {
	return Endpoint{admission.Backend{ID: id, Zone: "a", State: state, StartedAt: startedAt}, addr}
}

// newTestMachine returns a machine with the test settings, started at a clock time of one hour.
func newTestMachine(t *testing.T, endpoints ...Endpoint) *Machine {
	t.Helper()
	m, _ := New(time.Hour, Config{Settings: testSettings, Seed: 1, KnownEndpoints: endpoints})
	return m
}

// effectsOf returns the effects of one type.
func effectsOf[E Effect](effects []Effect) (list []E) {
	for _, e := range effects {
		if e, ok := e.(E); ok {
			list = append(list, e)
		}
	}
	return list
}

// newReadRequest returns a request of class read.
func newReadRequest(id RequestID, receivedAt, budget time.Duration) *RequestReceived {
	return &RequestReceived{ReceivedAt: receivedAt, Request: admission.Request{
		ID: id, Class: "read", Plan: "small", Customer: "x", Units: 1, Budget: budget, FirstLimiter: 0, SetSize: 1,
	}}
}
