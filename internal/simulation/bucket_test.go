package simulation

import (
	"testing"
	"time"
)

// A bucket refills at its rate up to its burst; Take leaves it as it is where it has too little, and Draw
// takes it below zero.
func TestStore(t *testing.T) {
	s := NewBucket(2, 10, 0)
	if !s.Take(0, 10) || s.Take(0, 1) {
		t.Error("a full bucket has its burst, and no more")
	}
	if level := s.Refill(3 * time.Second); level != 6 {
		t.Errorf("level %g after 3 s at 2/s, want 6", level)
	}
	if level := s.Consume(3*time.Second, 8); level != -2 {
		t.Errorf("level %g after 8 of 6 units were drawn, want -2", level)
	}
	if level := s.Refill(time.Minute); level != 10 {
		t.Errorf("level %g after a long time, want the burst of 10", level)
	}
}
