package core

import (
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/hotrestart"
)

// Effect is an action that the caller carries out, in the order given: one of the types of this file.
type Effect interface{ effect() }

// Effects on the HTTP server.

// Respond sends the response to a request. Every request gets exactly one.
type Respond struct {
	Request    RequestID
	Kind       ResponseKind
	RetryAfter time.Duration // with Rejected; 0 for no Retry-After
	Response   Content       // with Served
	Reason     ReplyReason   `since:"0.9.5"` // except with Served; unknown if a successor sent the response
}

// ResponseKind is the kind of response with which a request ends.
type ResponseKind uint8

const (
	// Served is the response of a backend.
	Served ResponseKind = iota
	// Rejected is a local reply: the request was not served, and may be sent again.
	Rejected
	// Failed is a local reply: the request was not served, and may have run.
	Failed
	// DuplicateID is a local reply: another open request has the same call ID.
	DuplicateID
)

// String returns the name that the log uses.
func (k ResponseKind) String() string {
	return [...]string{"served", "rejected", "failed", "duplicate ID"}[k]
}

// SetReady sets whether the health check reports this process as ready for clients.
type SetReady struct{ Ready bool }

// DrainClientConns closes each client connection between requests.
type DrainClientConns struct{}

// CloseServer closes the listener and answers the requests received. ServerClosed follows within the given time.
type CloseServer struct{ Within time.Duration }

// Effects on the HTTP client of the backends.

// StartAttempt forwards a request to a backend. AttemptFinished follows, unless it is canceled.
type StartAttempt struct {
	Attempt AttemptID
	Backend string        // ID
	Addr    string        // host:port
	Timeout time.Duration // from now; CancelAttempt follows at its end
	Content Content

	// Token is the fencing token of the lease that the attempt is made under; 0 for none.
	Token uint64
	// StartBefore is the clock time before which the first byte of the request must be written, because
	// the lease or the idempotency window ends then; 0 for no bound.
	StartBefore time.Duration
}

// CancelAttempt cancels an attempt: its connection is closed, and its result is ignored.
type CancelAttempt struct{ Attempt AttemptID }

// WithdrawAttempt ends an attempt with the result NotSent, unless a byte of its request has been written:
// in that case the attempt continues.
type WithdrawAttempt struct{ Attempt AttemptID }

// ProbeBackend sends a probe to a backend, which asks for its load report. ProbeFinished follows.
type ProbeBackend struct {
	Backend string // ID
	Addr    string // host:port
}

// CloseBackendConns closes the idle connections to a backend that drains, was removed, restarted, or
// moved to another address. Attempts that have begun continue on their connections; no first byte of another request
// may be written on a connection that is open now.
type CloseBackendConns struct {
	Backend string // ID
}

// WatchEndpoints switches the watch of the endpoint list to another address, at once.
type WatchEndpoints struct {
	Addr string // host:port
}

// Effects on other limiters.

// SendToPeer sends a datagram to one other limiter, or to all of them.
type SendToPeer struct {
	Peer int // number; below 0 for all
	Data []byte
}

// Effects on the process.

// SetTimer requests a TimerFired at a clock time. It replaces the one requested before.
type SetTimer struct{ At time.Duration }

// ReloadConfig rereads the configuration. ConfigReloaded follows.
type ReloadConfig struct{}

// WriteUsage appends a usage report to the file of the lease with this token, unless the clock time
// StartBefore has been reached. UsageWritten follows.
type WriteUsage struct {
	Token       uint64
	StartBefore time.Duration
	Report      []byte // one line
}

// PublishMetrics publishes metrics. The receiver may retain them.
type PublishMetrics struct{ Metrics Metrics }

// TraceRequest describes a step of a request for the debug log. It is emitted only if Config.TracesRequests is set.
type TraceRequest struct {
	Step    TraceStep
	CallID  string
	Attempt AttemptID        // only its Request is set unless the step is one of an attempt
	Backend string           // ID, if the step is one of an attempt
	Result  admission.Result // with TraceAttemptFinished
	Kind    ResponseKind     // with TraceAnswered
	Reason  ReplyReason      // with TraceAnswered
}

// TraceStep is a step in the life of a request.
type TraceStep uint8

const (
	// TraceReceived means that the request was received completely.
	TraceReceived TraceStep = iota
	// TraceAttemptStarted means that an attempt was started.
	TraceAttemptStarted
	// TraceAttemptFinished means that an attempt ended.
	TraceAttemptFinished
	// TraceDisconnected means that the client disconnected.
	TraceDisconnected
	// TraceAnswered means that the final response was decided.
	TraceAnswered
)

// String returns the name that the log uses.
func (s TraceStep) String() string {
	return [...]string{"received", "attempt started", "attempt finished", "client disconnected", "answered"}[s]
}

// Log writes a message to the log.
type Log struct{ Text string }

// Exit ends the process.
type Exit struct{}

// Abort ends the process with an error before it has served any client.
type Abort struct{ Reason string }

// Effects of a hot restart on the link to the other process.

