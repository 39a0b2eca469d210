package simulation

import (
	"math"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
)

// This file plays takeovers: a second process of a limiter, which is a limiter of its own here
// under the same number, and the stream between the two.

// kinDelay is how long what one process says takes to reach the other.
const kinDelay = 300 * time.Microsecond

// kin is a process's end of the stream to the other one.
type kin struct {
	other  *limiter
	paused bool     // the sockets are nobody's: datagrams wait
	queued []func() // these
	closes bool     // it ends once it has answered all
	link   int      // grows with each stream
}

// takeover starts a second process of a limiter, has the first told to end after a while, and
// has one of the two die.
func (s *sim) takeover(l *limiter, f Fault) {
	if l.machine == nil || l.kin.other != nil {
		return // down, or at it already
	}
	heir := &limiter{sim: s, number: l.number, rate: l.rate, zero: l.zero, group: l.group, pace: l.pace}
	heir.kin.other, l.kin.other = l, heir
	l.kin.link++
	heir.kin.link = l.kin.link
	heir.boot()
	if f.For > 0 {
		s.after(seconds(f.For), func() {
			if l.machine != nil && l.machine.Phase() == core.HandedOver { // else nobody said yes
				l.post(core.ShutdownRequested{})
			}
		})
	}
	victim := map[string]*limiter{"elder": l, "heir": heir}[f.Dies]
	if victim != nil {
		s.after(seconds(f.Down), func() { s.end1(victim) })
	}
}

// end1 ends one of two processes. Where it had the sockets, they are the other's.
func (s *sim) end1(l *limiter) {
	other := l.kin.other
	if l.machine == nil || other == nil {
		return
	}
	l.kill()
	l.kin.other, other.kin.other = nil, nil
	if s.limiters[l.number] == l {
		s.limiters[l.number] = other
	}
	if l.kin.paused && !other.kin.paused {
		l.kin.paused = false
	}
	other.kin.queued = append(other.kin.queued, l.kin.queued...)
	l.kin.queued = nil
	s.after(kinDelay, func() { other.post(core.LinkClosed{Epoch: s.epoch()}) })
}

// epoch is what a start now has.
func (s *sim) epoch() uint32 { return uint32(s.now/time.Millisecond) + 1 }

// pass brings an event to the other process, behind all that was said before.
func (l *limiter) pass(ev core.Event) {
	to, link := l.kin.other, l.kin.link
	if to == nil {
		return
	}
	l.sim.after(kinDelay, func() {
		if to.kin.other != nil && to.kin.link == link && to.machine != nil {
			to.post(ev)
		}
	})
}

// carryKin carries out an effect of a takeover.
func (l *limiter) carryKin(e core.Effect) {
	s := l.sim
	switch e := e.(type) {
	case core.ConnectPredecessor:
		life := l.life
		s.after(0, func() {
			if l.life != life {
				return
			}
			if l.kin.other == nil {
				l.post(core.LinkClosed{Epoch: s.epoch()})
				return
			}
			l.pass(&core.SuccessorConnected{Link: l})
		})
	case core.DenySuccessor:
		l.pass(&core.LinkMessageReceived{Kind: hotrestart.Deny})
	case core.SendLinkMessage:
		l.pass(&core.LinkMessageReceived{Kind: e.Kind})
	case core.TransferState:
		l.pass(&core.LinkMessageReceived{Kind: hotrestart.Transfer, State: &e.State, Sockets: true})
	case core.CloseLink:
		if l.kin.other != nil {
			l.pass(core.LinkClosed{Epoch: s.epoch()})
		}
	case core.KillOtherProcess:
		s.end1(l.kin.other)
	case core.ReportAttemptStarted:
		l.pass(&core.PredecessorAttemptStarted{OpenAttempt: e.OpenAttempt})
	case core.ReportAttemptFinished:
		l.pass(&core.PredecessorAttemptFinished{FinishedAttempt: e.FinishedAttempt})
	case core.ForwardRequest:
		l.pass(&core.ForwardedRequestReceived{ForwardedRequest: e.ForwardedRequest})
	case core.CancelForwardedRequest:
		l.pass(core.ForwardedRequestCanceled{Request: e.Request})
	case core.SendForwardedResponse:
		l.pass(&core.ForwardedResponseReceived{Respond: e.Respond})
	case core.PauseListeners:
		l.kin.paused = true
	case core.ResumeListeners:
		l.unpause()
	case core.AdoptSockets:
		s.limiters[l.number] = l
		if old := l.kin.other; old != nil {
			l.kin.queued, old.kin.queued = old.kin.queued, nil
		}
		l.unpause()
		l.step(&core.EndpointsUpdated{Kind: 0, Endpoints: s.list()})
	case core.CloseServer:
		l.kin.closes = true
		l.leave()
	case core.Abort:
		l.machine = nil
		l.life++
	}
}

// unpause takes in what waited at the sockets.
func (l *limiter) unpause() {
	l.kin.paused = false
	for _, do := range l.kin.queued {
		l.sim.after(0, do)
	}
	l.kin.queued = nil
}

// leave ends a process that is to end, once all of its reqs are answered.
func (l *limiter) leave() {
	if l.machine == nil {
		return
	}
	for _, c := range l.sim.calls {
		if c.limiter == l {
			l.sim.after(20*time.Millisecond, l.leave)
			return
		}
	}
	if l.kin.other != nil {
		l.sim.end1(l)
	}
}

// process is the one that a client's req comes to, of two: some clients still have sessions with
// the older one.
func (l *limiter) process() *limiter {
	if o := l.kin.other; o != nil && o.machine != nil && !o.kin.closes && o.machine.Phase() == core.HandedOver &&
		math.Mod(float64(l.sim.nextID), 3) != 0 {
		return o
	}
	return l
}

// takesOver tells whether a scenario has takeovers: just there limiters look for each other.
func (sc *Scenario) takesOver() bool {
	for _, f := range sc.Faults {
		if f.Kind == "takeover" {
			return true
		}
	}
	return false
}
