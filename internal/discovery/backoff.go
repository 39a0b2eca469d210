package discovery

import "time"

// This file decides how long to wait before a watch that ended is opened again.
//
// A change counts as known to the limiter even while no watch is open (see the package comment), so a watch must be
// opened again well within the drain grace. If discovery rejects watches, however, there are too many of them: one
// service answers the watches of all limiters one after another, and limiters that retry soon keep its queue full.
// Therefore pauses after rejections grow with the size of the tier.

const (
	// minBackoff is the first pause.
	minBackoff = 10 * time.Millisecond
	// maxBackoff bounds the mean of the pauses after a watch that was not rejected. When discovery is available
	// again, its list must be received within the drain grace.
	maxBackoff = 100 * time.Millisecond
	// rejectionSpread is the time, per other limiter of the tier, over which the first retries after a rejection
	// are spread.
	rejectionSpread = 50 * time.Millisecond
	// tierRetryInterval is the time, per limiter of the tier, to which the mean pause after further rejections grows.
	// All limiters together then retry at most once per tierRetryInterval on average.
	tierRetryInterval = 100 * time.Millisecond
	// maxRejectionBackoff bounds the mean of the pauses after rejections.
	maxRejectionBackoff = maxKnownDelay
)

// backoff is the state from which pauses are computed. The mean pause doubles with each failed watch until reset.
type backoff struct {
	random           func() float64 // in [0, 1)
	spread           time.Duration  // of the first pause after a rejection
	maxRejectionMean time.Duration  // bound on the mean of the pauses after rejections
	nextMean         time.Duration  // mean of the next pause
	rejected         bool           // a watch was rejected since the last reset
}

// newBackoff returns the initial state for a tier with the given number of limiters.
func newBackoff(limiters int, random func() float64) *backoff {
	others := max(limiters-1, 0)
	return &backoff{
		random:           random,
		spread:           min(time.Duration(others)*rejectionSpread, maxRejectionBackoff),
		maxRejectionMean: max(maxBackoff, min(time.Duration(limiters)*tierRetryInterval, maxRejectionBackoff)),
		nextMean:         minBackoff,
	}
}

// reset returns to the first pause.
func (b *backoff) reset() { b.nextMean, b.rejected = minBackoff, false }

// afterRejection returns the pause after a watch that discovery rejected. After the first rejection since reset, the
// pause is distributed evenly over b.spread, so that the limiters of the tier do not retry at the same time.
func (b *backoff) afterRejection() time.Duration {
	if !b.rejected && b.spread > 0 {
		b.rejected = true
		b.nextMean = max(b.nextMean, b.spread)
		return minBackoff + time.Duration(b.random()*float64(b.spread))
	}
	return b.nextPause(b.maxRejectionMean)
}

// afterFailure returns the pause after a watch that failed in any other way. Such a watch puts no load on discovery.
func (b *backoff) afterFailure() time.Duration { return b.nextPause(maxBackoff) }

// nextPause returns a random pause between 0.5 and 1.5 times the mean, and doubles the mean, up to maxMean.
func (b *backoff) nextPause(maxMean time.Duration) time.Duration {
	pause := time.Duration((0.5 + b.random()) * float64(min(b.nextMean, maxMean)))
	b.nextMean = min(2*b.nextMean, maxMean)
	return pause
}
