package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

const (
	// clientDelay is the one-way latency between a client and a limiter.
	clientDelay = 500 * time.Microsecond
	// deadlineSlack is how much later than its deadline a response may be; see slack.
	deadlineSlack = 100 * time.Millisecond
)

// customer sends requests to the limiters of its set. Its reference buckets show how its quota is enforced.
type customer struct {
	name         string
	plan         int // index
	firstLimiter int
	setSize      int
	busiest      int    // index in the set of the busiest limiter
	quota        Bucket // of the requests that reach backends
	ceiling      Bucket // of the requests that reach backends
	ideal        Bucket // of a single limiter that would receive all first tries
	tally        tally
	slots        slotTally
}

// tally sums the units of one customer's requests. A client whose request is rejected may send it again: each time that
// it sends the request is a try. The limiter handles each try as a request of its own, and forwards it in one or more
// attempts.
type tally struct {
	requested                                  float64 // of first tries
	due                                        float64 // see Result.Due
	forwardedWithinQuota, forwardedBeyondQuota float64 // of tries that reached a backend
	rejected                                   float64 // of tries rejected before an attempt reached a backend
	rejectedWithinQuota                        float64 // see Result.RejectedWithinQuota
	ceilingDebt                                float64 // most units by which the ceiling's bucket was below zero
}

// request is one try of a client's request, sent to a limiter; see tally.
type request struct {
	id             uint64
	customer       *customer
	limiter        *limiter
	units          float64
	keyed          bool   // has an idempotency key
	key            uint64 // idempotency key
	retriesLeft    int    // how often the client may still send it again
	sentAt         time.Duration
	reachedBackend bool // an attempt has reached a backend; see checkQuota
	answered       bool // has a response
	lost           bool // its limiter's process was killed
	attempts       map[int]*attempt
}

// requestKey identifies a request by the number of its limiter, whichever of the limiter's processes handles it.
type requestKey struct {
	limiter int
	id      core.RequestID
}

// openAttempts returns the attempts of all open requests, sorted so that runs are repeatable.
func (w *world) openAttempts() (list []*attempt) {
	byLimiterAndID := func(a, b requestKey) int {
		return cmp.Or(cmp.Compare(a.limiter, b.limiter), cmp.Compare(a.id, b.id))
	}
	for _, key := range slices.SortedFunc(maps.Keys(w.openRequests), byLimiterAndID) {
		attempts := w.openRequests[key].attempts
		for _, number := range slices.Sorted(maps.Keys(attempts)) {
			list = append(list, attempts[number])
		}
	}
	return list
}

// cancelAttempt cancels an attempt, if there is one with the number.
func (w *world) cancelAttempt(r *request, number int) {
	if a := r.attempts[number]; a != nil {
		a.done = true
		w.recordCancel(a)
	}
}

// startTraffic creates the customers and starts their requests.
func (w *world) startTraffic() {
	for i, plan := range w.scenario.Plans {
		for n := range plan.Customers {
			c := w.newCustomer(i, n)
			w.customers = append(w.customers, c)
			w.scheduleArrival(c)
			if interval := w.scenario.Traffic.BusiestDuration; interval > 0 {
				w.scheduleBusiestChange(c, seconds(interval*w.random.Float64()))
			}
		}
	}
}

// newCustomer creates a customer of a plan.
func (w *world) newCustomer(planIndex, number int) *customer {
	plan := w.scenario.Plans[planIndex]
	setSize := w.scenario.SetSize()
	return &customer{
		name:         fmt.Sprintf("%s-%04d", plan.Name, number),
		plan:         planIndex,
		firstLimiter: w.random.IntN(w.scenario.Limiters),
		setSize:      setSize,
		busiest:      w.random.IntN(setSize),
		quota:        NewBucket(plan.Rate, plan.Burst, runStart),
		ideal:        NewBucket(plan.Rate, plan.Burst, runStart),
		ceiling:      NewBucket(plan.CeilingRate, plan.CeilingBurst, runStart),
		slots:        slotTally{limit: plan.MaxConcurrent},
	}
}

// scheduleBusiestChange makes another limiter the busiest of a customer after wait, and then every BusiestDuration.
func (w *world) scheduleBusiestChange(c *customer, wait time.Duration) {
	w.after(wait, func() {
		c.busiest = (c.busiest + 1 + w.random.IntN(max(c.setSize-1, 1))) % c.setSize
		w.scheduleBusiestChange(c, seconds(w.scenario.Traffic.BusiestDuration))
	})
}

// scheduleArrival schedules the next request of a customer. The load is open-loop: arrivals do not wait for
// responses.
func (w *world) scheduleArrival(c *customer) {
	plan := w.scenario.Plans[c.plan]
	interval := w.exponential(seconds(w.scenario.Traffic.MeanUnits() / (plan.Rate * plan.LoadFactor)))
	w.after(interval, func() {
		if w.now > w.end {
			return
		}
		w.sendFirstTry(c)
		w.scheduleArrival(c)
	})
}

// sendFirstTry sends a new request of a customer; see tally for tries.
func (w *world) sendFirstTry(c *customer) {
	traffic := &w.scenario.Traffic
	units := traffic.Units[w.random.IntN(len(traffic.Units))]
	c.tally.requested += units
	if c.ideal.Take(w.now, units) {
		c.tally.due += units
	}
	keyed := w.random.Float64() < traffic.KeyedFraction
	w.lastID++
	r := &request{customer: c, units: units, keyed: keyed, key: w.lastID, retriesLeft: traffic.Retries}
	w.send(r, w.selectLimiter(c))
}

