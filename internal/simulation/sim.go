// Package simulation plays a tier of limiters in virtual time: real reducers with the
// real Gateway, modelled clients and backends, and a network that loses, delays,
// repeats, reorders and cuts datagrams by schedule. The same Scenario and seed
// give the same run, event for event.
//
// It keeps the true stores of every customer itself, from what reaches the
// backends, and checks the rules from outside of the limiters' belief.
package simulation

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
)

// A Scenario says what is played. Times are seconds unless the name says so.
type Scenario struct {
	Limiters int     `json:"limiters"`
	Seconds  float64 `json:"seconds"`
	Plans    []Plan  `json:"plans"`
	Traffic  Traffic `json:"traffic"`
	Backends Backend `json:"backends"`
	Network  Network `json:"network"`
	Zones    int     `json:"zones"` // limiters and backends are in them by turns; 0 for one
	Leases   *Leases `json:"leases,omitempty"`
	Faults   []Fault `json:"faults"`
}

// Leases says which tasks the limiters do one at a time; see lease.Settings.
type Leases struct {
	Tasks   []string `json:"tasks"`
	Length  float64  `json:"length_ms"`
	Keepers int      `json:"keepers"`
	Period  float64  `json:"rollup_ms,omitempty"`
	Most    int      `json:"out_most,omitempty"`
	Turn    float64  `json:"turn_ms,omitempty"`
}

// A Plan is a plan and the customers on it.
type Plan struct {
	Name         string  `json:"name"`
	Rate         float64 `json:"rate"`
	Burst        float64 `json:"burst"`
	CeilingRate  float64 `json:"ceiling_rate"`
	CeilingBurst float64 `json:"ceiling_burst"`
	Tolerance    float64 `json:"tolerance"`
	Pays         float64 `json:"pays"`
	ExcessWorth  float64 `json:"excess_worth"`
	OverCost     float64 `json:"over_cost"`
	Customers    int     `json:"customers"`
	Times        float64 `json:"times"` // what a customer asks for, in multiples of the rate
}

// Traffic says how reqs come in.
type Traffic struct {
	Spread    int       `json:"spread"`      // limiters in a customer's set; 0 for all
	Busiest   float64   `json:"busiest"`     // part of a customer's reqs that its busiest limiter gets
	Moves     float64   `json:"moves_s"`     // how long a limiter stays the busiest
	Units     []float64 `json:"units"`       // what reqs count, each as likely
	Retries   int       `json:"retries"`     // further tries of a client after a refusal
	RetryWait float64   `json:"retry_ms"`    // how long a client waits before one, unless it heeds the advice
	Heed      float64   `json:"heed"`        // part of the clients that heed Retry-After
	Keyed     float64   `json:"keyed"`       // part of the reqs in the keyed class
	Deadline  float64   `json:"deadline_ms"` // what a client waits for the answer
}

// Backend says what serves the reqs.
type Backend struct {
	Count   int     `json:"count"`
	Cores   int     `json:"cores"`
	Work    float64 `json:"work_ms"` // mean, exponential
	Queue   int     `json:"queue"`   // waiting; beyond that a req is turned away
	Cold    float64 `json:"cold"`    // capacity just after a start, growing evenly ...
	Warm    float64 `json:"warm_s"`  // ... to all of it within this
	Window  float64 `json:"window_s"`
	ListLag float64 `json:"list_lag_ms"` // until the list tells of a change
}

// Network says how datagrams travel.
type Network struct {
	DelayMin float64 `json:"delay_min_ms"`
	DelayMax float64 `json:"delay_max_ms"`
	Loss     float64 `json:"loss"`
	Twice    float64 `json:"twice"` // part that come twice
	Old      float64 `json:"old"`   // part that come OldFor late
	OldFor   float64 `json:"old_s"`
	InPerS   float64 `json:"in_per_s"` // what a limiter takes in a second
}

