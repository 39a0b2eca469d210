package admission

import "time"

// RequestID identifies a request. The caller chooses it and never reuses it during the lifetime of a
// Controller.
type RequestID uint64

// Event is an input from outside: one of *EndpointList, *Request, *AttemptFinished, TimerFired, TimePassed,
// *RequestEnded, *PeerMessage, *ProbeResult, *ResponseStarted, ShutdownStarted, RecoveryLease, *AttemptAdopted and
// EpochRenewed.
type Event interface{ event() }

// BackendState is the state of a backend in the endpoint list.
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
	RelativeCapacity float64       // set if Settings.CapacitiesKnown
	StartedAt        time.Duration // clock time of the last start; 0 for a start long ago
}

// ListKind is the kind of an EndpointList.
type ListKind uint8

const (
	// ListComplete contains every backend.
	ListComplete ListKind = iota
	// ListDelta contains only the backends that changed.
	ListDelta
	// ListCached contains every backend as last known, which may be outdated.
	ListCached
	// ListFailed contains no backend: a poll failed or ended.
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
	Units        float64       // deducted from the customer's quota
	Budget       time.Duration // how long the client waits from now on
	FirstLimiter int           // the limiter set: SetSize consecutive limiters starting at FirstLimiter
	SetSize      int
	IsRetry      bool // the client marked it as its own retry
}

// Result is the outcome of an attempt or a probe.
type Result uint8

const (
	// Succeeded means that the backend served the attempt.
	Succeeded Result = iota
	// Errored means that the backend failed the attempt; it may have run.
	Errored
	// Rejected means that a full or draining backend refused the attempt; it never ran.
	Rejected
	// TimedOut means that no response arrived in time; the attempt may have run.
	TimedOut
	// Unreachable means that the backend refuses connections; the attempt never ran.
	Unreachable
	// ConnectionLost means that the connection was lost; the attempt may have run.
	ConnectionLost
	// Canceled means that the attempt was canceled; it may have run.
	Canceled
	// NotSent means that the attempt was not sent; it never ran.
	NotSent
	// ConnectFailed means that no connection was established in time, or that it broke before the request
	// was written; the attempt never ran.
	ConnectFailed
	// NumResults is the number of results.
	NumResults
)

// String returns the name that logs and metrics use.
func (r Result) String() string {
	return [...]string{
		"succeeded", "errored", "rejected", "timed_out", "unreachable", "connection_lost", "canceled", "not_sent", "connect_failed",
	}[r]
}

// NeverRan reports whether a result proves that the attempt never ran.
func (r Result) NeverRan() bool {
	return r == Rejected || r == Unreachable || r == NotSent || r == ConnectFailed
}

// AttemptFinished reports the end of an attempt.
type AttemptFinished struct {
	Request RequestID
	Attempt int // number of the attempt, from 0
	Backend string
	Result  Result
	Latency time.Duration
	Final   bool      // the request has ended
	Report  []float64 // values of the load report in the order of Settings.LoadReportFields; nil for none
}

// TimerFired reports that the clock time of the last SetTimer has been reached.
type TimerFired struct{}

// TimePassed reports only that the clock has advanced.
type TimePassed struct{}

// RequestEnded reports that a request has ended here: its client disconnected, its deadline passed, or it was withdrawn
// so that another process of this limiter handles it, see Snapshot.
type RequestEnded struct{ Request RequestID }

// PeerMessage is a message received from another limiter.
type PeerMessage struct {
	From int // number of the sender
	Data []byte
}

// ProbeResult reports the end of the probe of a ProbeBackend.
type ProbeResult struct {
	Backend string
	Result  Result
	Latency time.Duration
	Report  []float64
}

// ResponseStarted reports that the response of an attempt is being sent to the client, so that the attempt can no
// longer be canceled.
type ResponseStarted struct {
	Request RequestID
	Attempt int
}

// ShutdownStarted reports that this limiter is shutting down: it admits no more requests of rate-limited plans, and the
// other limiters use its allocations of the customers' quotas until it starts again.
type ShutdownStarted struct{}

// RecoveryLease reports that the holder of a lease makes the recovery attempts at ejected backends for all
// limiters. Until is the clock time until which this limiter holds the lease, 0 if it does not hold it. Before the
// first RecoveryLease each limiter makes its own recovery attempts.
type RecoveryLease struct{ Until time.Duration }

// AttemptAdopted reports an attempt that another process of this limiter has in flight. The attempt counts at its
// backend and its request among the slots of its customer until its AttemptFinished. After a result other than
// success the slot is held, as the other process may retry the request: until the next AttemptAdopted of the request,
// its RequestEnded, or the time by which every attempt of it must have ended. Without a Backend, the request has no
// attempt in flight and may be retried.
type AttemptAdopted struct {
	Request
	Attempt int
	Backend string
}

// EpochRenewed reports that another process has run this limiter in the meantime, and that its grants are not known.
// The Controller creates a new ledger in a new epoch.
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
