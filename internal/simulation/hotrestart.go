package simulation

import (
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
)

// This file models hot restarts. The successor is a second limiter process with the same number, and a link
// connects the two processes.

const (
	// linkDelay is the one-way latency of a link.
	linkDelay = 300 * time.Microsecond
	// closePollInterval is how often a closing process checks whether all its requests have a response.
	closePollInterval = 20 * time.Millisecond
	// successorRequestDivisor: while both processes accept clients, one request in this many arrives at the
	// successor. The others arrive at the predecessor, over connections opened before the hot restart.
	successorRequestDivisor = 3
)

// link is one process's end of the link to the other process of its limiter.
type link struct {
	peer             *limiter // nil for none
	generation       int      // number of the link, from 1; messages sent over an earlier link are dropped
	paused           bool     // the listeners are paused: datagrams are queued
	queuedDeliveries []func() // each delivers a datagram that arrived while the listeners were paused
	closing          bool     // the process ends once all its requests have a response
}

// hasHotRestarts reports whether a scenario has hot restarts. Limiters look for a predecessor only if it does.
func (sc *Scenario) hasHotRestarts() bool {
	for _, f := range sc.Faults {
		if f.Kind == FaultHotRestart {
			return true
		}
	}
	return false
}

// startHotRestart starts a successor of a limiter, and schedules the shutdown of the predecessor after f.For and the kill
// of the process that the fault names, if any, after f.Down.
func (w *world) startHotRestart(l *limiter, f Fault) {
	if l.machine == nil || l.link.peer != nil {
		return // down, or in a hot restart already
	}
	successor := w.newSuccessor(l)
	successor.boot()
	if f.For > 0 {
		w.after(seconds(f.For), l.shutDownIfHandedOver)
	}
	switch f.KilledProcess {
	case Predecessor:
		w.after(seconds(f.Down), func() { w.killLinkedProcess(l) })
	case Successor:
		w.after(seconds(f.Down), func() { w.killLinkedProcess(successor) })
	}
}

// newSuccessor returns a process that is linked to a running one and has not been started yet.
func (w *world) newSuccessor(l *limiter) *limiter {
	successor := &limiter{
		world:         w,
		number:        l.number,
		clockRate:     l.clockRate,
		clockOffset:   l.clockOffset,
		partition:     l.partition,
		nextReceiveAt: l.nextReceiveAt,
	}
	l.link.generation++
	l.link.peer = successor
	successor.link.generation = l.link.generation
	successor.link.peer = l
	return successor
}

// shutDownIfHandedOver shuts a predecessor down if it has handed over to its successor.
func (l *limiter) shutDownIfHandedOver() {
	if l.machine != nil && l.machine.Phase() == core.HandedOver {
		l.post(core.ShutdownRequested{})
	}
}

// killLinkedProcess kills one of two linked processes. The other one has the sockets of both from then on, and receives
// LinkClosed after linkDelay.
func (w *world) killLinkedProcess(l *limiter) {
	peer := l.link.peer
	if l.machine == nil || peer == nil {
		return
	}
	l.kill()
	l.link.peer, peer.link.peer = nil, nil
	if w.limiters[l.number] == l {
		w.limiters[l.number] = peer
	}
	if !peer.link.paused {
		l.link.paused = false
	}
	peer.link.queuedDeliveries = append(peer.link.queuedDeliveries, l.link.queuedDeliveries...)
	l.link.queuedDeliveries = nil
	w.after(linkDelay, func() { peer.post(core.LinkClosed{Epoch: w.epoch()}) })
}

// sendOverLink sends an event to the other process. Events arrive in the order in which they were sent.
func (l *limiter) sendOverLink(ev core.Event) {
	to, generation := l.link.peer, l.link.generation
	if to == nil {
		return
	}
	l.world.after(linkDelay, func() {
		if to.link.peer != nil && to.link.generation == generation && to.machine != nil {
			to.post(ev)
		}
	})
}

