package core

import (
	"time"

	"lemongate/internal/admission"
)

// This file is the life cycle of the process: its phases, and the effects at the beginning of each.

// Phase is a stage of the life of the process. The order of the values counts: conditions compare phases
// by < and >=. Package hotrestart ends the phases of a hot restart, within hotrestart.Limits. A request to
// shut down ends any of the others before Draining.
type Phase uint8

const (
	// Starting waits for the first endpoint list, for discoveryTimeout or cachedListTimeout at most.
	Starting Phase = iota
	// AwaitingPredecessor connects to a process to take over from, and takes over from it. It ends with
	// Starting if there is none, else with Serving. hotrestart: HelloTimeout until a predecessor has
	// replied, then its PrepareTimeout and TransferTimeout, and CommitTimeout with its state.
	AwaitingPredecessor
	// Serving accepts clients and admits their requests, until a hot restart or a shutdown.
	Serving
	// TransferringState sends the state to a successor; no process admits meanwhile. It ends with
	// HandedOver, or with Serving if the successor fails. hotrestart: TransferTimeout.
	TransferringState
	// HandedOver forwards requests to the successor, which admits. Attempts that are in flight here go on.
	// It ends with Closing, or with Serving if the successor fails. hotrestart: ProbationDuration, or
	// HeartbeatTimeout without a heartbeat.
	HandedOver
	// Draining begins the shutdown: it still accepts, and closes client connections between requests, for
	// acceptGrace.
	Draining
	// Closing accepts nothing more and answers the requests that it has received. The server ends it by
	// ServerClosed, within CloseServer.Within.
	Closing
	// Stopped is the end of the process.
	Stopped
)

// String returns the name that the log, the counters and the operators' calls use. They keep the names of
// 0.8.0: awaiting is AwaitingPredecessor, handing is TransferringState, handed is HandedOver.
func (p Phase) String() string {
	return [...]string{"starting", "awaiting", "serving", "handing", "handed", "draining", "closing", "stopped"}[p]
}

// Bounds of the life cycle. They are the platform's, not an operator's.
const (
	// discoveryTimeout is the time after which a limiter without an endpoint list is ready even if
	// discovery has not replied, and cachedListTimeout that with a known list, which may still name
	// backends that drain.
	discoveryTimeout  = 2 * time.Second
	cachedListTimeout = time.Second
	// acceptGrace is how long new connections are accepted after SIGTERM: clients go on opening them
	// for 0.4 s.
	acceptGrace = 500 * time.Millisecond
	// SIGKILL follows SIGTERM after the longest deadline of a class, at least minLongestDeadline, and
	// killAfter; killMargin is how long before SIGKILL the process ends.
	killAfter          = 700 * time.Millisecond
	minLongestDeadline = 3 * time.Second
	killMargin         = 200 * time.Millisecond
	// exitMargin is how long before its end the process has answered all requests, for the responses to
	// leave the sockets.
	exitMargin = 50 * time.Millisecond
)

// Phase returns the phase of the process.
func (m *Machine) Phase() Phase { return m.phase }

// startFresh starts with nothing from a predecessor. With wait, a process that ends may still hold the
// addresses.
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
