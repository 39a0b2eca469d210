package admission

import "time"

// RequestID names a request. The caller chooses it and never reuses it within the life of a
// Controller.
type RequestID uint64

// Event is something that happened outside: one of *EndpointList, *Request, *AttemptFinished,
// TimerFired, TimePassed, *RequestEnded, *PeerMessage, *ProbeResult, *ResponseStarted, ShutdownStarted,
// RecoveryLease, *AttemptAdopted and EpochRenewed.
type Event interface{ event() }

// BackendState is the state of a backend by the endpoint list.
type BackendState uint8

const (
	// Live backends accept requests.
	Live BackendState = iota
	// Draining backends finish the requests they have and accept no others.
	Draining
	// Removed backends no longer exist.
	Removed
)

// Backend is an entry of the endpoint list.
type Backend struct {
	ID               string
	Zone             string
	Cell             int
	State            BackendState
	RelativeCapacity float64       // where Settings.CapacitiesKnown
	StartedAt        time.Duration // clock time of its last start; 0 for long ago
}

// ListKind says how to read an EndpointList.
type ListKind uint8

const (
	// ListComplete names every backend there is.
	ListComplete ListKind = iota
	// ListDelta names only what changed.
	ListDelta
	// ListCached names every backend as last known, which may be outdated.
	ListCached
	// ListFailed names nothing: a poll failed or ended.
	ListFailed
)

// EndpointList is the list of backends, or a change of it.
type EndpointList struct {
	Kind     ListKind
	Backends []Backend
}

// Request reports that a request has arrived from a client.
type Request struct {
	ID           RequestID
	Class        string
	Plan         string
	Customer     string
	Units        float64       // taken from the customer's quota
	Budget       time.Duration // how long the client waits from now on
	FirstLimiter int           // the customer's limiter set: SetSize limiters in a row from FirstLimiter
	SetSize      int
	IsRetry      bool // the client marks it as a retry of its own
}

// Result says how an attempt or a probe ended.
type Result uint8

const (
	// Succeeded attempts were served.
	Succeeded Result = iota
	// Errored attempts were failed by the backend; they may have run.
	Errored
	// Rejected attempts were refused by a full or draining backend; they never ran.
	Rejected
	// TimedOut attempts may have run.
	TimedOut
	// Unreachable means that the backend refuses connections; the attempt never ran.
	Unreachable
	// ConnectionLost attempts may have run.
	ConnectionLost
	// Canceled attempts may have run.
	Canceled
	// NotSent attempts never ran.
	NotSent
	// ConnectFailed means that no connection came up in time, or that it broke before the request
	// was written; the attempt never ran.
	ConnectFailed
)

// NeverRan reports whether a result proves that the attempt never ran.
func (r Result) NeverRan() bool {
	return r == Rejected || r == Unreachable || r == NotSent || r == ConnectFailed
}

// AttemptFinished ends an attempt.
type AttemptFinished struct {
	Request RequestID
	Attempt int // number of the attempt, from 0
	Backend string
	Result  Result
	Latency time.Duration
	Final   bool      // the request is over
	Report  []float64 // load report by Settings.LoadReportFields, if any
}

// TimerFired reports that the clock time of the last SetTimer has come.
type TimerFired struct{}

// TimePassed reports that the clock has come to a later time, and nothing else.
type TimePassed struct{}

// RequestEnded reports that a request is over here: its client disconnected, its deadline passed, or it
// was withdrawn for another process of this limiter, see Snapshot.
type RequestEnded struct{ Request RequestID }

// PeerMessage is a message received from another limiter.
type PeerMessage struct {
	From int // number of the sender
	Data []byte
}

// ProbeResult ends the probe of a ProbeBackend.
type ProbeResult struct {
	Backend string
	Result  Result
	Latency time.Duration
	Report  []float64
}

// ResponseStarted reports that the client is being sent the response of an attempt, which can no longer be
// canceled.
type ResponseStarted struct {
	Request RequestID
	Attempt int
}

// ShutdownStarted reports that this limiter shuts down: it admits no more requests of rate-limited plans, and
// the other limiters use its allocations of the customers' quotas until it starts again.
type ShutdownStarted struct{}

// RecoveryLease reports that the holder of a lease makes the recovery attempts at ejected backends for all
// limiters. Until is the clock time up to which this limiter holds it, 0 if it does not hold it. Before the
// first RecoveryLease each limiter makes its own attempts.
type RecoveryLease struct{ Until time.Duration }

// AttemptAdopted reports an attempt that another process of this limiter has in flight: it counts at its backend and
// among its customer's slots until its AttemptFinished. After one without success the slot is held, as that process may
// retry the request: until the next AttemptAdopted of the request, its RequestEnded, or the time by which every
// attempt of it must have ended. Without a Backend, the request has no attempt in flight and may be retried.
type AttemptAdopted struct {
	Request
	Attempt int
	Backend string
}

// EpochRenewed reports that another process has run this limiter in the meantime, and that what it granted
// is not known: the ledger starts anew, in a new epoch.
type EpochRenewed struct{ Epoch uint32 }

func (*EndpointList) event()    {}
func (*Request) event()         {}
func (*AttemptFinished) event() {}
func (TimerFired) event()       {}
func (TimePassed) event()       {}
func (*RequestEnded) event()    {}
func (*PeerMessage) event()     {}
func (*ProbeResult) event()     {}
func (*ResponseStarted) event() {}
func (ShutdownStarted) event()  {}
func (RecoveryLease) event()    {}
func (*AttemptAdopted) event()  {}
func (EpochRenewed) event()     {}
