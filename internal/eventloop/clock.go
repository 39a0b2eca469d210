package eventloop

import "time"

// clockStart is the time that a new clock shows. A backend whose start time is before zero counts as one that
// started long ago, so slow start must not last longer than clockStart.
const clockStart = time.Hour

// Clock measures the time since its origin.
type Clock struct {
	origin time.Time
	setAt  time.Time
	rate   float64 // clock time per real time since setAt
}

// NewClock returns a clock that runs at the given rate, which is other than 1 only in tests.
func NewClock(rate float64) Clock { return newClockAt(clockStart, rate) }

// newClockAt returns a clock that shows now. A successor continues the clock of its predecessor with it.
func newClockAt(now time.Duration, rate float64) Clock {
	setAt := time.Now()
	return Clock{origin: setAt.Add(-now), setAt: setAt, rate: rate}
}

// Origin returns the real time at which the clock shows zero, if it has always run at rate 1.
func (c Clock) Origin() time.Time { return c.origin }

// Now returns the time that the clock shows. It never decreases.
func (c Clock) Now() time.Duration {
	elapsed := time.Duration(float64(time.Since(c.setAt)) * c.rate)
	return c.setAt.Sub(c.origin) + elapsed
}

// Until returns the real time that passes until the clock shows at.
func (c Clock) Until(at time.Duration) time.Duration {
	return time.Duration(float64(at-c.Now()) / c.rate)
}
