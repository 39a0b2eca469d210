// Package core holds all that lemongate remembers while it runs, and every
// change of it: Step takes one event and tells which effects are to be
// carried out. It does no I/O, reads no clock and starts no goroutine, and it
// knows nothing of HTTP: whatever protocol stands in front of it puts its reqs
// into Arrived events and its answers on the wire from Answer effects.
package core

import (
	"time"

	"lemongate/internal/admission"
)

// RequestID names a req. The front that took it in chooses it and never reuses it.
type RequestID = admission.RequestID

// A Content is what a req carries or an answer brings. The reducer passes it on
// unread.
type Content any

// An Event is something that happened at an edge of the program.
type Event interface{ event() }

// RequestReceived tells that a req has come in whole.
type RequestReceived struct {
	admission.Request
	ReceivedAt   time.Duration // when its last byte came
	CallID       string        // the client's own name for it; no two that are open share one
	Content      Content
	Disconnected bool // its client had left by then
}

// ClientDisconnected tells that the client of a req has gone away.
type ClientDisconnected struct{ Request RequestID }

// RequestMalformed tells of a req that was turned away at the edge as no valid one.
type RequestMalformed struct{ Cause MalformedCause }

// A MalformedCause says what was wrong with it.
type MalformedCause uint8

const (
	BadTarget  MalformedCause = iota // no such class or customer
	BadMethod                        // not the class's method, or a body where it has none
	BadID                            // X-Call-Id or Idempotency-Key missing, doubled or odd
	BadPlan                          // no such plan
	BadBudget                        // no number, or longer than anyone waits
	BadQuota                         // units or set out of range or no numbers
	BadFraming                       // where it ends is in doubt, or it did not come whole
	OpenID                           // its X-Call-Id is that of a req that is open
	numCauses
)

func (c MalformedCause) String() string {
	return [...]string{"target", "method", "id", "plan", "budget", "quota", "framing", "open_id"}[c]
}

// ClientConnClosed tells of a client session that the front closed by itself, for
// want of a use or of room. Unread means that no req had come whole on it, or
// half a one; Full that it was a newcomer's, which was told to come again.
type ClientConnClosed struct{ Unread, Full bool }

// AttemptFinished brings the outcome of a fetch. Reply counts with Done only.
type AttemptFinished struct {
	Attempt         AttemptID
	Result          admission.Result
	Report          []float64
	Response        Content
	ResponseInvalid bool // an answer had begun that cannot be read, does not end or cannot be told whole
	StartExpired    bool // with NotSent: the time before which it had to begin was over
	StaleConns      int  // connections found unfit before a byte was written there
}

// ProbeFinished brings the outcome of a probe.
type ProbeFinished struct {
	Backend string
	Result  admission.Result
	Latency time.Duration
	Report  []float64
}

// EndpointsUpdated brings news of the backends.
type EndpointsUpdated struct {
	Kind       admission.ListKind
	Endpoints  []Endpoint
	Generation int64 // of the list from now on
}

// An Endpoint is a backend of the list and where it listens.
type Endpoint struct {
	admission.Backend
	Addr string
}

// PeerMessageReceived brings a datagram. From is the sender's number, below 0 if unknown.
type PeerMessageReceived struct {
	From int
	Data []byte
}

// TimerFired tells that the time a SetTimer effect named has come.
type TimerFired struct{}

// ShutdownRequested tells that the program was asked to end.
type ShutdownRequested struct{}

// ReloadRequested tells that the configuration is to be read again.
type ReloadRequested struct{}

// ConfigReloaded brings what a Reload read, or why it could not.
type ConfigReloaded struct {
	Discovery string // where discovery is to be watched
	Err       error
}

// ServerClosed tells that the front has shut down, as CloseFront asked.
type ServerClosed struct{}

func (*RequestReceived) event()     {}
func (*ClientDisconnected) event()  {}
func (RequestMalformed) event()     {}
func (*ClientConnClosed) event()    {}
func (*AttemptFinished) event()     {}
func (*ProbeFinished) event()       {}
func (*EndpointsUpdated) event()    {}
func (*PeerMessageReceived) event() {}
func (TimerFired) event()           {}
func (ReloadRequested) event()      {}
func (*ConfigReloaded) event()      {}
func (ShutdownRequested) event()    {}
func (ServerClosed) event()         {}

// An Effect is something an edge is to do, in the order given.
type Effect interface{ effect() }

// AttemptID names one attempt of a req.
type AttemptID struct {
	Request RequestID
	Number  int
}

// StartAttempt sends a req to a backend. The program stops waiting after Wait.
type StartAttempt struct {
	Attempt AttemptID
	Backend string
	Addr    string
	Timeout time.Duration
	Content Content

	// Of what is done under a lease: its token, for the backend. Zero without one.
	Token uint64
	// The instant from which on the req's first byte may not be written any longer, as a lease or
	// the time in which backends drop repeats has ended. Zero for no bound.
	StartBefore time.Duration
}

// CancelAttempt gives a fetch up: its connection is closed, its outcome no longer
// wanted.
type CancelAttempt struct{ Attempt AttemptID }

// WithdrawAttempt ends a fetch of which no byte was written, as nobody wants its answer any
// longer: its outcome is NotSent. One that has begun goes on.
type WithdrawAttempt struct{ Attempt AttemptID }

// An ResponseKind says how a req ended.
type ResponseKind uint8

const (
	Served      ResponseKind = iota // with a backend's answer
	Rejected                        // synthetic answer: not served, a new try does no harm
	Failed                          // synthetic answer: not served, it may have run
	DuplicateID                     // synthetic answer: turned away, its id is another's
)

// Respond gives a req its one final answer.
type Respond struct {
	Request    RequestID
	Kind       ResponseKind
	RetryAfter time.Duration // with Refused; 0 for no advice
	Response   Content       // with Served
}

// ProbeBackend asks a backend for its load.
type ProbeBackend struct{ Backend, Addr string }

// CloseBackendConns ends new sending to a backend that drains, is gone or has
// started anew: no req's first byte may go out on a connection it has so far.
type CloseBackendConns struct{ Backend string }

// SendToPeer sends a datagram to a limiter by its number, or to all (below 0).
type SendToPeer struct {
	Peer int
	Data []byte
}

// SetTimer wants a Ticked event at a time, in place of the one set before.
type SetTimer struct{ At time.Duration }

// SetReady tells that the program may be taken in by clients, or no longer.
type SetReady struct{ Ready bool }

// DrainClientConns asks the front to close each client session between reqs.
type DrainClientConns struct{}

// CloseServer asks the front to accept nothing more, answer what it has taken
// within the time given and tell so by FrontClosed.
type CloseServer struct{ Within time.Duration }

// ReloadConfig asks for the configuration to be read again and told by Reloaded.
type ReloadConfig struct{}

// WatchEndpoints has discovery watched at another address, at once.
type WatchEndpoints struct{ Addr string }

// Exit ends the program.
type Exit struct{}

// Log leaves a line for people.
type Log struct{ Text string }

func (StartAttempt) effect()      {}
func (CancelAttempt) effect()     {}
func (WithdrawAttempt) effect()   {}
func (Respond) effect()           {}
func (ProbeBackend) effect()      {}
func (CloseBackendConns) effect() {}
func (SendToPeer) effect()        {}
func (SetTimer) effect()          {}
func (SetReady) effect()          {}
func (DrainClientConns) effect()  {}
func (CloseServer) effect()       {}
func (ReloadConfig) effect()      {}
func (WatchEndpoints) effect()    {}
func (Exit) effect()              {}
func (Log) effect()               {}
