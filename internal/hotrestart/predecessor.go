package hotrestart

import "time"

// predecessorState is the part of a Machine that only a predecessor uses, about heartbeats during probation.
type predecessorState struct {
	lastHeartbeatAt     time.Duration
	checkedAt           time.Duration // when heartbeats were last checked
	longestHeartbeatGap time.Duration
}

// SuccessorConnected handles the Hello of a successor. It reports whether that process is the other side
// from now on; it is not if another hot restart is in progress or this process shuts down.
func (m *Machine) SuccessorConnected(now time.Duration) (effects []Effect, ok bool) {
	if m.phase != Alone || m.shutdownRequested {
		return nil, false
	}
	m.enter(Offered, now+m.limits.PrepareTimeout)
	m.emit(Send{Offer})
	return m.takeEffects(), true
}

// onPrepared transfers the state to a successor that is prepared.
func (m *Machine) onPrepared(now time.Duration) {
	if m.phase != Offered {
		return
	}
	m.enter(Transferring, now+m.limits.TransferTimeout)
	m.emit(StopAdmitting{}, Send{Transfer})
}

// onAdopted allows a successor that has the state to admit, and starts probation.
func (m *Machine) onAdopted(now time.Duration) {
	if m.phase != Transferring {
		return
	}
	m.enter(Probation, now+m.limits.ProbationDuration)
	m.predecessor = predecessorState{lastHeartbeatAt: now, checkedAt: now}
	m.emit(Send{Commit}, ForwardRequests{})
	if m.shutdownRequested {
		m.finalize()
	}
}

func (m *Machine) onHeartbeat(now time.Duration) {
	if m.phase != Probation {
		return
	}
	p := &m.predecessor
	p.longestHeartbeatGap = max(p.longestHeartbeatGap, now-p.lastHeartbeatAt)
	p.lastHeartbeatAt = now
}

// onSuccessorLost admits again once the link has ended.
func (m *Machine) onSuccessorLost() {
	switch m.phase {
	case Transferring:
		m.emit(ResumeAdmitting{})
	case Probation:
		m.emit(ResumeAdmitting{NewEpoch: true})
	}
	m.enter(Alone, 0)
}

// shutDownPredecessor reports whether the process shuts down as one that runs alone. During a transfer that
// is decided later: after Adopted the process sends Commit and Final at once; if it admits again instead, the
// caller has to call ShutdownRequested again.
func (m *Machine) shutDownPredecessor() (alone bool) {
	switch m.phase {
	case Offered:
		m.withdraw()
		return true
	case Probation:
		if !m.killing {
			m.finalize()
		}
	}
	return false
}

func (m *Machine) tickPredecessor(now time.Duration, due bool) {
	switch m.phase {
	case Offered:
		if due {
			m.withdraw()
		}
	case Transferring:
		if due {
			m.withdraw()
			m.emit(ResumeAdmitting{})
		}
	case Probation:
		m.checkHeartbeat(now, due)
	}
}

// checkHeartbeat kills a successor that has sent no heartbeat for too long, and sends Final after probation. If
// this process itself did not run for a while, heartbeats may be unread, and the time counts from now.
func (m *Machine) checkHeartbeat(now time.Duration, due bool) {
	p := &m.predecessor
	if now-p.checkedAt > m.limits.HeartbeatTimeout/2 {
		p.lastHeartbeatAt = max(p.lastHeartbeatAt, now)
	}
	p.checkedAt = now
	switch {
	case now-p.lastHeartbeatAt > m.limits.HeartbeatTimeout:
		m.kill()
	case due:
		m.finalize()
	}
}

// finalize ends probation: from here on this process never admits again.
func (m *Machine) finalize() {
	m.enter(Finishing, 0)
	m.emit(Send{Final}, Finish{})
}

// withdraw ends a hot restart before Commit is sent. The successor reads Withdraw before the end of the link,
// which it would otherwise take for the death of this process.
func (m *Machine) withdraw() {
	m.enter(Alone, 0)
	m.emit(Send{Withdraw}, CloseLink{})
}