// A Fault is something that goes wrong at a time, for a time.
//
//	cut      limiters in different Groups hear nothing of each other, nor does who a way of Ways leads to
//	mute     Limiters are heard by none
//	deaf     Limiters hear none
//	loss     datagrams are lost at Rate
//	restart  Limiters are killed and back, empty, after Down; again each Every
//	stall    Limiters stand still and take what came at the end
//	clock    Limiters' clocks run Rate times as fast
//	takeover a second process of Limiters takes over; the first is told to end after For, and
//	         the one of them that Dies is killed Down after the begin; again each Every
//	backend  Backends die, and come back cold at the end
//	down     Backends refuse all connects, and the list does not tell
//	silent   Backends' machines answer nothing, and the list does not tell: a connect times out
//	walk     Limiters are restarted when they have their turn, each down for Down
//
// Who names limiters by what they are at that time: the holder of the first task's lease, its
// keepers, or one keeper. Each kind may come again each Every.
type Fault struct {
	Kind     string  `json:"kind"`
	At       float64 `json:"at_s"`
	For      float64 `json:"for_s"`
	Groups   [][]int `json:"groups,omitempty"`
	Ways     [][]int `json:"ways,omitempty"` // from, to
	Limiters []int   `json:"limiters,omitempty"`
	Backends []int   `json:"backends,omitempty"`
	Down     float64 `json:"down_s,omitempty"`
	Every    float64 `json:"every_s,omitempty"`
	Rate     float64 `json:"rate,omitempty"`
	Dies     string  `json:"dies,omitempty"` // elder or heir
	Who      string  `json:"who,omitempty"`  // holder, keepers or keeper
	Zone     int     `json:"zone,omitempty"` // from 1: all backends of this zone
}

// start is the virtual time of a run's begin: clocks stand where the start of a
// backend long ago still has a place.
const start = time.Hour

// A sim is a run.
type sim struct {
	sc        Scenario
	random    *rand.Rand // of the world; nothing of a limiter draws on it
	network   *rand.Rand
	now       time.Duration
	end       time.Duration
	queue     events
	sequence  uint64
	limiters  []*limiter
	ways      map[[2]int]bool // that are cut
	backends  []*server
	customers []*customer
	calls     map[callKey]*call
	nextID    uint64
	cpu       time.Duration
	result    Result
	waits     []float64
	leases    judge
	observe   Observer // nil for none
}

// observed shows the Observer what a limiter did, if there is one.
func (s *sim) observed(l *limiter, ev core.Event, effects []core.Effect) {
	if s.observe != nil {
		s.observe(l.number, l.clock(), ev, effects)
	}
}

// An item is something that happens at a time; items of one time in the order
// they were asked for.
type item struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []item

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(item)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = item{}
	*e = (*e)[:last]
	return x
}

func (s *sim) at(at time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.queue, item{at: max(at, s.now), seq: s.sequence, do: do})
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

func (s *sim) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
func seconds(v float64) time.Duration      { return time.Duration(v * float64(time.Second)) }

// An Observer sees each event that a limiter took in, at that limiter's time, and the effects that it
// asked for. The event is nil for a start. Neither may be kept or changed.
type Observer func(limiter int, now time.Duration, ev core.Event, effects []core.Effect)

// Run plays a Scenario and tells what came of it.
func Run(sc Scenario, seed uint64) Result { return RunObserved(sc, seed, nil) }

