package core

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemongate/internal/admission"
)

// model is the state of clients and attempts as the test observes it.
type model struct {
	t               *rapid.T
	machine         *Machine
	now             time.Duration
	timerAt         time.Duration               // clock time of the last SetTimer
	openDeadlines   map[RequestID]time.Duration // deadlines of the requests without a response
	inFlight        []AttemptID
	attemptsStarted map[RequestID]int // by request
	live            map[string]bool   // backends that are live
	callIDs         map[RequestID]string
	idempotent      map[RequestID]bool
	nonIdempotent   map[RequestID]bool
	mayHaveRun      map[RequestID]bool
	usedCallIDs     map[string]usedByRequest // of requests that may have run and must not run twice
	lastRequest     RequestID
	exited          bool

	// Of the current step; 0 for none.
	disconnected RequestID // the request whose client disconnected
	succeeded    RequestID // the open request whose attempt succeeded
	duplicate    RequestID // the request that arrived with the call ID of an open one
}

// usedByRequest is the use of a call ID by a request, and the clock time until which no other may use it.
type usedByRequest struct {
	request RequestID
	until   time.Duration
}

// recordMayHaveRun records that a request may have run.
func (m *model) recordMayHaveRun(id RequestID) {
	m.mayHaveRun[id] = true
	if callID := m.callIDs[id]; callID != "" && !m.idempotent[id] {
		m.usedCallIDs[callID] = usedByRequest{id, m.now + 5*time.Second} // the longest deadline of testSettings
	}
}

// step sends an event to the machine and checks the effects that it causes.
func (m *model) step(ev Event) { m.checkEffects(m.machine.Step(m.now, ev)) }

func (m *model) checkEffects(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Respond:
			m.checkResponse(e)
		case StartAttempt:
			m.checkStart(e)
		case CancelAttempt:
			m.removeInFlight(e.Attempt)
			m.recordMayHaveRun(e.Attempt.Request)
		case WithdrawAttempt:
			if !slices.Contains(m.inFlight, e.Attempt) || e.Attempt.Request != m.disconnected {
				m.t.Fatalf("withdrawn %+v, want only attempts in flight of request %d, whose client disconnected", e, m.disconnected)
			}
		case SetTimer:
			m.timerAt = e.At
		case Exit:
			m.exited = true
		}
	}
	if _, open := m.openDeadlines[m.disconnected]; open {
		m.t.Fatalf("the client of request %d disconnected, but the request is still open", m.disconnected)
	}
	m.succeeded, m.duplicate, m.disconnected = 0, 0, 0
}

func (m *model) checkResponse(e Respond) {
	duplicate := e.Kind == DuplicateID // sent if and only if the request has the call ID of an open one
	_, open := m.openDeadlines[e.Request]
	if !open || (e.Kind == Served) != (e.Request == m.succeeded) || duplicate != (e.Request == m.duplicate) {
		m.t.Fatalf("response %+v: request open: %v; request that succeeded: %v; want it open, Served if its attempt succeeded, DuplicateID if its call ID is in use", e, open, m.succeeded)
	}
	if e.Kind == Rejected && m.mustNotRunAgain(e.Request) {
		m.t.Fatalf("response %+v to a non-idempotent request that may run or have run", e)
	}
	delete(m.openDeadlines, e.Request)
}

func (m *model) checkStart(e StartAttempt) {
	id := e.Attempt.Request
	deadline, open := m.openDeadlines[id]
	numberValid := e.Attempt.Number == m.attemptsStarted[id] && e.Attempt.Number < testSettings.MaxAttempts
	if !open || !numberValid || !m.live[e.Backend] || e.Timeout <= 0 || m.now+e.Timeout >= deadline {
		m.t.Fatalf("attempt %+v: request open: %v; attempts started before: %d; want it open, the next number, below MaxAttempts, a live backend, a timeout before the deadline", e, open, m.attemptsStarted[id])
	}
	if m.mustNotRunAgain(id) {
		m.t.Fatalf("attempt %+v of a non-idempotent request that may run or have run", e)
	}
	if used := m.usedCallIDs[m.callIDs[id]]; used.request != id && m.now < used.until {
		m.t.Fatalf("attempt %+v of a request with the call ID of request %d, which may have run", e, used.request)
	}
	m.attemptsStarted[id]++
	m.inFlight = append(m.inFlight, e.Attempt)
}

// mustNotRunAgain reports whether a request is non-idempotent and may run or have run.
func (m *model) mustNotRunAgain(id RequestID) bool {
	return m.nonIdempotent[id] && (m.mayHaveRun[id] || m.hasAttempt(id))
}

// hasAttempt reports whether a request has an attempt in flight.
func (m *model) hasAttempt(id RequestID) bool {
	return slices.ContainsFunc(m.inFlight, func(attempt AttemptID) bool { return attempt.Request == id })
}

