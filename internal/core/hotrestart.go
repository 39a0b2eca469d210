package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/hotrestart"
	"lemongate/internal/lease"
	"lemongate/internal/usage"
)

// This file is the reducer's side of a takeover: two processes of one limiter, of which one
// admits. See internal/handover for who does when. What the elder has open stays with it to
// its final answer; what comes to the elder after its yield is passed on (relayed), decided
// by the heir and answered by the elder.

// forwardMargin is how much earlier than its client wants it the heir answers a relayed req,
// so that the answer is with the elder before the elder gives up.
const forwardMargin = 20 * time.Millisecond

// HandoverState is the state that goes over. Times are of the elder's clock, which the heir goes by.
type HandoverState struct {
	Now            time.Duration
	Controller     []byte // Gateway.Snapshot; empty where there is none, or none that could be packed
	Endpoints      []Endpoint
	Generation     int64     // of the list
	Source         string    // where discovery is watched
	LastRequest    RequestID // the heir's own reqs are numbered beyond this
	OpenAttempts   []OpenAttempt
	Usage          *usage.RecorderState  // what was sent on; nil for none
	LeaseAcceptors []lease.AcceptorState // what this limiter keeps of leases
}

// OpenAttempt tells of an attempt that the elder has out.
type OpenAttempt struct {
	admission.Request
	CallID        string
	Attempt       int
	Backend       string
	UsageRecorded bool // its units are in the elder's book
}

// An FinishedAttempt tells how such an attempt ended.
type FinishedAttempt struct {
	Attempt AttemptID
	Backend string
	Result  admission.Result
	Latency time.Duration
	Report  []float64
}

// A ForwardedRequest is a req that came to the elder after its yield.
type ForwardedRequest struct {
	admission.Request // its Budget is what is left
	CallID            string
	Content           Content
}

// Events of a takeover. All come from the link to the other process.
type (
	// SuccessorConnected tells that a successor has said Hello on a link. Fits is false where it is no
	// successor of this process, and Why says so.
	SuccessorConnected struct {
		Link   Content
		Reason string
	}
	// LinkMessageReceived tells what the other process said, and what came with it: Inherit with
	// Transfer, and Sockets for the edges.
	LinkMessageReceived struct {
		Kind    hotrestart.Kind
		State   *HandoverState
		Sockets Content
	}
	// LinkClosed tells that the other process is dead or has hung up. Epoch is what this
	// limiter's next start would have.
	LinkClosed struct{ Epoch uint32 }
	// PeerAttemptStarted and KinOver follow the elder's attempts at the heir.
	PeerAttemptStarted  struct{ OpenAttempt }
	PeerAttemptFinished struct{ FinishedAttempt }
	// ForwardedRequestReceived brings a relayed req to the heir, KinLeft tells that its client has gone.
	ForwardedRequestReceived struct{ ForwardedRequest }
	ForwardedRequestCanceled struct{ Request RequestID }
	// ForwardedResponseReceived brings the heir's answer to the elder.
	ForwardedResponseReceived struct{ Respond }
)

func (*SuccessorConnected) event()        {}
func (*LinkMessageReceived) event()       {}
func (LinkClosed) event()                 {}
func (*PeerAttemptStarted) event()        {}
func (*PeerAttemptFinished) event()       {}
func (*ForwardedRequestReceived) event()  {}
func (ForwardedRequestCanceled) event()   {}
func (*ForwardedResponseReceived) event() {}