// RunObserved is Run with an Observer, or none.
func RunObserved(sc Scenario, seed uint64, observe Observer) Result {
	s := &sim{
		observe: observe,
		sc:      sc, random: rand.New(rand.NewPCG(seed, 1)), network: rand.New(rand.NewPCG(seed, 2)), now: start,
		end: start + seconds(sc.Seconds), calls: map[callKey]*call{}, ways: map[[2]int]bool{},
	}
	for i := range sc.Backends.Count {
		s.backends = append(s.backends, &server{sim: s, number: i, up: true, keys: map[uint64]time.Duration{}})
	}
	for i := range sc.Limiters {
		s.limiters = append(s.limiters, &limiter{sim: s, number: i, rate: 1, pace: start})
		s.limiters[i].boot()
	}
	s.people()
	s.watchLeases()
	for _, f := range sc.Faults {
		s.at(start+seconds(f.At), func() { s.fault(f) })
	}
	for len(s.queue) > 0 {
		it := heap.Pop(&s.queue).(item)
		if it.at > s.end {
			break
		}
		s.now = it.at
		it.do()
	}
	return s.finish()
}

// zone names the zone of a limiter or backend.
func (s *sim) zone(number int) string { return string(rune('a' + number%max(s.sc.Zones, 1))) }

// settings are what each limiter is told.
func (s *sim) settings(number int) admission.Settings {
	set := admission.Settings{
		Self: number, Limiters: s.sc.Limiters, Zone: s.zone(number), ClockResolution: 2 * time.Millisecond,
		Classes: []admission.Class{
			{Name: "read", Idempotency: admission.Idempotent, LatencyObjective: 750 * time.Millisecond, Deadline: 2 * time.Second, Weight: 2},
			{Name: "post", Idempotency: admission.IdempotentByKey, IdempotencyScope: admission.ScopeAll, IdempotencyWindow: seconds(s.sc.Backends.Window),
				LatencyObjective: 1200 * time.Millisecond, Deadline: 5 * time.Second, Weight: 3},
		},
		MaxAttempts: 5, MayCancel: true, GossipEnabled: s.sc.Limiters > 1, PeerMessagesPerSecond: s.sc.Network.InPerS,
		MaxRetryAfter: time.Second, LoadReportFields: []string{"latency_ms", "util"},
		DrainGrace: 250 * time.Millisecond, SlowStartFraction: s.sc.Backends.Cold, SlowStartDuration: seconds(s.sc.Backends.Warm),
		OverloadMultiple: 4, OverloadDuration: 1500 * time.Millisecond,
	}
	for _, p := range s.sc.Plans {
		set.Plans = append(set.Plans, admission.Plan{
			Name: p.Name, Rate: p.Rate, Burst: p.Burst, WeightFactor: p.Pays,
			CeilingRate: p.CeilingRate, CeilingBurst: p.CeilingBurst, ExcessFraction: p.ExcessWorth, OverQuotaCost: p.OverCost,
		})
	}
	return set
}

// A limiter is a real reducer and what stands round it.
type limiter struct {
	sim     *sim
	number  int
	life    int // starts so far; what was meant for an earlier one is void
	machine *core.Machine
	rate    float64 // of its clock
	zero    time.Duration
	frozen  time.Duration // stands still until then
	waiting []func()
	muted   bool
	deaf    bool
	group   int
	pace    time.Duration // its intake of datagrams
	kin     kin
}

// clock is the limiter's own time.
func (l *limiter) clock() time.Duration {
	return l.zero + time.Duration(float64(l.sim.now-start)*l.rate) + start
}

func (l *limiter) boot() {
	l.life++
	s := l.sim
	c := core.Config{Settings: s.settings(l.number), Seed: s.random.Uint64(), KnownEndpoints: s.list()}
	if s.sc.takesOver() {
		limits := hotrestart.DefaultLimits()
		c.HotRestart, c.Settings.Epoch = &limits, s.epoch()
	}
	if s.sc.Leases != nil {
		c.Leases, c.Epoch, c.UsagePeriod = s.leaseSettings(), s.epoch(), milliseconds(s.sc.Leases.Period)
		c.RestartSlots = core.RestartSlotSettings{MaxConcurrent: s.sc.Leases.Most, Duration: milliseconds(s.sc.Leases.Turn)}
	}
	machine, effects := core.New(l.clock(), c)
	l.machine = machine
	s.observed(l, nil, effects)
	l.carry(effects)
	if c.HotRestart != nil && l.kin.other == nil {
		l.step(core.LinkClosed{Epoch: s.epoch()})
	}
	if l.kin.other == nil {
		l.step(&core.EndpointsUpdated{Kind: admission.ListComplete, Endpoints: s.list()})
	}
}

