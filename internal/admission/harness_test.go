package admission

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"lemongate/internal/gossip"
)

const ms = time.Millisecond

// timerStep is the time by which the clock advances from one TimerFired to the next in tests.
const timerStep = 4 * ms

// testSettings returns the settings of a small deployment: two limiters, a class of each Idempotency, and a plan with
// each kind of limit.
func testSettings() Settings {
	return Settings{
		Self: 0, Limiters: 2, Zone: "north", ClockResolution: ms,
		Classes: []Class{
			{Name: "read", Idempotency: Idempotent, LatencyObjective: 500 * ms, Deadline: 2 * time.Second, Weight: 1},
			{
				Name: "post", Idempotency: IdempotentByKey, IdempotencyScope: ScopeZone, IdempotencyWindow: time.Second,
				LatencyObjective: 400 * ms, Deadline: 2 * time.Second, Weight: 4,
			},
			{Name: "pay", Idempotency: NonIdempotent, LatencyObjective: 400 * ms, Deadline: 2 * time.Second, Weight: 9},
		},
		Plans: []Plan{
			{Name: "small", Rate: 2, Burst: 8, WeightFactor: 1},
			{Name: "concurrent", MaxConcurrent: 2, WeightFactor: 1},
			{Name: "capped", Rate: 50, Burst: 50, CeilingRate: 10, CeilingBurst: 20, WeightFactor: 1},
			{Name: "free", WeightFactor: 1},
		},
		MaxAttempts: 3, MayCancel: true, GossipEnabled: true, PeerMessagesPerSecond: 50, MaxRetryAfter: time.Second,
		DrainGrace: time.Second, SlowStartFraction: 0.2, SlowStartDuration: 10 * time.Second,
		OverloadMultiple: 2, OverloadDuration: 2 * time.Second,
	}
}

// backendList returns live backends with the given IDs, alternating between two zones and each in its own cell.
func backendList(ids ...string) []Backend {
	var list []Backend
	for i, id := range ids {
		list = append(list, Backend{ID: id, Zone: []string{"north", "south"}[i%2], Cell: i, RelativeCapacity: 1})
	}
	return list
}

// fixture is the caller of a single Controller: it passes events to the Controller and collects the returned actions.
type fixture struct {
	t       *testing.T
	ctl     *Controller
	now     time.Duration // clock time of the next event
	actions []Action      // since the last takeActions
	nextID  RequestID

	scheduled    []scheduledResult // results of attempts that serve still has to deliver
	attemptsMade map[RequestID]int // number of attempts, by request, recorded by scheduleResult
}

// scheduledResult is the result of an attempt, and the clock time at which it is delivered.
type scheduledResult struct {
	at     time.Duration
	result *AttemptFinished
}

// newFixture returns a fixture with a new Controller that has received the list of backends.
func newFixture(t *testing.T, settings Settings, backends ...Backend) *fixture {
	f := &fixture{t: t, ctl: New(settings, 7), nextID: 1, attemptsMade: map[RequestID]int{}}
	f.handle(&EndpointList{Kind: ListCached, Backends: backends})
	return f
}

// handle passes an event to the Controller and collects its actions.
func (f *fixture) handle(ev Event) { f.actions = f.ctl.Handle(f.now, ev, f.actions) }

// takeActions returns the actions since the last call.
func (f *fixture) takeActions() []Action {
	actions := f.actions
	f.actions = nil
	return actions
}

// advance advances the clock by d, with a TimerFired at each timerStep.
func (f *fixture) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += timerStep
		f.handle(TimerFired{})
	}
}

// request passes a request of one unit, with a budget of 2 s, to the Controller.
func (f *fixture) request(class, plan, customer string) RequestID {
	return f.requestWithBudget(class, plan, customer, 2*time.Second)
}

// requestWithBudget passes a request of one unit, with the given budget, to the Controller.
func (f *fixture) requestWithBudget(class, plan, customer string, budget time.Duration) RequestID {
	id := f.nextID
	f.nextID++
	f.handle(&Request{ID: id, Class: class, Plan: plan, Customer: customer, Units: 1, Budget: budget, SetSize: 2})
	return id
}

