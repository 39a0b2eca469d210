package core

import (
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/hotrestart"
)

// Event is something that happened outside: one of the types of this file.
type Event interface{ event() }

// RequestID identifies a request. The HTTP server that received it chooses it, never reuses it, and
// gives greater ones to later requests.
type RequestID = admission.RequestID

// AttemptID identifies an attempt of a request; its attempts are numbered from 0.
type AttemptID struct {
	Request RequestID
	Number  int
}

// Content is what a request or a response carries, or a link or sockets. The core passes it on unread.
type Content any

// Events of the HTTP server.

// RequestReceived brings a complete, valid request. Its Respond follows, at once or by the deadline
// that its Budget gives.
type RequestReceived struct {
	admission.Request
	ReceivedAt   time.Duration // clock time at which its last byte came
	CallID       string        // the client's own ID, empty for none; no two open requests may share one
	Content      Content
	Disconnected bool // the client disconnected before the request was read
}

// ClientDisconnected notifies that the client of a request disconnected, or closed its sending side.
// The request ends with a local reply and no further attempts. It may name any request.
type ClientDisconnected struct{ Request RequestID }

// RequestMalformed counts an invalid request that was answered with 4xx.
type RequestMalformed struct{ Cause MalformedCause }

// MalformedCause says what is wrong with a request.
type MalformedCause uint8

const (
	// BadTarget means that the class or customer does not exist.
	BadTarget MalformedCause = iota
	// BadMethod is not the method of the class, or has a body where that has none.
	BadMethod
	// BadID means that X-Call-Id or Idempotency-Key is missing, given twice or not well-formed.
	BadID
	// BadPlan means that the plan does not exist.
	BadPlan
	// BadBudget is no number, or longer than any client waits.
	BadBudget
	// BadQuota means that the units or the limiter set are no numbers or out of range.
	BadQuota
	// BadFraming means that the end of the request is ambiguous or did not come.
	BadFraming
	// DuplicateCallID means that an open request has the same X-Call-Id.
	DuplicateCallID
	numCauses
)

// String returns the name that the counters use.
func (c MalformedCause) String() string {
	return [...]string{"target", "method", "id", "plan", "budget", "quota", "framing", "open_id"}[c]
}

// ClientConnClosed counts a client connection that the server closed by itself, as it was idle, or as there
// were too many.
type ClientConnClosed struct {
	Unread bool // no request had come on it, or part of one was unread
	Full   bool // it was new and beyond the limit, and was answered with Retry-After
}

// ServerClosed notifies that the server has closed, as CloseServer requested. The process stops.
type ServerClosed struct{}

// Events of the HTTP client of the backends.

// AttemptFinished brings the result of an attempt that StartAttempt started. It is dropped if the attempt was
// canceled or has timed out.
type AttemptFinished struct {
	Attempt         AttemptID
	Result          admission.Result
	Report          []float64 // load report by the settings' fields, if any
	Response        Content   // with Succeeded
	ResponseInvalid bool      // a response had begun that cannot be read, does not end or cannot be passed on
	StartExpired    bool      // with NotSent: StartBefore had passed
	StaleConns      int       // connections that were found closed before a byte was written on them
}

// ProbeFinished brings the result of a ProbeBackend.
type ProbeFinished struct {
	Backend string // ID
	Result  admission.Result
	Latency time.Duration
	Report  []float64 // load report by the settings' fields, if any
}

// EndpointsUpdated is a watch event of discovery: a list of the backends or a change of it.
type EndpointsUpdated struct {
	Kind       admission.ListKind
	Endpoints  []Endpoint
	Generation int64 // of the list from now on
}

// Events of other limiters.

// PeerMessageReceived brings a datagram, which may hold anything.
type PeerMessageReceived struct {
	From int // number of the sender; below 0 if unknown
	Data []byte
}

// Events of the process.

// TimerFired notifies that the clock time of the last SetTimer has come. One that comes early or late
// does no harm.
type TimerFired struct{}

