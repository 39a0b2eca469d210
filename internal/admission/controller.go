// Package admission decides which requests of a service sold by plan are forwarded, when and to which
// backend, and which are rejected.
//
// A limiter is one of several processes between the clients and the backends of a service; together
// they are a tier. Each customer is on a plan, which limits the units that it may use at all limiters
// together. A request has a class, which says how soon an answer is worth most and whether it may run
// twice.
//
// A caller creates one Controller, hands it every event in the order of its clock, and carries out
// the actions that come back. A Controller starts no goroutine, does no I/O and reads no clock: the
// same settings, seed and events always give the same actions. It is not safe for concurrent use.
// Clock times are durations since an origin of the caller's choice.
//
// Each decision has a file of its own, with its state, its constants and its rule. In the order in
// which a request meets them: admission.go, customers.go, dispatch.go, window.go, selection.go,
// attempts.go, retry.go; request.go has the state of a request. What is measured and adjusted on the
// way: classes.go, control.go, health.go, recovery.go, slowstart.go, loadreports.go, endpoints.go. What
// limiters send each other: gossip.go, pacing.go. How a process hands over to the next: snapshot.go.
//
// A deployment is fast or slow by its latency objectives, so most times are not constants but multiples
// of the shortest or longest objective of all classes: a constant named ...Objectives is such a multiple,
// one named ...PerObjective a divisor.
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
	now      time.Duration // clock time of the event in hand
	actions  []Action      // emitted for the event in hand
	started  bool          // an event has come
	timer    timer

	requests   map[RequestID]*request
	classes    classSet
	customers  customerSet
	window     concurrencyWindow
	control    controlLoop
	retries    retryBudget
	endpoints  endpointSet
	reports    loadReports
	slowStart  rate.Allowance // attempts, while all eligible backends are warming up
	gossip     gossipState
	rejections RejectionCounts

	// recoveryUntil is the clock time up to which this limiter makes recovery attempts; see
	// RecoveryLease.
	recoveryUntil time.Duration
}

// New returns a Controller that knows only its settings. The seed fixes all choices made by chance.
func New(set Settings, seed uint64) *Controller {
	set.Limiters = max(set.Limiters, 1)
	classes := newClassSet(set.Classes)
	return &Controller{
		settings:      set,
		random:        rand.New(rand.NewPCG(seed, 0)),
		timer:         timer{armedFor: math.MaxInt64, dueAt: math.MaxInt64},
		requests:      map[RequestID]*request{},
		classes:       classes,
		customers:     newCustomerSet(set.Plans),
		window:        newConcurrencyWindow(),
		control:       newControlLoop(classes.longestObjective),
		retries:       newRetryBudget(set.Limiters),
		endpoints:     newEndpointSet(classes.longestObjective),
		gossip:        newGossipState(set),
		recoveryUntil: math.MaxInt64,
	}
}

// Handle takes one event and appends what is to be done to out. Events must come in the order of
// their clock times; a clock time before the last one counts as that one.
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

// handle hands an event to the decision that it calls for.
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

// start initializes what depends on the clock time of the start, which is that of the first event.
func (ctl *Controller) start() {
	ctl.started = true
	if ctl.settings.Epoch == 0 {
		ctl.settings.Epoch = uint32(ctl.now/time.Millisecond) + 1
	}
	ctl.control.nextAt = ctl.now + seconds(ctl.control.periodSeconds)
	ctl.wakeBy(ctl.control.nextAt)
	ctl.startLedger()
	ctl.announceToPeers()
	if ctl.settings.PollEndpoints {
		ctl.emit(PollEndpoints{})
	}
}

// onTick does what is due by time alone: the control loop, the ends of waits, and another selection for
// requests for which no backend could be used.
func (ctl *Controller) onTick() {
	if ctl.now < ctl.timer.armedFor {
		return // a timer that was replaced
	}
	ctl.timer.armedFor, ctl.timer.dueAt = math.MaxInt64, math.MaxInt64
	if ctl.now >= ctl.control.nextAt {
		ctl.control.nextAt = ctl.now + seconds(ctl.control.periodSeconds)
		ctl.runControlLoop()
		ctl.pollIfDue()
	}
	ctl.wakeBy(ctl.control.nextAt)
	ctl.freeExpiredSlots()
	ctl.settleWaiting()
	ctl.expireQueued()
	ctl.cancelStuckAttempts()
	ctl.dispatch()
	ctl.wakeForQueuedPeers()
}

// timer is the one timer that a Controller sets. Both clock times are math.MaxInt64 for none.
type timer struct {
	armedFor time.Duration // clock time of the last SetTimer that has not fired
	dueAt    time.Duration // clock time at which something is due
}

// wakeBy makes sure that onTick runs by a clock time. Nothing else makes it run: an idle Controller is
// woken for its control loop only.
func (ctl *Controller) wakeBy(at time.Duration) { ctl.timer.dueAt = min(ctl.timer.dueAt, at) }

// armTimer sets the timer if something is due before the time that it is set for. Timers are full
// microseconds and at least one step of the clock away.
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

// startLedger starts a ledger of the customers' quotas that knows nothing of earlier use.
func (ctl *Controller) startLedger() {
	ctl.customers.ledger = quota.New(ctl.quotaConfig(), ctl.now)
	if !slices.Contains(ctl.settings.LoadReportFields, utilizationField) {
		ctl.customers.ledger.ResolveStartState(quota.TierStarted, ctl.now) // no load report can show whether it has restarted
	}
}

// seconds converts a number of seconds to a Duration.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
