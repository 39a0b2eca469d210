package eventloop

import (
	"testing"
	"time"
)

// A clock starts at the time that it is set to, and runs at its rate.
func TestClock(t *testing.T) {
	const rate = 1000
	c := newClockAt(2*time.Hour, rate)
	first := c.Now()
	if first < 2*time.Hour || c.Zero().After(time.Now().Add(-2*time.Hour)) {
		t.Errorf("set to 2 h it shows %v, zero was at %v", first, c.Zero())
	}
	begin := time.Now()
	time.Sleep(5 * time.Millisecond)
	least := rate * time.Since(begin)
	if passed := c.Now() - first; passed < least {
		t.Errorf("%v passed, want %v at least", passed, least)
	}
	if wait := c.Until(c.Now() + rate*time.Hour); wait > time.Hour || wait < time.Hour-time.Minute {
		t.Errorf("%v until %d h later, want about 1 h", wait, rate)
	}
	if start := NewClock(1).Now(); start < clockStart || start > clockStart+time.Minute {
		t.Errorf("a new clock shows %v", start)
	}
}
