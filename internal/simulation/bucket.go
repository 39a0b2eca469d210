package simulation

import "time"

// Bucket is a token bucket that implements the definition of a quota directly. A run is checked against it.
type Bucket struct {
	rate  float64       // units per second
	burst float64       // units
	level float64       // units after the last refill, less those consumed since
	at    time.Duration // time of the last refill
}

// NewBucket returns a Bucket that is full. The rate is in units per second, the burst in units.
func NewBucket(rate, burst float64, now time.Duration) Bucket {
	return Bucket{rate: rate, burst: burst, level: burst, at: now}
}

// Refill refills the bucket up to now, and returns its level in units.
func (b *Bucket) Refill(now time.Duration) float64 {
	b.level = min(b.level+(now-b.at).Seconds()*b.rate, b.burst)
	b.at = now
	return b.level
}

// Take consumes units if the bucket has them, and reports whether it had.
func (b *Bucket) Take(now time.Duration, units float64) bool {
	if b.Refill(now) < units {
		return false
	}
	b.level -= units
	return true
}

// Consume consumes units even if the bucket does not have them, and returns its level, which may be below zero.
func (b *Bucket) Consume(now time.Duration, units float64) float64 {
	b.Refill(now)
	b.level -= units
	return b.level
}