// Effects of a takeover.
type (
	// ConnectPredecessor looks for a process that runs already, and says Hello.
	ConnectPredecessor struct{}
	// AcceptSuccessor goes on with a successor; KinDeny turns one away.
	AcceptSuccessor struct{ Link Content }
	DenySuccessor   struct {
		Link   Content
		Reason string
	}
	// SendLinkMessage says something; KinTransfer does so with the state and the sockets.
	SendLinkMessage struct{ Kind hotrestart.Kind }
	TransferState   struct{ State HandoverState }
	// CloseLink closes the link after what was sent, KinFence ends the other process.
	CloseLink         struct{}
	KillLinkedProcess struct{}
	// ReportAttemptStarted, KinEnded, KinRelay, KinGave and KinReply tell the other process.
	ReportAttemptStarted   struct{ OpenAttempt }
	ReportAttemptFinished  struct{ FinishedAttempt }
	ForwardRequest         struct{ ForwardedRequest }
	CancelForwardedRequest struct{ Request RequestID } // its client has gone, or it is answered
	SendForwardedResponse  struct{ Respond }
	// OpenListeners begins a start with nothing from an elder. Wait means that one may still hold
	// the address for a while.
	OpenListeners struct{ Wait bool }
	// AdoptSockets begins to serve on the sockets that came, from the list as it was.
	AdoptSockets struct {
		Sockets     Content
		Now         time.Duration
		Source      string
		Generation  int64
		LastRequest RequestID
	}
	// PauseListeners stops accepting and listening to peers; Unpause goes on with both.
	PauseListeners  struct{}
	ResumeListeners struct{}
	// MoveClientConns hands the client sessions between reqs to the heir, now and as they get there.
	MoveClientConns struct{}
	// SetAcceptingClients sets whether this process, of the two, takes clients.
	SetAcceptingClients struct{ Accepting bool }
	// SetResourceShare sets which part of the platform's limits this process may use.
	SetResourceShare struct{ Fraction float64 }
	// AcceptSuccessors lets a successor find this process.
	AcceptSuccessors struct{}
	// Abort ends the program, which never served, with an error.
	Abort struct{ Reason string }
)

func (ConnectPredecessor) effect()     {}
func (AcceptSuccessor) effect()        {}
func (DenySuccessor) effect()          {}
func (SendLinkMessage) effect()        {}
func (TransferState) effect()          {}
func (CloseLink) effect()              {}
func (KillLinkedProcess) effect()      {}
func (ReportAttemptStarted) effect()   {}
func (ReportAttemptFinished) effect()  {}
func (ForwardRequest) effect()         {}
func (CancelForwardedRequest) effect() {}
func (SendForwardedResponse) effect()  {}
func (OpenListeners) effect()          {}
func (AdoptSockets) effect()           {}
func (PauseListeners) effect()         {}
func (ResumeListeners) effect()        {}
func (MoveClientConns) effect()        {}
func (SetAcceptingClients) effect()    {}
func (SetResourceShare) effect()       {}
func (AcceptSuccessors) effect()       {}
func (Abort) effect()                  {}

// hotRestart is what a reducer remembers of a takeover.
type hotRestart struct {
	*hotrestart.Machine
	config            Config
	forwarding        bool // what comes in is the heir's
	stateSent         bool // the state has gone: peers hear the heir alone, and that one hears of all attempts
	waiting           []*request
	received          *HandoverState // came, and is not used yet
	sockets           Content
	adopted           map[AttemptID]*OpenAttempt // the elder's attempts
	timerAt           time.Duration              // of the timer that stands
	shutdownRequested bool                       // SIGTERM came
	leaseAcceptors    []lease.AcceptorState
}

// onHotRestartEvent takes in an event of a takeover, and tells whether it was one.
func (r *Machine) onHotRestartEvent(ev Event) bool {
	switch ev := ev.(type) {
	case *SuccessorConnected:
		r.onSuccessorConnected(ev)
	case *LinkMessageReceived:
		if ev.Kind == hotrestart.Transfer {
			r.hotRestart.received, r.hotRestart.sockets = ev.State, ev.Sockets
		}
		r.applyHotRestart(r.hotRestart.MessageReceived(r.now, ev.Kind))
	case LinkClosed:
		r.onLinkClosed(ev)
	case *PeerAttemptStarted:
		r.adoptAttempt(&ev.OpenAttempt)
	case *PeerAttemptFinished:
		r.finishAdoptedAttempt(&ev.FinishedAttempt)
	case *ForwardedRequestReceived:
		if r.phase >= Serving {
			r.onRequest(&RequestReceived{ReceivedAt: r.now, Request: ev.Request, CallID: ev.CallID, Content: ev.Content}, true)
		}
	case ForwardedRequestCanceled:
		r.onClientDisconnected(ev.Request)
	case *ForwardedResponseReceived:
		if q := r.requests[ev.Request]; q != nil && q.forwarded {
			r.respond(q, ev.Respond)
			r.forget(q)
		}
	default:
		return false
	}
	return true
}

