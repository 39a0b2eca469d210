package hotrestart

import "time"

// Limits bound how long each phase may last, and how often a hot restart is attempted.
type Limits struct {
	// HelloTimeout is how long the successor waits for a reply to Hello. After it, the successor
	// starts as if there were no predecessor.
	HelloTimeout time.Duration
	// PrepareTimeout is how long the predecessor waits for the successor to be prepared.
	PrepareTimeout time.Duration
	// TransferTimeout is how long the predecessor waits for the successor to adopt the state. No
	// process admits meanwhile.
	TransferTimeout time.Duration
	// CommitTimeout is how long the successor waits for Commit, or for the end of the link, while no
	// process admits. After it, the predecessor is killed.
	CommitTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of the successor.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is how long the predecessor goes without a heartbeat during probation. After
	// it, the successor is killed.
	HeartbeatTimeout time.Duration
	// ProbationDuration is how long probation lasts. After it, the predecessor commits without having
	// been requested to shut down.
	ProbationDuration time.Duration
	// MaxAttempts is how many hot restarts a successor begins.
	MaxAttempts int
}

// DefaultLimits are such that no process admits for at most 150 ms while one side hangs before the
// commit.
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
