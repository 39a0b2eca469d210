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

// The same seed gives the same schedule, and seeds differ.
func TestScheduleOfSeed(t *testing.T) {
	const duration = 20 * time.Second
	first := Schedule(7, duration)
	if !reflect.DeepEqual(first, Schedule(7, duration)) {
		t.Error("two schedules of one seed differ")
	}
	if reflect.DeepEqual(first, Schedule(8, duration)) {
		t.Error("two seeds have one schedule")
	}
	drawn := map[Action]bool{}
	for seed := range uint64(20) {
		for _, step := range Schedule(seed, duration) {
			drawn[step.Action] = true
		}
	}
	if len(drawn) != len(weights) {
		t.Errorf("20 seeds draw %v alone", drawn)
	}
}

var began = time.Unix(1000, 0)

func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

// servedAt returns a request that was served by limiter 0.
func servedAt(ms int) processharness.Result {
	return processharness.Result{
		Request: processharness.Request{Class: processharness.ClassIdempotent}, ID: "a", At: at(ms), Took: 20 * time.Millisecond,
		Status: http.StatusOK, Body: "a 0",
	}
}

// flight returns an attempt of one customer that was in flight between two times.
func flight(id string, from, to int) processharness.Flight {
	return processharness.Flight{Attempt: processharness.Attempt{At: at(from), CallID: id, Customer: "29"}, End: at(to)}
}

// undisturbed returns what is observed of a run with a shutdown of limiter 0 from 5 to 7 s, a crash of limiter 1
// at 10 s and backend 2 unlisted from 20 to 40 s, in which no rule is broken.
func undisturbed() *observations {
	return &observations{
		results:  []processharness.Result{servedAt(0)},
		attempts: map[string]int{"a": 1},
		arrivals: []processharness.Visit{{Attempt: processharness.Attempt{At: at(21000), CallID: "z"}, Backend: 2}},
		outages: []outage{
			{limiter: 0, from: at(5000), to: at(7000), took: time.Second, readyIn: 50 * time.Millisecond},
			{limiter: 1, from: at(10000), to: at(10500), crash: true, readyIn: 50 * time.Millisecond},
			{limiter: 0, from: at(12000), to: at(12500), hot: true, took: 500 * time.Millisecond, readyIn: 50 * time.Millisecond},
			{limiter: 0, from: at(14000), to: at(14200), hot: true, crash: true, readyIn: 200 * time.Millisecond},
		},
		unlistings: []unlisting{{backend: 2, from: at(20000), to: at(40000)}},
		startedAt:  began,
		flights: []processharness.Flight{
			flight("a", 1000, 3500), flight("b", 1200, 1300), flight("c", 1300, 1400), flight("d", 1400, 1500),
		},
		maxInFlight: 2,
		fresh:       resources{descriptors: 20, memoryKB: 20000},
		idle:        []resources{{descriptors: 25, memoryKB: 24000}},
	}
}

