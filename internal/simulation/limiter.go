package simulation

import (
	"math"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
)

// limiter is one process of a limiter: the state machine of the real program in a simulated environment.
type limiter struct {
	world         *world
	number        int
	incarnation   int           // incremented by each start and end; tasks scheduled for an earlier one do nothing
	machine       *core.Machine // nil while the process is down
	clockRate     float64       // rate of its clock, relative to virtual time
	clockOffset   time.Duration
	stalledUntil  time.Duration
	stalledEvents []func()      // each handles an event that arrived during a stall
	dropsOutgoing bool          // all datagrams that it sends are lost
	dropsIncoming bool          // all datagrams that are sent to it are lost
	partition     int           // datagrams to and from limiters of other partitions are lost
	nextReceiveAt time.Duration // when the next datagram is due at the maximum rate; see receive
	link          link
}

func (w *world) startLimiters() {
	for i := range w.scenario.Limiters {
		l := &limiter{world: w, number: i, clockRate: 1, nextReceiveAt: runStart}
		w.limiters = append(w.limiters, l)
		l.boot()
	}
}

// clock returns the time of the limiter's own clock.
func (l *limiter) clock() time.Duration {
	return l.clockOffset + time.Duration(float64(l.world.now-runStart)*l.clockRate) + runStart
}

// boot starts the process.
func (l *limiter) boot() {
	l.incarnation++
	machine, effects := core.New(l.clock(), l.config())
	l.machine = machine
	l.notifyObserver(nil, effects)
	l.execute(effects)
	if l.link.peer != nil {
		return // its predecessor transfers the state
	}
	if l.world.scenario.hasHotRestarts() {
		l.step(core.LinkClosed{Epoch: l.world.epoch()})
	}
	l.step(&core.EndpointsUpdated{Kind: admission.ListComplete, Endpoints: l.world.endpointList()})
}

// config returns the configuration that the process starts with.
func (l *limiter) config() core.Config {
	w, sc := l.world, &l.world.scenario
	c := core.Config{Settings: w.settings(l.number), Seed: w.random.Uint64(), KnownEndpoints: w.endpointList()}
	if sc.hasHotRestarts() {
		limits := hotrestart.DefaultLimits()
		c.HotRestart = &limits
		c.Settings.Epoch = w.epoch()
	}
	if sc.Leases != nil {
		c.Leases = w.leaseSettings()
		c.Epoch = w.epoch()
		c.UsagePeriod = milliseconds(sc.Leases.UsagePeriod)
		c.RestartSlots = core.RestartSlotSettings{MaxConcurrent: sc.Leases.MaxRestarting, Duration: milliseconds(sc.Leases.RestartSlotDuration)}
	}
	return c
}

// The request classes of every scenario.
const (
	classIdempotent = "read"
	classKeyed      = "post"
)

// settings returns the settings of a limiter.
func (w *world) settings(number int) admission.Settings {
	backends := w.scenario.Backends
	settings := admission.Settings{
		Self:                  number,
		Limiters:              w.scenario.Limiters,
		Zone:                  w.zone(number),
		ClockResolution:       2 * time.Millisecond,
		Classes:               classes(seconds(backends.IdempotencyWindow)),
		MaxAttempts:           5,
		MayCancel:             true,
		GossipEnabled:         w.scenario.Limiters > 1,
		PeerMessagesPerSecond: w.scenario.Network.MaxReceivedPerSecond,
		MaxRetryAfter:         time.Second,
		LoadReportFields:      []string{"latency_ms", "util"},
		DrainGrace:            250 * time.Millisecond,
		SlowStartFraction:     backends.ColdFraction,
		SlowStartDuration:     seconds(backends.SlowStartDuration),
		OverloadMultiple:      4,
		OverloadDuration:      1500 * time.Millisecond,
	}
	for _, p := range w.scenario.Plans {
		settings.Plans = append(settings.Plans, admission.Plan{
			Name:           p.Name,
			Rate:           p.Rate,
			Burst:          p.Burst,
			WeightFactor:   p.WeightFactor,
			CeilingRate:    p.CeilingRate,
			CeilingBurst:   p.CeilingBurst,
			ExcessFraction: p.ExcessFraction,
			OverQuotaCost:  p.OverQuotaCost,
			MaxConcurrent:  p.MaxConcurrent,
		})
	}
	return settings
}

