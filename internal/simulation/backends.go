package simulation

import (
	"fmt"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

// wayToBackend is how long a message takes between a limiter and a backend.
const wayToBackend = 800 * time.Microsecond

// A server is a backend: cores, a queue, a cold start, and a memory that drops
// repeats of keyed reqs.
type server struct {
	sim     *sim
	number  int
	up      bool
	refuses bool // though it is listed
	silent  bool // its machine answers nothing
	started time.Duration
	life    int
	busy    int
	queue   []*attempt
	keys    map[uint64]time.Duration
	util    float64 // running mean of the busy part of its cores
	utilAt  time.Duration
	latency float64 // ms, running mean
}

// An attempt is a fetch on its way, at a backend or over.
type attempt struct {
	limiter *limiter
	life    int
	call    *call
	id      core.AttemptID
	server  *server
	over    bool // an outcome was told, or nobody waits for one
	token   uint64
	began   time.Duration
}

func (a *attempt) stop() { a.over = true }

// ended tells the limiter how a fetch ended, after the way back.
func (a *attempt) ended(result admission.Result, report []float64) {
	if a.over {
		return
	}
	a.over = true
	a.limiter.sim.after(wayToBackend, func() {
		if a.limiter.life == a.life {
			a.limiter.post(&core.AttemptFinished{Attempt: a.id, Result: result, Report: report, Response: a.call.id})
		}
	})
}

// fetch sends a req on its way to a backend.
func (s *sim) fetch(l *limiter, c *call, e core.StartAttempt) {
	a := &attempt{limiter: l, life: l.life, call: c, id: e.Attempt, token: e.Token}
	for _, b := range s.backends {
		if e.Backend == b.name() {
			a.server = b
		}
	}
	c.fetches[e.Attempt.Number] = a
	s.result.Fetches++
	if a.server != nil && s.zone(a.server.number) == s.zone(l.number) {
		s.result.Near++
	}
	if a.server == nil {
		s.broken("a fetch to %q, which is no backend", e.Backend)
		return
	}
	s.after(wayToBackend, func() { a.server.take(a) })
}

func (b *server) name() string { return fmt.Sprintf("b%02d", b.number) }

// settle brings the running mean of the load up to now.
func (b *server) settle() {
	now := b.sim.now
	left := decay(now-b.utilAt, 400*time.Millisecond)
	b.util = b.util*left + (1-left)*float64(b.busy)/float64(b.sim.sc.Backends.Cores)
	b.utilAt = now
}

func (b *server) take(a *attempt) {
	if b.silent {
		b.sim.result.Dead++
		b.sim.after(connectTimeout, func() { a.ended(admission.ConnectFailed, nil) })
		return
	}
	if !b.up || b.refuses {
		b.sim.result.Dead++
		a.ended(admission.Unreachable, nil)
		return
	}
	b.sim.leases.act(b.sim, a)
	b.sim.reached(a.call, a)
	if b.busy >= b.sim.sc.Backends.Cores {
		if len(b.queue) >= b.sim.sc.Backends.Queue {
			a.ended(admission.Rejected, nil)
			return
		}
		b.queue = append(b.queue, a)
		a.began = b.sim.now
		return
	}
	a.began = b.sim.now
	b.serve(a)
}

// capacity is the part of its full speed that a backend has by now.
func (b *server) capacity() float64 {
	sc := b.sim.sc.Backends
	if b.started == 0 || sc.Warm <= 0 {
		return 1
	}
	return min(sc.Cold+(1-sc.Cold)*(b.sim.now-b.started).Seconds()/sc.Warm, 1)
}

func (b *server) serve(a *attempt) {
	b.settle()
	b.busy++
	s, life := b.sim, b.life
	work := time.Duration(float64(s.exponential(milliseconds(s.sc.Backends.Work))) / b.capacity())
	if c := a.call; c.keyed { // a repeat is dropped: answered from memory
		if at, has := b.keys[c.key]; has && s.now-at < seconds(s.sc.Backends.Window) {
			work = time.Millisecond
		} else {
			c.ran++
			b.keys[c.key] = s.now
		}
	}
	s.after(work, func() {
		if b.life != life {
			return
		}
		b.settle()
		b.busy--
		b.latency += 0.1 * (work.Seconds()*1e3 - b.latency)
		a.ended(admission.Succeeded, []float64{b.latency, b.util})
		for len(b.queue) > 0 && b.busy < s.sc.Backends.Cores {
			next := b.queue[0]
			b.queue = b.queue[1:]
			if !next.over {
				b.serve(next)
			}
		}
	})
}

// connectTimeout is how long a limiter waits for a connection to a machine that says nothing.
const connectTimeout = 250 * time.Millisecond

// fallSilent leaves all that is open without an answer.
func (b *server) fallSilent() {
	b.silent = true
	b.life++
	b.busy, b.queue, b.util = 0, nil, 0
}

// die resets all that is open; the list tells of it late.
func (b *server) die() {
	b.up = false
	b.life++
	b.busy, b.queue, b.util = 0, nil, 0
	s := b.sim
	for _, c := range s.calls {
		for _, a := range c.fetches {
			if a.server == b {
				a.ended(admission.ConnectionLost, nil)
			}
		}
	}
	s.after(milliseconds(s.sc.Backends.ListLag), s.relist)
}

func (b *server) boot() {
	b.up, b.started = true, b.sim.now
	b.sim.after(milliseconds(b.sim.sc.Backends.ListLag), b.sim.relist)
}

// list is what discovery says now.
func (s *sim) list() []core.Endpoint {
	var list []core.Endpoint
	for _, b := range s.backends {
		e := core.Endpoint{Addr: "127.0.0.1:1", Backend: admission.Backend{
			ID: b.name(), Zone: s.zone(b.number), State: admission.Live, RelativeCapacity: 1, StartedAt: b.started,
		}}
		if !b.up {
			e.State = admission.Removed
		}
		list = append(list, e)
	}
	return list
}

func (s *sim) relist() {
	list := s.list()
	for _, l := range s.limiters {
		if o := l.kin.other; o != nil {
			o.post(&core.EndpointsUpdated{Kind: admission.ListDelta, Endpoints: list})
		}
		l.post(&core.EndpointsUpdated{Kind: admission.ListDelta, Endpoints: list})
	}
}
