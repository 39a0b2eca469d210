package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/lease"
	"lemongate/internal/usage"
)

// This file implements the handover of the state: the predecessor stops admitting requests and collects its state, the
// successor starts from that state and adopts the attempts that the predecessor has in flight. If the successor fails,
// the predecessor admits requests again.

// requestIDGap is the distance of the IDs of a successor's requests from the last ID of its predecessor, which may
// still assign further ones.
const requestIDGap = 1 << 32

// HandoverState is the state that a predecessor hands over. Clock times are those of its clock, which the
// successor continues.
type HandoverState struct {
	Now            time.Duration
	Controller     []byte // admission.Controller.Snapshot; empty if there is none or taking it failed
	Endpoints      []Endpoint
	Generation     int64     // of Endpoints
	Discovery      string    // address at which the endpoint list is watched
	LastRequest    RequestID // greatest ID of the predecessor's requests; those of the successor are greater
	OpenAttempts   []OpenAttempt
	Usage          *usage.RecorderState  // nil if usage is not accounted for
	LeaseAcceptors []lease.AcceptorState // what this limiter has stored as an acceptor
	UsedCallIDs    []UsedCallID          `since:"0.9.5"` // of requests that must not run again
}

// OpenAttempt is an attempt that a predecessor has in flight.
type OpenAttempt struct {
	admission.Request
	CallID        string
	Attempt       int    // number of the attempt, from 0
	Backend       string // ID
	UsageRecorded bool   // the predecessor recorded the request's units
}

// FinishedAttempt is the result of an attempt of a predecessor.
type FinishedAttempt struct {
	Attempt AttemptID
	Backend string // ID
	Result  admission.Result
	Latency time.Duration
	Report  []float64 // load report, if any
}

func (a *OpenAttempt) attemptID() AttemptID { return AttemptID{a.ID, a.Attempt} }

// openAttempt describes an attempt of a request for the other process.
func (r *request) openAttempt(id AttemptID, backend string) OpenAttempt {
	return OpenAttempt{
		Request: r.Request, CallID: r.CallID, Attempt: id.Number, Backend: backend, UsageRecorded: r.mayHaveRun,
	}
}

// stopAdmitting stops admitting requests. It keeps the requests without an attempt for the process that admits next;
// units reserved for them are returned.
func (m *Machine) stopAdmitting() {
	m.releaseLeases()
	m.emit(PauseListeners{})
	for _, r := range m.requests.inOrder() {
		if !r.answered && r.attempts == 0 {
			m.stepController(&admission.RequestEnded{Request: r.ID})
			m.hotRestart.undecided = append(m.hotRestart.undecided, r)
		}
	}
}

// buildHandoverState returns the state for the successor, which exchanges messages with other limiters from now on.
func (m *Machine) buildHandoverState() HandoverState {
	m.hotRestart.stateSent = true
	state := HandoverState{
		Now:            m.now,
		Generation:     m.endpoints.generation,
		Discovery:      m.endpoints.discovery,
		LastRequest:    m.requests.lastID,
		LeaseAcceptors: m.hotRestart.leaseAcceptors,
		UsedCallIDs:    m.handedOverCallIDs(),
	}
	m.hotRestart.leaseAcceptors = nil
	if m.usage.recorder != nil {
		state.Usage = m.usage.recorder.State()
	}
	snapshot, err := m.admission.controller.Snapshot()
	if err != nil {
		m.logf("snapshot of the admission state failed, successor starts without it: %v", err)
	}
	state.Controller = snapshot
	for _, id := range slices.Sorted(maps.Keys(m.endpoints.byID)) {
		state.Endpoints = append(state.Endpoints, *m.endpoints.byID[id])
	}
	for _, id := range slices.SortedFunc(maps.Keys(m.attempts), compareAttemptIDs) {
		a := m.attempts[id]
		state.OpenAttempts = append(state.OpenAttempts, a.request.openAttempt(id, a.backend))
	}
	return state
}

// compareAttemptIDs orders attempts by request, then by number.
func compareAttemptIDs(a, b AttemptID) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Number, b.Number))
}

