// Package lemongate makes the decisions of an admission gateway for a
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
package lemongate

import "time"

// RequestID names a request. The front door chooses it and never reuses it
// within the life of a Gateway.
type RequestID uint64

// An Effect says what running a request more than once does.
type Effect uint8

const (
	Unsafe Effect = iota // must not run twice
	Keyed                // backends of one group drop repeats for a while
	Safe                 // may run any number of times
)

// A Group says which backends share the memory that drops repeats of a keyed
// request.
type Group uint8

const (
	GroupCell Group = iota // those of one cell
	GroupZone              // those of one zone
	GroupAll               // all of them
)

// A Class is a kind of request.
type Class struct {
	Name     string
	Effect   Effect
	Group    Group         // for Keyed
	Window   time.Duration // for Keyed: how long repeats are dropped
	Aim      time.Duration // an answer within it earns the full worth
	Deadline time.Duration // the longest a client waits
	Worth    float64
}

// A Plan holds the quotas of each of its customers, over all gateways
// together. A zero Rate, Open or CeilingRate means no such limit.
type Plan struct {
	Name         string
	Rate, Burst  float64 // units a second, and the most units saved up
	Open         int     // attempts out at once
	Price        float64 // factor on the worth
	Excess       float64 // part of the worth that is earned beyond the quota
	Over         float64 // part of the worth that sending beyond the quota costs
	CeilingRate  float64 // the hard ceiling, in units a second
	CeilingBurst float64
}

// Settings are what a Gateway is told at its start.
type Settings struct {
	Epoch    uint32 // grows with each start of this gateway, modulo 2^32; 0 to take it from the clock
	Self     int    // number of this gateway, from 0
	Gateways int    // how many there are
	Zone     string
	Tick     time.Duration // the finest step of the front door's clock
	Classes  []Class
	Plans    []Plan

	MarksRetry    bool // Request.Retry is to be trusted
	MaxAttempts   int  // attempts for one request; 0 means one
	MayCancel     bool // Cancel is allowed
	MayProbe      bool // Probe is allowed
	MayTell       bool // Tell is allowed
	PeerInPerSec  float64
	MaxRetryAfter time.Duration // the longest advice a client follows; 0 means give none

	ReportFields []string // names of the values in a load report
	SizesKnown   bool     // Backend.Size tells sizes apart
	PullList     bool     // changes of the list come only after Watch

	DrainGrace   time.Duration
	ColdFrom     float64       // a backend starts with this part of its capacity or more
	WarmWithin   time.Duration // and has all of it after this
	FallMultiple float64       // a cold backend sent this many times its capacity
	FallWithin   time.Duration // for this long falls over
}

// A BackendState is what the list says of a backend.
type BackendState uint8

const (
	Live BackendState = iota
	Draining
	Dead
)

// A Backend is an entry of the backend list.
type Backend struct {
	ID      string
	Zone    string
	Cell    int
	State   BackendState
	Size    float64       // relative capacity, where Settings.SizesKnown
	Started time.Duration // last start; 0 for long ago
}

// A ListKind says how to read a List.
type ListKind uint8

const (
	ListFull    ListKind = iota // everything there is
	ListChanges                 // only what changed
	ListCached                  // everything as last known; may be old
	ListFailed                  // nothing: a Watch failed or ended
)

// An Event is something that happened at the front door: one of *List,
// *Request, *Outcome, *Timer, *Gone, *PeerMessage, *ProbeResult, *Started, Leaving, Trials,
// *Adopted and Renewed.
type Event interface{ event() }

// A List brings news of the backends.
type List struct {
	Kind     ListKind
	Backends []Backend
}

// A Request has come from a client.
type Request struct {
	ID       RequestID
	Class    string
	Plan     string
	Customer string
	Units    float64
	Budget   time.Duration // how long the client waits from now on
	First    int           // the customer's gateways: Spread in a row from First
	Spread   int
	Retry    bool // the client says that it repeats itself
}

// A Result says how an attempt or probe ended.
type Result uint8

const (
	Done         Result = iota // served
	Errored                    // the backend failed; it may have run
	TurnedAway                 // full or draining; never ran
	TimedOut                   // may have run
	Unreachable                // connections are refused there; never ran
	Broken                     // connection lost; may have run
	Canceled                   // may have run
	NotSent                    // never ran
	Disconnected               // no connection came up in time, or it broke before the last byte; never ran
)

// NeverRan tells whether a result proves that the attempt never ran.
func (r Result) NeverRan() bool {
	return r == TurnedAway || r == Unreachable || r == NotSent || r == Disconnected
}

