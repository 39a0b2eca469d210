package admission

import "time"

// Idempotency says what running a request more than once does.
type Idempotency uint8

const (
	// NonIdempotent requests must not run twice.
	NonIdempotent Idempotency = iota
	// IdempotentByKey requests carry an idempotency key, by which backends of one scope drop repeats
	// for a while.
	IdempotentByKey
	// Idempotent requests may run any number of times.
	Idempotent
)

// IdempotencyScope says which backends share the memory that drops repeats of a keyed request.
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
	// IdempotencyWindow is how long backends drop repeats, for IdempotentByKey.
	IdempotencyWindow time.Duration
	// LatencyObjective is the latency up to which an answer earns the full weight; the deadline
	// where it is 0.
	LatencyObjective time.Duration
	Deadline         time.Duration // the longest a client waits
	Weight           float64       // priority: what an answer in time is worth
}

// Plan holds the quotas of each of its customers, over all limiters together. A zero Rate,
// MaxConcurrent or CeilingRate means that there is no such limit.
type Plan struct {
	Name           string
	Rate           float64 // quota, units per second
	Burst          float64 // units that the quota saves up
	MaxConcurrent  int     // slots: attempts in flight plus queued requests
	WeightFactor   float64 // factor on the weight of the class; no decision depends on it
	ExcessFraction float64 // fraction of the weight that is earned beyond the quota
	OverQuotaCost  float64 // fraction of the weight that forwarding beyond the quota costs
	CeilingRate    float64 // hard ceiling, units per second
	CeilingBurst   float64 // units that the ceiling saves up
}

// Settings configure a Controller. They do not change while it runs.
type Settings struct {
	// Epoch grows with each start of this limiter, modulo 2^32. 0 means the clock time of the first event in
	// milliseconds, plus one; the origin of the clock must then be the same at each start.
	Epoch    uint32
	Self     int    // number of this limiter, from 0
	Limiters int    // how many there are; 0 counts as 1
	Zone     string // of this limiter; no decision depends on it
	// ClockResolution is the finest step of the caller's clock.
	ClockResolution time.Duration
	Classes         []Class
	Plans           []Plan

	ClientsMarkRetries    bool    // Request.IsRetry can be trusted
	MaxAttempts           int     // attempts for one request; 0 means one
	MayCancel             bool    // CancelAttempt may be used
	MayProbe              bool    // ProbeBackend may be used
	GossipEnabled         bool    // SendToPeer may be used
	PeerMessagesPerSecond float64 // that one limiter takes in from all others together
	// MaxRetryAfter is the longest Retry-After that clients follow; 0 means to give none.
	MaxRetryAfter time.Duration

	LoadReportFields []string // names of the values in a load report
	CapacitiesKnown  bool     // Backend.RelativeCapacity is set
	PollEndpoints    bool     // changes of the endpoint list come only after PollEndpoints

	// DrainGrace is how long attempts may still start at a backend after an endpoint list that has it
	// draining or removed. No decision depends on it: none start there from then on.
	DrainGrace time.Duration
	// SlowStartFraction is the fraction of its capacity that a backend has at least just after its
	// start; SlowStartDuration later it has all of it.
	SlowStartFraction float64
	SlowStartDuration time.Duration
	// A backend that warms up and is sent OverloadMultiple times its capacity for OverloadDuration goes
	// down. No decision depends on them: slow start keeps well below.
	OverloadMultiple float64
	OverloadDuration time.Duration
}
