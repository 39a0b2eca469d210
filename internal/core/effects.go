package core

import (
	"time"

	"lemongate/internal/hotrestart"
)

// Effect is something that the caller is to do, in the order given: one of the types of this file.
type Effect interface{ effect() }

// Effects on the HTTP server.

// Respond gives a request its one response.
type Respond struct {
	Request    RequestID
	Kind       ResponseKind
	RetryAfter time.Duration // with Rejected; 0 for no advice
	Response   Content       // with Served
}

// ResponseKind says how a request ended.
type ResponseKind uint8

const (
	// Served is the response of a backend.
	Served ResponseKind = iota
	// Rejected is a local reply: the request was not served, and may be sent again.
	Rejected
	// Failed is a local reply: the request was not served, and may have run.
	Failed
	// DuplicateID is a local reply: an open request has the same call ID.
	DuplicateID
)

// SetReady sets whether clients may use this process, as its health check says.
type SetReady struct{ Ready bool }

// DrainClientConns closes each client connection between requests.
type DrainClientConns struct{}

// CloseServer closes the listener and answers the requests received. ServerClosed follows, within the time
// given.
type CloseServer struct{ Within time.Duration }

// Effects on the HTTP client of the backends.

// StartAttempt forwards a request to a backend. AttemptFinished follows, unless it is canceled.
type StartAttempt struct {
	Attempt AttemptID
	Backend string        // ID
	Addr    string        // host:port
	Timeout time.Duration // from now; then CancelAttempt follows
	Content Content

	// Token is the fencing token of the lease that the attempt is made under; 0 for none.
	Token uint64
	// StartBefore is the clock time from which on no byte of the request may be written any more, as
	// the lease or the idempotency window has ended; 0 for no bound.
	StartBefore time.Duration
}

// CancelAttempt gives an attempt up: its connection is closed, and its result is not wanted.
type CancelAttempt struct{ Attempt AttemptID }

// WithdrawAttempt ends an attempt with the result NotSent, unless a byte of its request is written already:
// then the attempt goes on.
type WithdrawAttempt struct{ Attempt AttemptID }

// ProbeBackend requests a load report of a backend. ProbeFinished follows.
type ProbeBackend struct {
	Backend string // ID
	Addr    string // host:port
}

// CloseBackendConns closes the idle connections to a backend that drains, was removed or restarted, or
// moved. Attempts that have begun go on on theirs; no first byte of another request may be written on a
// connection that is open now.
type CloseBackendConns struct {
	Backend string // ID
}

// WatchEndpoints watches the endpoint list at another address, at once.
type WatchEndpoints struct {
	Addr string // host:port
}

// Effects on other limiters.

// SendToPeer sends a datagram to a limiter, or to all of them.
type SendToPeer struct {
	Peer int // number; below 0 for all
	Data []byte
}

// Effects on the process.

// SetTimer requests a TimerFired at a clock time, in place of the one requested before.
type SetTimer struct{ At time.Duration }

// ReloadConfig reads the configuration again. ConfigReloaded follows.
type ReloadConfig struct{}

// WriteUsage appends a usage report to the file of the lease with this token, unless the clock time
// StartBefore has come. UsageWritten follows.
type WriteUsage struct {
	Token       uint64
	StartBefore time.Duration
	Report      []byte // a line
}

// PublishMetrics publishes metrics. The receiver may keep them.
type PublishMetrics struct{ Metrics Metrics }

// Log writes a message to the log.
type Log struct{ Text string }

// Exit ends the process.
type Exit struct{}

// Abort ends the process, which never served, with an error.
type Abort struct{ Reason string }

// Effects of a hot restart on the link to the other process.

// ConnectPredecessor connects to the process that runs, if there is one, and sends it Hello.
// LinkMessageReceived follows, or LinkClosed where there is none.
type ConnectPredecessor struct{}

// AcceptSuccessor takes the link of a SuccessorConnected: only events of this link count from now on.
type AcceptSuccessor struct{ Link Content }

// DenySuccessor sends Deny on the link of a SuccessorConnected and closes it.
type DenySuccessor struct {
	Link   Content
	Reason string
}

// ListenForSuccessors lets successors connect to this process from now on.
type ListenForSuccessors struct{}

// SendLinkMessage sends a message of the protocol.
type SendLinkMessage struct{ Kind hotrestart.Kind }

// TransferState sends Transfer with the state and the sockets of the listener for clients and of the
// transport to other limiters.
type TransferState struct{ State HandoverState }

// CloseLink closes the link after what was sent.
type CloseLink struct{}

// KillOtherProcess kills the other process. LinkClosed follows.
type KillOtherProcess struct{}

// ReportAttemptStarted notifies the successor of an attempt that started here.
type ReportAttemptStarted struct{ OpenAttempt }

// ReportAttemptFinished notifies the successor of an attempt that ended here.
type ReportAttemptFinished struct{ FinishedAttempt }

// ForwardRequest has the successor decide a request. ForwardedResponseReceived follows.
type ForwardRequest struct{ ForwardedRequest }

// CancelForwardedRequest notifies the successor that a request it is to decide needs no decision.
type CancelForwardedRequest struct{ Request RequestID }

// ReportRequestEnded notifies the successor that a request which had attempts here will have no more, where the last
// one without success left that open.
type ReportRequestEnded struct{ Request RequestID }

// ReportInheritedUsageSent notifies the predecessor that usage which it handed over may be in a report.
type ReportInheritedUsageSent struct{}

// SendForwardedResponse sends the predecessor the response to a request that it forwarded.
type SendForwardedResponse struct{ Respond }

// Effects of a hot restart on sockets and connections.

// OpenListeners starts to listen to clients and other limiters, with nothing from a predecessor.
type OpenListeners struct {
	Wait bool // another process that ends may hold the addresses for a while
}

// AdoptSockets serves on the predecessor's sockets, and goes on with its clock.
type AdoptSockets struct {
	Sockets     Content
	Now         time.Duration // the predecessor's clock time
	Discovery   string        // address at which the endpoint list is watched
	Generation  int64         // of the endpoint list
	LastRequest RequestID     // requests are numbered from beyond this
}

// PauseListeners stops accepting clients and receiving from other limiters.
type PauseListeners struct{}

// ResumeListeners ends PauseListeners.
type ResumeListeners struct{}

// MoveClientConns moves each client connection to the successor once it is between requests.
type MoveClientConns struct{}

// SetAcceptingClients sets which of the two processes clients should use, as its health check says.
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
