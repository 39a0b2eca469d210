package discovery

import "time"

// This file decides on the pause before a watch that ended is opened again.
//
// A change counts as known to the limiter while no watch is open too, see the package comment, so a watch
// is opened again well within the drain grace. But where discovery rejects watches, there are too many of
// them: one service serves those of all limiters in turn, and limiters that retry soon keep its queue full.
// So pauses after rejections grow with the tier.

const (
	// minBackoff is the first pause.
	minBackoff = 10 * time.Millisecond
	// maxBackoff is the mean of the longest pauses after a watch that was not rejected. When discovery
	// returns, its list has to be received within the drain grace.
	maxBackoff = 100 * time.Millisecond
	// rejectionSpread is the time, for each other limiter of the tier, over which the first retries
	// after a rejection are spread.
	rejectionSpread = 50 * time.Millisecond
	// watchInterval is how often all limiters together retry after further rejections, at most.
	watchInterval = 100 * time.Millisecond
	// maxRejectionBackoff bounds the mean of the pauses after rejections.
	maxRejectionBackoff = maxKnownDelay
)

// backoff is the state of the pauses. They double from each watch without a message to the next.
type backoff struct {
	random      func() float64 // in [0, 1)
	spread      time.Duration  // of the first pause after a rejection
	maxRejected time.Duration  // longest pause after rejections
	next        time.Duration  // mean of the next pause
	rejected    bool           // a watch was rejected since the last reset
}

// newBackoff returns the state at the start, in a tier of so many limiters.
func newBackoff(limiters int, random func() float64) *backoff {
	others := max(limiters-1, 0)
	return &backoff{
		random:      random,
		spread:      min(time.Duration(others)*rejectionSpread, maxRejectionBackoff),
		maxRejected: max(maxBackoff, min(time.Duration(limiters)*watchInterval, maxRejectionBackoff)),
		next:        minBackoff,
	}
}

// reset begins again with the first pause.
func (b *backoff) reset() { b.next, b.rejected = minBackoff, false }

// afterRejection returns the pause after a watch that discovery rejected.
func (b *backoff) afterRejection() time.Duration {
	if !b.rejected && b.spread > 0 {
		b.rejected = true
		b.next = max(b.next, b.spread)
		return minBackoff + time.Duration(b.random()*float64(b.spread))
	}
	return b.doubled(b.maxRejected)
}

// afterFailure returns the pause after a watch that failed in another way, which puts no load on discovery.
func (b *backoff) afterFailure() time.Duration { return b.doubled(maxBackoff) }

// doubled returns a pause between half and one and a half times the next mean, and doubles the mean, which is
// longest at most.
func (b *backoff) doubled(longest time.Duration) time.Duration {
	pause := time.Duration((0.5 + b.random()) * float64(min(b.next, longest)))
	b.next = min(2*b.next, longest)
	return pause
}
