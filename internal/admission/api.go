// Package admission makes the decisions of an admission gateway for a
// service sold by plan: which requests to send on, when, to which backend,
// and which to refuse.
//
// A front door creates one Gateway, hands it every event in the order of its
// clock, and carries out the actions that come back. A Gateway starts no
// goroutines and reads no clock; the same settings, seed and events always
// give the same actions. It is not safe for concurrent use.
//
// The decisions are in policy.go. This file holds only their vocabulary, and
// Handle, which hands each event to the decision that it calls for.
package admission

import "time"

// RequestID names a request. The front door chooses it and never reuses it
// within the life of a Gateway.
type RequestID uint64

// An Idempotency says what running a request more than once does.
type Idempotency uint8

const (
	NonIdempotent   Idempotency = iota // must not run twice
	IdempotentByKey                    // backends of one group drop repeats for a while
	Idempotent                         // may run any number of times
)

// A IdempotencyScope says which backends share the memory that drops repeats of a keyed
// request.
type IdempotencyScope uint8

const (
	ScopeCell IdempotencyScope = iota // those of one cell
	ScopeZone                         // those of one zone
	ScopeAll                          // all of them
)

// A Class is a kind of request.
type Class struct {
	Name              string
	Idempotency       Idempotency
	IdempotencyScope  IdempotencyScope // for Keyed
	IdempotencyWindow time.Duration    // for Keyed: how long repeats are dropped
	LatencyObjective  time.Duration    // an answer within it earns the full worth
	Deadline          time.Duration    // the longest a client waits
	Weight            float64
}

// A Plan holds the quotas of each of its customers, over all gateways
// together. A zero Rate, Open or CeilingRate means no such limit.
type Plan struct {
	Name           string
	Rate, Burst    float64 // units a second, and the most units saved up
	MaxConcurrent  int     // attempts out at once
	WeightFactor   float64 // factor on the worth
	ExcessFraction float64 // part of the worth that is earned beyond the quota
	OverQuotaCost  float64 // part of the worth that sending beyond the quota costs
	CeilingRate    float64 // the hard ceiling, in units a second
	CeilingBurst   float64
}

// Settings are what a Gateway is told at its start.
type Settings struct {
	Epoch           uint32 // grows with each start of this gateway, modulo 2^32; 0 to take it from the clock
	Self            int    // number of this gateway, from 0
	Limiters        int    // how many there are
	Zone            string
	ClockResolution time.Duration // the finest step of the front door's clock
	Classes         []Class
	Plans           []Plan

	ClientsMarkRetries    bool // Request.Retry is to be trusted
	MaxAttempts           int  // attempts for one request; 0 means one
	MayCancel             bool // Cancel is allowed
	MayProbe              bool // Probe is allowed
	GossipEnabled         bool // Tell is allowed
	PeerMessagesPerSecond float64
	MaxRetryAfter         time.Duration // the longest advice a client follows; 0 means give none

	LoadReportFields []string // names of the values in a load report
	CapacitiesKnown  bool     // Backend.Size tells sizes apart
	PollEndpoints    bool     // changes of the list come only after Watch

	DrainGrace        time.Duration
	SlowStartFraction float64       // a backend starts with this part of its capacity or more
	SlowStartDuration time.Duration // and has all of it after this
	OverloadMultiple  float64       // a cold backend sent this many times its capacity
	OverloadDuration  time.Duration // for this long falls over
}

// A BackendState is what the list says of a backend.
type BackendState uint8

const (
	Live BackendState = iota
	Draining
	Removed
)

// A Backend is an entry of the backend list.
type Backend struct {
	ID               string
	Zone             string
	Cell             int
	State            BackendState
	RelativeCapacity float64       // relative capacity, where Settings.SizesKnown
	StartedAt        time.Duration // last start; 0 for long ago
}

// A ListKind says how to read a List.
type ListKind uint8

const (
	ListComplete ListKind = iota // everything there is
	ListDelta                    // only what changed
	ListCached                   // everything as last known; may be old
	ListFailed                   // nothing: a Watch failed or ended
)

// An Event is something that happened at the front door: one of *List,
// *Request, *Outcome, *Timer, *Gone, *PeerMessage, *ProbeResult, *Started, Leaving, Trials,
// *Adopted and Renewed.
type Event interface{ event() }

// A EndpointList brings news of the backends.
type EndpointList struct {
	Kind     ListKind
	Backends []Backend
}

// A Request has come from a client.
type Request struct {
	ID           RequestID
	Class        string
	Plan         string
	Customer     string
	Units        float64
	Budget       time.Duration // how long the client waits from now on
	FirstLimiter int           // the customer's gateways: Spread in a row from First
	SetSize      int
	IsRetry      bool // the client says that it repeats itself
}

// A Result says how an attempt or probe ended.
type Result uint8

const (
	Succeeded      Result = iota // served
	Errored                      // the backend failed; it may have run
	Rejected                     // full or draining; never ran
	TimedOut                     // may have run
	Unreachable                  // connections are refused there; never ran
	ConnectionLost               // connection lost; may have run
	Canceled                     // may have run
	NotSent                      // never ran
	ConnectFailed                // no connection came up in time, or it broke before the last byte; never ran
)

