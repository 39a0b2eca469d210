package core

import (
	"maps"
	"slices"
	"time"

	"lemongate/internal/admission"
)

// This file sends exactly one response to each request, by its deadline at the latest.

// responseMargin is how long before the end of its budget a request is answered at the latest, so that the response
// reaches the client in time. With D the end of the budget:
//
//	D - responseMargin - forwardMargin  the successor has answered a forwarded request
//	D - responseMargin                  the process with the client connection has answered it
//	D                                   the client gives up
const responseMargin = 10 * time.Millisecond

// noClass is the class index of a request whose class is not in the settings.
const noClass = -1

// request is a request that has no response yet or has an attempt in flight.
type request struct {
	*RequestReceived
	classIndex      int // in the settings, or noClass
	idempotency     admission.Idempotency
	deadline        time.Duration // clock time by which it is answered
	attempts        int           // number of attempts so far
	openAttempts    int           // those of them in flight
	lastResult      admission.Result
	mayHaveRun      bool // at a backend
	succeeded       bool // an attempt got a response
	answered        bool // a response was sent, or the client has disconnected
	fromPredecessor bool // the predecessor received it, and answers its client
	forwarded       bool // it was forwarded to the successor, which admits or rejects it
}

// requestSet is the set of requests without a response or with an attempt in flight.
type requestSet struct {
	byID        map[RequestID]*request
	byCallID    map[string]RequestID // includes attempts adopted from a predecessor
	usedCallIDs usedCallIDs
	pending     int       // number of requests of this process's clients without a response
	lastID      RequestID // greatest ID that the server assigned
}

func newRequestSet() requestSet {
	return requestSet{byID: map[RequestID]*request{}, byCallID: map[string]RequestID{}}
}

// inOrder returns the requests in the order of their IDs, which is the order in which they arrived.
func (s *requestSet) inOrder() []*request {
	var list []*request
	for _, id := range slices.Sorted(maps.Keys(s.byID)) {
		list = append(list, s.byID[id])
	}
	return list
}

// remainingBudget returns how long the client, or for a forwarded request the predecessor, still waits.
func (r *request) remainingBudget(now time.Duration) time.Duration {
	return r.deadline + responseMargin - now
}

// mayBeRepeated reports whether the client can safely send the request again.
func (r *request) mayBeRepeated() bool {
	ran := r.openAttempts > 0 || r.mayHaveRun
	return !ran || r.idempotency == admission.Idempotent
}

// onRequestReceived accepts a request, unless its client has disconnected already.
func (m *Machine) onRequestReceived(ev *RequestReceived) {
	m.requests.lastID = max(m.requests.lastID, ev.ID)
	m.recordTraffic()
	if ev.Disconnected {
		m.counters.Received++
		m.countDisconnect(ev.Reason)
		m.sendResponse(false, m.rejection(ev.ID, disconnectReply(ev.Reason)))
		return
	}
	m.acceptRequest(ev, false)
}

// acceptRequest records a request, sets a timer for its deadline, and submits, forwards or keeps it.
func (m *Machine) acceptRequest(ev *RequestReceived, fromPredecessor bool) {
	if m.rejectCallID(ev, fromPredecessor) {
		return
	}
	r := m.newRequest(ev, fromPredecessor)
	if !fromPredecessor {
		m.counters.Received++
		m.requests.pending++
	}
	m.requests.byID[r.ID] = r
	m.trace(r, TraceRequest{Step: TraceReceived})
	m.timers.add(timer{at: r.deadline, kind: deadlineTimer, id: AttemptID{Request: r.ID}})
	switch {
	case m.hotRestart.forwarding:
		m.forward(r)
	case m.phase == TransferringState:
		m.hotRestart.undecided = append(m.hotRestart.undecided, r)
	default:
		m.submit(r)
	}
}

func (m *Machine) newRequest(ev *RequestReceived, fromPredecessor bool) *request {
	r := &request{
		RequestReceived: ev,
		classIndex:      m.classIndex(ev.Class),
		deadline:        min(ev.ReceivedAt, m.now) + ev.Budget - responseMargin,
		fromPredecessor: fromPredecessor,
	}
	if r.classIndex != noClass {
		r.idempotency = m.config.Settings.Classes[r.classIndex].Idempotency
	}
	if m.exitBy != 0 { // the process ends before the client's time is over, if the request came late in the shutdown
		r.deadline = min(r.deadline, m.exitBy-exitMargin)
	}
	if fromPredecessor {
		r.deadline -= forwardMargin
	}
	return r
}

// submit passes a request to the admission controller for a decision. It passes the client's budget, without
// forwardMargin: the controller may recognize retries by it.
func (m *Machine) submit(r *request) {
	submitted := r.Request
	submitted.Budget = r.remainingBudget(m.now)
	if r.fromPredecessor {
		submitted.Budget += forwardMargin
	}
	m.stepController(&submitted)
}

