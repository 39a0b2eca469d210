package rate

import (
	"math"
	"testing"
	"time"
)

// The rate of a steady stream of events is measured correctly, and decays to 1/e after the memory.
func TestDecaying(t *testing.T) {
	var d Decaying
	const memorySeconds = 2
	now := time.Duration(0)
	for range 5000 {
		now += 10 * time.Millisecond
		d.Add(now, 3, memorySeconds)
	}
	if got := d.Value(now, memorySeconds); math.Abs(got-300) > 3 {
		t.Errorf("rate %.1f per second, want 300", got)
	}
	if got, want := d.Value(now+2*time.Second, memorySeconds)/d.Value(now, memorySeconds), 1/math.E; math.Abs(got-want) > 1e-9 {
		t.Errorf("%.3f of the rate is left after the memory, want %.3f", got, want)
	}
}

// An allowance refills at its rate up to its limit.
func TestAllowance(t *testing.T) {
	a := Allowance{Amount: 1}
	for _, step := range []struct {
		at   time.Duration
		want float64
	}{{time.Second, 1.5}, {2 * time.Second, 2}, {time.Minute, 5}} {
		if got := a.Refill(step.at, 0.5, 5); math.Abs(got-step.want) > 1e-9 {
			t.Errorf("amount at %v: %v, want %v", step.at, got, step.want)
		}
	}
}
