package processharness

import (
	"fmt"
	"math/rand/v2"
	"sync"

	"lemongate/internal/simulation"
)

// keyedBodySize is the size in bytes of the body of a request with an idempotency key.
const keyedBodySize = 200

// customer sends requests through the limiters of its set.
type customer struct {
	plan         int     // index in the plans of the scenario
	firstLimiter int     // first limiter of its set
	setSize      int     // number of limiters in its set
	busiest      int     // index in the set of its busiest limiter, see drawLimiter
	rate         float64 // requests per second
}

// startLoad starts sending the requests of all customers, at a constant total rate.
func (r *tierRun) startLoad() *Load {
	total := 0.0
	meanUnits := r.scenario.Traffic.MeanUnits()
	for i, plan := range r.scenario.Plans {
		for range plan.Customers {
			c := r.newCustomer(i, plan.Rate*plan.LoadFactor/meanUnits)
			r.customers = append(r.customers, c)
			total += c.rate
		}
	}
	source := &requestSource{run: r, totalRate: total, random: rand.New(rand.NewPCG(r.random.Uint64(), 1))}
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
	run       *tierRun
	totalRate float64 // requests per second of all customers together

	mu     sync.Mutex
	random *rand.Rand
}

// next returns the request with number n. Customer IDs start at 1.
func (s *requestSource) next(n int) Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	traffic := &s.run.scenario.Traffic
	index := s.drawCustomer()
	c := &s.run.customers[index]
	request := Request{
		Limiter:      s.drawLimiter(c, traffic),
		Class:        ClassIdempotent,
		Plan:         s.run.Plans[c.plan].Name,
		Customer:     uint64(index + 1),
		FirstLimiter: c.firstLimiter,
		SetSize:      c.setSize,
		Units:        int(traffic.Units[s.random.IntN(len(traffic.Units))]),
	}
	if s.random.Float64() < traffic.KeyedFraction {
		request.Class, request.Key, request.Body = ClassKeyed, fmt.Sprintf("%032x", n), keyedBodySize
	}
	return request
}

// drawCustomer draws the index of a customer. The probability of each customer is proportional to its rate.
func (s *requestSource) drawCustomer() int {
	customers := s.run.customers
	remaining := s.random.Float64() * s.totalRate
	for i, c := range customers {
		if remaining <= c.rate {
			return i
		}
		remaining -= c.rate
	}
	return len(customers) - 1
}

// drawLimiter draws the limiter for a request: the busiest of the customer's set with probability BusiestFraction,
// otherwise one of the others. If that limiter is down, it returns the next one of the set that is up.
func (s *requestSource) drawLimiter(c *customer, traffic *simulation.Traffic) int {
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
