package simulation

import (
	"fmt"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

const (
	// backendDelay is the one-way latency between a limiter and a backend.
	backendDelay = 800 * time.Microsecond
	// connectTimeout is how long a limiter waits for a connection to a machine that does not respond.
	connectTimeout = 250 * time.Millisecond
	// repeatServiceTime is the service time of a request that repeats an idempotency key.
	repeatServiceTime = time.Millisecond
	// utilizationTimeConstant is the time constant of the moving average of the utilization in load reports.
	utilizationTimeConstant = 400 * time.Millisecond
	// latencyWeight is the weight of one response in the moving average of the latency in load reports.
	latencyWeight = 0.1
)

// backend models a backend: cores, a queue, a slow start, and the idempotency keys of the requests it has served.
type backend struct {
	world              *world
	number             int
	up                 bool // false from a crash until the next start
	refusesConnections bool // while the endpoint list shows no change
	unresponsive       bool // connections to it time out
	startedAt          time.Duration
	incarnation        int // incremented when a fault drops all attempts
	busyCores          int
	queue              []*attempt
	keysServedAt       map[uint64]time.Duration // by idempotency key; repeats excluded

	utilization   float64 // moving average of the fraction of the cores in use
	utilizationAt time.Duration
	latency       float64 // ms, moving average
}

// attempt is an attempt on its way to a backend, at a backend, or finished.
type attempt struct {
	limiter     *limiter
	incarnation int // of the limiter
	request     *request
	id          core.AttemptID
	backend     *backend
	done        bool   // finished or canceled, or its limiter's process was killed
	token       uint64 // fencing token, 0 for none
}

// finish reports the result of an attempt to the limiter after the network delay, unless the attempt is done.
func (a *attempt) finish(result admission.Result, report []float64) {
	if a.done {
		return
	}
	a.done = true
	a.limiter.world.recordEnd(a)
	a.limiter.world.after(backendDelay, func() {
		if a.limiter.incarnation == a.incarnation {
			a.limiter.post(&core.AttemptFinished{Attempt: a.id, Result: result, Report: report, Response: a.request.id})
		}
	})
}

func (w *world) startBackends() {
	for i := range w.scenario.Backends.Count {
		w.backends = append(w.backends, &backend{world: w, number: i, up: true, keysServedAt: map[uint64]time.Duration{}})
	}
}

// startAttempt sends an attempt to its backend.
func (w *world) startAttempt(l *limiter, r *request, e core.StartAttempt) {
	a := &attempt{limiter: l, incarnation: l.incarnation, request: r, id: e.Attempt, token: e.Token}
	a.backend = w.backendByName(e.Backend)
	r.attempts[e.Attempt.Number] = a
	w.result.Attempts++
	if a.backend == nil {
		w.breach("attempt at unknown backend %q", e.Backend)
		return
	}
	if w.zone(a.backend.number) == w.zone(l.number) {
		w.result.AttemptsInZone++
	}
	w.after(backendDelay, func() { a.backend.receive(a) })
}

// backendByName returns the backend with a name, nil if there is none.
func (w *world) backendByName(name string) *backend {
	for _, b := range w.backends {
		if b.name() == name {
			return b
		}
	}
	return nil
}

func (b *backend) name() string { return fmt.Sprintf("b%02d", b.number) }

// updateUtilization updates the moving average of the utilization to the current time.
func (b *backend) updateUtilization() {
	now := b.world.now
	previousWeight := decay(now-b.utilizationAt, utilizationTimeConstant)
	b.utilization = b.utilization*previousWeight + (1-previousWeight)*float64(b.busyCores)/float64(b.world.scenario.Backends.Cores)
	b.utilizationAt = now
}

// receive handles an attempt that has arrived: it fails, is served, is queued or is rejected.
func (b *backend) receive(a *attempt) {
	w := b.world
	if b.unresponsive {
		w.result.AttemptsAtDown++
		w.after(connectTimeout, func() { a.finish(admission.ConnectFailed, nil) })
		return
	}
	if !b.up || b.refusesConnections {
		w.result.AttemptsAtDown++
		a.finish(admission.Unreachable, nil)
		return
	}
	w.checkToken(a)
	w.recordArrival(a)
	w.checkQuota(a)
	switch {
	case b.busyCores < w.scenario.Backends.Cores:
		b.serve(a)
	case len(b.queue) < w.scenario.Backends.Queue:
		b.queue = append(b.queue, a)
	default:
		a.finish(admission.Rejected, nil)
	}
}

// speed returns the backend's current fraction of full speed, which is below 1 during the slow start.
func (b *backend) speed() float64 {
	sc := b.world.scenario.Backends
	if b.startedAt == 0 || sc.SlowStartDuration <= 0 {
		return 1
	}
	return min(sc.ColdFraction+(1-sc.ColdFraction)*(b.world.now-b.startedAt).Seconds()/sc.SlowStartDuration, 1)
}

// serve runs an attempt on a core until its service time has passed.
func (b *backend) serve(a *attempt) {
	w, incarnation := b.world, b.incarnation
	b.updateUtilization()
	b.busyCores++
	serviceTime := time.Duration(float64(w.exponential(milliseconds(w.scenario.Backends.Work))) / b.speed())
	if b.recordKey(a.request) {
		serviceTime = repeatServiceTime
	}
	if w.slots.probing {
		serviceTime = slotProbeServiceTime
	}
	w.after(serviceTime, func() {
		if b.incarnation == incarnation {
			b.complete(a, serviceTime)
		}
	})
}

// recordKey records the idempotency key of a request as served now, unless the backend served it within
// IdempotencyWindow. It reports whether the backend did.
func (b *backend) recordKey(r *request) bool {
	if !r.keyed {
		return false
	}
	servedAt, served := b.keysServedAt[r.key]
	if served && b.world.now-servedAt < seconds(b.world.scenario.Backends.IdempotencyWindow) {
		return true
	}
	b.keysServedAt[r.key] = b.world.now
	return false
}

// complete responds to an attempt and serves queued attempts on the cores that are free.
func (b *backend) complete(a *attempt, serviceTime time.Duration) {
	b.updateUtilization()
	b.busyCores--
	b.latency += latencyWeight * (serviceTime.Seconds()*1e3 - b.latency)
	a.finish(admission.Succeeded, []float64{b.latency, b.utilization})
	b.world.recordEnd(a)
	for len(b.queue) > 0 && b.busyCores < b.world.scenario.Backends.Cores {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if !next.done {
			b.serve(next)
		}
	}
}

// dropAttempts drops all attempts at the backend without a response.
func (b *backend) dropAttempts() {
	b.incarnation++
	b.busyCores, b.queue, b.utilization = 0, nil, 0
}

// stopResponding makes the backend unresponsive; its open attempts get no response.
func (b *backend) stopResponding() {
	b.unresponsive = true
	b.dropAttempts()
}

// crash resets the connections of all open attempts. The endpoint list shows the crash after ListLag.
func (b *backend) crash() {
	w := b.world
	b.up = false
	b.dropAttempts()
	for _, a := range w.openAttempts() {
		if a.backend == b {
			a.finish(admission.ConnectionLost, nil)
		}
	}
	w.recordBackendCrash(b)
	w.after(milliseconds(w.scenario.Backends.ListLag), w.publishEndpoints)
}

// boot starts a backend that crashed. The endpoint list shows the start after ListLag.
func (b *backend) boot() {
	b.up, b.startedAt = true, b.world.now
	b.world.after(milliseconds(b.world.scenario.Backends.ListLag), b.world.publishEndpoints)
}

// addr returns the address of the backend, at which no other one listens.
func (b *backend) addr() string { return fmt.Sprintf("127.0.0.1:%d", 1+b.number) }

// endpointList returns the endpoint list that discovery sends.
func (w *world) endpointList() []core.Endpoint {
	var list []core.Endpoint
	for _, b := range w.backends {
		state := admission.Live
		if !b.up {
			state = admission.Removed
		}
		list = append(list, core.Endpoint{Addr: b.addr(), Backend: admission.Backend{
			ID: b.name(), Zone: w.zone(b.number), State: state, RelativeCapacity: 1, StartedAt: b.startedAt,
		}})
	}
	return list
}

// publishEndpoints sends the endpoint list to all limiter processes.
func (w *world) publishEndpoints() {
	list := w.endpointList()
	for _, l := range w.limiters {
		if peer := l.link.peer; peer != nil {
			peer.post(&core.EndpointsUpdated{Kind: admission.ListDelta, Endpoints: list})
		}
		l.post(&core.EndpointsUpdated{Kind: admission.ListDelta, Endpoints: list})
	}
}
