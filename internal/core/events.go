package core

import (
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/hotrestart"
)

// Event is something that happened outside the machine: one of the types of this file.
type Event interface{ event() }

// RequestID identifies a request. The HTTP server that received it assigns it, never reuses it, and assigns greater IDs
// to later requests.
type RequestID = admission.RequestID

// AttemptID identifies an attempt of a request. The attempts of a request are numbered from 0.
type AttemptID struct {
	Request RequestID
	Number  int
}

// Content is the content of a request or a response, a link, or sockets. The core passes it on without reading it.
type Content any

// Events of the HTTP server.

// RequestReceived reports a complete, valid request. A Respond for it follows, at the latest by the deadline that its
// Budget gives.
type RequestReceived struct {
	admission.Request
	ReceivedAt   time.Duration // clock time at which its last byte arrived
	CallID       string        // the client's own ID, empty for none; two open requests may not share one
	Content      Content
	Disconnected bool // the client disconnected before the request was read, or counts as disconnected for the Reason
	Reason       DisconnectReason
}

// ClientDisconnected reports that the client of a request disconnected, or counts as disconnected for the Reason. The
// request ends with a local reply and no further attempts. An ID that belongs to no request without a response is ignored.
type ClientDisconnected struct {
	Request RequestID
	Reason  DisconnectReason
}

// DisconnectReason is the reason for which a client counts as disconnected.
type DisconnectReason uint8

const (
	// DisconnectClosed means that the client closed the connection, or its sending side.
	DisconnectClosed DisconnectReason = iota
	// DisconnectUnseen means that the client has sent so much behind the request that the rest is not read ahead. A close
	// would not be seen until it is, so the client may have left at any time since.
	DisconnectUnseen
)

// RequestMalformed reports an invalid request that was answered with 4xx.
type RequestMalformed struct{ Cause MalformedCause }

// MalformedCause is the reason for which a request is invalid.
type MalformedCause uint8

const (
	// BadTarget means that the class or customer does not exist.
	BadTarget MalformedCause = iota
	// BadMethod means that the method is not that of the class, or that the request has a body which its method does
	// not allow.
	BadMethod
	// BadID means that X-Call-Id or Idempotency-Key is missing, given twice or not well-formed.
	BadID
	// BadPlan means that the plan does not exist.
	BadPlan
	// BadBudget means that the budget is not a number, or longer than any client waits.
	BadBudget
	// BadQuota means that the units or the limiter set are not numbers or out of range.
	BadQuota
	// BadFraming means that the end of the request is ambiguous or did not arrive.
	BadFraming
	// DuplicateCallID means that an open request has the same X-Call-Id.
	DuplicateCallID
	numCauses
)

// String returns the name that the counters use.
func (c MalformedCause) String() string {
	return [...]string{"target", "method", "id", "plan", "budget", "quota", "framing", "open_id"}[c]
}

// RequestRejected reports a request that the server rejected by itself, before it was read completely.
type RequestRejected struct{ Reason ReplyReason }

// ClientConnClosed reports a client connection that the server closed by itself because it was idle or because
// there were too many.
type ClientConnClosed struct {
	Unread    bool // no request had arrived on it, or part of one was unread
	OverLimit bool // it was new and beyond the limit, and was answered with Retry-After
	Reason    CloseReason
}

// ServerClosed reports that the server has closed, as CloseServer requested. The process stops.
type ServerClosed struct{}

// Events of the HTTP client of the backends.

// AttemptFinished reports the result of an attempt that StartAttempt started. It is ignored if the attempt was
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

// ProbeFinished reports the result of a ProbeBackend.
type ProbeFinished struct {
	Backend string // ID
	Result  admission.Result
	Latency time.Duration
	Report  []float64 // load report by the settings' fields, if any
}

// EndpointsUpdated is a watch event of discovery: a list of the backends or a change to it.
type EndpointsUpdated struct {
	Kind       admission.ListKind
	Endpoints  []Endpoint
	Generation int64 // of the list from now on
}

// Events of other limiters.

// PeerMessageReceived reports a datagram. Its data is not validated.
type PeerMessageReceived struct {
	From int // number of the sender; below 0 if unknown
	Data []byte
}

// Events of the process.

// TimerFired reports that the clock time of the last SetTimer has been reached. An early or late event does no harm.
type TimerFired struct{}

// ShutdownRequested reports that the process is to end, because of SIGTERM. A repeated event changes nothing.
type ShutdownRequested struct{}

// ReloadRequested reports that the configuration is to be reread, because of SIGHUP. ReloadConfig follows.
type ReloadRequested struct{}

// ConfigReloaded reports what ReloadConfig read, or why it failed.
type ConfigReloaded struct {
	Discovery string // address at which the endpoint list is to be watched
	Err       error
}

// UsageWritten reports the result of a WriteUsage.
type UsageWritten struct {
	Token        uint64 // of the WriteUsage
	LeaseExpired bool   // nothing was written, because StartBefore had passed
	Err          error  // why the write failed; nil if it did not
}

// RestartSlotRequested reports whether an operator wants a restart slot for this limiter.
type RestartSlotRequested struct{ Wanted bool }

// RestartSlotReleased reports an operator's statement that a restarting limiter will not return.
type RestartSlotReleased struct {
	Limiter int // number
}

// Events of the link to the other process of a hot restart.

// SuccessorConnected reports that a process connected as a successor. AcceptSuccessor or DenySuccessor
// follows.
type SuccessorConnected struct {
	Link   Content
	Reason string // why it cannot be a successor of this process; empty if it can
}

// LinkMessageReceived reports a message of the hot restart protocol and what was sent with it.
type LinkMessageReceived struct {
	Kind    hotrestart.Kind
	State   *HandoverState // with Transfer; nil if it could not be read
	Sockets Content        // with Transfer
}

// LinkClosed reports that the other process has ended or closed the link, or that there is no other process.
type LinkClosed struct {
	Epoch uint32 // epoch that a start of this limiter would have now
}

// PredecessorAttemptStarted reports to a successor that the predecessor started an attempt.
type PredecessorAttemptStarted struct{ OpenAttempt }

// PredecessorAttemptFinished reports to a successor that an attempt of the predecessor ended.
type PredecessorAttemptFinished struct{ FinishedAttempt }

// ForwardedRequestReceived reports a request that the predecessor forwarded. SendForwardedResponse follows.
type ForwardedRequestReceived struct{ ForwardedRequest }

// ForwardedRequestCanceled reports that the client of a forwarded request disconnected, or that the
// predecessor has answered it.
type ForwardedRequestCanceled struct{ Request RequestID }

// ForwardedResponseReceived reports the successor's response to a request that was forwarded to it.
type ForwardedResponseReceived struct{ Respond }

// PredecessorRequestEnded reports to a successor that a request of the predecessor will have no more attempts.
type PredecessorRequestEnded struct{ Request RequestID }

// InheritedUsageSent reports to a predecessor that usage which it handed over may be in a report.
type InheritedUsageSent struct{}

func (*RequestReceived) event()            {}
func (*ClientDisconnected) event()         {}
func (RequestMalformed) event()            {}
func (RequestRejected) event()             {}
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