// Each check catches the fault that it is for, and none reports anything without it.
func TestEachCheckCatchesItsFault(t *testing.T) {
	if breaches := undisturbed().judge(); len(breaches) > 0 {
		t.Fatalf("without a fault: %q", breaches)
	}
	for _, c := range []struct {
		name  string
		fault func(o *observations)
		want  string // "" for no breach
	}{
		{"no response", func(o *observations) { o.results[0].Status, o.results[0].Fault = 0, "read: EOF" }, "no response after"},
		{"forwarded and unanswered during a shutdown", func(o *observations) {
			o.results[0].At, o.results[0].Status, o.results[0].Fault = at(5100), 0, "read: EOF"
		}, "no response during the shutdown"},
		{"unread during a shutdown", func(o *observations) {
			o.results[0].At, o.results[0].Status, o.results[0].Fault = at(5100), 0, "read: EOF"
			o.attempts["a"] = 0
		}, ""},
		{"unanswered at SIGKILL, sent soon after SIGTERM", func(o *observations) {
			o.outages[0].killed = true
			o.results[0].At, o.results[0].Status, o.results[0].Fault = at(5500), 0, "read: EOF"
		}, "no response during the shutdown"},
		{"unanswered in a crash", func(o *observations) {
			o.results[0].Limiter, o.results[0].At, o.results[0].Status = 1, at(9990), 0
		}, ""},
		{"late response", func(o *observations) { o.results[0].Took = 2600 * time.Millisecond }, "due in"},
		{"response of another request", func(o *observations) { o.results[0].Body = "b 0" }, "served with"},
		{"repeated though it may not be", func(o *observations) {
			o.results[0].Class = processharness.ClassNonIdempotent
			o.attempts["a"] = 2
		}, "may not be repeated"},
		{"key twice", func(o *observations) { o.keysTwice = 1 }, "idempotency keys"},
		{"exit code", func(o *observations) { o.outages[0].exit = errors.New("exit status 2") }, "exit status 2"},
		{"killed while it shuts down", func(o *observations) {
			o.outages[0].killed, o.outages[0].took = true, killAfter
		}, "when SIGKILL came"},
		{"killed while it shuts down, suspended meanwhile", func(o *observations) {
			o.outages[0].killed, o.outages[0].took, o.outages[0].heldUp = true, killAfter, maxSuspend
		}, "when SIGKILL came"},
		{"slow start", func(o *observations) { o.outages[1].readyIn = 11 * time.Second }, "ready 11s"},
		{"attempt at an unlisted backend", func(o *observations) { o.arrivals[0].At = at(27000) }, "not listed"},
		{"more attempts in flight than the plan allows", func(o *observations) {
			o.flights = append(o.flights, flight("e", 1499, 1501))
		}, "customer 29: 3 attempts in flight at once, 2 allowed"},
		{"one more that outlives its loan", func(o *observations) {
			o.flights = append(o.flights, flight("e", 3300, 3400), flight("f", 3350, 3450))
		}, "3.350 s: request f at limiter 0"},
		{"one more beside an attempt that is never over", func(o *observations) {
			o.flights[0].End = time.Time{}
			o.flights = append(o.flights, flight("e", 9300, 9400), flight("f", 9350, 9450))
		}, "3 attempts in flight at once"},
		{"one more, of another customer", func(o *observations) {
			other := flight("e", 1450, 1460)
			other.Customer = "2a"
			o.flights = append(o.flights, other)
		}, ""},
		{"one more as the connection of another one was just closed", func(o *observations) {
			o.flights[3].Closed = true
			o.flights = append(o.flights, flight("e", 1460, 1600))
		}, ""},
		{"one more long before the connection of another one was closed", func(o *observations) {
			o.flights[3].Closed = true
			o.flights = append(o.flights, flight("e", 1440, 1600))
		}, "3 attempts in flight at once"},
		{"no response, its client had left", func(o *observations) {
			o.results[0].Status, o.results[0].Left = 0, at(20)
		}, ""},
		{"sent to a backend just as its client leaves", func(o *observations) {
			o.results[0].Status, o.results[0].Left = 0, at(20)
			o.arrivals[0].CallID, o.arrivals[0].At = "a", at(20).Add(leaveSlack)
		}, ""},
		{"sent to a backend though its client had left", func(o *observations) {
			o.results[0].Status, o.results[0].Left = 0, at(20)
			o.arrivals[0].CallID, o.arrivals[0].At = "a", at(21).Add(leaveSlack)
		}, "after its client had left"},
		{"repeated for a client that left, though it may not be", func(o *observations) {
			o.results[0].Status, o.results[0].Left, o.results[0].Class = 0, at(20), processharness.ClassNonIdempotent
			o.attempts["a"] = 2
		}, "may not be repeated"},
		{"no response to a client that ended its sending", func(o *observations) {
			o.results[0].Manner, o.results[0].Status, o.results[0].Fault = processharness.HalfClosing, 0, "read: EOF"
		}, "no response after"},
		{"response to the other one of two requests sent at once", func(o *observations) {
			o.results[0].Manner, o.results[0].Body = processharness.Pipelining, "f 0"
		}, "served with"},
		{"no response in a hot restart", func(o *observations) {
			o.results[0].At, o.results[0].Status, o.results[0].Fault = at(12100), 0, "read: EOF"
			o.attempts["a"] = 0
		}, "no response after"},
		{"refused in a hot restart", func(o *observations) {
			o.results[0].At, o.results[0].Status, o.results[0].Fault = at(12100), 0, "connect: refused"
		}, "connect: refused"},
		{"no response as a successor that may have had clients dies", func(o *observations) {
			o.results[0].At, o.results[0].Status, o.results[0].Fault = at(14000), 0, "read: reset"
		}, ""},
		{"no response as a successor dies that had no clients", func(o *observations) {
			o.results[0].At, o.results[0].Status, o.results[0].Fault = at(14000), 0, "read: reset"
			o.outages[3].crash = false
		}, "no response after"},
		{"exit code of a predecessor", func(o *observations) { o.outages[2].exit = errors.New("exit status 1") }, "exit status 1"},
		{"predecessor killed", func(o *observations) { o.outages[2].killed = true }, "when SIGKILL came"},
		{"predecessor serves late after its successor died", func(o *observations) {
			o.outages[3].readyIn = 11 * time.Second
		}, "ready 11s"},
		{"hot restart fails", func(o *observations) {
			o.outages[2].failure = "its successor ended by itself"
		}, "ended by itself"},
		{"descriptors left", func(o *observations) { o.idle[0].descriptors = 20 + maxExtraDescriptors + 1 }, "descriptors"},
		{"memory left", func(o *observations) { o.idle[0].memoryKB = 20000 + maxExtraMemoryKB + 1 }, "KB without requests"},
	} {
		o := undisturbed()
		c.fault(o)
		breaches := strings.Join(o.judge(), "; ")
		if c.want == "" && breaches != "" || !strings.Contains(breaches, c.want) {
			t.Errorf("%s: %q, want %q", c.name, breaches, c.want)
		}
	}
}

// What SIGKILL finds unanswered after SIGTERM need not be answered if it was sent later than the terms say. That
// the limiter was still there is reported in any case.
func TestLateRequestAtSIGKILLNeedsNoResponse(t *testing.T) {
	o := undisturbed()
	o.outages[0].killed = true
	o.results[0].At, o.results[0].Status, o.results[0].Fault = at(5900), 0, "read: EOF"
	if breaches := o.judge(); len(breaches) != 1 || !strings.Contains(breaches[0], "when SIGKILL came") {
		t.Errorf("%q", breaches)
	}
}