func (r *Machine) onSuccessorConnected(ev *SuccessorConnected) {
	why := ev.Reason
	if why == "" && r.phase != Serving {
		why = "this process is " + r.phase.String()
	}
	if why == "" {
		if effects, ok := r.hotRestart.PeerConnected(r.now); ok {
			r.emit(Log{Text: "a successor gets ready"})
			r.emit(AcceptSuccessor{Link: ev.Link})
			r.applyHotRestart(effects)
			return
		}
		why = "another takeover is under way"
	}
	r.emit(DenySuccessor{Link: ev.Link, Reason: why})
}

// onLinkClosed tells the machine, and ends what hung on the other process.
func (r *Machine) onLinkClosed(ev LinkClosed) {
	r.config.Epoch = ev.Epoch
	r.applyHotRestart(r.hotRestart.LinkClosed(r.now))
	for id, b := range r.hotRestart.adopted { // an elder's: it is dead, and what it had out with it
		r.finishAdoptedAttempt(&FinishedAttempt{Attempt: id, Backend: b.Backend, Result: admission.Canceled})
	}
}

// applyHotRestart carries out what the machine wants.
func (r *Machine) applyHotRestart(effects []hotrestart.Effect) {
	for _, e := range append([]hotrestart.Effect(nil), effects...) {
		switch e := e.(type) {
		case hotrestart.Send:
			if e.Kind == hotrestart.Transfer {
				r.emit(TransferState{State: r.packState()})
			} else {
				r.emit(SendLinkMessage{Kind: e.Kind})
			}
		case hotrestart.StopAdmitting:
			r.enterPhase(TransferringState)
		case hotrestart.ResumeAdmitting:
			r.resumeAdmitting(e.NewEpoch)
		case hotrestart.ForwardRequests:
			r.enterPhase(HandedOver)
		case hotrestart.StartAdmitting:
			r.startAdmitting()
		case hotrestart.RunAlone:
			r.emit(SetResourceShare{Fraction: 1})
			r.emit(AcceptSuccessors{})
		case hotrestart.Finish:
			r.emit(Log{Text: "the successor serves for good; its longest silence was " + r.hotRestart.LongestSilence().Round(time.Millisecond).String()})
			if r.phase < Closing {
				r.enterPhase(Closing)
			}
		case hotrestart.StartFresh:
			r.startFresh(e.Wait)
		case hotrestart.ConnectPredecessor:
			r.emit(ConnectPredecessor{})
		case hotrestart.KillPeer:
			r.emit(Log{Text: "the other process hangs, and is ended"})
			r.emit(KillLinkedProcess{})
		case hotrestart.CloseLink:
			r.emit(CloseLink{})
		case hotrestart.Abort:
			r.emit(Abort{Reason: e.Reason})
		}
	}
}

// stopAdmitting ends admitting: what has not been sent on waits for whoever admits next, and gives
// back what it holds of its quota.
func (r *Machine) stopAdmitting() {
	r.releaseLeases()
	r.emit(PauseListeners{})
	for _, q := range r.requestsInOrder() {
		if !q.answered && q.attempts == 0 {
			r.decide(&admission.RequestEnded{Request: q.id})
			r.hotRestart.waiting = append(r.hotRestart.waiting, q)
		}
	}
}

// requestsInOrder gives the reqs in the order in which they came.
func (r *Machine) requestsInOrder() (list []*request) {
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		list = append(list, r.requests[id])
	}
	return list
}

