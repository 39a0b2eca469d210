package hotrestart

import "time"

// Limits limit how long each phase lasts, and how many hot restarts are attempted.
type Limits struct {
	// HelloTimeout is how long the successor waits for a reply to Hello. After it, the successor
	// starts as if there were no predecessor.
	HelloTimeout time.Duration
	// PrepareTimeout is how long the predecessor waits for the successor to be prepared.
	PrepareTimeout time.Duration
	// TransferTimeout is how long the predecessor waits for the successor to adopt the state. Neither
	// process admits in that time.
	TransferTimeout time.Duration
	// CommitTimeout is how long the successor, once it has the state, waits for Commit, Withdraw or the
	// end of the link. Neither process admits in that time. After it, the predecessor is killed.
	CommitTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of the successor.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is how long the predecessor waits for the next heartbeat during probation. After
	// it, the successor is killed.
	HeartbeatTimeout time.Duration
	// ProbationDuration is how long probation lasts. After it, the predecessor sends Final, even if it
	// was not requested to shut down.
	ProbationDuration time.Duration
	// MaxAttempts is the maximum number of hot restarts that a successor attempts.
	MaxAttempts int
}

// DefaultLimits returns the default limits. If one process hangs, how long no process admits depends on which
// one it is:
//
//   - the successor, during the transfer: for TransferTimeout, then the predecessor admits again;
//   - the successor, during probation: until it is killed, after HeartbeatTimeout;
//   - the predecessor, while the successor is Receiving: until the predecessor continues or dies, as
//     the successor sets no deadline there;
//   - the predecessor, while the successor is Adopting: until the predecessor continues, or is killed
//     after CommitTimeout.
func DefaultLimits() Limits {
	return Limits{
		HelloTimeout:      500 * time.Millisecond,
		PrepareTimeout:    5 * time.Second,
		TransferTimeout:   150 * time.Millisecond,
		CommitTimeout:     500 * time.Millisecond,
		HeartbeatInterval: 20 * time.Millisecond,
		HeartbeatTimeout:  150 * time.Millisecond,
		ProbationDuration: 15 * time.Second,
		MaxAttempts:       4,
	}
}
