package simulation

import (
	"fmt"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

const (
	// backendDelay is how long a message takes between a limiter and a backend.
	backendDelay = 800 * time.Microsecond
	// connectTimeout is how long a limiter waits for a connection to a machine that does not respond.
	connectTimeout = 250 * time.Millisecond
	// repeatWork is how long a backend takes to respond to the repeat of an idempotency key.
	repeatWork = time.Millisecond
	// utilizationMemory is the time constant of the utilization in load reports.
	utilizationMemory = 400 * time.Millisecond
	// latencyWeight is the weight of one response in the latency of load reports.
	latencyWeight = 0.1
)

// backend has cores, a queue, a cold start, and a memory of idempotency keys.
type backend struct {
	world       *world
	number      int
	up          bool
	refuses     bool // connections, while the endpoint list shows it
	silent      bool // its machine does not respond
	startedAt   time.Duration
	incarnation int // crashes so far
	busy        int // cores
	queue       []*attempt
	keys        map[uint64]time.Duration // when a request with an idempotency key ran

	utilization   float64 // running mean of the busy fraction of the cores
	utilizationAt time.Duration
	latency       float64 // ms, running mean
}

// attempt is an attempt on its way, at a backend or finished.
type attempt struct {
	limiter     *limiter
	incarnation int // of the limiter
	request     *request
	id          core.AttemptID
	backend     *backend
	over        bool   // finished, or no one waits for its result
	token       uint64 // fencing token, 0 for none
}

// finish reports to the limiter how an attempt finished, after the way back.
func (a *attempt) finish(result admission.Result, report []float64) {
	if a.over {
		return
	}
	a.over = true
	a.limiter.world.judgeEnd(a)
	a.limiter.world.after(backendDelay, func() {
		if a.limiter.incarnation == a.incarnation {
			a.limiter.post(&core.AttemptFinished{Attempt: a.id, Result: result, Report: report, Response: a.request.id})
		}
	})
}

func (w *world) startBackends() {
	for i := range w.scenario.Backends.Count {
		w.backends = append(w.backends, &backend{world: w, number: i, up: true, keys: map[uint64]time.Duration{}})
	}
}

// startAttempt sends an attempt to its backend.
func (w *world) startAttempt(l *limiter, r *request, e core.StartAttempt) {
	a := &attempt{limiter: l, incarnation: l.incarnation, request: r, id: e.Attempt, token: e.Token}
	a.backend = w.backendByName(e.Backend)
	r.attempts[e.Attempt.Number] = a
	w.result.Attempts++
	if a.backend == nil {
		w.breach("an attempt at %q, which is no backend", e.Backend)
		return
	}
	if w.zone(a.backend.number) == w.zone(l.number) {
		w.result.AttemptsInZone++
	}
	w.after(backendDelay, func() { a.backend.receive(a) })
}

// backendByName is the backend of a name, nil if there is none.
func (w *world) backendByName(name string) *backend {
	for _, b := range w.backends {
		if b.name() == name {
			return b
		}
	}
	return nil
}

func (b *backend) name() string { return fmt.Sprintf("b%02d", b.number) }

// updateUtilization brings the running mean of the utilization up to now.
func (b *backend) updateUtilization() {
	now := b.world.now
	left := decay(now-b.utilizationAt, utilizationMemory)
	b.utilization = b.utilization*left + (1-left)*float64(b.busy)/float64(b.world.scenario.Backends.Cores)
	b.utilizationAt = now
}

// receive takes in an attempt that has arrived: it is served, queued or rejected.
func (b *backend) receive(a *attempt) {
	w := b.world
	if b.silent {
		w.result.AttemptsAtDown++
		w.after(connectTimeout, func() { a.finish(admission.ConnectFailed, nil) })
		return
	}
	if !b.up || b.refuses {
		w.result.AttemptsAtDown++
		a.finish(admission.Unreachable, nil)
		return
	}
	w.judgeToken(a)
	w.judgeArrival(a)
	w.judgeQuota(a)
	switch {
	case b.busy < w.scenario.Backends.Cores:
		b.serve(a)
	case len(b.queue) < w.scenario.Backends.Queue:
		b.queue = append(b.queue, a)
	default:
		a.finish(admission.Rejected, nil)
	}
}

// speed is the fraction of its full speed that a backend has by now.
func (b *backend) speed() float64 {
	sc := b.world.scenario.Backends
	if b.startedAt == 0 || sc.SlowStartDuration <= 0 {
		return 1
	}
	return min(sc.ColdFraction+(1-sc.ColdFraction)*(b.world.now-b.startedAt).Seconds()/sc.SlowStartDuration, 1)
}

// serve occupies a core with an attempt.
func (b *backend) serve(a *attempt) {
	w, incarnation := b.world, b.incarnation
	b.updateUtilization()
	b.busy++
	work := time.Duration(float64(w.exponential(milliseconds(w.scenario.Backends.Work))) / b.speed())
	if b.isRepeat(a.request) {
		work = repeatWork
	}
	if w.slots.probing {
		work = slotProbeWork
	}
	w.after(work, func() {
		if b.incarnation == incarnation {
			b.complete(a, work)
		}
	})
}

// isRepeat reports whether a request repeats an idempotency key within the window, and remembers the key
// of one that does not.
func (b *backend) isRepeat(r *request) bool {
	if !r.keyed {
		return false
	}
	ranAt, ran := b.keys[r.key]
	if ran && b.world.now-ranAt < seconds(b.world.scenario.Backends.IdempotencyWindow) {
		return true
	}
	b.keys[r.key] = b.world.now
	return false
}

// complete responds to an attempt, and serves what is queued.
func (b *backend) complete(a *attempt, work time.Duration) {
	b.updateUtilization()
	b.busy--
	b.latency += latencyWeight * (work.Seconds()*1e3 - b.latency)
	a.finish(admission.Succeeded, []float64{b.latency, b.utilization})
	b.world.judgeEnd(a)
	for len(b.queue) > 0 && b.busy < b.world.scenario.Backends.Cores {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if !next.over {
			b.serve(next)
		}
	}
}

// dropAll forgets all attempts at the backend.
func (b *backend) dropAll() {
	b.incarnation++
	b.busy, b.queue, b.utilization = 0, nil, 0
}

// fallSilent leaves all open attempts without a response.
func (b *backend) fallSilent() {
	b.silent = true
	b.dropAll()
}

// crash resets the connections of all open attempts; the endpoint list shows it late.
func (b *backend) crash() {
	w := b.world
	b.up = false
	b.dropAll()
	for _, a := range w.openAttempts() {
		if a.backend == b {
			a.finish(admission.ConnectionLost, nil)
		}
	}
	w.judgeBackendDeath(b)
	w.after(milliseconds(w.scenario.Backends.ListLag), w.publishEndpoints)
}

// boot starts a backend that crashed; the endpoint list shows it late.
func (b *backend) boot() {
	b.up, b.startedAt = true, b.world.now
	b.world.after(milliseconds(b.world.scenario.Backends.ListLag), b.world.publishEndpoints)
}

// endpointList is the endpoint list of discovery.
func (w *world) endpointList() []core.Endpoint {
	var list []core.Endpoint
	for _, b := range w.backends {
		state := admission.Live
		if !b.up {
			state = admission.Removed
		}
		list = append(list, core.Endpoint{Addr: "127.0.0.1:1", Backend: admission.Backend{
			ID: b.name(), Zone: w.zone(b.number), State: state, RelativeCapacity: 1, StartedAt: b.startedAt,
		}})
	}
	return list
}

// publishEndpoints sends the endpoint list to all processes.
func (w *world) publishEndpoints() {
	list := w.endpointList()
	for _, l := range w.limiters {
		if peer := l.link.peer; peer != nil {
			peer.post(&core.EndpointsUpdated{Kind: admission.ListDelta, Endpoints: list})
		}
		l.post(&core.EndpointsUpdated{Kind: admission.ListDelta, Endpoints: list})
	}
}
