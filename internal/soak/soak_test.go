package soak

import (
	"errors"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"lemongate/internal/processharness"
)

// The same seed gives the same schedule, and different seeds give different ones.
func TestScheduleOfSeed(t *testing.T) {
	const duration = 20 * time.Second
	first := Schedule(7, duration)
	if !reflect.DeepEqual(first, Schedule(7, duration)) {
		t.Error("two schedules of the same seed differ")
	}
	if reflect.DeepEqual(first, Schedule(8, duration)) {
		t.Error("two seeds give the same schedule")
	}
	drawn := map[Action]bool{}
	for seed := range uint64(20) {
		for _, step := range Schedule(seed, duration) {
			drawn[step.Action] = true
		}
	}
	if len(drawn) != len(actionWeights) {
		t.Errorf("the schedules of 20 seeds have only the actions %v, want every action of actionWeights", drawn)
	}
}

var runStart = time.Unix(1000, 0)

func at(ms int) time.Time { return runStart.Add(time.Duration(ms) * time.Millisecond) }

// servedAt returns the result of a request that was sent at a time in ms from runStart and served by limiter 0.
func servedAt(ms int) processharness.Result {
	return processharness.Result{
		Request: processharness.Request{Class: processharness.ClassIdempotent}, ID: "a", SentAt: at(ms), Took: 20 * time.Millisecond,
		Status: http.StatusOK, Body: "a 0",
	}
}

// span returns the span of an attempt of customer 29 that was in flight between two times, in ms from runStart.
func span(id string, from, to int) processharness.AttemptSpan {
	return processharness.AttemptSpan{Attempt: processharness.Attempt{ArrivedAt: at(from), CallID: id, Customer: "29"}, End: at(to)}
}

// observationsWithoutBreach returns the observations of a run in which no rule is broken. Limiter 0 shuts down from 5
// to 7 s, has a hot restart from 12 to 12.5 s, and has a successor killed at 14 s. Limiter 1 crashes at 10 s, and backend
// 2 is unlisted from 20 to 40 s.
func observationsWithoutBreach() *observations {
	return &observations{
		results:  []processharness.Result{servedAt(0)},
		attempts: map[string]int{"a": 1},
		arrivals: []processharness.BackendAttempt{{Attempt: processharness.Attempt{ArrivedAt: at(21000), CallID: "z"}, Backend: 2}},
		outages: []outage{
			{limiter: 0, from: at(5000), to: at(7000), took: time.Second, readyIn: 50 * time.Millisecond},
			{limiter: 1, from: at(10000), to: at(10500), isCrash: true, readyIn: 50 * time.Millisecond},
			{limiter: 0, from: at(12000), to: at(12500), isHotRestart: true, took: 500 * time.Millisecond, readyIn: 50 * time.Millisecond},
			{limiter: 0, from: at(14000), to: at(14200), isHotRestart: true, isCrash: true, readyIn: 200 * time.Millisecond},
		},
		unlistings: []unlisting{{backend: 2, from: at(20000), to: at(40000)}},
		startedAt:  runStart,
		spans: []processharness.AttemptSpan{
			span("a", 1000, 3500), span("b", 1200, 1300), span("c", 1300, 1400), span("d", 1400, 1500),
		},
		maxInFlight: 2,
		fresh:       resources{descriptors: 20, memoryKB: 20000},
		idle:        []resources{{descriptors: 25, memoryKB: 24000, peakMemoryKB: 60000}},
		memoryMB:    64,
	}
}