// packState words the state for the heir.
func (r *Machine) packState() HandoverState {
	r.hotRestart.stateSent = true
	x := HandoverState{Now: r.now, Generation: r.generation, Source: r.discoveryAddr, LastRequest: r.lastRequest}
	x.LeaseAcceptors, r.hotRestart.leaseAcceptors = r.hotRestart.leaseAcceptors, nil
	if r.usage.recorder != nil {
		x.Usage = r.usage.recorder.State()
	}
	var err error
	if x.Controller, err = r.controller.Snapshot(); err != nil {
		r.emit(Log{Text: "the heir starts with no state: " + err.Error()})
	}
	for _, id := range slices.Sorted(maps.Keys(r.backends)) {
		x.Endpoints = append(x.Endpoints, *r.backends[id])
	}
	for _, id := range slices.SortedFunc(maps.Keys(r.attempts), compareAttemptIDs) {
		f := r.attempts[id]
		x.OpenAttempts = append(x.OpenAttempts, f.request.openAttempt(id, f.backend))
	}
	return x
}

// compareAttemptIDs orders attempts by request, then by attempt number.
func compareAttemptIDs(a, b AttemptID) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Number, b.Number))
}

func (q *request) openAttempt(id AttemptID, backend string) OpenAttempt {
	return OpenAttempt{Request: q.event.Request, CallID: q.callID, Attempt: id.Number, Backend: backend, UsageRecorded: q.mayHaveRun}
}

// forwardRequests hands over what waited, and all that comes from now on. Client sessions stay: with an
// heir that hangs or dies in its trial all reqs on them would be lost.
func (r *Machine) forwardRequests() {
	r.hotRestart.forwarding = true
	r.emit(SetAcceptingClients{Accepting: false})
	r.emit(SetResourceShare{Fraction: 0.5})
	for _, q := range r.hotRestart.waiting {
		r.forward(q)
	}
	r.hotRestart.waiting = nil
}

// forward has the heir decide a req. Whether it runs there is not known here until its answer.
func (r *Machine) forward(q *request) {
	if q.answered {
		return
	}
	q.forwarded, q.mayHaveRun = true, true
	ev := q.event.Request
	ev.Budget = q.deadline + responseMargin - r.now
	r.emit(ForwardRequest{ForwardedRequest{Request: ev, CallID: q.callID, Content: q.content}})
}

// resumeAdmitting admits again. What the heir was to decide is answered: nobody knows whether it ran.
func (r *Machine) resumeAdmitting(renew bool) {
	r.hotRestart.forwarding, r.hotRestart.stateSent = false, false
	r.emit(SetResourceShare{Fraction: 1})
	r.emit(ResumeListeners{})
	r.emit(SetAcceptingClients{Accepting: true})
	r.phase = Serving
	r.startLeases()
	r.emit(Log{Text: "this process serves on"})
	if renew {
		if r.usage.recorder != nil {
			r.usage.recorder.Reset(r.config.Epoch)
		}
		r.decide(admission.EpochRenewed{Epoch: r.config.Epoch})
		for _, q := range r.requestsInOrder() {
			if q.forwarded && !q.answered {
				r.onDeadline(q.id)
				r.counters.Overdue-- // not for want of time
			}
		}
	}
	for _, q := range r.hotRestart.waiting {
		if !q.answered {
			r.submit(q)
		}
	}
	r.hotRestart.waiting = nil
	if r.hotRestart.shutdownRequested {
		r.hotRestart.ShutdownRequested(r.now)
		r.enterPhase(Draining)
	}
}

