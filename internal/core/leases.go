package core

import (
	"math/rand/v2"
	"slices"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/lease"
)

// This file manages the leases of this limiter, for tasks that one limiter of the tier does at a time, and makes
// recovery attempts under one of them. See docs/design/leases.md.

// TaskRecovery is the task of making recovery attempts at ejected backends. One limiter makes them for all limiters;
// the others receive its observations by gossip.
const TaskRecovery = "trials"

// idleLeaseDurations is the number of lease durations without a request after which a limiter counts as idle.
const idleLeaseDurations = 3

// leaseState is the state of this limiter's leases.
type leaseState struct {
	agent         *lease.Agent  // nil if there are no leases, or if another process of this limiter has them
	startedAt     time.Duration // clock time of the start, at which the wall clock was Config.Leases.MinToken ms
	random        *rand.Rand    // spreads the lease requests of many limiters over time
	dueAt         time.Duration // clock time for which the timer is set; 0 for none
	recoveryUntil time.Duration // clock time until which the admission controller may make recovery attempts
	lastRequestAt time.Duration // clock time
	idle          bool          // no request for idleLeaseDurations: recovery attempts are left to other limiters
}

// Holds returns the token of a task's lease. ok tells whether this limiter holds the lease at a clock time.
func (m *Machine) Holds(now time.Duration, task string) (token uint64, ok bool) {
	if m.leases.agent == nil {
		return 0, false
	}
	token, _, ok = m.leases.agent.Holds(now, task)
	return token, ok
}

// Leases returns the state of each task's lease as this limiter knows it, nil if there are no leases.
func (m *Machine) Leases() []lease.View {
	if m.leases.agent == nil {
		return nil
	}
	return m.leases.agent.Views(m.now)
}

// startLeases starts without any knowledge of leases, and competes for those of all tasks.
func (m *Machine) startLeases() {
	if m.config.Leases == nil || m.config.Settings.Limiters < 1 {
		return
	}
	settings := *m.config.Leases
	settings.Self = m.config.Settings.Self
	settings.Limiters = m.config.Settings.Limiters
	settings.Epoch = m.config.Epoch
	settings.MinToken = m.wallClock() // greater than all tokens given since the process started
	m.leases.random = rand.New(rand.NewPCG(m.config.Seed, uint64(m.config.Epoch)))
	m.leases.agent = lease.NewAgent(settings, m.now)
	m.leases.lastRequestAt = m.now
	m.leases.idle = false
	for _, task := range settings.Tasks {
		m.setLeaseWanted(task, true)
	}
	m.stepController(admission.RecoveryLease{}) // no recovery attempts until the lease is held
	m.runLeases()
}

// releaseLeases releases all leases, and keeps the acceptor state for a successor.
func (m *Machine) releaseLeases() {
	if m.leases.agent == nil {
		return
	}
	for _, task := range m.config.Leases.Tasks {
		m.setLeaseWanted(task, false)
	}
	m.hotRestart.leaseAcceptors = m.leases.agent.State() // final: the acceptors reply to no message from here on
	m.leases.agent = nil
	m.leases.recoveryUntil = 0
	m.stepController(admission.RecoveryLease{})
}

// setLeaseWanted sets whether this limiter competes for the lease of a task; if not, it releases the lease.
func (m *Machine) setLeaseWanted(task string, wanted bool) {
	m.sendLeaseMessages(m.leases.agent.SetWanted(m.now, task, wanted, m.random))
}

// random returns a random number from 0 to below 1.
func (m *Machine) random() float64 { return m.leases.random.Float64() }

// wallClock returns the wall clock in milliseconds, computed as Config.Leases.MinToken, the wall clock at the start of
// the process, plus the time since.
func (m *Machine) wallClock() uint64 {
	return m.config.Leases.MinToken + uint64((m.now-m.leases.startedAt)/time.Millisecond)
}

func (m *Machine) sendLeaseMessages(out []lease.Envelope) {
	for _, envelope := range out {
		m.sendToPeer(int(envelope.To), envelope.Message.Append(nil))
	}
}

// onLeaseMessage handles a datagram about leases.
func (m *Machine) onLeaseMessage(ev *PeerMessageReceived) {
	message, ok := lease.Parse(ev.Data)
	if !ok || !m.isPeer(ev.From) {
		m.counters.PeerMessagesInvalid++
		return
	}
	m.counters.PeerMessagesReceived++
	if m.leases.agent == nil {
		return
	}
	m.sendLeaseMessages(m.leases.agent.HandleMessage(m.now, lease.Limiter(ev.From), message, m.random))
	m.runLeases()
}

// runLeases does what is due for leases and for the tasks under them.
func (m *Machine) runLeases() {
	if m.leases.agent == nil {
		return
	}
	m.updateIdle()
	usageDue := m.runUsage()
	slotsDue := m.runRestartSlots()
	out, leaseDue := m.leases.agent.Tick(m.now, m.random)
	m.sendLeaseMessages(out)
	m.armLeaseTimer(earlier(leaseDue, earlier(usageDue, slotsDue)))
	m.extendRecovery()
}

func (m *Machine) armLeaseTimer(dueAt time.Duration) {
	if dueAt == 0 || dueAt == m.leases.dueAt {
		return
	}
	m.leases.dueAt = dueAt
	m.timers.add(timer{at: dueAt, kind: leaseTimer})
}

// extendRecovery lets the admission controller make recovery attempts for as long as the lease is held.
func (m *Machine) extendRecovery() {
	_, until, ok := m.leases.agent.Holds(m.now, TaskRecovery)
	if !ok || until == m.leases.recoveryUntil {
		return
	}
	m.leases.recoveryUntil = until
	m.stepController(admission.RecoveryLease{Until: until})
}

// updateIdle leaves recovery attempts to other limiters while this one receives no requests: recovery attempts are
// made with requests, so an idle lease holder would make none.
func (m *Machine) updateIdle() {
	if !slices.Contains(m.config.Leases.Tasks, TaskRecovery) {
		return
	}
	idle := m.now-m.leases.lastRequestAt > idleLeaseDurations*m.config.Leases.Duration
	if idle == m.leases.idle {
		return
	}
	m.leases.idle = idle
	if idle {
		m.leases.recoveryUntil = 0
		m.stepController(admission.RecoveryLease{})
	}
	m.setLeaseWanted(TaskRecovery, !idle)
}

// recordTraffic records that a request arrived. A limiter that was idle competes for the recovery lease again.
func (m *Machine) recordTraffic() {
	if m.leases.agent == nil {
		return
	}
	m.leases.lastRequestAt = m.now
	if m.leases.idle {
		m.runLeases()
	}
}

// recoveryLease returns the token for a recovery attempt and the clock time before which it must begin. ok is false if
// this limiter does not hold the lease any more.
func (m *Machine) recoveryLease() (token uint64, until time.Duration, ok bool) {
	if m.leases.agent == nil {
		return 0, 0, false
	}
	token, until, ok = m.leases.agent.Holds(m.now, TaskRecovery)
	if !ok {
		m.recordLateAction(TaskRecovery)
	}
	return token, until, ok
}

// recordLateAction counts an action under a task's lease that was not begun because the lease had ended.
func (m *Machine) recordLateAction(task string) {
	if m.leases.agent != nil {
		m.leases.agent.RecordLateAction(task)
	}
}