// Each check detects the breach that it is meant for, and no check reports a breach if no rule is broken.
func TestEachCheckCatchesItsFault(t *testing.T) {
	if breaches := observationsWithoutBreach().check(); len(breaches) > 0 {
		t.Fatalf("breaches %q, want none for observations that break no rule", breaches)
	}
	for _, c := range []struct {
		name   string
		modify func(o *observations)
		want   string // part of the breach, "" for no breach
	}{
		{"no response", func(o *observations) { o.results[0].Status, o.results[0].ConnError = 0, "read: EOF" }, "no response after"},
		{"sent to a backend during a shutdown, no response", func(o *observations) {
			o.results[0].SentAt, o.results[0].Status, o.results[0].ConnError = at(5100), 0, "read: EOF"
		}, "no response during the shutdown"},
		{"unread during a shutdown", func(o *observations) {
			o.results[0].SentAt, o.results[0].Status, o.results[0].ConnError = at(5100), 0, "read: EOF"
			o.attempts["a"] = 0
		}, ""},
		{"sent soon after SIGTERM, no response at SIGKILL", func(o *observations) {
			o.outages[0].killed = true
			o.results[0].SentAt, o.results[0].Status, o.results[0].ConnError = at(5500), 0, "read: EOF"
		}, "no response during the shutdown"},
		{"no response in a crash", func(o *observations) {
			o.results[0].Limiter, o.results[0].SentAt, o.results[0].Status = 1, at(9990), 0
		}, ""},
		{"late response", func(o *observations) { o.results[0].Took = 2600 * time.Millisecond }, "due within"},
		{"response of another request", func(o *observations) { o.results[0].Body = "b 0" }, "unexpected body"},
		{"repeated although it must not be", func(o *observations) {
			o.results[0].Class = processharness.ClassNonIdempotent
			o.attempts["a"] = 2
		}, "must not be repeated"},
		{"idempotency key took effect twice", func(o *observations) { o.repeatedKeys = 1 }, "idempotency keys"},
		{"exit code", func(o *observations) { o.outages[0].exitErr = errors.New("exit status 2") }, "exit status 2"},
		{"killed while shutting down", func(o *observations) {
			o.outages[0].killed, o.outages[0].took = true, killAfter
		}, "when SIGKILL was sent"},
		{"killed while shutting down, suspended during that time", func(o *observations) {
			o.outages[0].killed, o.outages[0].took, o.outages[0].suspended = true, killAfter, maxSuspend
		}, "when SIGKILL was sent"},
		{"slow start", func(o *observations) { o.outages[1].readyIn = 11 * time.Second }, "ready 11s"},
		{"attempt at an unlisted backend", func(o *observations) { o.arrivals[0].ArrivedAt = at(27000) }, "not listed"},
		{"more attempts in flight than the plan allows", func(o *observations) {
			o.spans = append(o.spans, span("e", 1499, 1501))
		}, "customer 29: 3 attempts in flight at once, 2 allowed"},
		{"attempt beyond the limit while another outlasts the loan of its slot", func(o *observations) {
			o.spans = append(o.spans, span("e", 3300, 3400), span("f", 3350, 3450))
		}, "3.350 s: request f at limiter 0"},
		{"attempt beyond the limit while another never ends", func(o *observations) {
			o.spans[0].End = time.Time{}
			o.spans = append(o.spans, span("e", 9300, 9400), span("f", 9350, 9450))
		}, "3 attempts in flight at once"},
		{"additional attempt of another customer", func(o *observations) {
			other := span("e", 1450, 1460)
			other.Customer = "2a"
			o.spans = append(o.spans, other)
		}, ""},
		{"additional attempt just before the backend notices a closed connection", func(o *observations) {
			o.spans[3].Closed = true
			o.spans = append(o.spans, span("e", 1460, 1600))
		}, ""},
		{"attempt beyond the limit long before the backend notices a closed connection", func(o *observations) {
			o.spans[3].Closed = true
			o.spans = append(o.spans, span("e", 1440, 1600))
		}, "3 attempts in flight at once"},
		{"no response to a client that disconnected", func(o *observations) {
			o.results[0].Status, o.results[0].DisconnectedAt = 0, at(20)
		}, ""},
		{"sent to a backend just as its client disconnects", func(o *observations) {
			o.results[0].Status, o.results[0].DisconnectedAt = 0, at(20)
			o.arrivals[0].CallID, o.arrivals[0].ArrivedAt = "a", at(20).Add(disconnectSlack)
		}, ""},
		{"sent to a backend after its client disconnected", func(o *observations) {
			o.results[0].Status, o.results[0].DisconnectedAt = 0, at(20)
			o.arrivals[0].CallID, o.arrivals[0].ArrivedAt = "a", at(21).Add(disconnectSlack)
		}, "after its client disconnected"},
		{"repeated for a client that disconnected, although it must not be", func(o *observations) {
			o.results[0].Status, o.results[0].DisconnectedAt, o.results[0].Class = 0, at(20), processharness.ClassNonIdempotent
			o.attempts["a"] = 2
		}, "must not be repeated"},
		{"no response to a client that closed its sending side", func(o *observations) {
			o.results[0].Mode, o.results[0].Status, o.results[0].ConnError = processharness.HalfClosing, 0, "read: EOF"
		}, "no response after"},
		{"response to the other one of two requests sent together", func(o *observations) {
			o.results[0].Mode, o.results[0].Body = processharness.Pipelining, "f 0"
		}, "unexpected body"},
		{"no response in a hot restart", func(o *observations) {
			o.results[0].SentAt, o.results[0].Status, o.results[0].ConnError = at(12100), 0, "read: EOF"
			o.attempts["a"] = 0
		}, "no response after"},
		{"connection refused in a hot restart", func(o *observations) {
			o.results[0].SentAt, o.results[0].Status, o.results[0].ConnError = at(12100), 0, "connect: refused"
		}, "connect: refused"},
		{"no response when a successor is killed that may have had clients", func(o *observations) {
			o.results[0].SentAt, o.results[0].Status, o.results[0].ConnError = at(14000), 0, "read: reset"
		}, ""},
		{"no response when a successor is killed that had no clients", func(o *observations) {
			o.results[0].SentAt, o.results[0].Status, o.results[0].ConnError = at(14000), 0, "read: reset"
			o.outages[3].isCrash = false
		}, "no response after"},
		{"exit code of a predecessor", func(o *observations) { o.outages[2].exitErr = errors.New("exit status 1") }, "exit status 1"},
		{"predecessor killed", func(o *observations) { o.outages[2].killed = true }, "when SIGKILL was sent"},
		{"predecessor serves late after its successor was killed", func(o *observations) {
			o.outages[3].readyIn = 11 * time.Second
		}, "ready 11s"},
		{"hot restart fails", func(o *observations) {
			o.outages[2].failure = "the successor exited by itself"
		}, "exited by itself"},
		{"descriptors not closed", func(o *observations) { o.idle[0].descriptors = 20 + maxExtraDescriptors + 1 }, "descriptors"},
		{"memory not released", func(o *observations) { o.idle[0].memoryKB = 20000 + maxExtraMemoryKB + 1 }, "KB of memory when idle"},
		{"memory limit exceeded", func(o *observations) { o.idle[0].peakMemoryKB = 64<<10 + 1 }, "64 MB allowed"},
	} {
		o := observationsWithoutBreach()
		c.modify(o)
		breaches := strings.Join(o.check(), "; ")
		if c.want == "" && breaches != "" || !strings.Contains(breaches, c.want) {
			t.Errorf("%s: breaches %q, want %q", c.name, breaches, c.want)
		}
	}
}

// A request sent more than responseWindow after SIGTERM needs no response before SIGKILL. The check still reports that
// the limiter was running when SIGKILL was sent.
func TestLateRequestAtSIGKILLNeedsNoResponse(t *testing.T) {
	o := observationsWithoutBreach()
	o.outages[0].killed = true
	o.results[0].SentAt, o.results[0].Status, o.results[0].ConnError = at(5900), 0, "read: EOF"
	if breaches := o.check(); len(breaches) != 1 || !strings.Contains(breaches[0], "when SIGKILL was sent") {
		t.Errorf("breaches %q, want only one that SIGKILL was sent", breaches)
	}
}
