package simulation

import (
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
)

// This file models hot restarts: the successor is a limiter of its own here, under the same number, and a
// link joins the two processes.

const (
	// linkDelay is how long a message takes over a link.
	linkDelay = 300 * time.Microsecond
	// closePoll is how often a process that ends looks whether all its requests are answered.
	closePoll = 20 * time.Millisecond
	// successorInverse: while both processes accept clients, all but one in this many requests arrive at
	// the predecessor, over connections of before.
	successorInverse = 3
)

// link is a process's end of the link to the other process of its limiter.
type link struct {
	peer       *limiter // nil for none
	generation int      // counts links
	paused     bool     // the listeners are paused: datagrams wait
	queued     []func() // deliveries of these
	closing    bool     // the process ends once it has answered all
}

// hasHotRestarts reports whether a scenario has hot restarts: limiters look for predecessors only there.
func (sc *Scenario) hasHotRestarts() bool {
	for _, f := range sc.Faults {
		if f.Kind == FaultHotRestart {
			return true
		}
	}
	return false
}

// startHotRestart starts a successor of a limiter, and schedules the shutdown of the predecessor and the
// death of one of the two.
func (w *world) startHotRestart(l *limiter, f Fault) {
	if l.machine == nil || l.link.peer != nil {
		return // down, or in a hot restart already
	}
	successor := w.newSuccessor(l)
	successor.boot()
	if f.For > 0 {
		w.after(seconds(f.For), l.shutDownIfHandedOver)
	}
	switch f.Dies {
	case Predecessor:
		w.after(seconds(f.Down), func() { w.endProcess(l) })
	case Successor:
		w.after(seconds(f.Down), func() { w.endProcess(successor) })
	}
}

// newSuccessor is a process that is linked with a running one, and not started yet.
func (w *world) newSuccessor(l *limiter) *limiter {
	successor := &limiter{
		world:       w,
		number:      l.number,
		clockRate:   l.clockRate,
		clockOffset: l.clockOffset,
		partition:   l.partition,
		receiveAt:   l.receiveAt,
	}
	l.link.generation++
	l.link.peer = successor
	successor.link.generation = l.link.generation
	successor.link.peer = l
	return successor
}

// shutDownIfHandedOver shuts a predecessor down, unless its successor was denied or has died.
func (l *limiter) shutDownIfHandedOver() {
	if l.machine != nil && l.machine.Phase() == core.HandedOver {
		l.post(core.ShutdownRequested{})
	}
}

// endProcess kills one of two linked processes. The other one has its sockets from then on.
func (w *world) endProcess(l *limiter) {
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
	peer.link.queued = append(peer.link.queued, l.link.queued...)
	l.link.queued = nil
	w.after(linkDelay, func() { peer.post(core.LinkClosed{Epoch: w.epoch()}) })
}

// sendOverLink sends the other process an event, in order with all that was sent before.
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

// executeHotRestart carries out an effect of a hot restart; others have no effect here.
func (l *limiter) executeHotRestart(e core.Effect) {
	if ev := l.linkEvent(e); ev != nil {
		l.sendOverLink(ev)
		return
	}
	switch e.(type) {
	case core.ConnectPredecessor:
		l.world.after(0, l.ifAlive(l.connectPredecessor))
	case core.KillOtherProcess:
		l.world.endProcess(l.link.peer)
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

// linkEvent is the event that an effect sends over the link, nil for an effect that does not.
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

// adoptSockets makes the process the one that has the sockets of its limiter.
func (l *limiter) adoptSockets() {
	l.world.limiters[l.number] = l
	if peer := l.link.peer; peer != nil {
		l.link.queued, peer.link.queued = peer.link.queued, nil
	}
	l.resumeListeners()
	l.step(&core.EndpointsUpdated{Kind: admission.ListComplete, Endpoints: l.world.endpointList()})
}

// resumeListeners receives the datagrams that waited.
func (l *limiter) resumeListeners() {
	l.link.paused = false
	for _, deliver := range l.link.queued {
		l.world.after(0, deliver)
	}
	l.link.queued = nil
}

// endWhenIdle ends a process that is to end, once all its requests are answered.
func (l *limiter) endWhenIdle() {
	if l.machine == nil {
		return
	}
	for _, r := range l.world.openRequests {
		if r.limiter == l {
			l.world.after(closePoll, l.endWhenIdle)
			return
		}
	}
	l.world.endProcess(l)
}

// selectProcess is the process at which a request arrives, of two: some clients still have connections to
// the predecessor.
func (l *limiter) selectProcess() *limiter {
	peer := l.link.peer
	if peer == nil || peer.machine == nil || peer.link.closing || peer.machine.Phase() != core.HandedOver {
		return l
	}
	if l.world.lastID%successorInverse == 0 {
		return l
	}
	return peer
}
