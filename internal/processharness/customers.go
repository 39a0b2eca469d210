package processharness

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"lemongate/internal/simulation"
)

// keyedBodySize is the size in bytes of the body of a request with an idempotency key.
const keyedBodySize = 200

// customer sends requests through the limiters of its set. Its name is its number, which counts from 1.
type customer struct {
	plan         int // index
	firstLimiter int
	setSize      int
	busiest      int     // index in the set
	rate         float64 // requests per second
}

// startLoad starts sending the requests of all customers, at a constant total rate.
func (r *tierRun) startLoad() *Load {
	total := 0.0
	mean := r.scenario.Traffic.MeanUnits()
	for i, plan := range r.scenario.Plans {
		for range plan.Customers {
			c := r.newCustomer(i, plan.Rate*plan.LoadFactor/mean)
			r.customers = append(r.customers, c)
			total += c.rate
		}
	}
	source := &requestSource{run: r, total: total, random: rand.New(rand.NewPCG(r.random.Uint64(), 1))}
	return r.StartLoad(total, source.next)
}

// newCustomer returns a customer of a plan that sends rate requests per second.
func (r *tierRun) newCustomer(plan int, rate float64) customer {
	c := customer{plan: plan, firstLimiter: r.random.IntN(r.scenario.Limiters), setSize: r.scenario.SetSize(), rate: rate}
	c.busiest = r.random.IntN(c.setSize)
	return c
}

// requestSource generates the requests of all customers.
type requestSource struct {
	run   *tierRun
	total float64 // requests per second of all customers

	mu     sync.Mutex
	random *rand.Rand
}

// next returns the request with number n.
func (s *requestSource) next(n int) Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	traffic := &s.run.scenario.Traffic
	number := s.selectCustomer()
	c := &s.run.customers[number]
	request := Request{
		Limiter:      s.selectLimiter(c, traffic),
		Class:        ClassIdempotent,
		Plan:         s.run.Plans[c.plan].Name,
		Customer:     uint64(number + 1),
		FirstLimiter: c.firstLimiter,
		SetSize:      c.setSize,
		Units:        int(traffic.Units[s.random.IntN(len(traffic.Units))]),
	}
	if s.random.Float64() < traffic.KeyedFraction {
		request.Class, request.Key, request.Body = ClassKeyed, fmt.Sprintf("%032x", n), keyedBodySize
	}
	return request
}

// selectCustomer draws the index of a customer, with a probability in proportion to its rate.
func (s *requestSource) selectCustomer() int {
	customers := s.run.customers
	left := s.random.Float64() * s.total
	for i, c := range customers {
		if left <= c.rate {
			return i
		}
		left -= c.rate
	}
	return len(customers) - 1
}

// selectLimiter draws the limiter for a request: the busiest of the customer's set, or one of the others. If that
// limiter is down, the next one of the set that is up is used.
func (s *requestSource) selectLimiter(c *customer, traffic *simulation.Traffic) int {
	index := c.busiest
	if s.random.Float64() >= traffic.BusiestFraction && c.setSize > 1 {
		index = (c.busiest + 1 + s.random.IntN(c.setSize-1)) % c.setSize
	}
	return s.run.firstUp(c, index)
}

// firstUp returns the limiter at an index of a customer's set, or the first one after it that is up. If all are down,
// it returns the one at the index.
func (r *tierRun) firstUp(c *customer, index int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := len(r.processes)
	for i := range c.setSize {
		n := (c.firstLimiter + (index+i)%c.setSize) % count
		if r.processes[n] != nil {
			return n
		}
	}
	return (c.firstLimiter + index) % count
}
