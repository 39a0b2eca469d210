package simulation

import "time"

// Store is a token bucket, as the rules define it: the reference that a run is judged by.
type Store struct {
	rate  float64 // units per second
	burst float64 // units
	level float64 // units, at the time at
	at    time.Duration
}

// NewStore returns a Store that is full. The rate is in units per second, the burst in units.
func NewStore(rate, burst float64, now time.Duration) Store {
	return Store{rate: rate, burst: burst, level: burst, at: now}
}

// Fill refills the bucket up to now, and returns its level in units.
func (s *Store) Fill(now time.Duration) float64 {
	s.level = min(s.level+(now-s.at).Seconds()*s.rate, s.burst)
	s.at = now
	return s.level
}

// Take consumes units if the bucket has them, and reports whether it had.
func (s *Store) Take(now time.Duration, units float64) bool {
	if s.Fill(now) < units {
		return false
	}
	s.level -= units
	return true
}

// Draw consumes units even if the bucket does not have them, and returns its level, which may be below
// zero.
func (s *Store) Draw(now time.Duration, units float64) float64 {
	s.Fill(now)
	s.level -= units
	return s.level
}
