// Package admission decides which requests of a service sold by plan are forwarded, when and to which
// backend, and which are rejected.
//
// A limiter is one of several processes between the clients and the backends of a service; together
// they form a tier. Each customer is on a plan, which limits the units that the customer may consume at all
// limiters together. The class of a request defines its latency objective, its weight and whether it may run more
// than once.
//
// A caller creates one Controller, passes it every event in the order of its clock, and performs the actions
// that are returned. A Controller starts no goroutine, does no I/O and reads no clock: the same settings, seed and
// events always give the same actions. It is not safe for concurrent use. Clock times are durations since an origin
// that the caller chooses.
//
// Each decision has its own file, with its state, constants and rules. In the order in which a request passes
// through them: admission.go, customers.go, dispatch.go, window.go, selection.go, attempts.go, retry.go;
// request.go contains the state of a request. Measurements and adjustments: classes.go, control.go, health.go,
// recovery.go, slowstart.go, loadreports.go, endpoints.go. Messages between limiters: gossip.go, pacing.go.
// Handover to a successor process: snapshot.go, heldslots.go.
//
// Deployments differ in their latency objectives, so most times are not constants but multiples of the shortest or
// longest objective of all classes: a constant named ...Objectives is such a multiple, one named ...PerObjective a
// divisor.
package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lemongate/internal/quota"
	"lemongate/internal/rate"
)

// Controller makes the decisions of one limiter.
type Controller struct {
	settings Settings
	random   *rand.Rand
	now      time.Duration // clock time of the current event
	actions  []Action      // emitted for the current event
	started  bool          // an event has been handled
	timer    timer

	requests   map[RequestID]*request
	classes    classSet
	customers  customerSet
	window     concurrencyWindow
	control    controlLoop
	retries    retryBudget
	endpoints  endpointSet
	reports    loadReports
	slowStart  rate.Allowance // attempts allowed while all eligible backends are warming up
	gossip     gossipState
	rejections RejectionCounts

	// recoveryUntil is the clock time until which this limiter makes recovery attempts; see
	// RecoveryLease.
	recoveryUntil time.Duration
}

// New returns a Controller without any state but its settings. The seed determines all random choices.
func New(settings Settings, seed uint64) *Controller {
	settings.Limiters = max(settings.Limiters, 1)
	classes := newClassSet(settings.Classes)
	return &Controller{
		settings:      settings,
		random:        rand.New(rand.NewPCG(seed, 0)),
		timer:         timer{armedFor: math.MaxInt64, dueAt: math.MaxInt64},
		requests:      map[RequestID]*request{},
		classes:       classes,
		customers:     newCustomerSet(settings.Plans),
		window:        newConcurrencyWindow(),
		control:       newControlLoop(classes.longestObjective),
		retries:       newRetryBudget(settings.Limiters),
		endpoints:     newEndpointSet(classes.longestObjective),
		gossip:        newGossipState(settings),
		recoveryUntil: math.MaxInt64,
	}
}

// Handle processes one event and appends the resulting actions to out. Events must come in the order of their clock
// times; a clock time before that of the previous event is replaced by it.
func (ctl *Controller) Handle(now time.Duration, ev Event, out []Action) []Action {
	ctl.now, ctl.actions = max(now, ctl.now), out
	if !ctl.started {
		ctl.start()
	}
	ctl.handle(ev)
	ctl.reuseFreedSlots()
	ctl.sendQueuedMessages()
	ctl.armTimer()
	out, ctl.actions = ctl.actions, nil
	return out
}

