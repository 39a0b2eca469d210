package simulation

import "lemongate/internal/lease"

// Scenario describes a tier, its traffic and its faults. Times are in seconds unless the name of the field in files has
// another unit.
type Scenario struct {
	Limiters int     `json:"limiters"`
	Seconds  float64 `json:"seconds"`
	Plans    []Plan  `json:"plans"`
	Traffic  Traffic `json:"traffic"`
	Backends Backend `json:"backends"`
	Network  Network `json:"network"`
	Zones    int     `json:"zones"` // limiters and backends are assigned to zones round-robin; 0 for one zone
	Leases   *Leases `json:"leases,omitempty"`
	Faults   []Fault `json:"faults"`
}

// SetSize returns the number of limiters in a customer's set.
func (sc *Scenario) SetSize() int {
	if sc.Traffic.LimitersPerCustomer <= 0 {
		return sc.Limiters
	}
	return min(sc.Traffic.LimitersPerCustomer, sc.Limiters)
}

// Acceptors returns the numbers of the acceptors of the first task that is done under a lease. The scenario
// must have leases.
func (sc *Scenario) Acceptors() []int {
	var numbers []int
	for _, n := range lease.AcceptorsOf(lease.TaskID(sc.Leases.Tasks[0]), sc.Limiters, sc.Leases.AcceptorCount) {
		numbers = append(numbers, int(n))
	}
	return numbers
}

// Leases describes the tasks that only the holder of a lease does; see lease.Settings and core.RestartSlots.
type Leases struct {
	Tasks               []string `json:"tasks"`
	Duration            float64  `json:"length_ms"`
	AcceptorCount       int      `json:"keepers"`             // acceptors of each task
	UsagePeriod         float64  `json:"rollup_ms,omitempty"` // period of usage reports; 0 for no reports
	MaxRestarting       int      `json:"out_most,omitempty"`  // limiters that may restart at once under restart slots
	RestartSlotDuration float64  `json:"turn_ms,omitempty"`   // how long a restart slot is valid
}

// Plan is a plan and the customers on it.
type Plan struct {
	Name           string  `json:"name"`
	Rate           float64 `json:"rate"`          // units per second
	Burst          float64 `json:"burst"`         // units
	CeilingRate    float64 `json:"ceiling_rate"`  // units per second; 0 for no ceiling
	CeilingBurst   float64 `json:"ceiling_burst"` // units
	Tolerance      float64 `json:"tolerance"`     // units by which the ceiling's bucket may fall below zero
	WeightFactor   float64 `json:"pays"`          // see admission.Plan.WeightFactor
	ExcessFraction float64 `json:"excess_worth"`  // see admission.Plan.ExcessFraction
	OverQuotaCost  float64 `json:"over_cost"`     // see admission.Plan.OverQuotaCost
	Customers      int     `json:"customers"`
	LoadFactor     float64 `json:"times"`                               // units that a customer requests, as a multiple of its rate
	MaxConcurrent  int     `json:"concurrency,omitempty" since:"0.9.2"` // attempts in flight of a customer; 0 for no limit
}

// Traffic describes how requests arrive.
type Traffic struct {
	LimitersPerCustomer int       `json:"spread"`      // limiters in a customer's set; 0 for all
	BusiestFraction     float64   `json:"busiest"`     // fraction of a customer's requests that its busiest limiter receives
	BusiestDuration     float64   `json:"moves_s"`     // how long a limiter stays a customer's busiest
	Units               []float64 `json:"units"`       // units of requests, each equally likely
	Retries             int       `json:"retries"`     // how often a client may retry a rejected request
	RetryWait           float64   `json:"retry_ms"`    // how long a client waits before a retry, or longer if it follows Retry-After
	RetryAfterFraction  float64   `json:"heed"`        // fraction of the rejections after which the client follows Retry-After
	KeyedFraction       float64   `json:"keyed"`       // fraction of the requests that have an idempotency key
	Deadline            float64   `json:"deadline_ms"` // how long a client waits for the response
}

// MeanUnits returns the mean number of units of a request.
func (t *Traffic) MeanUnits() float64 {
	mean := 0.0
	for _, u := range t.Units {
		mean += u / float64(len(t.Units))
	}
	return mean
}

