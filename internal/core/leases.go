package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/lease"
)

// This file is the reducer's side of leases: tasks that one limiter of the tier does at a time.

// TaskRecovery is the task of trying ejected backends: one limiter tries for all, and what it finds the
// others hear as they hear of all that is seen of backends.
const TaskRecovery = "trials"

// leases is what a reducer has of them; the agent is nil where there are none, or where another
// process of this limiter has them.
type leases struct {
	startedAt     time.Duration // when the wall clock stood at the settings' floor
	agent         *lease.Agent
	random        *rand.Rand // spreads the tries of many
	due           time.Duration
	recoveryUntil time.Duration // until when the Gateway was told that it may try
	lastRequestAt time.Duration // when a req came in last
	idle          bool          // none came for long: trials are left to others
}

func (r *Machine) random() float64 { return r.leases.random.Float64() }

// startLeases starts with nothing known of leases, and wants those of the tasks that are on.
func (r *Machine) startLeases() {
	if r.config.Leases == nil || r.settings.Limiters < 1 {
		return
	}
	s := *r.config.Leases
	s.Self, s.Limiters, s.Epoch = r.settings.Self, r.settings.Limiters, r.config.Epoch
	s.MinToken = r.wallClock() // not that of the process's start: tokens given since would be greater
	r.leases.random = rand.New(rand.NewPCG(r.config.Seed, uint64(r.config.Epoch)))
	r.leases.agent, r.leases.lastRequestAt, r.leases.idle = lease.NewAgent(s, r.now), r.now, false
	for _, name := range s.Tasks {
		r.sendLeaseMessages(r.leases.agent.SetWanted(r.now, name, true, r.random))
	}
	r.decide(admission.RecoveryLease{}) // not before the lease is held
	r.runLeases()
}

// wallClock is the wall clock in ms: what it was at the start, and what passed since.
func (r *Machine) wallClock() uint64 {
	return r.config.Leases.MinToken + uint64((r.now-r.leases.startedAt)/time.Millisecond)
}

// releaseLeases gives all leases back: what this process did under them is over.
func (r *Machine) releaseLeases() {
	if r.leases.agent == nil {
		return
	}
	for _, name := range r.config.Leases.Tasks {
		r.sendLeaseMessages(r.leases.agent.SetWanted(r.now, name, false, r.random))
	}
	r.hotRestart.leaseAcceptors = r.leases.agent.State() // it answers nobody from here on
	r.leases.agent, r.leases.recoveryUntil = nil, 0
	r.decide(admission.RecoveryLease{})
}

// sendLeaseMessages sends what is to be said of leases.
func (r *Machine) sendLeaseMessages(out []lease.Envelope) {
	for _, e := range out {
		r.counters.PeerOut++
		r.emit(SendToPeer{Peer: int(e.To), Data: e.Message.Append(nil)})
	}
}

// onLeaseMessage takes a datagram about leases in.
func (r *Machine) onLeaseMessage(ev *PeerMessageReceived) {
	m, ok := lease.Parse(ev.Data)
	if !ok || ev.From < 0 || ev.From >= r.settings.Limiters || ev.From == r.settings.Self {
		r.counters.PeerBad++
		return
	}
	r.counters.PeerIn++
	if r.leases.agent != nil {
		r.sendLeaseMessages(r.leases.agent.HandleMessage(r.now, lease.Limiter(ev.From), m, r.random))
		r.runLeases()
	}
}

// idleAfter is how many lengths without a req make a limiter idle.
const idleAfter = 3

// idleForRecovery leaves trials to others while no reqs come in here, as it is with reqs that backends
// are tried. Trouble: one that nobody called held the lease, and backends that were back had
// nothing from anyone.
func (r *Machine) idleForRecovery() {
	if !slices.Contains(r.config.Leases.Tasks, TaskRecovery) {
		return
	}
	idle := r.now-r.leases.lastRequestAt > idleAfter*r.config.Leases.Duration
	if idle == r.leases.idle {
		return
	}
	r.leases.idle = idle
	if idle {
		r.leases.recoveryUntil = 0
		r.decide(admission.RecoveryLease{})
	}
	r.sendLeaseMessages(r.leases.agent.SetWanted(r.now, TaskRecovery, !idle, r.random))
}

// noteTraffic tells that a req came in.
func (r *Machine) noteTraffic() {
	if r.leases.agent == nil {
		return
	}
	if r.leases.lastRequestAt = r.now; r.leases.idle {
		r.runLeases()
	}
}

// runLeases does what is due, and tells the Gateway until when it may try ejected backends.
func (r *Machine) runLeases() {
	a := r.leases.agent
	if a == nil {
		return
	}
	r.idleForRecovery()
	more := [...]time.Duration{r.runUsage(), r.runRestartSlots()}
	out, due := a.Tick(r.now, r.random)
	r.sendLeaseMessages(out)
	for _, at := range more {
		if at > 0 && (due == 0 || at < due) {
			due = at
		}
	}
	if due > 0 && due != r.leases.due {
		r.leases.due = due
		r.timers.add(timer{at: due, kind: leaseTimer})
	}
	if _, until, ok := a.Holds(r.now, TaskRecovery); ok && until != r.leases.recoveryUntil {
		r.leases.recoveryUntil = until
		r.decide(admission.RecoveryLease{Until: until})
	}
}

// recoveryLease gives the token of a trial and the instant from which on it must not begin; false
// where the lease has ended meanwhile.
func (r *Machine) recoveryLease() (token uint64, until time.Duration, ok bool) {
	if r.leases.agent == nil {
		return 0, 0, false
	}
	if token, until, ok = r.leases.agent.Holds(r.now, TaskRecovery); !ok {
		r.leases.agent.RecordLateAction(TaskRecovery)
	}
	return token, until, ok
}

// Holds tells whether this limiter holds a task's lease at a time by its clock, and its token.
func (r *Machine) Holds(now time.Duration, task string) (token uint64, ok bool) {
	if r.leases.agent == nil {
		return 0, false
	}
	token, _, ok = r.leases.agent.Holds(now, task)
	return token, ok
}

// Leases tells how the tasks stand.
func (r *Machine) Leases() []lease.View {
	if r.leases.agent == nil {
		return nil
	}
	return r.leases.agent.Views(r.now)
}