// rise starts a limiter that is down; another fault may have done so.
func (l *limiter) rise() {
	if l.machine == nil {
		l.boot()
	}
}

// kill ends a limiter without a word. Its clients' sessions break: what it had
// taken is for the clients to ask again.
func (l *limiter) kill() {
	l.life++
	l.machine = nil
	l.waiting = nil
	s := l.sim
	for key, c := range s.calls {
		if c.limiter == l {
			delete(s.calls, key)
			c.lost = true
		}
		for _, f := range c.fetches {
			if f.limiter == l {
				f.stop()
			}
		}
	}
}

// post hands an event to the limiter, when it next runs.
func (l *limiter) post(ev core.Event) {
	if l.machine == nil {
		return
	}
	if l.sim.now < l.frozen {
		life := l.life
		l.waiting = append(l.waiting, func() {
			if l.life == life {
				l.step(ev)
			}
		})
		return
	}
	l.step(ev)
}

func (l *limiter) step(ev core.Event) {
	begin := time.Now()
	effects := l.machine.Step(l.clock(), ev)
	l.sim.cpu += time.Since(begin)
	l.sim.observed(l, ev, effects)
	l.carry(effects)
}

func (l *limiter) carry(effects []core.Effect) {
	s, life := l.sim, l.life
	for _, e := range effects {
		switch e := e.(type) {
		case core.StartAttempt:
			if c := s.calls[callKey{l.number, e.Attempt.Request}]; c != nil {
				s.fetch(l, c, e)
			}
		case core.CancelAttempt:
			if c := s.calls[callKey{l.number, e.Attempt.Request}]; c != nil {
				if f := c.fetches[e.Attempt.Number]; f != nil {
					f.stop()
				}
			}
		case core.Respond:
			s.answered(l, e)
		case core.SendToPeer:
			s.datagram(l, e)
		case core.SetTimer:
			// Rounded up: a timer that comes before its time is asked for again, at once.
			wait := time.Duration(math.Ceil(float64(e.At-l.clock())/l.rate)) + time.Microsecond
			s.after(max(wait, 0), func() {
				if l.life == life {
					l.post(core.TimerFired{})
				}
			})
		case core.WriteUsage:
			l.writeUse(e)
		default:
			l.carryKin(e)
		}
	}
}

// datagram sends a message on its way.
func (s *sim) datagram(from *limiter, e core.SendToPeer) {
	s.result.Messages++
	s.result.Bytes += len(e.Data)
	s.leases.sent(e)
	if len(e.Data) > 256 {
		s.broken("a datagram of %d bytes", len(e.Data))
	}
	for i, to := range s.limiters {
		if i == from.number || e.Peer >= 0 && e.Peer != i {
			continue
		}
		n := s.sc.Network
		if s.network.Float64() < n.Loss || from.muted {
			continue
		}
		copies := 1
		if s.network.Float64() < n.Twice {
			copies = 2
		}
		data := append([]byte(nil), e.Data...)
		for range copies {
			way := milliseconds(n.DelayMin + s.network.Float64()*(n.DelayMax-n.DelayMin))
			if s.network.Float64() < n.Old {
				way += seconds(n.OldFor)
			} else if from.group != to.group || s.ways[[2]int{from.number, i}] {
				continue
			}
			s.after(way, func() {
				if to = s.limiters[i]; to.deaf || to.machine == nil {
					return
				}
				if n.InPerS > 0 { // what comes faster is dropped, as a bucket of half a second
					to.pace = max(to.pace, s.now-500*time.Millisecond)
					if to.pace > s.now {
						s.result.Dropped++
						return
					}
					to.pace += seconds(1 / n.InPerS)
				}
				hear := func() { s.limiters[i].post(&core.PeerMessageReceived{From: from.number, Data: data}) }
				if to.kin.paused {
					to.kin.queued = append(to.kin.queued, hear)
					return
				}
				hear()
			})
		}
	}
}

