package eventloop

import "time"

// clockStart is what a clock shows at the start of the program. A backend that started before zero counts
// as one that started long ago, so slow start must not last longer than this.
const clockStart = time.Hour

// Clock shows the time since its zero.
type Clock struct {
	zero  time.Time
	setAt time.Time
	rate  float64 // since it was set: clock time over real time
}

// NewClock returns a clock that runs at a rate, which is other than 1 only in tests.
func NewClock(rate float64) Clock { return newClockAt(clockStart, rate) }

// newClockAt returns a clock that goes on from the time that another process's clock shows now.
func newClockAt(now time.Duration, rate float64) Clock {
	setAt := time.Now()
	return Clock{zero: setAt.Add(-now), setAt: setAt, rate: rate}
}

// Zero returns the real time at which the clock shows zero, if it has always run at rate 1.
func (c Clock) Zero() time.Time { return c.zero }

// Now returns the time that the clock shows. It never goes back.
func (c Clock) Now() time.Duration {
	elapsed := time.Duration(float64(time.Since(c.setAt)) * c.rate)
	return c.setAt.Sub(c.zero) + elapsed
}

// Until returns how long it takes, in real time, until the clock shows a time.
func (c Clock) Until(at time.Duration) time.Duration {
	return time.Duration(float64(at-c.Now()) / c.rate)
}
