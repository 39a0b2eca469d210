package simulation

import (
	"testing"
	"time"
)

// A bucket refills at its rate up to its burst. Take leaves a bucket that has too few units unchanged; Consume
// may take the level below zero.
func TestBucket(t *testing.T) {
	b := NewBucket(2, 10, 0)
	if !b.Take(0, 10) || b.Take(0, 1) {
		t.Error("a full bucket of 10 units did not allow 10 units, or allowed 1 more")
	}
	if level := b.Refill(3 * time.Second); level != 6 {
		t.Errorf("level %g after 3 s at 2/s, want 6", level)
	}
	if level := b.Consume(3*time.Second, 8); level != -2 {
		t.Errorf("level %g after 8 of 6 units were consumed, want -2", level)
	}
	if level := b.Refill(time.Minute); level != 10 {
		t.Errorf("level %g after a long time, want the burst of 10", level)
	}
}
