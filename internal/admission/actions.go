package admission

import "time"

// Action is something for the caller to do. Actions must be performed in the order in which they are returned. The
// types are StartAttempt, Reject, Fail, CancelAttempt, SetTimer, SendToPeer, ProbeBackend, PollEndpoints and Log.
type Action interface{ action() }

// StartAttempt forwards a request. The attempts of a request are numbered from 0 in the order of their StartAttempt.
type StartAttempt struct {
	Request     RequestID
	Backend     string
	Deadline    time.Duration // clock time at which the attempt ends; 0 for the client's deadline
	StartBefore time.Duration // clock time from which the attempt may no longer start; 0 for no bound
	Recovery    bool          // a recovery attempt on behalf of all limiters, see RecoveryLease
}

// Reject answers a request that was not served and that the client may safely send again.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // Retry-After, how long the client should wait before it retries; 0 for none
	Reason     EndReason
}

// Fail answers a request that was not served but may have run on a backend.
type Fail struct {
	Request RequestID
	Reason  EndReason
}

// EndReason is the reason for which a request ends without a response of a backend.
type EndReason uint8

const (
	// EndUnknown is the reason of an action that states none.
	EndUnknown EndReason = iota
	// EndOverQuota means that the request exceeds the quota, the ceiling or the slots of its customer.
	EndOverQuota
	// EndWindowFull means that the window is full and the queue too long.
	EndWindowFull
	// EndQueueTimeout means that the request was queued until a response could no longer be in time.
	EndQueueTimeout
	// EndNotRetried means that an attempt failed, and there is no further one.
	EndNotRetried
	// EndUnknownClass means that the class is not in the settings.
	EndUnknownClass
	// EndTooLate means that a response was of no use any more when the request arrived.
	EndTooLate
	// EndShuttingDown means that the limiter shuts down, and other limiters have its customers' quotas.
	EndShuttingDown
	// EndTooManyCustomers means that the customer is new, and no further customer can be known now.
	EndTooManyCustomers
	// NumEndReasons is the number of reasons.
	NumEndReasons
)

// String returns the name that logs and metrics use.
func (r EndReason) String() string {
	return [...]string{
		"undecided", "over_quota", "window_full", "queue_timeout", "not_retried", "unknown_class", "too_late", "shutting_down",
		"too_many_customers",
	}[r]
}

// CancelAttempt cancels an attempt. The caller still reports its AttemptFinished.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// SetTimer sets the only timer: a TimerFired is due at the clock time At, and replaces the one set before. A
// TimerFired of the replaced timer that still arrives is harmless.
type SetTimer struct{ At time.Duration }

// SendToPeer sends a message of at most 256 bytes to another limiter.
type SendToPeer struct {
	Peer int
	Data []byte
}

// ProbeBackend requests a load report from a backend; its ProbeResult follows.
type ProbeBackend struct{ Backend string }

// PollEndpoints starts a poll for changes of the endpoint list; an EndpointList of kind ListFailed ends it.
type PollEndpoints struct{}

// Log writes a line to the operators' log.
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