// fault begins what goes wrong, and arranges its end.
func (s *sim) fault(f Fault) {
	again := f
	f.Limiters = s.who(f)
	if f.Zone > 0 {
		f.Backends = nil
		for i := f.Zone - 1; i < len(s.backends); i += max(s.sc.Zones, 1) {
			f.Backends = append(f.Backends, i)
		}
	}
	each := func(do func(l *limiter)) {
		for _, n := range f.Limiters {
			if n >= 0 && n < len(s.limiters) {
				do(s.limiters[n])
			}
		}
	}
	until := s.now + seconds(f.For)
	switch f.Kind {
	case "cut":
		for g, group := range f.Groups {
			for _, n := range group {
				if n >= 0 && n < len(s.limiters) {
					s.limiters[n].group = g
				}
			}
		}
		for _, w := range f.Ways {
			s.ways[[2]int{w[0], w[1]}] = true
		}
		s.at(until, func() {
			for _, l := range s.limiters {
				l.group = 0
			}
			clear(s.ways)
		})
	case "mute":
		each(func(l *limiter) { l.muted = true })
		s.at(until, func() { each(func(l *limiter) { l.muted = false }) })
	case "deaf":
		each(func(l *limiter) { l.deaf = true })
		s.at(until, func() { each(func(l *limiter) { l.deaf = false }) })
	case "loss":
		usual := s.sc.Network.Loss
		s.sc.Network.Loss = f.Rate
		s.at(until, func() { s.sc.Network.Loss = usual })
	case "clock":
		each(func(l *limiter) {
			was := l.clock()
			l.rate = f.Rate
			l.zero += was - l.clock()
		})
	case "stall":
		each(func(l *limiter) {
			l.frozen = until
			s.at(until, func() {
				for len(l.waiting) > 0 && s.now >= l.frozen {
					do := l.waiting[0]
					l.waiting = l.waiting[1:]
					do()
				}
			})
		})
	case "restart":
		each(func(l *limiter) {
			l.kill()
			s.after(seconds(f.Down), l.rise)
		})
		if f.Every > 0 && f.For > 0 && s.now+seconds(f.Every) > start+seconds(f.At+f.For) {
			return // it is over
		}
	case "takeover":
		each(func(l *limiter) { s.takeover(l, f) })
	case "silent":
		for _, n := range f.Backends {
			if n >= 0 && n < len(s.backends) {
				b := s.backends[n]
				b.fallSilent()
				s.at(until, func() { b.silent = false })
			}
		}
	case "walk":
		each(func(l *limiter) { s.walk(l.number, seconds(f.Down)) })
	case "down":
		for _, n := range f.Backends {
			if n >= 0 && n < len(s.backends) {
				b := s.backends[n]
				b.refuses = true
				s.at(until, func() { b.refuses = false })
			}
		}
	case "backend":
		for _, n := range f.Backends {
			if n >= 0 && n < len(s.backends) {
				b := s.backends[n]
				b.die()
				s.at(until, b.boot)
			}
		}
	}
	if f.Every > 0 && s.now+seconds(f.Every) < s.end {
		s.after(seconds(f.Every), func() { s.fault(again) })
	}
}

// broken keeps the first breaches of a rule.
func (s *sim) broken(format string, args ...any) {
	s.result.Breaches++
	if len(s.result.Broken) < 5 {
		s.result.Broken = append(s.result.Broken, fmt.Sprintf("%.3f s: ", (s.now-start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// decay is what is left of a running mean after a time.
func decay(past, memory time.Duration) float64 { return math.Exp(-past.Seconds() / memory.Seconds()) }
