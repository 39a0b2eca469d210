package core

import (
	"time"

	"lemongate/internal/admission"
)

// This file forwards requests between the two processes of a hot restart: the predecessor has the client
// connections, the successor admits requests.

// forwardMargin is how much earlier a successor answers a forwarded request than a request of its own, so that the
// response reaches the predecessor before the predecessor answers in its place; see responseMargin.
const forwardMargin = 20 * time.Millisecond

// ForwardedRequest is a request that a predecessor forwards to its successor.
type ForwardedRequest struct {
	admission.Request // with the remaining Budget
	CallID            string
	Content           Content
}

// forwardRequests forwards the undecided requests, and starts to forward all that arrive. The client connections stay
// with this process: if they moved and the successor failed in its probation, all requests on them would be lost.
func (m *Machine) forwardRequests() {
	m.hotRestart.forwarding = true
	m.emit(SetAcceptingClients{Accepting: false})
	m.emit(SetResourceFraction{Fraction: sharedFraction})
	for _, r := range m.hotRestart.undecided {
		m.forward(r)
	}
	m.hotRestart.undecided = nil
}

// forward forwards a request to the successor, which admits or rejects it. As this process cannot tell whether the
// request ran, the request counts as one that may have run until the response arrives.
func (m *Machine) forward(r *request) {
	if r.answered {
		return
	}
	r.forwarded = true
	r.mayHaveRun = true
	forwarded := r.Request
	forwarded.Budget = r.remainingBudget(m.now)
	m.emit(ForwardRequest{ForwardedRequest{Request: forwarded, CallID: r.CallID, Content: r.Content}})
}

// onForwardedRequest accepts a request that the predecessor forwards, if this process admits requests already.
func (m *Machine) onForwardedRequest(ev *ForwardedRequestReceived) {
	if m.phase < Serving {
		return
	}
	received := &RequestReceived{ReceivedAt: m.now, Request: ev.Request, CallID: ev.CallID, Content: ev.Content}
	m.acceptRequest(received, true)
}

// onForwardedResponse answers a request with the successor's response.
func (m *Machine) onForwardedResponse(ev *ForwardedResponseReceived) {
	r := m.requests.byID[ev.Request]
	if r != nil && r.forwarded {
		m.endRequest(ev.Request, ev.Respond)
	}
}
