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

// This file hands the state over: the predecessor stops admitting and packs it, the successor starts
// from it and adopts the attempts that the predecessor has in flight; or the predecessor admits again.

// requestIDGap is how far the IDs of a successor's requests are from those that its predecessor may
// still give.
const requestIDGap = 1 << 32

// HandoverState is the state that a predecessor hands over. Clock times are by its clock, which the
// successor goes on with.
type HandoverState struct {
	Now            time.Duration
	Controller     []byte // admission.Controller.Snapshot; empty where there is none or it failed
	Endpoints      []Endpoint
	Generation     int64     // of Endpoints
	Discovery      string    // address at which the endpoint list is watched
	LastRequest    RequestID // the successor's requests are numbered from beyond this
	OpenAttempts   []OpenAttempt
	Usage          *usage.RecorderState  // nil where usage is not accounted for
	LeaseAcceptors []lease.AcceptorState // what this limiter keeps as an acceptor
}

// OpenAttempt is an attempt that a predecessor has in flight.
type OpenAttempt struct {
	admission.Request
	CallID        string
	Attempt       int    // number of the attempt, from 0
	Backend       string // ID
	UsageRecorded bool   // the predecessor recorded the request's units
}

// FinishedAttempt is how an attempt of a predecessor ended.
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

// stopAdmitting keeps the requests without an attempt for whichever process admits next. Units reserved
// for them go back.
func (m *Machine) stopAdmitting() {
	m.releaseLeases()
	m.emit(PauseListeners{})
	for _, r := range m.requests.inOrder() {
		if !r.answered && r.attempts == 0 {
			m.decide(&admission.RequestEnded{Request: r.ID})
			m.hotRestart.undecided = append(m.hotRestart.undecided, r)
		}
	}
}

// packState returns the state for the successor, which from now on exchanges messages with other limiters.
func (m *Machine) packState() HandoverState {
	m.hotRestart.stateSent = true
	state := HandoverState{
		Now:            m.now,
		Generation:     m.endpoints.generation,
		Discovery:      m.endpoints.discovery,
		LastRequest:    m.requests.lastID,
		LeaseAcceptors: m.hotRestart.leaseAcceptors,
	}
	m.hotRestart.leaseAcceptors = nil
	if m.usage.recorder != nil {
		state.Usage = m.usage.recorder.State()
	}
	snapshot, err := m.admission.controller.Snapshot()
	if err != nil {
		m.logf("successor starts without the admission state: %v", err)
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

// resumeAdmitting admits again. With newEpoch the successor admitted meanwhile.
func (m *Machine) resumeAdmitting(newEpoch bool) {
	m.hotRestart.forwarding = false
	m.hotRestart.stateSent = false
	m.emit(SetResourceFraction{Fraction: 1})
	m.emit(ResumeListeners{})
	m.emit(SetAcceptingClients{Accepting: true})
	m.phase = Serving // not enterPhase: the process was ready all along
	m.startLeases()
	m.logf("no successor took over, this process admits again")
	if newEpoch {
		m.renewEpoch()
	}
	m.submitUndecided()
	if m.hotRestart.shutdownRequested {
		m.hotRestart.protocol.ShutdownRequested(m.now)
		m.enterPhase(Draining)
	}
}

// renewEpoch starts a new epoch of the limiter, and answers the requests that the successor was to decide:
// it is not known whether they ran.
func (m *Machine) renewEpoch() {
	if m.usage.recorder != nil {
		m.usage.recorder.Reset(m.config.Epoch)
	}
	m.decide(admission.EpochRenewed{Epoch: m.config.Epoch})
	for _, r := range m.requests.inOrder() {
		if r.forwarded && !r.answered {
			m.endUnserved(r)
		}
	}
}

// submitUndecided has the admission controller decide the requests that came while no process admitted.
func (m *Machine) submitUndecided() {
	for _, r := range m.hotRestart.undecided {
		if !r.answered {
			m.submit(r)
		}
	}
	m.hotRestart.undecided = nil
}

// startAdmitting starts with the state and the sockets that the predecessor sent.
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

// takeReceivedState returns the state that the predecessor sent. What it lacks is taken from the
// configuration, all of it where the state could not be read.
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

// restoreController goes on with the predecessor's admission state, or starts with the endpoint list
// alone where that cannot be used.
func (m *Machine) restoreController(state *HandoverState) {
	controller, err := admission.Resume(m.config.Settings, m.config.Seed, state.Controller)
	if err != nil {
		m.logf("took over without the state: %v", err)
		m.applyEndpoints(&EndpointsUpdated{Kind: admission.ListCached, Endpoints: state.Endpoints, Generation: state.Generation})
		return
	}
	m.admission.controller = controller
	for i := range state.Endpoints {
		endpoint := state.Endpoints[i]
		m.endpoints.byID[endpoint.ID] = &endpoint
	}
	m.decide(admission.TimerFired{})
}

// onPredecessorAttemptStarted adopts an attempt that the predecessor has in flight. It counts at its backend
// and for its customer until it ends.
func (m *Machine) onPredecessorAttemptStarted(open *OpenAttempt) {
	if state := m.hotRestart.received; state != nil {
		state.OpenAttempts = append(state.OpenAttempts, *open)
		return
	}
	m.hotRestart.adopted[open.attemptID()] = open
	if open.CallID != "" {
		m.requests.byCallID[open.CallID] = open.ID
	}
	m.decide(&admission.AttemptAdopted{Request: open.Request, Attempt: open.Attempt, Backend: open.Backend})
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
	m.decide(&admission.AttemptFinished{
		Request: finished.Attempt.Request, Attempt: finished.Attempt.Number, Backend: finished.Backend,
		Result: finished.Result, Latency: finished.Latency, Final: true, Report: finished.Report,
	})
}

// removeReceivedAttempt removes an attempt that ended before the received state is applied, and records
// its units there.
func (m *Machine) removeReceivedAttempt(finished *FinishedAttempt) {
	state := m.hotRestart.received
	state.OpenAttempts = slices.DeleteFunc(state.OpenAttempts, func(open OpenAttempt) bool {
		if open.attemptID() != finished.Attempt {
			return false
		}
		if state.Usage != nil && !open.UsageRecorded && !finished.Result.NeverRan() {
			state.Usage.Add(m.usageKey(&open.Request), open.Units)
		}
		if finished.Result != admission.Succeeded {
			m.hotRestart.awaited = append(m.hotRestart.awaited, open)
		}
		return true
	})
}

// holdSlotsOfRetries holds slots for the predecessor's requests whose attempts ended without success before the state
// was applied, unless they have ended as well.
func (m *Machine) holdSlotsOfRetries() {
	for _, open := range m.hotRestart.awaited {
		m.decide(&admission.AttemptAdopted{Request: open.Request, Attempt: open.Attempt})
	}
	for _, id := range m.hotRestart.ended {
		m.decide(&admission.RequestEnded{Request: id})
	}
	m.hotRestart.awaited, m.hotRestart.ended = nil, nil
}

// reportRequestEnded notifies the successor that a request will have no more attempts, so that its slot is free. It
// matters for plans with slots alone, and after an attempt that succeeded the successor knows.
func (m *Machine) reportRequestEnded(r *request) {
	if !m.hotRestart.stateSent || r.attempts == 0 || r.succeeded || m.requests.byID[r.ID] != r {
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
		m.hotRestart.ended = append(m.hotRestart.ended, id)
		return
	}
	m.decide(&admission.RequestEnded{Request: id})
}