// selectLimiter selects the limiter for a request: the busiest of the customer's set or another one. If that
// limiter is down, it selects the next one of the set that is up; nil if all are down.
func (w *world) selectLimiter(c *customer) *limiter {
	index := c.busiest
	if w.random.Float64() >= w.scenario.Traffic.BusiestFraction && c.setSize > 1 {
		index = (c.busiest + 1 + w.random.IntN(c.setSize-1)) % c.setSize
	}
	for i := range c.setSize {
		l := w.limiters[(c.firstLimiter+(index+i)%c.setSize)%w.scenario.Limiters]
		if l.machine != nil {
			return l.selectProcess()
		}
	}
	return nil
}

// send sends a request to a limiter; a nil limiter means that none is up.
func (w *world) send(r *request, l *limiter) {
	w.lastID++
	r.id, r.limiter, r.sentAt, r.attempts = w.lastID, l, w.now, map[int]*attempt{}
	if l == nil {
		w.result.NoLimiter++
		return
	}
	w.result.Requests++
	w.slots.tries++
	budget := milliseconds(w.scenario.Traffic.Deadline)
	w.openRequests[requestKey{l.number, core.RequestID(r.id)}] = r
	w.after(clientDelay, l.ifAlive(func() { l.post(w.requestReceived(r, budget)) }))
	deadline := w.now + clientDelay + budget
	w.at(deadline+w.slack(l), func() {
		if !r.answered && !r.lost && w.now >= l.stalledUntil {
			w.breach("request %d at limiter %d has no response at its deadline", r.id, l.number)
		}
	})
}

// requestReceived returns the event of a request that has arrived at its limiter.
func (w *world) requestReceived(r *request, budget time.Duration) *core.RequestReceived {
	class := classIdempotent
	if r.keyed {
		class = classKeyed
	}
	return &core.RequestReceived{
		Request: admission.Request{
			ID:           core.RequestID(r.id),
			Class:        class,
			Plan:         w.scenario.Plans[r.customer.plan].Name,
			Customer:     r.customer.name,
			Units:        r.units,
			Budget:       budget,
			FirstLimiter: r.customer.firstLimiter,
			SetSize:      r.customer.setSize,
			IsRetry:      r.retriesLeft < w.scenario.Traffic.Retries,
		},
		ReceivedAt: r.limiter.clock(),
		CallID:     fmt.Sprintf("%016x", r.id),
		Content:    r.id,
	}
}

// slack returns how much later than its deadline a response of a limiter may be: deadlineSlack, and the rest of the
// stall if the limiter is stalled, as it responds after the stall.
func (w *world) slack(l *limiter) time.Duration {
	return max(l.stalledUntil-w.now, 0) + deadlineSlack
}

// checkQuota handles the first attempt of a request that has reached a backend: it consumes the request's units
// from the reference buckets and checks that the ceiling holds.
func (w *world) checkQuota(a *attempt) {
	r := a.request
	if r.reachedBackend || r.answered && a.done {
		return // counted before, or canceled before it arrived
	}
	r.reachedBackend = true
	w.usage.unitsReached += r.units
	w.queueTimes = append(w.queueTimes, (w.now-backendDelay-r.sentAt-clientDelay).Seconds()*1e3)
	c := r.customer
	if c.quota.Take(w.now, r.units) {
		c.tally.forwardedWithinQuota += r.units
	} else {
		c.tally.forwardedBeyondQuota += r.units
	}
	plan := w.scenario.Plans[c.plan]
	if plan.CeilingRate <= 0 {
		return
	}
	level := c.ceiling.Consume(w.now, r.units)
	c.tally.ceilingDebt = max(c.tally.ceilingDebt, -level)
	if -level > plan.Tolerance {
		w.breach("the ceiling's reference bucket of customer %s is at %.1f units, want at least %.1f", c.name, level, -plan.Tolerance)
	}
}

// respond delivers a limiter's response to the client.
func (w *world) respond(l *limiter, e core.Respond) {
	key := requestKey{l.number, e.Request}
	r := w.openRequests[key]
	if r == nil || r.answered {
		w.breach("limiter %d responds to request %d, which is not open", l.number, e.Request)
		return
	}
	r.answered = true
	delete(w.openRequests, key)
	switch e.Kind {
	case core.Served:
		w.result.Served++
		if id, ok := e.Response.(uint64); !ok || id != r.id {
			w.breach("request %d got the response of another request", r.id)
		}
	case core.Failed:
		w.result.Failed++
	default:
		w.result.Rejected++
		w.handleRejection(r, e.RetryAfter)
	}
}

// handleRejection counts a rejected request and schedules the client's retry, unless an attempt of the request has
// reached a backend.
func (w *world) handleRejection(r *request, retryAfter time.Duration) {
	if r.reachedBackend {
		return
	}
	c := r.customer
	c.tally.rejected += r.units
	if c.quota.Refill(w.now) > c.quota.burst/2 {
		c.tally.rejectedWithinQuota += r.units
	}
	w.recordRejection(c, c.quota.level >= r.units)
	if r.retriesLeft <= 0 {
		return
	}
	wait := milliseconds(w.scenario.Traffic.RetryWait)
	if retryAfter > 0 && w.random.Float64() < w.scenario.Traffic.RetryAfterFraction {
		wait = max(wait, retryAfter)
	}
	retry := &request{customer: c, units: r.units, keyed: r.keyed, key: r.key, retriesLeft: r.retriesLeft - 1}
	w.after(wait, func() { w.send(retry, w.selectLimiter(c)) })
}