// NeverRan tells whether a result proves that the attempt never ran.
func (r Result) NeverRan() bool {
	return r == Rejected || r == Unreachable || r == NotSent || r == ConnectFailed
}

// An AttemptFinished ends an attempt.
type AttemptFinished struct {
	Request RequestID
	Attempt int
	Backend string
	Result  Result
	Latency time.Duration
	Final   bool      // the request is over
	Report  []float64 // load report, if any
}

// TimerFired tells that the time has come which a SetTimer named.
type TimerFired struct{}

// RequestEnded tells that a client gave up or its time ran out: the request is over.
type RequestEnded struct{ Request RequestID }

// A PeerMessage came from another gateway.
type PeerMessage struct {
	From int
	Data []byte
}

// A ProbeResult ends a probe.
type ProbeResult struct {
	Backend string
	Result  Result
	Latency time.Duration
	Report  []float64
}

// ResponseStarted tells that a streamed answer has begun: it belongs to the client.
type ResponseStarted struct {
	Request RequestID
	Attempt int
}

// ShutdownStarted tells that this gateway sends on nothing new any longer: what it holds of
// the customers' quotas is for the others until it starts again.
type ShutdownStarted struct{}

// RecoveryLease tells that one gateway tries ejected backends for all, and until which instant that is
// this one. Without it each tries for itself.
type RecoveryLease struct{ Until time.Duration }

func (RecoveryLease) event()    {}
func (ShutdownStarted) event()  {}
func (*EndpointList) event()    {}
func (*Request) event()         {}
func (*AttemptFinished) event() {}
func (TimerFired) event()       {}
func (*RequestEnded) event()    {}
func (*PeerMessage) event()     {}
func (*ProbeResult) event()     {}
func (*ResponseStarted) event() {}

// An Action is something the front door is to do, in the order given: one of
// Send, Refuse, Fail, Cancel, Wake, Tell, Probe, Watch and Log.
type Action interface{ action() }

// StartAttempt starts an attempt, the request's next in number from 0.
type StartAttempt struct {
	Request     RequestID
	Backend     string
	Deadline    time.Duration // clock time at which the attempt ends; 0 for the client's
	StartBefore time.Duration // clock time from which on it may not begin any longer; 0 for no bound
	Recovery    bool          // of an ejected backend, for all gateways: see Trials
}

// Reject answers a request: not served, and a new try does no harm.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // advice how long to stay away; 0 for none
}

// Fail answers a request: not served, and it may have run.
type Fail struct{ Request RequestID }

// CancelAttempt calls off an attempt. Its Outcome still comes.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// SetTimer asks for a TimerFired at a clock time, in place of the one asked for before. If that one
// comes as well it does no harm.
type SetTimer struct{ At time.Duration }

// SendToPeer sends at most 256 bytes to a peer.
type SendToPeer struct {
	Peer int
	Data []byte
}

// ProbeBackend asks a backend for its load.
type ProbeBackend struct{ Backend string }

// PollEndpoints asks for changes of the backend list from now on.
type PollEndpoints struct{}

// Log leaves a line for people.
type Log struct{ Text string }

func (StartAttempt) action()  {}
func (Reject) action()        {}
func (Fail) action()          {}
func (CancelAttempt) action() {}
func (SetTimer) action()      {}
func (SendToPeer) action()    {}
func (ProbeBackend) action()  {}
func (PollEndpoints) action() {}
func (Log) action()           {}

// Handle takes one event and appends to out what is to be done.
func (g *Controller) Handle(now time.Duration, ev Event, out []Action) []Action {
	g.now, g.actions = max(now, g.now), out
	if !g.started {
		g.started = true
		g.start()
		g.nextControlAt = g.now + seconds(g.controlPeriod)
		g.wakeBy(g.nextControlAt)
		if g.settings.PollEndpoints {
			g.emit(PollEndpoints{})
		}
	}
	switch ev := ev.(type) {
	case *Request:
		g.admit(ev)
	case *AttemptFinished:
		g.onAttemptFinished(ev)
	case TimerFired:
		g.onTick()
	case *ProbeResult:
		if b := g.backendsByID[ev.Backend]; b != nil && ev.Result == Succeeded {
			g.onLoadReport(b, ev.Report)
		}
	case *EndpointList:
		g.onEndpointList(ev)
	case *PeerMessage:
		g.handlePeerMessage(ev)
	case ShutdownStarted:
		g.startShutdown()
	case RecoveryLease:
		g.recoveryUntil = ev.Until
	case *AttemptAdopted:
		g.adopt(ev)
	case EpochRenewed:
		g.renew(ev.Epoch)
	case *RequestEnded:
		if r := g.requests[ev.Request]; r != nil {
			g.release(r)
		}
	case *ResponseStarted:
		if r := g.requests[ev.Request]; r != nil {
			r.responding = true
		}
	}
	g.sendQueuedMessages()
	if g.nextDueAt < g.timerAt {
		g.timerAt = (max(g.nextDueAt, g.now+g.settings.ClockResolution) + time.Microsecond - 1).Truncate(time.Microsecond)
		g.nextDueAt = g.timerAt
		g.emit(SetTimer{At: g.timerAt})
	}
	out, g.actions = g.actions, nil
	return out
}
