package core

import (
	"time"

	"lemongate/internal/admission"
)

// This file is the life cycle of the process: its phases, and what each begins with.

// Phase is a stage of the life of the process.
type Phase uint8

const (
	// Starting lasts until discovery has brought an endpoint list, or a short while.
	Starting Phase = iota
	// AwaitingPredecessor looks for a process to take over from, or takes over from it.
	AwaitingPredecessor
	// Serving accepts clients and admits their requests.
	Serving
	// TransferringState sends the state to a successor; no process admits meanwhile.
	TransferringState
	// HandedOver forwards requests to the successor, which admits; what is open here goes on.
	HandedOver
	// Draining is the beginning of the shutdown: it still accepts, and closes client connections
	// between requests.
	Draining
	// Closing accepts nothing more and answers what it has received.
	Closing
	// Stopped has nothing left to do.
	Stopped
)

// String returns the name that the log, the counters and the operators' calls use.
func (p Phase) String() string {
	return [...]string{"starting", "awaiting", "serving", "handing", "handed", "draining", "closing", "stopped"}[p]
}

// Bounds of the life cycle. They are the platform's, not an operator's.
const (
	// discoveryTimeout is when a limiter with no endpoint list is ready, whatever discovery does, and
	// cachedListTimeout likewise with a known one: what drained since may still be in it.
	discoveryTimeout  = 2 * time.Second
	cachedListTimeout = time.Second
	// acceptGrace is how long new connections are accepted after SIGTERM: clients go on opening them
	// for 0.4 s.
	acceptGrace = 500 * time.Millisecond
	// killAfter is the time from the longest deadline of a class, counted as killAfterLeast at least,
	// to SIGKILL; killMargin is how long before that the process ends.
	killAfter          = 700 * time.Millisecond
	minLongestDeadline = 3 * time.Second
	killMargin         = 200 * time.Millisecond
	// exitMargin is how long before its end the process has answered all, for the responses to leave
	// the sockets.
	exitMargin = 50 * time.Millisecond
)

// Phase returns the phase of the process.
func (m *Machine) Phase() Phase { return m.phase }

// startFresh starts with nothing from a predecessor. One that ends may still hold the address if wait.
func (m *Machine) startFresh(wait bool) {
	m.emit(OpenListeners{Wait: wait})
	m.emit(ListenForSuccessors{})
	m.phase = Starting
	known := m.config.KnownEndpoints
	timeout := discoveryTimeout
	if len(known) > 0 {
		timeout = cachedListTimeout
	}
	m.timers.add(timer{at: m.now + timeout, kind: discoveryTimer})
	m.applyEndpoints(&EndpointsUpdated{Kind: admission.ListCached, Endpoints: known, Generation: m.config.KnownGeneration})
	m.startLeases()
}

// onShutdownRequested starts the shutdown, once. While a hot restart is under way the two processes
// settle first which of them ends.
func (m *Machine) onShutdownRequested() {
	if m.phase >= Draining || m.hotRestart.shutdownRequested {
		return
	}
	m.hotRestart.shutdownRequested = true
	effects, alone := m.hotRestart.protocol.ShutdownRequested(m.now)
	m.applyHotRestart(effects)
	if alone {
		m.enterPhase(Draining)
	}
}

// enterPhase changes the phase and emits what the new one begins with.
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
		m.timers.add(timer{at: m.now + acceptGrace, kind: graceTimer})
	case Closing:
		m.startClosing()
	case Stopped:
		m.emit(Exit{})
	}
}

// startClosing gives up what other limiters may use, and closes the server.
func (m *Machine) startClosing() {
	m.releaseLeases()
	if m.hotRestart.forwarding { // the limiter goes on in the successor
		m.emit(MoveClientConns{})
	} else {
		m.decide(admission.ShutdownStarted{})
	}
	within := m.longestDeadline() + killAfter - acceptGrace - killMargin
	m.exitBy = m.now + within
	m.emit(CloseServer{Within: within})
}

// longestDeadline is the longest time for which a client may wait.
func (m *Machine) longestDeadline() time.Duration {
	longest := minLongestDeadline
	for _, class := range m.config.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