// finish passes the result of an attempt to the Controller. Only a success ends the request.
func (f *fixture) finish(id RequestID, attempt int, backend string, result Result, latency time.Duration) {
	f.handle(&AttemptFinished{
		Request: id, Attempt: attempt, Backend: backend, Result: result, Latency: latency, Final: result == Succeeded,
	})
}

// observe passes the first message of another limiter to the Controller, with observations of backends.
func (f *fixture) observe(from int, observations ...gossip.Observation) {
	f.handle(&PeerMessage{From: from, Data: gossip.Message{Epoch: 5, Seq: 1, Observations: observations}.Append(nil)})
}

// attemptOf returns the first attempt of a request among the collected actions. It fails the test if there is none.
func (f *fixture) attemptOf(id RequestID) StartAttempt {
	f.t.Helper()
	for _, attempt := range actionsOf[StartAttempt](f.actions) {
		if attempt.Request == id {
			return attempt
		}
	}
	f.t.Fatalf("request %d was not forwarded: %v", id, f.actions)
	return StartAttempt{}
}

// serve passes a number of idempotent requests, one every 10 ms, and simulates the backends: respond returns the result
// and the latency of each attempt. serve returns the number of attempts by backend. Pending results are delivered by the
// next call.
func (f *fixture) serve(requests int, respond func(StartAttempt) (Result, time.Duration)) map[string]int {
	attempts := map[string]int{}
	for range requests {
		f.now += 10 * ms
		f.deliverResults()
		f.handle(TimerFired{})
		f.request("read", "free", fmt.Sprint("c", f.nextID%50))
		for _, action := range f.takeActions() {
			switch action := action.(type) {
			case StartAttempt:
				attempts[action.Backend]++
				result, latency := respond(action)
				f.scheduleResult(action, result, latency)
			case CancelAttempt:
				f.cancelScheduled(action)
			}
		}
	}
	return attempts
}

// deliverResults passes the scheduled results that are due to the Controller.
func (f *fixture) deliverResults() {
	for i := 0; i < len(f.scheduled); {
		if f.scheduled[i].at > f.now {
			i++
			continue
		}
		f.handle(f.scheduled[i].result)
		f.scheduled = slices.Delete(f.scheduled, i, i+1)
	}
}

// scheduleResult schedules the result of an attempt after its latency.
func (f *fixture) scheduleResult(attempt StartAttempt, result Result, latency time.Duration) {
	f.scheduled = append(f.scheduled, scheduledResult{f.now + latency, &AttemptFinished{
		Request: attempt.Request, Attempt: f.attemptsMade[attempt.Request], Backend: attempt.Backend,
		Result: result, Latency: latency, Final: result == Succeeded,
	}})
	f.attemptsMade[attempt.Request]++
}

// cancelScheduled replaces the scheduled result of a canceled attempt by Canceled, which is due immediately.
func (f *fixture) cancelScheduled(cancel CancelAttempt) {
	for i := range f.scheduled {
		result := f.scheduled[i].result
		if result.Request == cancel.Request && result.Attempt == cancel.Attempt {
			f.scheduled[i].at = f.now
			result.Result, result.Final = Canceled, false
		}
	}
}

// serveSequentially passes idempotent requests one after the other. Forwarded requests succeed after the latency.
func (f *fixture) serveSequentially(requests int, latency time.Duration) {
	for range requests {
		f.request("read", "free", "x")
		f.now += latency
		for _, attempt := range actionsOf[StartAttempt](f.takeActions()) {
			f.finish(attempt.Request, 0, attempt.Backend, Succeeded, latency)
		}
	}
}

// idempotentRequest returns a request of the class read for tests that select a backend.
func (f *fixture) idempotentRequest() *request {
	customer := f.ctl.lookupCustomer(&Request{Customer: "x", Plan: "free"})
	return &request{Request: &Request{}, class: f.ctl.classes.all[0], customer: customer}
}

