package simulation

import (
	"math"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
)

// limiter is a process of a limiter: its real state machine, and the model of what surrounds it.
type limiter struct {
	world         *world
	number        int
	incarnation   int           // starts and ends so far; what was meant for an earlier one is void
	machine       *core.Machine // nil while the process is down
	clockRate     float64       // of its clock
	clockOffset   time.Duration
	stalledUntil  time.Duration
	stalledEvents []func()      // arrived while it is stalled
	muted         bool          // sends no datagrams
	deaf          bool          // receives none
	partition     int           // limiters of other partitions are not reached
	receiveAt     time.Duration // see receive
	link          link
}

func (w *world) startLimiters() {
	for i := range w.scenario.Limiters {
		l := &limiter{world: w, number: i, clockRate: 1, receiveAt: start}
		w.limiters = append(w.limiters, l)
		l.boot()
	}
}

// clock is the limiter's own time.
func (l *limiter) clock() time.Duration {
	return l.clockOffset + time.Duration(float64(l.world.now-start)*l.clockRate) + start
}

// boot starts the process.
func (l *limiter) boot() {
	l.incarnation++
	machine, effects := core.New(l.clock(), l.config())
	l.machine = machine
	l.notifyObserver(nil, effects)
	l.execute(effects)
	if l.link.peer != nil {
		return // it gets all from its predecessor
	}
	if l.world.scenario.hasHotRestarts() {
		l.step(core.LinkClosed{Epoch: l.world.epoch()})
	}
	l.step(&core.EndpointsUpdated{Kind: admission.ListComplete, Endpoints: l.world.endpointList()})
}

// config is the configuration that the process starts with.
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

// The request classes of each run.
const (
	classIdempotent = "read"
	classKeyed      = "post"
)

// settings are the settings of a limiter.
func (w *world) settings(number int) admission.Settings {
	backends := w.scenario.Backends
	set := admission.Settings{
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
		set.Plans = append(set.Plans, admission.Plan{
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
	return set
}

// classes are the request classes; backends drop repeats of an idempotency key within a window.
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

// bootIfDown starts a limiter that is down; another fault may have started it already.
func (l *limiter) bootIfDown() {
	if l.machine == nil {
		l.boot()
	}
}

// stop ends the process; what is scheduled for it is void.
func (l *limiter) stop() {
	l.world.judgeDeath(l)
	l.incarnation++
	l.machine = nil
}

// kill ends the process without notice. The connections of its clients break: their requests are lost.
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
				a.over = true
			}
		}
	}
}

// post has the limiter handle an event, now or at the end of its stall.
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

// ifAlive is a function that runs another one if this process has not ended by then.
func (l *limiter) ifAlive(run func()) func() {
	incarnation := l.incarnation
	return func() {
		if l.incarnation == incarnation {
			run()
		}
	}
}

// step handles an event.
func (l *limiter) step(ev core.Event) {
	begin := time.Now()
	effects := l.machine.Step(l.clock(), ev)
	l.world.coreTime += time.Since(begin)
	l.notifyObserver(ev, effects)
	l.execute(effects)
}

// notifyObserver shows the Observer what the limiter did, if there is one.
func (l *limiter) notifyObserver(ev core.Event, effects []core.Effect) {
	if observe := l.world.observe; observe != nil {
		observe(l.number, l.clock(), ev, effects)
	}
}

// execute carries out effects.
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
			w.judgeLateCancel(l, e.Attempt)
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
		l.executeHotRestart(e)
	}
}

// openRequest is an open request of the limiter, nil if there is none with the ID.
func (l *limiter) openRequest(id core.RequestID) *request {
	return l.world.openRequests[requestKey{l.number, id}]
}

// setTimer schedules a TimerFired for a time of the limiter's clock. It rounds up: a limiter sets a timer
// that fires early again at once.
func (l *limiter) setTimer(at time.Duration) {
	wait := time.Duration(math.Ceil(float64(at-l.clock())/l.clockRate)) + time.Microsecond
	l.world.after(max(wait, 0), l.ifAlive(func() { l.post(core.TimerFired{}) }))
}