// resumeAdmitting admits requests again. If newEpoch is set, the successor has admitted requests meanwhile.
func (m *Machine) resumeAdmitting(newEpoch bool) {
	m.hotRestart.forwarding = false
	m.hotRestart.stateSent = false
	m.emit(SetResourceFraction{Fraction: 1})
	m.emit(ResumeListeners{})
	m.emit(SetAcceptingClients{Accepting: true})
	m.phase = Serving // enterPhase would report readiness again, but the process was ready all along
	m.startLeases()
	m.logf("hot restart did not complete, this process admits requests again")
	if newEpoch {
		m.renewEpoch()
	}
	m.submitUndecided()
	if m.hotRestart.shutdownRequested {
		m.hotRestart.protocol.ShutdownRequested(m.now)
		m.enterPhase(Draining)
	}
}

// renewEpoch starts a new epoch of the limiter, and answers the requests that were forwarded to the successor with
// local replies: it is not known whether they ran.
func (m *Machine) renewEpoch() {
	if m.usage.recorder != nil {
		m.usage.recorder.Reset(m.config.Epoch)
	}
	m.stepController(admission.EpochRenewed{Epoch: m.config.Epoch})
	for _, r := range m.requests.inOrder() {
		if r.forwarded && !r.answered {
			m.endUnserved(r, ReplyHandoverFailed)
		}
	}
}

// submitUndecided submits the requests that arrived while no process admitted requests to the admission controller.
func (m *Machine) submitUndecided() {
	for _, r := range m.hotRestart.undecided {
		if !r.answered {
			m.submit(r)
		}
	}
	m.hotRestart.undecided = nil
}

// startAdmitting starts to admit requests with the state and the sockets that the predecessor sent.
func (m *Machine) startAdmitting() {
	state := m.takeReceivedState()
	m.now = max(m.now, state.Now)
	m.leases.startedAt = m.now
	if m.usage.recorder != nil {
		m.usage.recorder.Restore(state.Usage)
	}
	m.endpoints.discovery = state.Discovery
	m.endpoints.generation = state.Generation
	m.requests.lastID = state.LastRequest + requestIDGap
	m.requests.usedCallIDs.restore(state.UsedCallIDs)
	m.restoreController(state)
	for _, open := range state.OpenAttempts {
		m.onPredecessorAttemptStarted(&open)
	}
	m.holdSlotsOfRetries()
	m.emit(SetResourceFraction{Fraction: sharedFraction})
	m.emit(AdoptSockets{
		Sockets: m.hotRestart.sockets, Now: state.Now, Discovery: state.Discovery, Generation: state.Generation,
		LastRequest: m.requests.lastID,
	})
	m.hotRestart.sockets = nil
	m.startLeases()
	if m.leases.agent != nil {
		m.leases.agent.Restore(state.LeaseAcceptors)
	}
	m.enterPhase(Serving)
	m.emit(SetAcceptingClients{Accepting: true})
}

// takeReceivedState returns the state that the predecessor sent. Where it lacks the endpoint list or the address of
// discovery, or could not be read, the known endpoint list of the configuration and this process's address of discovery
// are used.
func (m *Machine) takeReceivedState() *HandoverState {
	state := m.hotRestart.received
	m.hotRestart.received = nil
	if state == nil {
		state = &HandoverState{Now: m.now}
	}
	if state.Discovery == "" {
		state.Discovery = m.endpoints.discovery
	}
	if len(state.Endpoints) == 0 {
		state.Endpoints = m.config.KnownEndpoints
		state.Generation = m.config.KnownGeneration
	}
	return state
}

// restoreController restores the predecessor's admission state. If that fails, it starts with the endpoint list
// alone.
func (m *Machine) restoreController(state *HandoverState) {
	controller, err := admission.Resume(m.config.Settings, m.config.Seed, state.Controller)
	if err != nil {
		m.logf("took over without the state: %v", err)
		m.applyEndpoints(&EndpointsUpdated{Kind: admission.ListCached, Endpoints: state.Endpoints, Generation: state.Generation})
		return
	}
	controller.LimitCustomers(m.config.MaxCustomers)
	m.admission.controller = controller
	for i := range state.Endpoints {
		endpoint := state.Endpoints[i]
		m.endpoints.byID[endpoint.ID] = &endpoint
	}
	m.stepController(admission.TimerFired{})
}