// callIDInUse reports whether a call ID is that of a request that is open or has an attempt in flight.
func (m *model) callIDInUse(callID string) bool {
	for id := range m.openDeadlines {
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

// removeInFlight removes an attempt from those in flight.
func (m *model) removeInFlight(id AttemptID) {
	i := slices.Index(m.inFlight, id)
	if i < 0 {
		m.t.Fatalf("attempt %+v ended, but is not in flight", id)
	}
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
}

// advance advances the clock and fires each timer at its time.
func (m *model) advance(by time.Duration) {
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
	for id, deadline := range m.openDeadlines {
		if m.now >= deadline {
			m.t.Fatalf("request %d has no response, want one before its deadline", id)
		}
	}
}

// receiveRequest has the machine receive a request of any class, budget and call ID.
func (m *model) receiveRequest(t *rapid.T) {
	m.lastRequest++
	class := rapid.SampledFrom(testSettings.Classes).Draw(t, "class")
	budget := time.Duration(rapid.IntRange(1, 3000).Draw(t, "budget")) * time.Millisecond
	callID := rapid.SampledFrom([]string{"", "i", "j", "k"}).Draw(t, "call ID")
	if callID != "" && m.callIDInUse(callID) {
		m.duplicate = m.lastRequest
	} else if callID != "" {
		m.callIDs[m.lastRequest] = callID
	}
	m.openDeadlines[m.lastRequest] = m.now + budget
	m.idempotent[m.lastRequest] = class.Idempotency == admission.Idempotent
	m.nonIdempotent[m.lastRequest] = class.Idempotency == admission.NonIdempotent
	m.step(&RequestReceived{ReceivedAt: m.now, CallID: callID, Request: admission.Request{
		ID: m.lastRequest, Class: class.Name, Plan: "small", Units: 1, Budget: budget, SetSize: 1,
		Customer: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "customer"),
	}})
}

// finishAttempt ends an attempt in flight with any result.
func (m *model) finishAttempt(t *rapid.T) {
	if len(m.inFlight) == 0 {
		t.Skip("no attempt in flight")
	}
	id := rapid.SampledFrom(m.inFlight).Draw(t, "attempt")
	result := admission.Result(rapid.IntRange(0, int(admission.ConnectionLost)).Draw(t, "result"))
	m.removeInFlight(id)
	if !result.NeverRan() {
		m.recordMayHaveRun(id.Request)
	}
	if _, open := m.openDeadlines[id.Request]; open && result == admission.Succeeded {
		m.succeeded = id.Request
	}
	m.step(&AttemptFinished{
		Attempt: id, Result: result, Report: []float64{0.5}, ResponseInvalid: result == admission.ConnectionLost,
	})
}

// updateEndpoint sends an update of the endpoint list with a backend in any state.
func (m *model) updateEndpoint(t *rapid.T) {
	id := rapid.SampledFrom([]string{"b1", "b2", "b3"}).Draw(t, "backend")
	state := admission.BackendState(rapid.IntRange(0, 2).Draw(t, "state"))
	m.live[id] = state == admission.Live
	startedAt := time.Duration(rapid.IntRange(0, 1).Draw(t, "restarted")) * m.now
	m.step(&EndpointsUpdated{Kind: admission.ListDelta, Endpoints: []Endpoint{newEndpoint(id, "h:9"+id, state, startedAt)}})
}

// Whatever events arrive, every request gets exactly one response, before its deadline. Attempts are made only while the
// request has no response, at live backends, and no more than MaxAttempts.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: time.Hour, openDeadlines: map[RequestID]time.Duration{}, attemptsStarted: map[RequestID]int{}, callIDs: map[RequestID]string{},
			live: map[string]bool{"b1": true, "b2": true}, idempotent: map[RequestID]bool{}, nonIdempotent: map[RequestID]bool{}, mayHaveRun: map[RequestID]bool{}, usedCallIDs: map[string]usedByRequest{},
		}
		settings := testSettings
		settings.MayCancel = rapid.Bool().Draw(t, "may cancel")
		known := []Endpoint{newEndpoint("b1", "h:1", admission.Live, 0), newEndpoint("b2", "h:2", admission.Live, 0)}
		var initialEffects []Effect
		m.machine, initialEffects = New(m.now, Config{Settings: settings, Seed: 1, KnownEndpoints: known})
		m.checkEffects(initialEffects)
		t.Repeat(map[string]func(*rapid.T){ // rapid draws actions by the order of their keys, which renaming must not change
			"":       m.checkDeadlines,
			"arrive": m.receiveRequest,
			"end":    m.finishAttempt,
			"gossip": func(t *rapid.T) {
				m.step(&PeerMessageReceived{rapid.IntRange(-1, 2).Draw(t, "from"), rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "data")})
			},
			"late end": func(*rapid.T) { // the end of an attempt that was never made or has ended
				m.step(&AttemptFinished{Attempt: AttemptID{m.lastRequest + 1, 0}, Result: admission.Succeeded})
			},
			"leave": func(t *rapid.T) {
				m.disconnected = RequestID(rapid.Uint64Range(0, uint64(m.lastRequest)+1).Draw(t, "request"))
				m.step(&ClientDisconnected{Request: m.disconnected})
			},
			"list": m.updateEndpoint,
			"malformed": func(t *rapid.T) { // an invalid request only changes a counter
				m.step(RequestMalformed{Cause: MalformedCause(rapid.IntRange(0, int(numCauses)-1).Draw(t, "cause"))})
			},
			"pass": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"reload": func(t *rapid.T) { // changes at most the discovery address: no attempt, no response, no backend
				if rapid.Bool().Draw(t, "requested") {
					m.step(ReloadRequested{})
					return
				}
				m.step(&ConfigReloaded{Discovery: rapid.SampledFrom([]string{"d:1", "d:2"}).Draw(t, "discovery")})
			},
		})
		m.step(ShutdownRequested{})
		m.advance(6 * time.Second)
		m.checkDeadlines(t)
		m.step(ServerClosed{})
		if len(m.openDeadlines) > 0 || len(m.machine.requests.byID) > len(m.inFlight) || m.machine.Phase() != Stopped || !m.exited {
			t.Fatalf("at the end: %d requests without a response, %d requests kept, phase %v; want 0 without a response, 0 kept without an attempt in flight, phase stopped with Exit",
				len(m.openDeadlines), len(m.machine.requests.byID), m.machine.Phase())
		}
	})
}
