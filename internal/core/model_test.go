package core

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemongate/internal/admission"
)

// model is what an observer knows of clients and attempts.
type model struct {
	t             *rapid.T
	machine       *Machine
	now           time.Duration
	timerAt       time.Duration
	open          map[RequestID]time.Duration // deadlines of the requests without a response
	inFlight      []AttemptID
	started       map[RequestID]int // attempts
	live          map[string]bool   // backends
	callIDs       map[RequestID]string
	nonIdempotent map[RequestID]bool
	mayHaveRun    map[RequestID]bool
	lastRequest   RequestID
	exited        bool

	// Of the step in hand; 0 for none.
	disconnected RequestID // its client disconnected
	succeeded    RequestID // its attempt succeeded
	duplicate    RequestID // it came with the call ID of an open request
}

// step hands an event to the machine and checks the effects.
func (m *model) step(ev Event) { m.checkEffects(m.machine.Step(m.now, ev)) }

func (m *model) checkEffects(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Respond:
			m.checkResponse(e)
		case StartAttempt:
			m.checkStart(e)
		case CancelAttempt:
			m.finish(e.Attempt)
			m.mayHaveRun[e.Attempt.Request] = true
		case WithdrawAttempt:
			if !slices.Contains(m.inFlight, e.Attempt) || e.Attempt.Request != m.disconnected {
				m.t.Fatalf("withdrawn %+v, the client of %d disconnected", e, m.disconnected)
			}
		case SetTimer:
			m.timerAt = e.At
		case Exit:
			m.exited = true
		}
	}
	if _, open := m.open[m.disconnected]; open {
		m.t.Fatalf("the client of %d disconnected, and it is not over", m.disconnected)
	}
	m.succeeded, m.duplicate, m.disconnected = 0, 0, 0
}

func (m *model) checkResponse(e Respond) {
	duplicate := e.Kind == DuplicateID // for a request that came with the call ID of an open one, and only then
	_, open := m.open[e.Request]
	if !open || (e.Kind == Served) != (e.Request == m.succeeded) || duplicate != (e.Request == m.duplicate) {
		m.t.Fatalf("response %+v: open %v, succeeded %v", e, open, m.succeeded)
	}
	if e.Kind == Rejected && m.mustNotRunAgain(e.Request) {
		m.t.Fatalf("response %+v: it may run", e)
	}
	delete(m.open, e.Request)
}

func (m *model) checkStart(e StartAttempt) {
	id := e.Attempt.Request
	deadline, open := m.open[id]
	numbered := e.Attempt.Number == m.started[id] && e.Attempt.Number < testSettings.MaxAttempts
	if !open || !numbered || !m.live[e.Backend] || e.Timeout <= 0 || m.now+e.Timeout >= deadline {
		m.t.Fatalf("attempt %+v: open %v, %d started", e, open, m.started[id])
	}
	if m.mustNotRunAgain(id) {
		m.t.Fatalf("attempt %+v: it may have run, or may run", e)
	}
	m.started[id]++
	m.inFlight = append(m.inFlight, e.Attempt)
}

// mustNotRunAgain reports whether a request is non-idempotent and may have run, or may run.
func (m *model) mustNotRunAgain(id RequestID) bool {
	return m.nonIdempotent[id] && (m.mayHaveRun[id] || m.hasAttempt(id))
}

// hasAttempt reports whether a request has an attempt in flight.
func (m *model) hasAttempt(id RequestID) bool {
	return slices.ContainsFunc(m.inFlight, func(attempt AttemptID) bool { return attempt.Request == id })
}

// taken reports whether a request that is open or has an attempt in flight has a call ID.
func (m *model) taken(callID string) bool {
	for id := range m.open {
		if m.callIDs[id] == callID {
			return true
		}
	}
	for _, attempt := range m.inFlight {
		if m.callIDs[attempt.Request] == callID {
			return true
		}
	}
	return false
}

// finish removes an attempt from those in flight.
func (m *model) finish(id AttemptID) {
	i := slices.Index(m.inFlight, id)
	if i < 0 {
		m.t.Fatalf("attempt %+v canceled, but not in flight", id)
	}
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
}

// pass lets time pass, from timer to timer.
func (m *model) pass(by time.Duration) {
	for end := m.now + by; ; {
		if m.timerAt > end {
			m.now = end
			return
		}
		m.now = max(m.now, m.timerAt)
		m.timerAt = end + 1 // until the next SetTimer
		m.step(TimerFired{})
	}
}

func (m *model) checkDeadlines(*rapid.T) {
	for id, deadline := range m.open {
		if m.now >= deadline {
			m.t.Fatalf("request %d has no response at its deadline", id)
		}
	}
}