// onPredecessorAttemptStarted adopts an attempt that the predecessor has in flight. The attempt counts for its backend
// and its customer until it ends.
func (m *Machine) onPredecessorAttemptStarted(open *OpenAttempt) {
	if state := m.hotRestart.received; state != nil {
		state.OpenAttempts = append(state.OpenAttempts, *open)
		return
	}
	m.hotRestart.adopted[open.attemptID()] = open
	if open.CallID != "" {
		m.requests.byCallID[open.CallID] = open.ID
	}
	m.stepController(&admission.AttemptAdopted{Request: open.Request, Attempt: open.Attempt, Backend: open.Backend})
}

// onPredecessorAttemptFinished ends an attempt of the predecessor.
func (m *Machine) onPredecessorAttemptFinished(finished *FinishedAttempt) {
	if m.hotRestart.received != nil {
		m.removeReceivedAttempt(finished)
	}
	open := m.hotRestart.adopted[finished.Attempt]
	if open == nil {
		return
	}
	delete(m.hotRestart.adopted, finished.Attempt)
	if !open.UsageRecorded && !finished.Result.NeverRan() {
		m.recordUsage(&open.Request)
	}
	if m.requests.byCallID[open.CallID] == open.ID {
		delete(m.requests.byCallID, open.CallID)
	}
	m.rememberCallID(open.CallID, open.Class, !finished.Result.NeverRan())
	m.stepController(&admission.AttemptFinished{
		Request: finished.Attempt.Request, Attempt: finished.Attempt.Number, Backend: finished.Backend,
		Result: finished.Result, Latency: finished.Latency, Final: true, Report: finished.Report,
	})
}

// removeReceivedAttempt removes an attempt that ended before the received state was applied: it is deleted from that
// state, and its units are added to the usage there if it may have run and they were not recorded, and its call ID to those
// that must not run again. An attempt that did not succeed may be retried, so it is kept in endedAttempts.
func (m *Machine) removeReceivedAttempt(finished *FinishedAttempt) {
	state := m.hotRestart.received
	state.OpenAttempts = slices.DeleteFunc(state.OpenAttempts, func(open OpenAttempt) bool {
		if open.attemptID() != finished.Attempt {
			return false
		}
		if state.Usage != nil && !open.UsageRecorded && !finished.Result.NeverRan() {
			state.Usage.Add(m.usageKey(&open.Request), open.Units)
		}
		if !finished.Result.NeverRan() && m.mustNotRunTwice(open.CallID, open.Class) {
			used := UsedCallID{hashCallID(open.CallID), state.Now + m.longestBudget()}
			state.UsedCallIDs = append(state.UsedCallIDs, used)
		}
		if finished.Result != admission.Succeeded {
			m.hotRestart.endedAttempts = append(m.hotRestart.endedAttempts, open)
		}
		return true
	})
}

// holdSlotsOfRetries holds slots for the predecessor's requests of which an attempt ended without success before the
// state was applied, unless the requests have ended as well.
func (m *Machine) holdSlotsOfRetries() {
	for _, open := range m.hotRestart.endedAttempts {
		m.stepController(&admission.AttemptAdopted{Request: open.Request, Attempt: open.Attempt})
	}
	for _, id := range m.hotRestart.endedRequests {
		m.stepController(&admission.RequestEnded{Request: id})
	}
	m.hotRestart.endedAttempts, m.hotRestart.endedRequests = nil, nil
}

// reportRequestEnded notifies the successor that a request will have no more attempts, so that its slot is free. Only
// plans with slots need this, and only if no attempt succeeded: ReportAttemptFinished notifies the successor of a success.
func (m *Machine) reportRequestEnded(r *request) {
	if !m.hotRestart.stateSent || r.attempts == 0 || r.succeeded {
		return
	}
	hasSlots := slices.ContainsFunc(m.config.Settings.Plans, func(p admission.Plan) bool {
		return p.Name == r.Plan && p.MaxConcurrent > 0
	})
	if hasSlots {
		m.emit(ReportRequestEnded{Request: r.ID})
	}
}

// onPredecessorRequestEnded frees the slot of a request of the predecessor.
func (m *Machine) onPredecessorRequestEnded(id RequestID) {
	if m.hotRestart.received != nil {
		m.hotRestart.endedRequests = append(m.hotRestart.endedRequests, id)
		return
	}
	m.stepController(&admission.RequestEnded{Request: id})
}
