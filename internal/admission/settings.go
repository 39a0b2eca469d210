package admission

import "time"

// Idempotency defines the effect of running a request more than once.
type Idempotency uint8

const (
	// NonIdempotent requests must not run twice.
	NonIdempotent Idempotency = iota
	// IdempotentByKey requests carry an idempotency key, by which the backends of one scope drop repeats
	// for a limited time.
	IdempotentByKey
	// Idempotent requests may run any number of times.
	Idempotent
)

// IdempotencyScope defines which backends share the memory of idempotency keys.
type IdempotencyScope uint8

const (
	// ScopeCell means the backends of one cell.
	ScopeCell IdempotencyScope = iota
	// ScopeZone means the backends of one zone.
	ScopeZone
	// ScopeAll means all backends.
	ScopeAll
)

// Class holds the settings of a request class.
type Class struct {
	Name             string
	Idempotency      Idempotency
	IdempotencyScope IdempotencyScope // for IdempotentByKey
	// IdempotencyWindow is the time for which backends drop repeats, for IdempotentByKey.
	IdempotencyWindow time.Duration
	// LatencyObjective is the latency up to which a response earns the full weight; 0 means the deadline.
	LatencyObjective time.Duration
	Deadline         time.Duration // the longest time that a client waits
	Weight           float64       // priority weight: what a response in time is worth
}

// Plan holds the limits that apply to each of its customers, over all limiters together. A zero Rate,
// MaxConcurrent or CeilingRate means that there is no such limit.
type Plan struct {
	Name           string
	Rate           float64 // quota, units per second
	Burst          float64 // units that the quota accumulates at most
	MaxConcurrent  int     // slots: attempts in flight plus queued requests
	WeightFactor   float64 // factor on the weight of the class; affects no decision
	ExcessFraction float64 // fraction of the weight that is earned beyond the quota
	OverQuotaCost  float64 // fraction of the weight that forwarding beyond the quota costs
	CeilingRate    float64 // ceiling, units per second
	CeilingBurst   float64 // units that the ceiling accumulates at most
}

// Settings configure a Controller. They do not change while it runs.
type Settings struct {
	// Epoch increases with each start of this limiter, modulo 2^32. 0 means the clock time of the first event in
	// milliseconds, plus one; the clock must then have the same origin at each start.
	Epoch    uint32
	Self     int    // number of this limiter, from 0
	Limiters int    // number of limiters; 0 is treated as 1
	Zone     string // of this limiter; affects no decision
	// ClockResolution is the finest step of the caller's clock.
	ClockResolution time.Duration
	Classes         []Class
	Plans           []Plan

	ClientsMarkRetries    bool    // Request.IsRetry is reliable
	MaxAttempts           int     // maximum number of attempts per request; 0 means one
	MayCancel             bool    // CancelAttempt may be used
	MayProbe              bool    // ProbeBackend may be used
	GossipEnabled         bool    // SendToPeer may be used
	PeerMessagesPerSecond float64 // messages that a limiter accepts from all others together
	// MaxRetryAfter is the longest Retry-After that clients follow; 0 means that none is sent.
	MaxRetryAfter time.Duration

	LoadReportFields []string // names of the values in a load report
	CapacitiesKnown  bool     // Backend.RelativeCapacity is set
	PollEndpoints    bool     // changes of the endpoint list arrive only after PollEndpoints

	// DrainGrace is how long attempts may still start at a backend after an endpoint list in which it is draining
	// or removed. It affects no decision: no attempt starts there once the list is known.
	DrainGrace time.Duration
	// SlowStartFraction is the fraction of its capacity that a backend has at least immediately after its
	// start; it has its full capacity after SlowStartDuration.
	SlowStartFraction float64
	SlowStartDuration time.Duration
	// A backend that is warming up goes down if it is sent OverloadMultiple times its capacity for
	// OverloadDuration. Neither value affects a decision, as slow start stays well below.
	OverloadMultiple float64
	OverloadDuration time.Duration
}
