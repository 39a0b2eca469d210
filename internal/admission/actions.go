package admission

import "time"

// Action is something for the caller to do, in the order returned: one of StartAttempt, Reject, Fail,
// CancelAttempt, SetTimer, SendToPeer, ProbeBackend, PollEndpoints and Log.
type Action interface{ action() }

// StartAttempt forwards a request; its attempts are numbered from 0, in the order of their StartAttempt.
type StartAttempt struct {
	Request     RequestID
	Backend     string
	Deadline    time.Duration // clock time at which the attempt ends; 0 for the client's deadline
	StartBefore time.Duration // clock time from which on it may no longer start; 0 for no bound
	Recovery    bool          // a recovery attempt for all limiters, see RecoveryLease
}

// Reject answers a request that was not served, and that the client may safely send again.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // how long the client is advised to wait before that; 0 for none
}

// Fail answers a request that was not served but may have run.
type Fail struct{ Request RequestID }

// CancelAttempt cancels an attempt. Its AttemptFinished still comes.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// SetTimer sets the one timer: a TimerFired is due at a clock time, in place of one set before. If the earlier
// one comes as well it does no harm.
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
