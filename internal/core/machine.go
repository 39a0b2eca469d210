// Package core is the pure state machine of lemongate: it holds the complete state of the running program and makes
// every change to that state.
//
// A caller creates one Machine, passes every event to Step in the order of its clock, and carries out the effects that
// Step returns. A Machine starts no goroutine, does no I/O and reads no clock: the same configuration and events give
// the same effects. A Machine does not deal with HTTP or sockets; the callers that raise the events and carry out the
// effects encode and decode what is on the wire. Clock times are durations since an origin of the caller's choice.
//
// Each concern has its own file, with its state: the life cycle of the process (lifecycle.go), requests (requests.go),
// attempts (attempts.go), the endpoint list (endpoints.go), the reload of the configuration (reload.go), timers
// (timers.go), messages of other limiters (peers.go), the admission controller, which decides which requests are
// forwarded, when and to which backend (controller.go), leases (leases.go) and the tasks done under them (usage.go,
// collection.go, restartslots.go), hot restart (hotrestart.go, handover.go, forwarding.go), and counters and metrics
// (counters.go, metrics.go). Events are in events.go, effects in effects.go.
package core

import (
	"fmt"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/hotrestart"
	"lemongate/internal/lease"
)

// Config is the configuration of a Machine.
type Config struct {
	Settings       admission.Settings
	MaxCustomers   int        // number of customers that are known at once; 0 for no limit
	Seed           uint64     // of the pseudo-random generators: it fixes all random choices
	KnownEndpoints []Endpoint // the last known backends, which may be out of date

	Discovery        string // address at which the endpoint list is watched
	PublishesMetrics bool   // whether to emit PublishMetrics
	TracesRequests   bool   // whether to emit TraceRequest

	KnownGeneration int64              // of KnownEndpoints
	HotRestart      *hotrestart.Limits // time limits of hot restarts; nil for no hot restart
	// Epoch is the epoch of this start of the limiter, for leases, usage and restart slots. It starts equal to
	// Settings.Epoch, the epoch of the admission controller's messages. It changes with each LinkClosed, the
	// controller's epoch only with renewEpoch, and a successor's controller keeps that of its predecessor.
	Epoch  uint32
	Leases *lease.Settings // for tasks that one limiter does at a time; nil for none

	UsagePeriod  time.Duration       // length of the period that one usage report covers, if TaskUsage is among the tasks
	RestartSlots RestartSlotSettings // of the rolling restart, if TaskRestarts is among the tasks
}

// Machine is the state of the program. It is not safe for concurrent use.
type Machine struct {
	config   Config
	now      time.Duration // clock time of the event that is being handled
	effects  []Effect      // of that event
	counters Counters

	phase     Phase
	exitBy    time.Duration // clock time by which the process ends, even with open requests; 0 before a shutdown
	timers    timerQueue
	admission admissionState
	requests  requestSet
	attempts  map[AttemptID]*attempt // in flight
	endpoints endpointList
	reload    reloadState
	metrics   metricsState

	leases       leaseState
	usage        usageState
	restartSlots restartSlotState
	hotRestart   hotRestartState
}

// New returns a Machine and its first effects. It begins in phase Starting, or in AwaitingPredecessor
// if hot restart is configured.
func New(now time.Duration, config Config) (*Machine, []Effect) {
	m := &Machine{
		config:       config,
		now:          now,
		timers:       newTimerQueue(),
		admission:    newAdmissionState(config),
		requests:     newRequestSet(),
		attempts:     map[AttemptID]*attempt{},
		endpoints:    newEndpointList(config.Discovery),
		metrics:      newMetricsState(config.Settings.Classes, now),
		leases:       leaseState{startedAt: now},
		usage:        newUsageState(config),
		restartSlots: newRestartSlotState(config),
		hotRestart:   newHotRestartState(config.HotRestart, now),
	}
	if config.HotRestart == nil {
		m.startFresh(false)
	} else {
		m.phase = AwaitingPredecessor
		m.emit(ConnectPredecessor{})
	}
	m.armHotRestartTimer()
	return m, m.finishStep()
}

// Step handles one event at a clock time and returns the effects to carry out, in order. A clock time before
// the last one counts as the last one. The effects are valid until the next Step.
func (m *Machine) Step(now time.Duration, ev Event) []Effect {
	m.now = max(m.now, now)
	m.effects = m.effects[:0]
	m.handle(ev)
	m.runTimers()
	m.publishMetrics()
	m.armHotRestartTimer()
	return m.finishStep()
}

// handle passes an event to the concern that handles it.
func (m *Machine) handle(ev Event) {
	switch ev := ev.(type) {
	case *RequestReceived:
		m.onRequestReceived(ev)
	case *ClientDisconnected:
		m.onClientDisconnected(ev.Request, ev.Reason)
	case RequestMalformed:
		m.counters.Malformed[ev.Cause]++
	case RequestRejected:
		m.counters.Replies[ev.Reason]++
	case *ClientConnClosed:
		m.onClientConnClosed(ev)
	case *AttemptFinished:
		m.onAttemptFinished(ev)
	case *ProbeFinished:
		m.onProbeFinished(ev)
	case *EndpointsUpdated:
		m.onEndpointsUpdated(ev)
	case *PeerMessageReceived:
		m.onPeerMessage(ev)
	case TimerFired:
		m.timers.armedAt = noTimer
	case UsageWritten:
		m.onUsageWritten(ev)
	case RestartSlotRequested:
		m.onRestartSlotRequested(ev)
	case RestartSlotReleased:
		m.onRestartSlotReleased(ev)
	case ReloadRequested:
		m.reloadConfig()
	case *ConfigReloaded:
		m.onConfigReloaded(ev)
	case ShutdownRequested:
		m.onShutdownRequested()
	case ServerClosed:
		m.enterPhase(Stopped)
	default:
		m.handleLinkEvent(ev)
	}
}

// finishStep sets a timer if the earliest one has changed, and returns the effects of the step.
func (m *Machine) finishStep() []Effect {
	m.armTimer()
	return m.effects
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) logf(format string, args ...any) { m.emit(Log{Text: fmt.Sprintf(format, args...)}) }
