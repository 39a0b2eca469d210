package core

import (
	"maps"
	"slices"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/hotrestart"
	"lemongate/internal/lease"
)

// This file is the hot restart as the program sees it: of the two processes of one limiter, one admits.
// Package hotrestart decides which, and this file carries that out. Requests with an
// attempt of the predecessor stay with it until they are answered. Other requests, and those it receives
// after it has stopped admitting, it forwards to the successor, which decides them, and passes the
// responses on to its clients.

// sharedFraction is the fraction of the platform's limits that each process may use while there are two.
const sharedFraction = 0.5

// hotRestartState is the hot restart that is under way, if one is.
type hotRestartState struct {
	protocol          *hotrestart.Machine
	timerAt           time.Duration // clock time of its timer in force; 0 for none
	shutdownRequested bool

	// As the predecessor.
	stateSent      bool                  // the successor exchanges messages with other limiters, and follows the attempts here
	forwarding     bool                  // the successor admits: requests are forwarded to it
	undecided      []*request            // requests to be decided by whichever process admits next
	leaseAcceptors []lease.AcceptorState // to be sent with the state

	// As the successor.
	received *HandoverState             // state that is not applied yet; nil for none
	sockets  Content                    // that came with the state
	adopted  map[AttemptID]*OpenAttempt // the predecessor's attempts in flight
	awaited  []OpenAttempt              // ended without success before the state is applied, and may be retried
	ended    []RequestID                // ended before the state is applied
}

// newHotRestartState returns the state of a process that looks for a predecessor, or where limits is nil
// of one that never does a hot restart.
func newHotRestartState(limits *hotrestart.Limits, now time.Duration) hotRestartState {
	s := hotRestartState{adopted: map[AttemptID]*OpenAttempt{}}
	if limits == nil {
		s.protocol = hotrestart.New(hotrestart.Limits{}, false, now)
	} else {
		s.protocol = hotrestart.New(*limits, true, now)
	}
	return s
}

// handleLinkEvent takes in an event from the link to the other process.
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
		m.onClientDisconnected(ev.Request)
	case *ForwardedResponseReceived:
		m.onForwardedResponse(ev)
	case InheritedUsageSent:
		m.onInheritedUsageSent()
	}
}

// onSuccessorConnected accepts a successor, unless it does not fit or this process can have none now.
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
	m.logf("successor connected, it gets ready")
	m.emit(AcceptSuccessor{Link: ev.Link})
	m.applyHotRestart(effects)
}

func (m *Machine) onLinkMessage(ev *LinkMessageReceived) {
	if ev.Kind == hotrestart.Transfer {
		m.hotRestart.received = ev.State
		m.hotRestart.awaited, m.hotRestart.ended = nil, nil
		m.hotRestart.sockets = ev.Sockets
	}
	m.applyHotRestart(m.hotRestart.protocol.MessageReceived(m.now, ev.Kind))
}

// onLinkClosed goes on without the other process, and ends the attempts that a predecessor had.
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

// armHotRestartTimer sets a timer for what the protocol has due.
func (m *Machine) armHotRestartTimer() {
	at, ok := m.hotRestart.protocol.NextDeadline()
	if !ok || at == m.hotRestart.timerAt {
		return
	}
	m.hotRestart.timerAt = at
	m.timers.add(timer{at: at, kind: hotRestartTimer})
}

// applyHotRestart carries out what the protocol decided. The effects are copied, as one of them may
// lead to another call of the protocol, which reuses them.
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
		m.logf("killing the other process of the hot restart, it does not respond")
		m.emit(KillOtherProcess{})
	case hotrestart.CloseLink:
		m.emit(CloseLink{})
	case hotrestart.Abort:
		m.emit(Abort{Reason: effect.Reason})
	}
}

// sendLinkMessage sends a message of the protocol, the state along with Transfer.
func (m *Machine) sendLinkMessage(kind hotrestart.Kind) {
	if kind == hotrestart.Transfer {
		m.emit(TransferState{State: m.packState()})
		return
	}
	m.emit(SendLinkMessage{Kind: kind})
}

// finishHotRestart ends this process, as the successor has passed its probation.
func (m *Machine) finishHotRestart() {
	silence := m.hotRestart.protocol.LongestSilence().Round(time.Millisecond)
	m.logf("successor committed, longest time between its heartbeats %v", silence)
	if m.phase < Closing {
		m.enterPhase(Closing)
	}
}