// countDisconnect counts a client that disconnected. One that only counts as such is counted by the reason of its reply.
func (m *Machine) countDisconnect(reason DisconnectReason) {
	if reason == DisconnectClosed {
		m.counters.ClientsDisconnected++
	}
}

// onClientDisconnected ends a request whose client counts as disconnected: nothing more is forwarded for it. The request still gets a response, as a client that only closed its sending side looks the same.
func (m *Machine) onClientDisconnected(id RequestID, reason DisconnectReason) {
	r := m.requests.byID[id]
	if r == nil || r.answered {
		return
	}
	if r.forwarded {
		m.emit(CancelForwardedRequest{Request: id})
	}
	m.trace(r, TraceRequest{Step: TraceDisconnected})
	r.answered = true
	if !r.fromPredecessor {
		m.countDisconnect(reason)
		m.requests.pending--
		m.sendResponse(false, m.localReply(r, disconnectReply(reason)))
	}
	m.stepController(&admission.RequestEnded{Request: id})
	m.withdrawAttempts(r)
	m.removeIfFinished(r)
}

// onDeadline answers a request at its deadline.
func (m *Machine) onDeadline(id RequestID) {
	r := m.requests.byID[id]
	if r == nil || r.answered {
		return
	}
	m.counters.Overdue++
	m.endUnserved(r, ReplyDeadline)
}

// endUnserved ends a request without a response of a backend by a local reply.
func (m *Machine) endUnserved(r *request, reason ReplyReason) {
	if r.forwarded {
		m.emit(CancelForwardedRequest{Request: r.ID})
	}
	m.respond(r, m.localReply(r, reason))
	m.stepController(&admission.RequestEnded{Request: r.ID})
	m.removeIfFinished(r)
}

// endRequest answers a request as the admission controller or a successor decided, if it is open.
func (m *Machine) endRequest(id RequestID, response Respond) {
	r := m.requests.byID[id]
	if r == nil {
		return
	}
	m.respond(r, response)
	m.removeIfFinished(r)
}

// localReply returns the response to a request that ends without a response of a backend.
func (m *Machine) localReply(r *request, reason ReplyReason) Respond {
	if r.mayBeRepeated() {
		return m.rejection(r.ID, reason)
	}
	return Respond{Request: r.ID, Kind: Failed, Reason: reason}
}

// rejection returns the response to a request that may be sent again.
func (m *Machine) rejection(id RequestID, reason ReplyReason) Respond {
	return Respond{Request: id, Kind: Rejected, RetryAfter: m.config.Settings.MaxRetryAfter, Reason: reason}
}

// respond sends the response to a request, unless it has been answered. The caller removes the request if it is finished.
func (m *Machine) respond(r *request, response Respond) {
	if r.answered {
		return
	}
	r.answered = true
	response.Request = r.ID
	m.trace(r, TraceRequest{Step: TraceAnswered, Kind: response.Kind, Reason: response.Reason})
	m.sendResponse(r.fromPredecessor, response)
	if r.fromPredecessor {
		return // the predecessor counts the response
	}
	m.requests.pending--
	m.countResponse(r.classIndex, response.Kind)
}

// sendResponse sends a response to the process that has the client connection.
func (m *Machine) sendResponse(toPredecessor bool, response Respond) {
	if toPredecessor {
		m.emit(SendForwardedResponse{response})
		return
	}
	if response.Kind != Served {
		m.counters.Replies[response.Reason]++
	}
	m.emit(response)
}

// trace emits a step of a request for the debug log.
func (m *Machine) trace(r *request, step TraceRequest) {
	if !m.config.TracesRequests {
		return
	}
	step.CallID, step.Attempt.Request = r.CallID, r.ID
	m.emit(step)
}

// removeIfFinished deletes a request that is answered and has no attempt in flight.
func (m *Machine) removeIfFinished(r *request) {
	if !r.answered || r.openAttempts > 0 || m.requests.byID[r.ID] != r {
		return
	}
	m.reportRequestEnded(r)
	m.rememberCallID(r.CallID, r.Class, r.mayHaveRun && r.attempts > 0)
	delete(m.requests.byID, r.ID)
	delete(m.requests.byCallID, r.CallID)
}

// onClientConnClosed counts a client connection that the server closed by itself.
func (m *Machine) onClientConnClosed(ev *ClientConnClosed) {
	m.counters.Closes[ev.Reason]++
	switch {
	case ev.OverLimit:
		m.counters.ConnsRejected++
	case ev.Unread:
		m.counters.ClosedUnread++
	default:
		m.counters.ClosedIdle++
	}
}
