// Package hotrestart implements the protocol by which a successor process of a limiter takes over from its
// predecessor. It decides which of the two processes admits requests in each phase, and what each side does if
// the other is late, hangs or dies. It does no I/O, reads no clock and starts no goroutine.
// docs/design/upgrade.md weighs the alternatives.
//
// The two processes exchange messages over one link, a stream that keeps their order and that ends when
// a process ends, as a Unix socket does. At any instant at most one process admits:
//
//   - The predecessor stops admitting before it sends Transfer. Once it has sent Commit, it admits again only
//     after the link has ended: the successor, which may have read Commit, is dead then. During
//     probation it monitors the successor's heartbeats. If they stop, it kills the successor first, because
//     a suspended process would admit when it continues.
//   - The successor admits when it has read Commit, or when the link has ended after a complete
//     Transfer without a Withdraw after it: the predecessor is dead then, as it sends Withdraw before it
//     closes the link.
//   - A side that requires the other not to admit, and does not learn that from it in time, kills the
//     other process and waits for the end of the link.
//
// Commit begins probation, and Final ends it: after ProbationDuration, or when the predecessor is
// requested to shut down. From Final on the predecessor never admits again.
//
// The phases, messages, limits and effects are in separate files. predecessor.go and successor.go have one
// function for each event that the respective side handles.
package hotrestart

import "time"

// Machine is one side of a hot restart. It is not safe for concurrent use; see New.
type Machine struct {
	limits            Limits
	phase             Phase
	deadline          time.Duration // of the phase; 0 for none
	killing           bool          // the other process is being killed: deadlines are ignored until the link has ended
	shutdownRequested bool          // of this process
	effects           []Effect      // of the current call

	successor   successorState
	predecessor predecessorState
}

// New returns a Machine of a process that runs alone, or of a successor that connects to its predecessor
// first. The caller has to connect a successor to the predecessor at once and send Hello; if there is no
// process to connect to, it calls LinkClosed. Times are of a clock that need not be the same on both sides.
func New(limits Limits, isSuccessor bool, now time.Duration) *Machine {
	m := &Machine{limits: limits}
	if isSuccessor {
		m.startAttempt(now)
	}
	return m
}

// Phase returns the current phase.
func (m *Machine) Phase() Phase { return m.phase }

// LongestHeartbeatGap returns the longest time between two heartbeats of the successor in the last probation
// of this process as predecessor; 0 if there was none.
func (m *Machine) LongestHeartbeatGap() time.Duration { return m.predecessor.longestHeartbeatGap }

// Admits reports whether this process may admit requests.
func (m *Machine) Admits() bool { return m.phase == Alone || m.phase == Offered || m.phase == Serving }

// NextDeadline returns when Tick has to be called; false for never.
func (m *Machine) NextDeadline() (time.Duration, bool) {
	if m.killing {
		return 0, false
	}
	deadline := m.deadline
	switch m.phase {
	case Serving:
		deadline = earlier(deadline, m.successor.nextHeartbeatAt)
	case Probation:
		deadline = earlier(deadline, m.predecessor.checkedAt+m.limits.HeartbeatInterval)
	}
	return deadline, deadline != 0
}

// earlier returns the earlier of a deadline, where 0 means none, and a time.
func earlier(deadline, at time.Duration) time.Duration {
	if deadline == 0 {
		return at
	}
	return min(deadline, at)
}

// MessageReceived handles a message of the other process, except Hello, which SuccessorConnected handles. A
// message that does not belong to the current phase was sent before a change of phase, and is ignored.
func (m *Machine) MessageReceived(now time.Duration, kind Kind) []Effect {
	switch kind {
	case Prepared:
		m.onPrepared(now)
	case Adopted:
		m.onAdopted(now)
	case Heartbeat:
		m.onHeartbeat(now)
	case Offer:
		m.onOffer()
	case Deny:
		m.onDeny()
	case Transfer:
		m.onTransfer(now)
	case Commit:
		m.onCommit(now)
	case Withdraw:
		m.onWithdraw(now)
	case Final:
		m.onFinal()
	}
	return m.takeEffects()
}

// LinkClosed handles the end of a link that this side did not close: the other process is dead or has
// closed it, or there was no process to connect to.
func (m *Machine) LinkClosed(_ time.Duration) []Effect {
	switch m.phase {
	case Offered, Transferring, Probation:
		m.onSuccessorLost()
	case AwaitingOffer, Receiving, Adopting, Serving:
		m.onPredecessorLost()
	}
	return m.takeEffects()
}

// ShutdownRequested handles a request to end this process. It reports whether the process has to shut
// down at once as one that runs alone; otherwise the actions are returned as effects, now or later.
func (m *Machine) ShutdownRequested(_ time.Duration) (effects []Effect, alone bool) {
	m.shutdownRequested = true
	switch m.phase {
	case Offered, Transferring, Probation, Finishing:
		alone = m.shutDownPredecessor()
	case AwaitingOffer, Receiving, Adopting, Abandoned:
		m.abandon("shut down before the hot restart was complete")
	case Alone, Serving:
		alone = true
	}
	return m.takeEffects(), alone
}

// Tick handles deadlines that have passed, and sends and checks heartbeats that are due.
func (m *Machine) Tick(now time.Duration) []Effect {
	if m.killing {
		return nil
	}
	due := m.deadline != 0 && now >= m.deadline
	switch m.phase {
	case Offered, Transferring, Probation:
		m.tickPredecessor(now, due)
	case AwaitingOffer, Adopting, Serving:
		m.tickSuccessor(now, due)
	}
	return m.takeEffects()
}

// enter starts a phase with a deadline; 0 for none.
func (m *Machine) enter(phase Phase, deadline time.Duration) {
	m.phase, m.deadline, m.killing = phase, deadline, false
}

// kill emits the effect that kills the other process. The phase does not change until the link has ended.
func (m *Machine) kill() {
	m.killing = true
	m.emit(KillOtherProcess{})
}

func (m *Machine) emit(effects ...Effect) { m.effects = append(m.effects, effects...) }

// takeEffects returns and clears the effects of a call. They are valid until the next call.
func (m *Machine) takeEffects() []Effect {
	effects := m.effects
	m.effects = m.effects[:0]
	return effects
}