// ShutdownRequested notifies that the process is to end, by SIGTERM. A repeated one changes
// nothing.
type ShutdownRequested struct{}

// ReloadRequested notifies that the configuration is to be read again, by SIGHUP. ReloadConfig follows.
type ReloadRequested struct{}

// ConfigReloaded brings what ReloadConfig read, or why it could not.
type ConfigReloaded struct {
	Discovery string // address at which the endpoint list is to be watched
	Err       error
}

// UsageWritten brings the result of a WriteUsage.
type UsageWritten struct {
	Token        uint64 // of the WriteUsage
	LeaseExpired bool   // nothing was written, as StartBefore had passed
	Err          error  // it could not be written; nil if it was
}

// RestartSlotRequested notifies that an operator wants a restart slot for this limiter, or no longer.
type RestartSlotRequested struct{ Wanted bool }

// RestartSlotReleased notifies that, as an operator says, a limiter that restarts will not come back.
type RestartSlotReleased struct {
	Limiter int // number
}

// Events of the link to the other process of a hot restart.

// SuccessorConnected notifies that a process connected as a successor. AcceptSuccessor or DenySuccessor
// follows.
type SuccessorConnected struct {
	Link   Content
	Reason string // why it is no successor of this process; empty if it is
}

// LinkMessageReceived brings a message of the protocol and what came with it.
type LinkMessageReceived struct {
	Kind    hotrestart.Kind
	State   *HandoverState // with Transfer; nil if it could not be read
	Sockets Content        // with Transfer
}

// LinkClosed notifies that the other process has ended or closed the link, or that there is none.
type LinkClosed struct {
	Epoch uint32 // of a start of this limiter now
}

// PredecessorAttemptStarted notifies a successor that the predecessor started an attempt.
type PredecessorAttemptStarted struct{ OpenAttempt }

// PredecessorAttemptFinished notifies a successor that an attempt of the predecessor ended.
type PredecessorAttemptFinished struct{ FinishedAttempt }

// ForwardedRequestReceived brings a request of the predecessor. SendForwardedResponse follows.
type ForwardedRequestReceived struct{ ForwardedRequest }

// ForwardedRequestCanceled notifies that the client of a forwarded request disconnected, or that the
// predecessor has answered it.
type ForwardedRequestCanceled struct{ Request RequestID }

// ForwardedResponseReceived brings the successor's response to a request that was forwarded to it.
type ForwardedResponseReceived struct{ Respond }

// PredecessorRequestEnded notifies a successor that a request of the predecessor will have no more attempts.
type PredecessorRequestEnded struct{ Request RequestID }

// InheritedUsageSent notifies a predecessor that usage which it handed over may be in a report.
type InheritedUsageSent struct{}

func (*RequestReceived) event()            {}
func (*ClientDisconnected) event()         {}
func (RequestMalformed) event()            {}
func (*ClientConnClosed) event()           {}
func (ServerClosed) event()                {}
func (*AttemptFinished) event()            {}
func (*ProbeFinished) event()              {}
func (*EndpointsUpdated) event()           {}
func (*PeerMessageReceived) event()        {}
func (TimerFired) event()                  {}
func (ShutdownRequested) event()           {}
func (ReloadRequested) event()             {}
func (*ConfigReloaded) event()             {}
func (UsageWritten) event()                {}
func (RestartSlotRequested) event()        {}
func (RestartSlotReleased) event()         {}
func (*SuccessorConnected) event()         {}
func (*LinkMessageReceived) event()        {}
func (LinkClosed) event()                  {}
func (*PredecessorAttemptStarted) event()  {}
func (*PredecessorAttemptFinished) event() {}
func (*ForwardedRequestReceived) event()   {}
func (ForwardedRequestCanceled) event()    {}
func (*ForwardedResponseReceived) event()  {}
func (PredecessorRequestEnded) event()     {}
func (InheritedUsageSent) event()          {}