// classes returns the request classes. The idempotency window is how long backends drop repeats of a key.
func classes(window time.Duration) []admission.Class {
	return []admission.Class{
		{
			Name:             classIdempotent,
			Idempotency:      admission.Idempotent,
			LatencyObjective: 750 * time.Millisecond,
			Deadline:         2 * time.Second,
			Weight:           2,
		},
		{
			Name:              classKeyed,
			Idempotency:       admission.IdempotentByKey,
			IdempotencyScope:  admission.ScopeAll,
			IdempotencyWindow: window,
			LatencyObjective:  1200 * time.Millisecond,
			Deadline:          5 * time.Second,
			Weight:            3,
		},
	}
}

// bootIfDown boots a limiter that is down; another fault may have booted it already.
func (l *limiter) bootIfDown() {
	if l.machine == nil {
		l.boot()
	}
}

// stop ends the process; tasks scheduled for it do nothing.
func (l *limiter) stop() {
	l.world.recordProcessExit(l)
	l.incarnation++
	l.machine = nil
}

// kill ends the process without notice. The connections of its clients break, so their requests are lost.
func (l *limiter) kill() {
	l.stop()
	l.stalledEvents = nil
	for key, r := range l.world.openRequests {
		if r.limiter == l {
			delete(l.world.openRequests, key)
			r.lost = true
		}
		for _, a := range r.attempts {
			if a.limiter == l {
				a.done = true
			}
		}
	}
}

// post delivers an event to the limiter, now or at the end of its stall; a process that is down gets none.
func (l *limiter) post(ev core.Event) {
	if l.machine == nil {
		return
	}
	if l.world.now < l.stalledUntil {
		l.stalledEvents = append(l.stalledEvents, l.ifAlive(func() { l.step(ev) }))
		return
	}
	l.step(ev)
}

// ifAlive returns a function that calls run, unless this process has ended by then.
func (l *limiter) ifAlive(run func()) func() {
	incarnation := l.incarnation
	return func() {
		if l.incarnation == incarnation {
			run()
		}
	}
}

// step passes an event to the state machine and executes the effects.
func (l *limiter) step(ev core.Event) {
	begin := time.Now()
	effects := l.machine.Step(l.clock(), ev)
	l.world.coreTime += time.Since(begin)
	l.notifyObserver(ev, effects)
	l.execute(effects)
}

// notifyObserver passes an event and its effects to the Observer, if there is one.
func (l *limiter) notifyObserver(ev core.Event, effects []core.Effect) {
	if observe := l.world.observe; observe != nil {
		observe(l.number, l.clock(), ev, effects)
	}
}

// execute executes effects in their order.
func (l *limiter) execute(effects []core.Effect) {
	for _, e := range effects {
		l.executeOne(e)
	}
}

func (l *limiter) executeOne(e core.Effect) {
	w := l.world
	switch e := e.(type) {
	case core.StartAttempt:
		if r := l.openRequest(e.Attempt.Request); r != nil {
			w.startAttempt(l, r, e)
		}
	case core.CancelAttempt:
		if r := l.openRequest(e.Attempt.Request); r != nil {
			w.cancelAttempt(r, e.Attempt.Number)
		} else {
			w.recordLateCancel(l, e.Attempt)
		}
	case core.Respond:
		w.respond(l, e)
	case core.SendToPeer:
		w.sendDatagram(l, e)
	case core.SetTimer:
		l.setTimer(e.At)
	case core.WriteUsage:
		l.writeUsage(e)
	default:
		l.executeHotRestartEffect(e)
	}
}

// openRequest returns the open request of the limiter with an ID, nil if there is none.
func (l *limiter) openRequest(id core.RequestID) *request {
	return l.world.openRequests[requestKey{l.number, id}]
}

// setTimer schedules a TimerFired event for a time of the limiter's clock. It rounds up, because a limiter whose
// timer fires early sets it again at once.
func (l *limiter) setTimer(at time.Duration) {
	wait := time.Duration(math.Ceil(float64(at-l.clock())/l.clockRate)) + time.Microsecond
	l.world.after(max(wait, 0), l.ifAlive(func() { l.post(core.TimerFired{}) }))
}
