package core

import (
	"maps"
	"slices"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/hotrestart"
	"lemongate/internal/lease"
)

// This file connects the machine to the hot restart protocol. Of the two processes of one limiter, one admits requests.
// Package hotrestart decides which one, and this file carries out the decisions. Requests with an attempt of the
// predecessor stay with the predecessor until they are answered. It forwards other requests, and those that it receives
// after it has stopped admitting, to the successor, which admits or rejects them, and passes the responses on to its
// clients.

// sharedFraction is the fraction of the platform's limits that each of the two processes may use.
const sharedFraction = 0.5

// hotRestartState is the state of the hot restart in progress, if there is one.
type hotRestartState struct {
	protocol          *hotrestart.Machine
	timerAt           time.Duration // clock time for which its timer is set; 0 for none
	shutdownRequested bool

	// State of a predecessor.
	stateSent      bool                  // the successor exchanges messages with other limiters, and follows attempts here
	forwarding     bool                  // the successor admits requests: they are forwarded to it
	undecided      []*request            // requests to be admitted or rejected by the process that admits next
	leaseAcceptors []lease.AcceptorState // to be sent with the state

	// State of a successor.
	received      *HandoverState             // state that is not applied yet; nil for none
	sockets       Content                    // sockets that were sent with the state
	adopted       map[AttemptID]*OpenAttempt // the predecessor's attempts in flight
	endedAttempts []OpenAttempt              // ended without success before the state is applied, and may be retried
	endedRequests []RequestID                // ended before the state is applied
}

// newHotRestartState returns the state of a process that looks for a predecessor, or of one without hot restart if
// limits is nil.
func newHotRestartState(limits *hotrestart.Limits, now time.Duration) hotRestartState {
	s := hotRestartState{adopted: map[AttemptID]*OpenAttempt{}}
	if limits == nil {
		s.protocol = hotrestart.New(hotrestart.Limits{}, false, now)
	} else {
		s.protocol = hotrestart.New(*limits, true, now)
	}
	return s
}

// handleLinkEvent handles an event of the link to the other process.
func (m *Machine) handleLinkEvent(ev Event) {
	switch ev := ev.(type) {
	case *SuccessorConnected:
		m.onSuccessorConnected(ev)
	case *LinkMessageReceived:
		m.onLinkMessage(ev)
	case LinkClosed:
		m.onLinkClosed(ev)
	case *PredecessorAttemptStarted:
		m.onPredecessorAttemptStarted(&ev.OpenAttempt)
	case *PredecessorAttemptFinished:
		m.onPredecessorAttemptFinished(&ev.FinishedAttempt)
	case PredecessorRequestEnded:
		m.onPredecessorRequestEnded(ev.Request)
	case *ForwardedRequestReceived:
		m.onForwardedRequest(ev)
	case ForwardedRequestCanceled:
		m.onClientDisconnected(ev.Request, DisconnectClosed)
	case *ForwardedResponseReceived:
		m.onForwardedResponse(ev)
	case InheritedUsageSent:
		m.onInheritedUsageSent()
	}
}

// onSuccessorConnected accepts a successor, unless it cannot be one of this process or this process cannot have one now.
func (m *Machine) onSuccessorConnected(ev *SuccessorConnected) {
	reason := ev.Reason
	if reason == "" && m.phase != Serving {
		reason = "this process is " + m.phase.String()
	}
	if reason != "" {
		m.emit(DenySuccessor{Link: ev.Link, Reason: reason})
		return
	}
	effects, ok := m.hotRestart.protocol.SuccessorConnected(m.now)
	if !ok {
		m.emit(DenySuccessor{Link: ev.Link, Reason: "another takeover is under way"})
		return
	}
	m.logf("successor connected, waiting until it is prepared")
	m.emit(AcceptSuccessor{Link: ev.Link})
	m.applyHotRestart(effects)
}

func (m *Machine) onLinkMessage(ev *LinkMessageReceived) {
	if ev.Kind == hotrestart.Transfer {
		m.hotRestart.received = ev.State
		m.hotRestart.endedAttempts, m.hotRestart.endedRequests = nil, nil
		m.hotRestart.sockets = ev.Sockets
	}
	m.applyHotRestart(m.hotRestart.protocol.MessageReceived(m.now, ev.Kind))
}

// onLinkClosed continues without the other process, and ends the attempts that a predecessor had in flight.
func (m *Machine) onLinkClosed(ev LinkClosed) {
	m.config.Epoch = ev.Epoch
	m.applyHotRestart(m.hotRestart.protocol.LinkClosed(m.now))
	for _, id := range slices.SortedFunc(maps.Keys(m.hotRestart.adopted), compareAttemptIDs) {
		backend := m.hotRestart.adopted[id].Backend
		m.onPredecessorAttemptFinished(&FinishedAttempt{Attempt: id, Backend: backend, Result: admission.Canceled})
	}
}

func (m *Machine) onHotRestartTimer() {
	m.hotRestart.timerAt = 0
	m.applyHotRestart(m.hotRestart.protocol.Tick(m.now))
}

// armHotRestartTimer sets a timer for the next deadline of the protocol.
func (m *Machine) armHotRestartTimer() {
	at, ok := m.hotRestart.protocol.NextDeadline()
	if !ok || at == m.hotRestart.timerAt {
		return
	}
	m.hotRestart.timerAt = at
	m.timers.add(timer{at: at, kind: hotRestartTimer})
}

// applyHotRestart carries out effects of the protocol. It copies them first, as one of them may lead to another call
// of the protocol, which reuses the slice.
func (m *Machine) applyHotRestart(effects []hotrestart.Effect) {
	for _, effect := range slices.Clone(effects) {
		m.applyHotRestartEffect(effect)
	}
}

func (m *Machine) applyHotRestartEffect(effect hotrestart.Effect) {
	switch effect := effect.(type) {
	case hotrestart.Send:
		m.sendLinkMessage(effect.Kind)
	case hotrestart.StopAdmitting:
		m.enterPhase(TransferringState)
	case hotrestart.ResumeAdmitting:
		m.resumeAdmitting(effect.NewEpoch)
	case hotrestart.ForwardRequests:
		m.enterPhase(HandedOver)
	case hotrestart.StartAdmitting:
		m.startAdmitting()
	case hotrestart.RunAlone:
		m.emit(SetResourceFraction{Fraction: 1})
		m.emit(ListenForSuccessors{})
	case hotrestart.Finish:
		m.finishHotRestart()
	case hotrestart.StartFresh:
		m.startFresh(effect.Wait)
	case hotrestart.ConnectPredecessor:
		m.emit(ConnectPredecessor{})
	case hotrestart.KillOtherProcess:
		m.logf("killing the other process of the hot restart, which does not respond")
		m.emit(KillOtherProcess{})
	case hotrestart.CloseLink:
		m.emit(CloseLink{})
	case hotrestart.Abort:
		m.emit(Abort{Reason: effect.Reason})
	}
}

// sendLinkMessage sends a message of the protocol; Transfer is sent with the state.
func (m *Machine) sendLinkMessage(kind hotrestart.Kind) {
	if kind == hotrestart.Transfer {
		m.emit(TransferState{State: m.buildHandoverState()})
		return
	}
	m.emit(SendLinkMessage{Kind: kind})
}

// finishHotRestart ends this process after the successor has passed its probation.
func (m *Machine) finishHotRestart() {
	longestGap := m.hotRestart.protocol.LongestHeartbeatGap().Round(time.Millisecond)
	m.logf("successor committed, longest time between two of its heartbeats: %v", longestGap)
	if m.phase < Closing {
		m.enterPhase(Closing)
	}
}
