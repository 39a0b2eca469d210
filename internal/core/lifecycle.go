package core

import (
	"time"

	"lemongate/internal/admission"
)

// This file implements the life cycle of the process: its phases, and the effects with which each begins.

// Phase is a stage in the life of the process. The order of the values matters: conditions compare phases by < and >=.
// Package hotrestart ends the phases of a hot restart, within the times of hotrestart.Limits. A shutdown request ends
// any of the phases before Draining.
type Phase uint8

const (
	// Starting waits for the first endpoint list, at most for discoveryTimeout or cachedListTimeout.
	Starting Phase = iota
	// AwaitingPredecessor connects to a running process and takes over from it. Starting follows if there is none,
	// Serving otherwise. Limits: HelloTimeout until a predecessor has replied, then its PrepareTimeout and
	// TransferTimeout, and CommitTimeout once its state has arrived.
	AwaitingPredecessor
	// Serving accepts clients and admits their requests, until a hot restart or a shutdown.
	Serving
	// TransferringState sends the state to a successor; no process admits requests meanwhile. HandedOver follows, or
	// Serving if the successor fails. Limit: TransferTimeout.
	TransferringState
	// HandedOver forwards requests to the successor, which admits them. Attempts in flight here continue. Closing
	// follows, or Serving if the successor fails. Limits: ProbationDuration, or HeartbeatTimeout without a heartbeat.
	HandedOver
	// Draining begins the shutdown: for acceptGrace the process still accepts connections, and closes client
	// connections between requests.
	Draining
	// Closing accepts no more connections and answers the requests received. It ends with ServerClosed, within
	// CloseServer.Within.
	Closing
	// Stopped is the end of the process.
	Stopped
)

// String returns the name that the log, the counters and the operators' tools use. The names are those of 0.8.0:
// awaiting is AwaitingPredecessor, handing is TransferringState, handed is HandedOver.
func (p Phase) String() string {
	return [...]string{"starting", "awaiting", "serving", "handing", "handed", "draining", "closing", "stopped"}[p]
}

// Time limits of the life cycle. Operators cannot set them; most follow from the behaviour of the platform.
const (
	// discoveryTimeout is the time after which a limiter without an endpoint list becomes ready even if discovery has
	// not replied. cachedListTimeout is that time for a limiter with a known list, which may still have backends that
	// drain.
	discoveryTimeout  = 2 * time.Second
	cachedListTimeout = time.Second
	// acceptGrace is how long new connections are accepted after SIGTERM: clients continue to open connections for 0.4 s.
	acceptGrace = 500 * time.Millisecond
	// After SIGTERM the platform waits for the longest deadline of a class, at most maxKillDeadline, plus killAfter before
	// it sends SIGKILL. killMargin is how long before SIGKILL the process ends.
	killAfter       = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	killMargin      = 200 * time.Millisecond
	// exitMargin is how long before its end the process has answered all requests, so that the responses can leave the
	// sockets.
	exitMargin = 50 * time.Millisecond
)

// Phase returns the phase of the process.
func (m *Machine) Phase() Phase { return m.phase }

// startFresh starts without a predecessor. If wait is set, OpenListeners waits for the addresses, which a process that
// is ending may still hold.
func (m *Machine) startFresh(wait bool) {
	m.emit(OpenListeners{Wait: wait})
	m.emit(ListenForSuccessors{})
	m.phase = Starting // without a log message, unlike enterPhase
	known := m.config.KnownEndpoints
	timeout := discoveryTimeout
	if len(known) > 0 {
		timeout = cachedListTimeout
	}
	m.timers.add(timer{at: m.now + timeout, kind: discoveryTimer})
	m.applyEndpoints(&EndpointsUpdated{Kind: admission.ListCached, Endpoints: known, Generation: m.config.KnownGeneration})
	m.startLeases()
}

// onShutdownRequested starts the shutdown, once. During a hot restart the protocol first decides which of the two
// processes ends.
func (m *Machine) onShutdownRequested() {
	if m.phase >= Draining || m.hotRestart.shutdownRequested {
		return
	}
	m.hotRestart.shutdownRequested = true
	m.setExitTime()
	effects, alone := m.hotRestart.protocol.ShutdownRequested(m.now)
	m.applyHotRestart(effects)
	if alone {
		m.enterPhase(Draining)
	}
}

// enterPhase changes the phase and emits the effects with which the new one begins.
func (m *Machine) enterPhase(p Phase) {
	m.phase = p
	m.logf("phase %v", p)
	switch p {
	case Serving:
		m.emit(SetReady{Ready: true})
	case TransferringState:
		m.stopAdmitting()
	case HandedOver:
		m.forwardRequests()
	case Draining:
		m.emit(SetReady{Ready: false})
		m.emit(DrainClientConns{})
		m.timers.add(timer{at: m.now + acceptGrace, kind: acceptGraceTimer})
	case Closing:
		m.startClosing()
	case Stopped:
		m.emit(Exit{})
	}
}

// startClosing releases what other limiters may use, such as leases, and closes the server.
func (m *Machine) startClosing() {
	m.releaseLeases()
	if m.hotRestart.forwarding { // the successor continues this limiter, which does not shut down
		m.emit(MoveClientConns{})
	} else {
		m.stepController(admission.ShutdownStarted{})
	}
	if m.exitBy == 0 { // this process has handed over and ends by itself; the shutdown request is still to come
		m.setExitTime()
	}
	m.emit(CloseServer{Within: max(m.exitBy-m.now, 0)})
}

// setExitTime sets the time by which the process ends, from now on as the time of the shutdown request: SIGKILL follows
// that request. Open requests are answered before, even if their clients wait for longer: no process would answer them later.
func (m *Machine) setExitTime() {
	m.exitBy = m.now + min(m.longestBudget(), maxKillDeadline) + killAfter - killMargin
	answerBy := m.exitBy - exitMargin
	for _, r := range m.requests.inOrder() {
		if !r.answered && r.deadline > answerBy {
			r.deadline = answerBy
			m.timers.add(timer{at: answerBy, kind: deadlineTimer, id: AttemptID{Request: r.ID}})
		}
	}
}