// actionsOf returns the actions of type T.
func actionsOf[T Action](actions []Action) []T {
	var list []T
	for _, action := range actions {
		if action, ok := action.(T); ok {
			list = append(list, action)
		}
	}
	return list
}

// assertNear checks that a value differs from the expected one by at most a thousandth of it, or by at most 0.001 if the
// expected one is between -1 and 1.
func assertNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-3*math.Max(1, math.Abs(want)) {
		t.Errorf("%s: got %.5f, want %.5f", what, got, want)
	}
}

// tier is a set of limiters that exchange messages over a network with delay and loss. Backends are not modeled: each
// attempt succeeds at once.
type tier struct {
	controllers []*Controller
	settings    Settings
	now         time.Duration
	nextID      RequestID
	forwarded   int // number of attempts so far
	inTransit   []peerDatagram
	delay       time.Duration           // of messages that are sent now
	lost        func(from, to int) bool // reports whether a message that is sent now is lost
}

// peerDatagram is a message between two limiters and the clock time at which it arrives.
type peerDatagram struct {
	at       time.Duration
	from, to int
	data     []byte
}

// newTier returns a tier of limiters with testSettings and four backends.
func newTier(limiters int, lost func(from, to int) bool) *tier {
	tr := &tier{settings: testSettings(), lost: lost, delay: 10 * ms}
	tr.settings.Limiters = limiters
	tr.controllers = make([]*Controller, limiters)
	for number := range limiters {
		tr.restart(number)
	}
	return tr
}

// neverLost is the loss function of a network without message loss.
func neverLost(_, _ int) bool { return false }

// busyTier returns a tier that has served a customer on three plans for 16 s.
func busyTier(limiters int) *tier {
	tr := newTier(limiters, neverLost)
	for i := range 4000 {
		tr.step()
		if i%7 == 0 {
			tr.request(i%limiters, []string{"small", "capped", "free"}[i%3])
		}
	}
	return tr
}

// restart replaces a limiter by a new one without state.
func (tr *tier) restart(number int) {
	tr.settings.Self = number
	tr.nextID++
	tr.controllers[number] = New(tr.settings, uint64(tr.nextID))
	tr.handle(number, &EndpointList{Backends: backendList("a", "b", "c", "d")})
}

// handle passes an event to a limiter and performs its actions.
func (tr *tier) handle(number int, ev Event) {
	ctl := tr.controllers[number]
	for actions := ctl.Handle(tr.now, ev, nil); len(actions) > 0; actions = actions[1:] {
		switch action := actions[0].(type) {
		case StartAttempt:
			tr.forwarded++
			result := &AttemptFinished{Request: action.Request, Backend: action.Backend, Final: true}
			actions = append(actions, ctl.Handle(tr.now, result, nil)...)
		case SendToPeer:
			if !tr.lost(number, action.Peer) {
				tr.inTransit = append(tr.inTransit, peerDatagram{tr.now + tr.delay, number, action.Peer, action.Data})
			}
		}
	}
}

// step advances the clock by timerStep, delivers the messages that are due, and fires the timers that are due.
func (tr *tier) step() {
	tr.now += timerStep
	sent := tr.inTransit
	tr.inTransit = nil
	for _, m := range sent {
		if m.at > tr.now {
			tr.inTransit = append(tr.inTransit, m)
		} else {
			tr.handle(m.to, &PeerMessage{From: m.from, Data: m.data})
		}
	}
	for number, ctl := range tr.controllers {
		if ctl.timer.armedFor <= tr.now {
			tr.handle(number, TimerFired{})
		}
	}
}

// request passes a request of the customer x to a limiter.
func (tr *tier) request(number int, plan string) { tr.requestOf(number, plan, "x") }

// requestOf passes a limiter a request of one unit, of a customer whose limiter set contains all limiters.
func (tr *tier) requestOf(number int, plan, customer string) {
	tr.nextID++
	tr.handle(number, &Request{
		ID: tr.nextID, Class: "read", Plan: plan, Customer: customer, Units: 1, Budget: time.Second,
		SetSize: len(tr.controllers),
	})
}
