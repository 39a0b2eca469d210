package discovery

import "time"

// This file decides on the pause before a watch that ended is opened again.
//
// What discovery on a machine knows counts as known to the limiter there, so a watch is opened again well
// within the 250 ms after which new attempts at a draining backend must have ended. Only where discovery
// rejects watches are there too many of them: one service serves those of all limiters in turn, and
// limiters that retry soon keep its queue full. So pauses after rejections grow with the tier.

const (
	// minBackoff is the first pause.
	minBackoff = 10 * time.Millisecond
	// maxBackoff is the longest pause after a watch that was not rejected: a list that came back with
	// discovery has to be received within 250 ms.
	maxBackoff = 100 * time.Millisecond
	// rejectionSpread is the time, for each other limiter of the tier, over which the first retries
	// after a rejection are spread.
	rejectionSpread = 50 * time.Millisecond
	// watchInterval is how often all limiters together retry after further rejections, at most.
	watchInterval = 100 * time.Millisecond
	// maxRejectionBackoff bounds the pauses after rejections: by then a change counts as known to the
	// limiter in any case.
	maxRejectionBackoff = 6 * time.Second
)

// backoff is the state of the pauses. They double while watches bring nothing.
type backoff struct {
	random      func() float64 // in [0, 1)
	spread      time.Duration  // of the first pause after a rejection
	maxRejected time.Duration  // longest pause after rejections
	next        time.Duration  // mean of the next pause
	rejected    bool           // a watch was rejected since the last reset
}

// newBackoff returns the pauses of one of so many limiters.
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

// afterFailure returns the pause after a watch that failed in another way, which costs nobody anything.
func (b *backoff) afterFailure() time.Duration { return b.doubled(maxBackoff) }

// doubled returns a pause of about the next mean, longest at most, and doubles the mean.
func (b *backoff) doubled(longest time.Duration) time.Duration {
	pause := time.Duration((0.5 + b.random()) * float64(min(b.next, longest)))
	b.next = min(2*b.next, longest)
	return pause
}
