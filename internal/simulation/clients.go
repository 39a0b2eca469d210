package simulation

import (
	"fmt"
	"slices"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

// wayToLimiter is how long a message takes between a client and a limiter.
const wayToLimiter = 500 * time.Microsecond

// A Store is the true one, as the rules define it.
type Store struct {
	rate, burst float64
	level       float64
	at          time.Duration
}

// NewStore returns one that is full.
func NewStore(rate, burst float64, now time.Duration) Store {
	return Store{rate: rate, burst: burst, level: burst, at: now}
}

// Fill brings the level up to now, and tells it.
func (t *Store) Fill(now time.Duration) float64 {
	t.level = min(t.level+(now-t.at).Seconds()*t.rate, t.burst)
	t.at = now
	return t.level
}

// Take draws units if the store has them.
func (t *Store) Take(now time.Duration, units float64) bool {
	if t.Fill(now) < units {
		return false
	}
	t.level -= units
	return true
}

// Draw draws units whether the store has them or not, and tells what is left.
func (t *Store) Draw(now time.Duration, units float64) float64 {
	t.Fill(now)
	t.level -= units
	return t.level
}

// A customer asks for units through the limiters of its set.
type customer struct {
	name    string
	plan    int
	first   int
	spread  int
	busiest int // place in the set
	quota   Store
	ceiling Store
	ideal   Store // of one gateway that saw all first tries
	tally   tally
}

// tally is what one customer got, in units.
type tally struct {
	asked, due, inside, beyond, refusedRoom, refused, failed float64
	under                                                    float64 // most that the ceiling's store was below nothing
}

// A call is a client's try at a limiter.
type call struct {
	id       uint64
	customer *customer
	limiter  *limiter
	units    float64
	keyed    bool
	key      uint64
	tries    int // further ones that the client has left
	sent     time.Duration
	deadline time.Duration
	counted  bool // an attempt has come whole to a backend
	answered bool
	lost     bool
	ran      int
	fetches  map[int]*attempt
}

type callKey struct {
	limiter int
	req     core.RequestID
}

// people sets the customers up and starts their traffic.
func (s *sim) people() {
	for p, plan := range s.sc.Plans {
		for i := range plan.Customers {
			spread := s.sc.Traffic.Spread
			if spread <= 0 || spread > s.sc.Limiters {
				spread = s.sc.Limiters
			}
			c := &customer{
				name: fmt.Sprintf("%s-%04d", plan.Name, i), plan: p, first: s.random.IntN(s.sc.Limiters), spread: spread,
				busiest: s.random.IntN(spread),
				quota:   NewStore(plan.Rate, plan.Burst, start), ideal: NewStore(plan.Rate, plan.Burst, start),
				ceiling: NewStore(plan.CeilingRate, plan.CeilingBurst, start),
			}
			s.customers = append(s.customers, c)
			s.arrivals(c)
			if s.sc.Traffic.Moves > 0 {
				s.move(c, seconds(s.sc.Traffic.Moves*s.random.Float64()))
			}
		}
	}
}

func (s *sim) move(c *customer, wait time.Duration) {
	s.after(wait, func() {
		c.busiest = (c.busiest + 1 + s.random.IntN(max(c.spread-1, 1))) % c.spread
		s.move(c, seconds(s.sc.Traffic.Moves))
	})
}

// arrivals asks for the next req of a customer; they never wait for answers.
func (s *sim) arrivals(c *customer) {
	plan := s.sc.Plans[c.plan]
	mean := 0.0
	for _, u := range s.sc.Traffic.Units {
		mean += u / float64(len(s.sc.Traffic.Units))
	}
	s.after(s.exponential(seconds(mean/(plan.Rate*plan.Times))), func() {
		units := s.sc.Traffic.Units[s.random.IntN(len(s.sc.Traffic.Units))]
		c.tally.asked += units
		if c.ideal.Take(s.now, units) {
			c.tally.due += units
		}
		keyed := s.random.Float64() < s.sc.Traffic.Keyed
		s.nextID++
		s.try(&call{customer: c, units: units, keyed: keyed, key: s.nextID, tries: s.sc.Traffic.Retries}, s.pick(c))
		s.arrivals(c)
	})
}

// pick chooses the limiter that a req comes in through. One that is down takes
// nothing: the front sends its reqs to the next of the set.
func (s *sim) pick(c *customer) *limiter {
	place := c.busiest
	if s.random.Float64() >= s.sc.Traffic.Busiest && c.spread > 1 {
		place = (c.busiest + 1 + s.random.IntN(c.spread-1)) % c.spread
	}
	for i := range c.spread {
		l := s.limiters[(c.first+(place+i)%c.spread)%s.sc.Limiters]
		if l.machine != nil {
			return l.process()
		}
	}
	return nil
}

func (s *sim) try(c *call, l *limiter) {
	s.nextID++
	c.id, c.limiter, c.sent, c.fetches = s.nextID, l, s.now, map[int]*attempt{}
	if l == nil {
		s.result.NoLimiter++
		return
	}
	s.result.Reqs++
	class, budget := "read", milliseconds(s.sc.Traffic.Deadline)
	if c.keyed {
		class = "post"
	}
	c.deadline = s.now + wayToLimiter + budget
	key := callKey{l.number, core.RequestID(c.id)}
	s.calls[key] = c
	life := l.life
	s.after(wayToLimiter, func() {
		if l.life != life {
			return
		}
		l.post(&core.RequestReceived{
			Request: admission.Request{
				ID: key.req, Class: class, Plan: s.sc.Plans[c.customer.plan].Name, Customer: c.customer.name,
				Units: c.units, Budget: budget, FirstLimiter: c.customer.first, SetSize: c.customer.spread,
				IsRetry: c.tries < s.sc.Traffic.Retries,
			},
			ReceivedAt: l.clock(), CallID: fmt.Sprintf("%016x", c.id), Content: c.id,
		})
	})
	s.at(c.deadline+s.slack(l), func() {
		if !c.answered && !c.lost && s.now >= l.frozen {
			s.broken("req %d at limiter %d has no answer at its deadline", c.id, l.number)
		}
	})
}

// slack is how much later an answer may be: a limiter that stood still gives it
// when it runs again.
func (s *sim) slack(l *limiter) time.Duration {
	if l.frozen > s.now {
		return l.frozen - s.now + 100*time.Millisecond
	}
	return 100 * time.Millisecond
}

// reached books the first attempt of a try that has come whole to a backend: it
// takes its units from the true stores.
func (s *sim) reached(c *call, a *attempt) {
	if c.answered && !c.counted && a.over {
		return // called off on its way
	}
	if c.counted {
		return
	}
	c.counted = true
	s.leases.taken += c.units
	s.waits = append(s.waits, (s.now-wayToBackend-c.sent-wayToLimiter).Seconds()*1e3)
	t := &c.customer.tally
	if c.customer.quota.Take(s.now, c.units) {
		t.inside += c.units
	} else {
		t.beyond += c.units
	}
	if plan := s.sc.Plans[c.customer.plan]; plan.CeilingRate > 0 {
		left := c.customer.ceiling.Draw(s.now, c.units)
		t.under = max(t.under, -left)
		if -left > plan.Tolerance {
			s.broken("the ceiling's store of %s is at %.1f, %.1f allowed", c.customer.name, left, -plan.Tolerance)
		}
	}
}

// answered takes a limiter's answer to a client.
func (s *sim) answered(l *limiter, e core.Respond) {
	key := callKey{l.number, e.Request}
	c := s.calls[key]
	if c == nil || c.answered {
		s.broken("limiter %d answers req %d, which is not open", l.number, e.Request)
		return
	}
	c.answered = true
	delete(s.calls, key)
	t := &c.customer.tally
	switch e.Kind {
	case core.Served:
		s.result.Served++
		if id, ok := e.Response.(uint64); !ok || id != c.id {
			s.broken("req %d was served with another's answer", c.id)
		}
		return
	case core.Failed:
		s.result.Failed++
		t.failed += c.units
		return
	}
	s.result.Refused++
	if c.counted {
		return
	}
	t.refused += c.units
	if c.customer.quota.Fill(s.now) > c.customer.quota.burst/2 {
		t.refusedRoom += c.units
	}
	if c.tries <= 0 {
		return
	}
	wait := milliseconds(s.sc.Traffic.RetryWait)
	if e.RetryAfter > 0 && s.random.Float64() < s.sc.Traffic.Heed {
		wait = max(wait, e.RetryAfter)
	}
	again := &call{customer: c.customer, units: c.units, keyed: c.keyed, key: c.key, tries: c.tries - 1}
	s.after(wait, func() { s.try(again, s.pick(c.customer)) })
}

// finish sums the run up.
func (s *sim) finish() Result {
	r := &s.result
	n := float64(max(len(s.customers), 1))
	var beyond, under []float64
	for _, c := range s.customers {
		t := c.tally
		r.Asked += t.asked / n
		r.Due += t.due / n
		r.Inside += t.inside / n
		r.Beyond += t.beyond / n
		r.RefusedRoom += t.refusedRoom / n
		r.RefusedUnits += t.refused / n
		beyond, under = append(beyond, t.beyond), append(under, t.under)
	}
	slices.Sort(beyond)
	slices.Sort(under)
	r.BeyondWorst, r.Beyond99 = quantile(beyond, 1), quantile(beyond, 0.99)
	r.UnderWorst, r.Under99 = quantile(under, 1), quantile(under, 0.99)
	slices.Sort(s.waits)
	r.Wait50, r.Wait99 = quantile(s.waits, 0.5), quantile(s.waits, 0.99)
	reqs := float64(max(r.Reqs, 1))
	r.MessagesPerReq, r.BytesPerReq = float64(r.Messages)/reqs, float64(r.Bytes)/reqs
	s.leases.sum(s)
	r.CPUPerReq = float64(s.cpu.Microseconds()) / reqs
	return *r
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
