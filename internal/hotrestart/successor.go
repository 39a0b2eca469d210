package hotrestart

import "time"

// successorState is the part of a Machine that only a successor uses.
type successorState struct {
	attempts        int           // number of hot restarts attempted so far
	nextHeartbeatAt time.Duration // while serving
}

// startAttempt starts an attempt of a hot restart. Hello is sent with the connection.
func (m *Machine) startAttempt(now time.Duration) {
	m.successor.attempts++
	m.enter(AwaitingOffer, now+m.limits.HelloTimeout)
}

// onOffer reports that this process is prepared. It sets no deadline for the receipt of the state: the predecessor
// does, and a predecessor that hangs may still admit when it continues.
func (m *Machine) onOffer() {
	if m.phase != AwaitingOffer {
		return
	}
	m.enter(Receiving, 0)
	m.emit(Send{Prepared})
}

func (m *Machine) onDeny() {
	if m.phase != AwaitingOffer {
		return
	}
	m.emit(CloseLink{})
	m.startFresh()
}

// onTransfer acknowledges the state.
func (m *Machine) onTransfer(now time.Duration) {
	if m.phase != Receiving {
		return
	}
	m.enter(Adopting, now+m.limits.CommitTimeout)
	m.emit(Send{Adopted})
}

// onCommit starts to admit, with the first heartbeat.
func (m *Machine) onCommit(now time.Duration) {
	if m.phase != Adopting {
		return
	}
	m.enter(Serving, 0)
	m.emit(StartAdmitting{})
	m.successor.nextHeartbeatAt = now
	m.sendHeartbeat(now)
}

// onWithdraw starts the hot restart again, up to MaxAttempts attempts.
func (m *Machine) onWithdraw(now time.Duration) {
	if m.phase != Receiving && m.phase != Adopting {
		return
	}
	if m.successor.attempts >= m.limits.MaxAttempts {
		m.abandon("the predecessor withdrew from every hot restart attempt, see its log")
		return
	}
	m.emit(CloseLink{}, ConnectPredecessor{})
	m.startAttempt(now)
}

func (m *Machine) onFinal() {
	if m.phase != Serving {
		return
	}
	m.enter(Alone, 0)
	m.emit(RunAlone{})
}

// onPredecessorLost continues without the predecessor after the end of the link: with its state if that was
// received completely, else without state.
func (m *Machine) onPredecessorLost() {
	switch m.phase {
	case AwaitingOffer, Receiving:
		m.startFresh()
		return
	case Adopting:
		m.emit(StartAdmitting{}, RunAlone{})
	case Serving:
		m.emit(RunAlone{})
	}
	m.enter(Alone, 0)
}

func (m *Machine) tickSuccessor(now time.Duration, due bool) {
	switch m.phase {
	case AwaitingOffer:
		if due {
			m.emit(CloseLink{})
			m.startFresh()
		}
	case Adopting:
		if due { // no process admits, and the predecessor might when it continues
			m.kill()
		}
	case Serving:
		m.sendHeartbeat(now)
	}
}

// sendHeartbeat sends a heartbeat if one is due.
func (m *Machine) sendHeartbeat(now time.Duration) {
	if now < m.successor.nextHeartbeatAt {
		return
	}
	m.successor.nextHeartbeatAt = now + m.limits.HeartbeatInterval
	m.emit(Send{Heartbeat})
}

// startFresh starts without a predecessor's state. A predecessor that is alive still has the listening
// address, and one that dies may have it for a while, as its sockets are closed one after the other.
func (m *Machine) startFresh() {
	m.enter(Alone, 0)
	m.emit(StartFresh{Wait: true})
}

// abandon ends this process, which never admitted.
func (m *Machine) abandon(reason string) {
	m.enter(Abandoned, 0)
	m.emit(CloseLink{}, Abort{Reason: reason})
}
