// Package rate has two counters that change with time: a decaying rate and an allowance that refills.
// Neither reads a clock.
package rate

import (
	"math"
	"time"
)

// Decaying is a rate of events per second in which the weight of an event decays with its age. The zero value is
// a rate of zero.
type Decaying struct {
	PerSecond float64       // as of UpdatedAt
	UpdatedAt time.Duration // clock time
}

// Add counts an amount at a clock time. memorySeconds is the time after which an event counts 1/e of what it
// counted at first.
func (d *Decaying) Add(now time.Duration, amount, memorySeconds float64) {
	d.PerSecond = d.Value(now, memorySeconds) + amount/memorySeconds
	d.UpdatedAt = now
}

// Value returns the rate at a clock time.
func (d *Decaying) Value(now time.Duration, memorySeconds float64) float64 {
	return d.PerSecond * math.Exp(-(now-d.UpdatedAt).Seconds()/memorySeconds)
}

// Allowance is an amount that refills at a constant rate up to a limit, as a token bucket does. The
// caller takes what it uses from Amount.
type Allowance struct {
	Amount    float64       // as of UpdatedAt
	UpdatedAt time.Duration // clock time
}

// Refill adds the refill since the last call, up to the limit, and returns the amount.
func (a *Allowance) Refill(now time.Duration, perSecond, limit float64) float64 {
	a.Amount = min(a.Amount+(now-a.UpdatedAt).Seconds()*perSecond, limit)
	a.UpdatedAt = now
	return a.Amount
}