// handle dispatches an event to its handler.
func (ctl *Controller) handle(ev Event) {
	switch ev := ev.(type) {
	case *Request:
		ctl.admit(ev)
	case *AttemptFinished:
		ctl.onAttemptFinished(ev)
	case *ResponseStarted:
		if r := ctl.requests[ev.Request]; r != nil {
			r.responding = true
		}
	case *RequestEnded:
		if r := ctl.requests[ev.Request]; r != nil {
			ctl.release(r)
		}
		ctl.freeHeldSlot(ev.Request)
	case TimerFired:
		ctl.onTick()
	case *EndpointList:
		ctl.onEndpointList(ev)
	case *ProbeResult:
		if b := ctl.endpoints.byID[ev.Backend]; b != nil && ev.Result == Succeeded {
			ctl.onLoadReport(b, ev.Report)
		}
	case *PeerMessage:
		ctl.handlePeerMessage(ev)
	case RecoveryLease:
		ctl.recoveryUntil = ev.Until
	case ShutdownStarted:
		ctl.startShutdown()
	case *AttemptAdopted:
		ctl.adoptAttempt(ev)
	case EpochRenewed:
		ctl.renewEpoch(ev.Epoch)
	}
}

// start initializes the state that depends on the start time, which is the clock time of the first event.
func (ctl *Controller) start() {
	ctl.started = true
	if ctl.settings.Epoch == 0 {
		ctl.settings.Epoch = uint32(ctl.now/time.Millisecond) + 1
	}
	ctl.control.nextAt = ctl.now + seconds(ctl.control.periodSeconds)
	ctl.scheduleTick(ctl.control.nextAt)
	ctl.startLedger()
	ctl.announceToPeers()
	if ctl.settings.PollEndpoints {
		ctl.emit(PollEndpoints{})
	}
}

// onTick performs the work that is due at the current time: the control loop, the expiry of waiting times, and another
// backend selection for requests that found no usable backend.
func (ctl *Controller) onTick() {
	if ctl.now < ctl.timer.armedFor {
		return // from a timer that was replaced
	}
	ctl.timer.armedFor, ctl.timer.dueAt = math.MaxInt64, math.MaxInt64
	if ctl.now >= ctl.control.nextAt {
		ctl.control.nextAt = ctl.now + seconds(ctl.control.periodSeconds)
		ctl.runControlLoop()
		ctl.pollIfDue()
	}
	ctl.scheduleTick(ctl.control.nextAt)
	ctl.freeExpiredSlots()
	ctl.decideWaiting()
	ctl.expireQueued()
	ctl.cancelStuckAttempts()
	ctl.dispatch()
	ctl.scheduleQueuedMessages()
}

// timer is the state of the only timer of a Controller. Both clock times are math.MaxInt64 for none.
type timer struct {
	armedFor time.Duration // clock time of the last SetTimer that has not fired
	dueAt    time.Duration // clock time at which something is due
}

// scheduleTick ensures that onTick runs at a clock time or earlier. Nothing else schedules it: for an idle Controller
// the timer is set for the control loop only.
func (ctl *Controller) scheduleTick(at time.Duration) { ctl.timer.dueAt = min(ctl.timer.dueAt, at) }

// armTimer sets the timer if something is due before the time for which it is set. Timers are rounded up to full
// microseconds and are at least one clock resolution away.
func (ctl *Controller) armTimer() {
	if ctl.timer.dueAt >= ctl.timer.armedFor {
		return
	}
	earliest := max(ctl.timer.dueAt, ctl.now+ctl.settings.ClockResolution)
	ctl.timer.armedFor = (earliest + time.Microsecond - 1).Truncate(time.Microsecond)
	ctl.timer.dueAt = ctl.timer.armedFor
	ctl.emit(SetTimer{At: ctl.timer.armedFor})
}

func (ctl *Controller) emit(a Action) { ctl.actions = append(ctl.actions, a) }

// startLedger creates a ledger of the customers' quotas without knowledge of earlier consumption.
func (ctl *Controller) startLedger() {
	ctl.customers.ledger = quota.New(ctl.quotaConfig(), ctl.now)
	if !slices.Contains(ctl.settings.LoadReportFields, utilizationField) {
		ctl.customers.ledger.ResolveStartState(quota.TierStarted, ctl.now) // no load report can show whether the tier has restarted
	}
}

// seconds converts a number of seconds to a Duration.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
