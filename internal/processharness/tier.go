// Package processharness runs limiters as separate processes, with fakes of everything that they connect to:
// discovery, backends, clients and the network between limiters. A run is checked by what the fakes observed, with
// times of one clock, and never by what a limiter reports about itself.
package processharness

import (
	"slices"
	"sync"
	"time"
)

// Plan is a plan of the settings; a limit of zero means none.
type Plan struct {
	Name                      string
	Rate, Burst               float64 // units per second, units
	CeilingRate, CeilingBurst float64 // units per second, units
	MaxConcurrent             int     // attempts in flight at once
}

// Tier consists of limiters and everything they connect to. Its exported fields may be changed before a process
// starts.
type Tier struct {
	Host              Host
	Limiters          []*Limiter
	Network           *Network
	Backends          []*Backend
	Program           []string // command that starts a limiter
	Env               []string // additional environment of each limiter
	Plans             []Plan
	Sockets           int  // socket limit of each limiter
	MemoryMB          int  // memory limit of each limiter
	ReportUtilization bool // backends send load reports with their utilization
	// MinServiceTime returns the least time that backends take for an attempt. If it is nil, they take their delay.
	MinServiceTime func(Attempt) time.Duration

	discovery *discovery
	keys      keyLog
}

// New returns a tier whose limiters are not started. The tier is shut down when the host ends.
func New(h Host, limiters, backends int, program ...string) *Tier {
	tier := &Tier{Host: h, Program: program, Sockets: 1024, MemoryMB: 192, Plans: []Plan{{Name: "free"}}}
	tier.Network = newNetwork(h, limiters)
	for i := range backends {
		tier.Backends = append(tier.Backends, newBackend(tier, i))
	}
	tier.discovery = newDiscovery(tier)
	for i := range limiters {
		tier.Limiters = append(tier.Limiters, &Limiter{Number: i, Addr: freeAddr(h, "tcp"), Dir: h.TempDir(), tier: tier})
	}
	return tier
}

// LeasedAttempts returns all attempts that arrived at backends under a lease, in the order in which they arrived.
func (tier *Tier) LeasedAttempts() []LeasedAttempt {
	var attempts []LeasedAttempt
	for _, b := range tier.Backends {
		b.mu.Lock()
		attempts = append(attempts, b.leasedAttempts...)
		b.mu.Unlock()
	}
	slices.SortStableFunc(attempts, func(a, b LeasedAttempt) int { return a.ArrivedAt.Compare(b.ArrivedAt) })
	return attempts
}

// Attempts returns how often each request arrived at the backends, by its X-Call-Id, and all attempts in the order in
// which they arrived.
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
	slices.SortFunc(attempts, func(a, b Attempt) int { return a.ArrivedAt.Compare(b.ArrivedAt) })
	return byID, attempts
}

// BackendAttempt is an attempt with the number of the backend at which it arrived.
type BackendAttempt struct {
	Attempt
	Backend int
}

// BackendAttempts returns all attempts with the numbers of their backends, sorted by backend.
func (tier *Tier) BackendAttempts() (attempts []BackendAttempt) {
	for number, b := range tier.Backends {
		b.mu.Lock()
		for _, a := range b.attempts {
			attempts = append(attempts, BackendAttempt{a, number})
		}
		b.mu.Unlock()
	}
	return attempts
}

// AttemptSpans returns the span of each attempt, sorted by backend.
func (tier *Tier) AttemptSpans() (spans []AttemptSpan) {
	for _, b := range tier.Backends {
		b.mu.Lock()
		spans = append(spans, b.spans...)
		b.mu.Unlock()
	}
	return spans
}

// RepeatedExecutions returns how many times a request with an idempotency key was executed again, after keyWindow.
func (tier *Tier) RepeatedExecutions() int {
	tier.keys.mu.Lock()
	defer tier.keys.mu.Unlock()
	return tier.keys.repeats
}

// keyWindow is the time after the execution of a request in which no backend executes another one with the same
// idempotency key.
const keyWindow = 3 * time.Second

// keyLog records the executions of requests with an idempotency key at all backends.
type keyLog struct {
	mu         sync.Mutex
	executedAt map[string]time.Time // time of the last execution, by key
	repeats    int                  // executions after the first of their key
}

// record records an attempt with a key. It counts as executed unless a request with the key was executed within
// keyWindow.
func (k *keyLog) record(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	executedAt, wasExecuted := k.executedAt[key]
	if wasExecuted && time.Since(executedAt) < keyWindow {
		return
	}
	if wasExecuted {
		k.repeats++
	}
	if k.executedAt == nil {
		k.executedAt = map[string]time.Time{}
	}
	k.executedAt[key] = time.Now()
}