// An Outcome ends an attempt.
type Outcome struct {
	Request RequestID
	Attempt int
	Backend string
	Result  Result
	Latency time.Duration
	Final   bool      // the request is over
	Report  []float64 // load report, if any
}

// A Timer that was asked for is due.
type Timer struct{ Token string }

// Gone tells that a client gave up or its time ran out: the request is over.
type Gone struct{ Request RequestID }

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

// Started tells that a streamed answer has begun: it belongs to the client.
type Started struct {
	Request RequestID
	Attempt int
}

// Leaving tells that this gateway sends on nothing new any longer: what it holds of
// the customers' quotas is for the others until it starts again.
type Leaving struct{}

// Trials tells that one gateway tries ejected backends for all, and until which instant that is
// this one. Without it each tries for itself.
type Trials struct{ Until time.Duration }

func (Trials) event()       {}
func (Leaving) event()      {}
func (*List) event()        {}
func (*Request) event()     {}
func (*Outcome) event()     {}
func (*Timer) event()       {}
func (*Gone) event()        {}
func (*PeerMessage) event() {}
func (*ProbeResult) event() {}
func (*Started) event()     {}

// An Action is something the front door is to do, in the order given: one of
// Send, Refuse, Fail, Cancel, Wake, Tell, Probe, Watch and Log.
type Action interface{ action() }

// Send starts an attempt, the request's next in number from 0.
type Send struct {
	Request RequestID
	Backend string
	GiveUp  time.Duration // clock time at which the attempt ends; 0 for the client's
	Before  time.Duration // clock time from which on it may not begin any longer; 0 for no bound
	Trial   bool          // of an ejected backend, for all gateways: see Trials
}

// Refuse answers a request: not served, and a new try does no harm.
type Refuse struct {
	Request RequestID
	After   time.Duration // advice how long to stay away; 0 for none
}

// Fail answers a request: not served, and it may have run.
type Fail struct{ Request RequestID }

// Cancel calls off an attempt. Its Outcome still comes.
type Cancel struct {
	Request RequestID
	Attempt int
}

// Wake asks for a Timer at a clock time. It takes the place of an earlier one
// with the same token: a front door that fires that one too does no harm.
type Wake struct {
	At    time.Duration
	Token string
}

// Tell sends at most 256 bytes to a peer.
type Tell struct {
	Peer int
	Data []byte
}

// Probe asks a backend for its load.
type Probe struct{ Backend string }

// Watch asks for changes of the backend list from now on.
type Watch struct{}

// Log leaves a line for people.
type Log struct{ Text string }

func (Send) action()   {}
func (Refuse) action() {}
func (Fail) action()   {}
func (Cancel) action() {}
func (Wake) action()   {}
func (Tell) action()   {}
func (Probe) action()  {}
func (Watch) action()  {}
func (Log) action()    {}

// Handle takes one event and appends to out what is to be done.
func (g *Gateway) Handle(now time.Duration, ev Event, out []Action) []Action {
	g.now, g.out = max(now, g.now), out
	if !g.running {
		g.running = true
		g.begin()
		g.nextPeriod = g.now + seconds(g.period)
		g.by(g.nextPeriod)
		if g.set.PullList {
			g.do(Watch{})
		}
	}
	switch ev := ev.(type) {
	case *Request:
		g.admit(ev)
	case *Outcome:
		g.outcome(ev)
	case *Timer:
		if ev.Token == "beat" {
			g.beat()
		}
	case *ProbeResult:
		if b := g.known[ev.Backend]; b != nil && ev.Result == Done {
			g.report(b, ev.Report)
		}
	case *List:
		g.list(ev)
	case *PeerMessage:
		g.hear(ev)
	case Leaving:
		g.leave()
	case Trials:
		g.tryUntil = ev.Until
	case *Adopted:
		g.adopt(ev)
	case Renewed:
		g.renew(ev.Epoch)
	case *Gone:
		if r := g.requests[ev.Request]; r != nil {
			g.over(r)
		}
	case *Started:
		if r := g.requests[ev.Request]; r != nil {
			r.stream = true
		}
	}
	g.flush()
	if g.dueAt < g.wakeAt {
		g.wakeAt = (max(g.dueAt, g.now+g.set.Tick) + time.Microsecond - 1).Truncate(time.Microsecond)
		g.dueAt = g.wakeAt
		g.do(Wake{At: g.wakeAt, Token: "beat"})
	}
	out, g.out = g.out, nil
	return out
}
