package eventloop

import (
	"testing"
	"time"
)

// A clock starts at the time that it is set to and runs at its rate.
func TestClock(t *testing.T) {
	const rate = 1000
	c := newClockAt(2*time.Hour, rate)
	first := c.Now()
	if first < 2*time.Hour || c.Origin().After(time.Now().Add(-2*time.Hour)) {
		t.Errorf("a clock set to 2 h shows %v and has its origin at %v", first, c.Origin())
	}
	begin := time.Now()
	time.Sleep(5 * time.Millisecond)
	minAdvance := rate * time.Since(begin)
	if advance := c.Now() - first; advance < minAdvance {
		t.Errorf("the clock advanced by %v, want at least %v", advance, minAdvance)
	}
	if wait := c.Until(c.Now() + rate*time.Hour); wait > time.Hour || wait < time.Hour-time.Minute {
		t.Errorf("got %v of real time until a clock time that is %d h ahead, want about 1 h", wait, rate)
	}
	if start := NewClock(1).Now(); start < clockStart || start > clockStart+time.Minute {
		t.Errorf("a new clock shows %v, want clockStart or up to 1 min more", start)
	}
}