// receiveRequest sends a request of any class, budget and call ID.
func (m *model) receiveRequest(t *rapid.T) {
	m.lastRequest++
	class := rapid.SampledFrom(testSettings.Classes).Draw(t, "class")
	budget := time.Duration(rapid.IntRange(1, 3000).Draw(t, "budget")) * time.Millisecond
	callID := rapid.SampledFrom([]string{"", "i", "j", "k"}).Draw(t, "call ID")
	if callID != "" && m.taken(callID) {
		m.duplicate = m.lastRequest
	} else if callID != "" {
		m.callIDs[m.lastRequest] = callID
	}
	m.open[m.lastRequest] = m.now + budget
	m.nonIdempotent[m.lastRequest] = class.Idempotency == admission.NonIdempotent
	m.step(&RequestReceived{ReceivedAt: m.now, CallID: callID, Request: admission.Request{
		ID: m.lastRequest, Class: class.Name, Plan: "small", Units: 1, Budget: budget, SetSize: 1,
		Customer: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "customer"),
	}})
}

// finishAttempt ends an attempt in flight with any result.
func (m *model) finishAttempt(t *rapid.T) {
	if len(m.inFlight) == 0 {
		t.Skip("none in flight")
	}
	id := rapid.SampledFrom(m.inFlight).Draw(t, "attempt")
	result := admission.Result(rapid.IntRange(0, int(admission.ConnectionLost)).Draw(t, "result"))
	m.finish(id)
	m.mayHaveRun[id.Request] = m.mayHaveRun[id.Request] || !result.NeverRan()
	if _, open := m.open[id.Request]; open && result == admission.Succeeded {
		m.succeeded = id.Request
	}
	m.step(&AttemptFinished{
		Attempt: id, Result: result, Report: []float64{0.5}, ResponseInvalid: result == admission.ConnectionLost,
	})
}

// updateEndpoint lists a backend in any state.
func (m *model) updateEndpoint(t *rapid.T) {
	id := rapid.SampledFrom([]string{"b1", "b2", "b3"}).Draw(t, "backend")
	state := admission.BackendState(rapid.IntRange(0, 2).Draw(t, "state"))
	m.live[id] = state == admission.Live
	startedAt := time.Duration(rapid.IntRange(0, 1).Draw(t, "restarted")) * m.now
	m.step(&EndpointsUpdated{Kind: admission.ListDelta, Endpoints: []Endpoint{newEndpoint(id, "h:9", state, startedAt)}})
}

// Whatever comes, every request gets one response before its deadline, and attempts are made only while
// it has none, at live backends, as often as allowed.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: time.Hour, open: map[RequestID]time.Duration{}, started: map[RequestID]int{}, callIDs: map[RequestID]string{},
			live: map[string]bool{"b1": true, "b2": true}, nonIdempotent: map[RequestID]bool{}, mayHaveRun: map[RequestID]bool{},
		}
		settings := testSettings
		settings.MayCancel = rapid.Bool().Draw(t, "may cancel")
		known := []Endpoint{newEndpoint("b1", "h:1", admission.Live, 0), newEndpoint("b2", "h:2", admission.Live, 0)}
		var first []Effect
		m.machine, first = New(m.now, Config{Settings: settings, Seed: 1, KnownEndpoints: known})
		m.checkEffects(first)
		t.Repeat(map[string]func(*rapid.T){ // drawn by the order of their names: renamed ones keep their place
			"":       m.checkDeadlines,
			"arrive": m.receiveRequest,
			"end":    m.finishAttempt,
			"gossip": func(t *rapid.T) {
				m.step(&PeerMessageReceived{rapid.IntRange(-1, 2).Draw(t, "from"), rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "data")})
			},
			"late end": func(*rapid.T) { // of an attempt that was never made or has ended
				m.step(&AttemptFinished{Attempt: AttemptID{m.lastRequest + 1, 0}, Result: admission.Succeeded})
			},
			"leave": func(t *rapid.T) {
				m.disconnected = RequestID(rapid.Uint64Range(0, uint64(m.lastRequest)+1).Draw(t, "request"))
				m.step(&ClientDisconnected{Request: m.disconnected})
			},
			"list": m.updateEndpoint,
			"malformed": func(t *rapid.T) { // what is no request costs a count and no more
				m.step(RequestMalformed{Cause: MalformedCause(rapid.IntRange(0, int(numCauses)-1).Draw(t, "cause"))})
			},
			"pass": func(t *rapid.T) {
				m.pass(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"reload": func(t *rapid.T) { // changes the address that is watched at most: no attempt, no response, no backend
				if rapid.Bool().Draw(t, "requested") {
					m.step(ReloadRequested{})
					return
				}
				m.step(&ConfigReloaded{Discovery: rapid.SampledFrom([]string{"d:1", "d:2"}).Draw(t, "discovery")})
			},
		})
		m.step(ShutdownRequested{})
		m.pass(6 * time.Second)
		m.checkDeadlines(t)
		m.step(ServerClosed{})
		if len(m.open) > 0 || len(m.machine.requests.byID) > len(m.inFlight) || m.machine.Phase() != Stopped || !m.exited {
			t.Fatalf("left at the end: %d requests without a response, %d kept, phase %v",
				len(m.open), len(m.machine.requests.byID), m.machine.Phase())
		}
	})
}