// Backend describes the backends.
type Backend struct {
	Count             int     `json:"count"`
	Cores             int     `json:"cores"`
	Work              float64 `json:"work_ms"`     // mean service time of an attempt; exponentially distributed
	Queue             int     `json:"queue"`       // maximum length of the queue, beyond which attempts are rejected
	ColdFraction      float64 `json:"cold"`        // fraction of full speed at a start; it grows linearly ...
	SlowStartDuration float64 `json:"warm_s"`      // ... to 1 within this time
	IdempotencyWindow float64 `json:"window_s"`    // how long a backend recognizes repeats of an idempotency key
	ListLag           float64 `json:"list_lag_ms"` // time from a crash or start of a backend until the endpoint list shows it
}

// Network describes how datagrams travel between limiters.
type Network struct {
	DelayMin             float64 `json:"delay_min_ms"`
	DelayMax             float64 `json:"delay_max_ms"`
	Loss                 float64 `json:"loss"`     // fraction of the datagrams that is lost
	Duplicated           float64 `json:"twice"`    // fraction of the datagrams that is duplicated
	Delayed              float64 `json:"old"`      // fraction of the datagrams that is delayed by DelayedFor
	DelayedFor           float64 `json:"old_s"`    // additional delay, see Delayed
	MaxReceivedPerSecond float64 `json:"in_per_s"` // datagrams per second that a limiter receives; 0 for no bound
}

// FaultKind is the kind of a Fault, as files name it.
type FaultKind string

// The kinds of faults.
const (
	// FaultPartition separates limiters in different Groups. For each pair of LostDirections it also loses the datagrams
	// from the first limiter to the second.
	FaultPartition FaultKind = "cut"
	// FaultOutgoingLoss loses all datagrams that Limiters send.
	FaultOutgoingLoss FaultKind = "mute"
	// FaultIncomingLoss loses all datagrams that are sent to Limiters.
	FaultIncomingLoss FaultKind = "deaf"
	// FaultLoss loses the fraction Rate of all datagrams.
	FaultLoss FaultKind = "loss"
	// FaultClock makes the clocks of Limiters run at Rate times their normal rate from then on.
	FaultClock FaultKind = "clock"
	// FaultStall stalls the processes of Limiters; events that arrive meanwhile are handled at the end of the fault.
	FaultStall FaultKind = "stall"
	// FaultRestart kills Limiters, and starts them without any state after the time Down.
	FaultRestart FaultKind = "restart"
	// FaultHotRestart starts a successor of each of Limiters. The predecessor is shut down after the time For. The process
	// that KilledProcess names is killed the time Down after the start of the fault.
	FaultHotRestart FaultKind = "takeover"
	// FaultRollingRestart restarts Limiters once they have a restart slot; each is down for the time Down.
	FaultRollingRestart FaultKind = "walk"
	// FaultBackendCrash kills Backends, and starts them cold at the end of the fault.
	FaultBackendCrash FaultKind = "backend"
	// FaultBackendRefuses makes Backends refuse all connections, while the endpoint list shows no change.
	FaultBackendRefuses FaultKind = "down"
	// FaultBackendUnresponsive makes connections to Backends time out, while the endpoint list shows no change.
	FaultBackendUnresponsive FaultKind = "silent"
)

// Process is one of the two processes of a hot restart, as files name it.
type Process string

// The processes of a hot restart.
const (
	Predecessor Process = "elder"
	Successor   Process = "heir"
)

// Role selects limiters by their role at the time of a fault, as files name it.
type Role string

// The roles of limiters for the first task that is done under a lease.
const (
	RoleLeaseHolder Role = "holder"
	RoleAcceptors   Role = "keepers" // all of them
	RoleOneAcceptor Role = "keeper"  // selected at random
)

// Fault is a fault that starts at the time At and lasts for the time For. Each kind uses the fields that the comment on
// its constant names.
type Fault struct {
	Kind           FaultKind `json:"kind"`
	At             float64   `json:"at_s"`
	For            float64   `json:"for_s"`
	Groups         [][]int   `json:"groups,omitempty"`   // numbers of limiters, one list for each partition
	LostDirections [][]int   `json:"ways,omitempty"`     // pairs of sender and receiver
	Limiters       []int     `json:"limiters,omitempty"` // replaced by those of Role, if that is set
	Backends       []int     `json:"backends,omitempty"` // replaced by Zone, if that is set
	Down           float64   `json:"down_s,omitempty"`
	Every          float64   `json:"every_s,omitempty"` // the fault starts again after this; 0 for never
	Rate           float64   `json:"rate,omitempty"`    // see FaultLoss and FaultClock
	KilledProcess  Process   `json:"dies,omitempty"`
	Role           Role      `json:"who,omitempty"`
	Zone           int       `json:"zone,omitempty"` // from 1: all backends of this zone
}
