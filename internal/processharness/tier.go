// Package processharness plays limiters as processes of their own, with stand-ins for all that they
// connect to: discovery, backends, clients and the network between limiters. A run is judged by what the
// stand-ins observed, by one clock, and never by what a limiter reports of itself.
package processharness

import (
	"slices"
	"sync"
	"time"
)

// Plan is a plan of the settings; zero is no bound.
type Plan struct {
	Name                      string
	Rate, Burst               float64 // units per second, units
	CeilingRate, CeilingBurst float64 // units per second, units
	MaxConcurrent             int     // attempts in flight at once
}

// Tier is some limiters with all that they connect to. Its exported fields may be changed before a process
// starts.
type Tier struct {
	Host              Host
	Limiters          []*Limiter
	Network           *Network
	Backends          []*Backend
	Program           []string // how to start a limiter
	Env               []string // of each limiter, in addition
	Plans             []Plan
	Sockets           int  // limit of each limiter
	MemoryMB          int  // limit of each limiter
	ReportUtilization bool // backends send load reports with their utilization
	// Work is how long backends work at least on an attempt; nil for no more than their delay.
	Work func(Attempt) time.Duration

	discovery *discovery
	keys      keyLog
}

// New returns a tier whose limiters are not started. All of it ends with the test.
func New(t Host, limiters, backends int, program ...string) *Tier {
	tier := &Tier{Host: t, Program: program, Sockets: 1024, MemoryMB: 192, Plans: []Plan{{Name: "free"}}}
	tier.Network = newNet(t, limiters)
	for i := range backends {
		tier.Backends = append(tier.Backends, newBackend(tier, i))
	}
	tier.discovery = newDiscovery(tier)
	for i := range limiters {
		tier.Limiters = append(tier.Limiters, &Limiter{Number: i, Addr: freeAddr(t, "tcp"), Dir: t.TempDir(), tier: tier})
	}
	return tier
}

// LeasedAttempts returns all attempts that arrived at backends under a lease, in the order in which they arrived.
func (tier *Tier) LeasedAttempts() []LeasedAttempt {
	var acts []LeasedAttempt
	for _, b := range tier.Backends {
		b.mu.Lock()
		acts = append(acts, b.acts...)
		b.mu.Unlock()
	}
	slices.SortStableFunc(acts, func(a, b LeasedAttempt) int { return a.At.Compare(b.At) })
	return acts
}

// Attempts returns how often each request arrived at the backends, by its X-Call-Id, and all attempts in
// the order in which they arrived.
func (tier *Tier) Attempts() (byID map[string]int, attempts []Attempt) {
	byID = map[string]int{}
	for _, b := range tier.Backends {
		b.mu.Lock()
		attempts = append(attempts, b.attempts...)
		b.mu.Unlock()
	}
	for _, a := range attempts {
		byID[a.CallID]++
	}
	slices.SortFunc(attempts, func(a, b Attempt) int { return a.At.Compare(b.At) })
	return byID, attempts
}

// Visit is an attempt and the number of the backend at which it arrived.
type Visit struct {
	Attempt
	Backend int
}

// Visits returns all attempts with their backends, in no order.
func (tier *Tier) Visits() (visits []Visit) {
	for number, b := range tier.Backends {
		b.mu.Lock()
		for _, a := range b.attempts {
			visits = append(visits, Visit{a, number})
		}
		b.mu.Unlock()
	}
	return visits
}

// Flights returns when each attempt was in flight, in no order.
func (tier *Tier) Flights() (flights []Flight) {
	for _, b := range tier.Backends {
		b.mu.Lock()
		flights = append(flights, b.flights...)
		b.mu.Unlock()
	}
	return flights
}

// RepeatedRuns returns how many times a request with an idempotency key ran again after the window.
func (tier *Tier) RepeatedRuns() int {
	tier.keys.mu.Lock()
	defer tier.keys.mu.Unlock()
	return tier.keys.doubled
}

// keyWindow is how long all backends drop the repeats of an idempotency key.
const keyWindow = 3 * time.Second

// keyLog records when requests with an idempotency key ran, at any backend.
type keyLog struct {
	mu      sync.Mutex
	ranAt   map[string]time.Time
	doubled int
}

// record records an attempt under a key. A repeat within the window does not run.
func (k *keyLog) record(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ranAt, ran := k.ranAt[key]
	if ran && time.Since(ranAt) < keyWindow {
		return
	}
	if ran {
		k.doubled++
	}
	if k.ranAt == nil {
		k.ranAt = map[string]time.Time{}
	}
	k.ranAt[key] = time.Now()
}