// ConnectPredecessor connects to the running process, if there is one, and sends it Hello.
// LinkMessageReceived follows, or LinkClosed if there is none.
type ConnectPredecessor struct{}

// AcceptSuccessor accepts the link of a SuccessorConnected: from now on only events of this link are delivered.
type AcceptSuccessor struct{ Link Content }

// DenySuccessor sends Deny on the link of a SuccessorConnected and closes it.
type DenySuccessor struct {
	Link   Content
	Reason string
}

// ListenForSuccessors makes this process accept connections of successors from now on.
type ListenForSuccessors struct{}

// SendLinkMessage sends a message of the hot restart protocol.
type SendLinkMessage struct{ Kind hotrestart.Kind }

// TransferState sends Transfer with the state, and with the sockets of the client listener and of the transport to
// other limiters.
type TransferState struct{ State HandoverState }

// CloseLink closes the link once everything queued on it is sent.
type CloseLink struct{}

// KillOtherProcess kills the other process. LinkClosed follows.
type KillOtherProcess struct{}

// ReportAttemptStarted notifies the successor of an attempt that this process started.
type ReportAttemptStarted struct{ OpenAttempt }

// ReportAttemptFinished notifies the successor that an attempt of this process has ended.
type ReportAttemptFinished struct{ FinishedAttempt }

// ForwardRequest forwards a request to the successor, which admits or rejects it. ForwardedResponseReceived follows.
type ForwardRequest struct{ ForwardedRequest }

// CancelForwardedRequest notifies the successor that it need not answer a forwarded request any more.
type CancelForwardedRequest struct{ Request RequestID }

// ReportRequestEnded notifies the successor that a request which had attempts in this process will have no more. It is
// sent where the last attempt ended without success, so that the successor could not tell whether a retry follows.
type ReportRequestEnded struct{ Request RequestID }

// ReportInheritedUsageSent notifies the predecessor that usage which it handed over may be in a report.
type ReportInheritedUsageSent struct{}

// SendForwardedResponse sends the predecessor the response to a request that it forwarded.
type SendForwardedResponse struct{ Respond }

// Effects of a hot restart on sockets and connections.

// OpenListeners starts to listen for clients and other limiters, without sockets of a predecessor.
type OpenListeners struct {
	Wait bool // another process that is ending may hold the addresses for a while
}

// AdoptSockets serves on the predecessor's sockets, and continues its clock.
type AdoptSockets struct {
	Sockets     Content
	Now         time.Duration // the predecessor's clock time
	Discovery   string        // address at which the endpoint list is watched
	Generation  int64         // of the endpoint list
	LastRequest RequestID     // the next request gets a greater ID
}

// PauseListeners stops accepting client connections and receiving from other limiters.
type PauseListeners struct{}

// ResumeListeners accepts client connections and receives from other limiters again, after PauseListeners.
type ResumeListeners struct{}

// MoveClientConns moves each client connection to the successor once no request is open on it.
type MoveClientConns struct{}

// SetAcceptingClients sets whether the health check reports that clients should use this process, not the other one.
type SetAcceptingClients struct{ Accepting bool }

// SetResourceFraction sets the fraction of the platform's limits that this process may use, 0 to 1.
type SetResourceFraction struct{ Fraction float64 }

func (Respond) effect()                  {}
func (SetReady) effect()                 {}
func (DrainClientConns) effect()         {}
func (CloseServer) effect()              {}
func (StartAttempt) effect()             {}
func (CancelAttempt) effect()            {}
func (WithdrawAttempt) effect()          {}
func (ProbeBackend) effect()             {}
func (CloseBackendConns) effect()        {}
func (WatchEndpoints) effect()           {}
func (SendToPeer) effect()               {}
func (SetTimer) effect()                 {}
func (ReloadConfig) effect()             {}
func (WriteUsage) effect()               {}
func (PublishMetrics) effect()           {}
func (TraceRequest) effect()             {}
func (Log) effect()                      {}
func (Exit) effect()                     {}
func (Abort) effect()                    {}
func (ConnectPredecessor) effect()       {}
func (AcceptSuccessor) effect()          {}
func (DenySuccessor) effect()            {}
func (ListenForSuccessors) effect()      {}
func (SendLinkMessage) effect()          {}
func (TransferState) effect()            {}
func (CloseLink) effect()                {}
func (KillOtherProcess) effect()         {}
func (ReportAttemptStarted) effect()     {}
func (ReportAttemptFinished) effect()    {}
func (ForwardRequest) effect()           {}
func (CancelForwardedRequest) effect()   {}
func (SendForwardedResponse) effect()    {}
func (ReportRequestEnded) effect()       {}
func (ReportInheritedUsageSent) effect() {}
func (OpenListeners) effect()            {}
func (AdoptSockets) effect()             {}
func (PauseListeners) effect()           {}
func (ResumeListeners) effect()          {}
func (MoveClientConns) effect()          {}
func (SetAcceptingClients) effect()      {}
func (SetResourceFraction) effect()      {}