// startAdmitting begins to admit by what the elder sent.
func (r *Machine) startAdmitting() {
	x := r.hotRestart.received
	r.hotRestart.received = nil
	if x == nil { // it could not be read
		x = &HandoverState{Now: r.now}
	}
	if x.Source == "" {
		x.Source = r.discoveryAddr
	}
	if len(x.Endpoints) == 0 {
		x.Endpoints, x.Generation = r.config.KnownEndpoints, r.config.Generation
	}
	r.now = max(r.now, x.Now)
	r.leases.startedAt = r.now
	if r.usage.recorder != nil {
		r.usage.recorder.Restore(x.Usage)
	}
	r.discoveryAddr, r.generation, r.lastRequest = x.Source, x.Generation, x.LastRequest+requestIDGap
	gate, err := admission.Resume(r.config.Settings, r.config.Seed, x.Controller)
	if err == nil {
		r.controller = gate
		for _, e := range x.Endpoints {
			r.backends[e.ID] = &e
		}
		r.decide(admission.TimerFired{})
	} else {
		r.emit(Log{Text: "took over without the state: " + err.Error()})
		r.onEndpoints(&EndpointsUpdated{Kind: admission.ListCached, Endpoints: x.Endpoints, Generation: x.Generation})
	}
	for i := range x.OpenAttempts {
		r.adoptAttempt(&x.OpenAttempts[i])
	}
	r.emit(SetResourceShare{Fraction: 0.5})
	r.emit(AdoptSockets{Sockets: r.hotRestart.sockets, Now: x.Now, Source: x.Source, Generation: x.Generation, LastRequest: r.lastRequest})
	r.hotRestart.sockets = nil
	r.startLeases()
	if r.leases.agent != nil {
		r.leases.agent.Restore(x.LeaseAcceptors)
	}
	r.enterPhase(Serving)
	r.emit(SetAcceptingClients{Accepting: true})
}

// requestIDGap is how far the numbers of an heir's reqs are from those that its elder may
// still give.
const requestIDGap = 1 << 32

// startFresh starts with nothing from an elder.
func (r *Machine) startFresh(wait bool) {
	r.emit(OpenListeners{Wait: wait})
	r.emit(AcceptSuccessors{})
	settle := discoveryTimeout
	if len(r.config.KnownEndpoints) > 0 {
		settle = cachedListTimeout
	}
	r.phase = Starting
	r.timers.add(timer{at: r.now + settle, kind: discoveryTimer})
	r.generation = r.config.Generation
	r.onEndpoints(&EndpointsUpdated{Kind: admission.ListCached, Endpoints: r.config.KnownEndpoints, Generation: r.config.Generation})
	r.startLeases()
}

// adoptAttempt books an attempt of the elder's.
func (r *Machine) adoptAttempt(b *OpenAttempt) {
	if x := r.hotRestart.received; x != nil { // not used yet
		x.OpenAttempts = append(x.OpenAttempts, *b)
		return
	}
	r.hotRestart.adopted[AttemptID{b.ID, b.Attempt}] = b
	if b.CallID != "" {
		r.requestsByCallID[b.CallID] = b.ID
	}
	r.decide(&admission.AttemptAdopted{Request: b.Request, Attempt: b.Attempt, Backend: b.Backend})
}

// finishAdoptedAttempt books its end.
func (r *Machine) finishAdoptedAttempt(e *FinishedAttempt) {
	if x := r.hotRestart.received; x != nil {
		x.OpenAttempts = slices.DeleteFunc(x.OpenAttempts, func(b OpenAttempt) bool {
			if (AttemptID{b.ID, b.Attempt}) != e.Attempt {
				return false
			}
			if x.Usage != nil && !b.UsageRecorded && !e.Result.NeverRan() {
				x.Usage.Add(r.usageKey(&b.Request), b.Units)
			}
			return true
		})
	}
	b := r.hotRestart.adopted[e.Attempt]
	if b == nil {
		return
	}
	delete(r.hotRestart.adopted, e.Attempt)
	if !b.UsageRecorded && !e.Result.NeverRan() {
		r.recordUsage(&b.Request)
	}
	if r.requestsByCallID[b.CallID] == b.ID {
		delete(r.requestsByCallID, b.CallID)
	}
	r.decide(&admission.AttemptFinished{
		Request: e.Attempt.Request, Attempt: e.Attempt.Number, Backend: e.Backend, Result: e.Result, Latency: e.Latency,
		Final: true, Report: e.Report,
	})
}

// armHotRestartTimer keeps a timer for what the machine has due.
func (r *Machine) armHotRestartTimer() {
	if at, ok := r.hotRestart.NextDeadline(); ok && at != r.hotRestart.timerAt {
		r.hotRestart.timerAt = at
		r.timers.add(timer{at: at, kind: hotRestartTimer})
	}
}