// executeHotRestartEffect executes an effect of a hot restart, and ignores others.
func (l *limiter) executeHotRestartEffect(e core.Effect) {
	if ev := l.linkEvent(e); ev != nil {
		l.sendOverLink(ev)
		return
	}
	switch e.(type) {
	case core.ConnectPredecessor:
		l.world.after(0, l.ifAlive(l.connectPredecessor))
	case core.KillOtherProcess:
		l.world.killLinkedProcess(l.link.peer)
	case core.PauseListeners:
		l.link.paused = true
	case core.ResumeListeners:
		l.resumeListeners()
	case core.AdoptSockets:
		l.adoptSockets()
	case core.CloseServer:
		l.link.closing = true
		l.endWhenIdle()
	case core.Abort:
		l.stop()
	}
}

// linkEvent returns the event that an effect sends over the link, nil for an effect that sends none.
func (l *limiter) linkEvent(e core.Effect) core.Event {
	switch e := e.(type) {
	case core.DenySuccessor:
		return &core.LinkMessageReceived{Kind: hotrestart.Deny}
	case core.SendLinkMessage:
		return &core.LinkMessageReceived{Kind: e.Kind}
	case core.TransferState:
		return &core.LinkMessageReceived{Kind: hotrestart.Transfer, State: &e.State, Sockets: true}
	case core.CloseLink:
		return core.LinkClosed{Epoch: l.world.epoch()}
	case core.ReportAttemptStarted:
		return &core.PredecessorAttemptStarted{OpenAttempt: e.OpenAttempt}
	case core.ReportAttemptFinished:
		return &core.PredecessorAttemptFinished{FinishedAttempt: e.FinishedAttempt}
	case core.ForwardRequest:
		return &core.ForwardedRequestReceived{ForwardedRequest: e.ForwardedRequest}
	case core.CancelForwardedRequest:
		return core.ForwardedRequestCanceled(e)
	case core.SendForwardedResponse:
		return &core.ForwardedResponseReceived{Respond: e.Respond}
	case core.ReportRequestEnded:
		return core.PredecessorRequestEnded(e)
	case core.ReportInheritedUsageSent:
		return core.InheritedUsageSent{}
	}
	return nil
}

// connectPredecessor connects to the other process, if there is one.
func (l *limiter) connectPredecessor() {
	if l.link.peer == nil {
		l.post(core.LinkClosed{Epoch: l.world.epoch()})
		return
	}
	l.sendOverLink(&core.SuccessorConnected{Link: l})
}

// adoptSockets gives the process its limiter's sockets, with the datagrams that are queued at the other process.
func (l *limiter) adoptSockets() {
	l.world.limiters[l.number] = l
	if peer := l.link.peer; peer != nil {
		l.link.queuedDeliveries, peer.link.queuedDeliveries = peer.link.queuedDeliveries, nil
	}
	l.resumeListeners()
	l.step(&core.EndpointsUpdated{Kind: admission.ListComplete, Endpoints: l.world.endpointList()})
}

// resumeListeners delivers the queued datagrams.
func (l *limiter) resumeListeners() {
	l.link.paused = false
	for _, deliver := range l.link.queuedDeliveries {
		l.world.after(0, deliver)
	}
	l.link.queuedDeliveries = nil
}

// endWhenIdle ends a closing process once all its requests have a response.
func (l *limiter) endWhenIdle() {
	if l.machine == nil {
		return
	}
	for _, r := range l.world.openRequests {
		if r.limiter == l {
			l.world.after(closePollInterval, l.endWhenIdle)
			return
		}
	}
	l.world.killLinkedProcess(l)
}

// selectProcess returns the process of the limiter at which a request arrives: during a hot restart some clients
// still have connections to the predecessor.
func (l *limiter) selectProcess() *limiter {
	peer := l.link.peer
	if peer == nil || peer.machine == nil || peer.link.closing || peer.machine.Phase() != core.HandedOver {
		return l
	}
	if l.world.lastID%successorRequestDivisor == 0 {
		return l
	}
	return peer
}
