package discovery

import "time"

// This file converts the start times of backends, which the endpoint list has in wall-clock time, to the program's clock. The
// wall clock may be set while the program runs: the same backend must not seem to start again, and one that has just started
// must not seem to have started long ago.

const (
	// minStep is the least difference between the wall clock and the program's clock that counts as a step; smaller ones
	// come from the adjustment of the wall clock's rate.
	minStep = time.Second
	// maxSteps is the number of steps that are remembered.
	maxSteps = 4
)

// A startConverter converts a start time of a backend to the program's clock.
type startConverter func(id string, startedAt time.Time) time.Duration

// convertFrom returns a converter for a wall clock that was not set since the program's clock was at zero.
func convertFrom(origin time.Time) startConverter {
	return func(_ string, startedAt time.Time) time.Duration { return max(startedAt.Sub(origin), 0) }
}

// startTimes are the start times of the listed backends.
type startTimes struct {
	now     func() time.Duration // program's clock
	wall    func() time.Time
	origins []time.Time // wall-clock times at which the program's clock was at zero: one more for each step, the last one first
	known   map[string]knownStart
}

// A knownStart is a start time that was converted before.
type knownStart struct {
	startedAt time.Time
	converted time.Duration
}

// newStartTimes returns the start times of a program whose clock was at zero at a wall-clock time.
func newStartTimes(origin time.Time) *startTimes {
	return &startTimes{
		now:     func() time.Duration { return time.Since(origin) },
		wall:    time.Now,
		origins: []time.Time{origin.Round(0)},
		known:   map[string]knownStart{},
	}
}

// convert is a startConverter. A start time that was listed before has the same result as then.
func (s *startTimes) convert(id string, startedAt time.Time) time.Duration {
	if start, ok := s.known[id]; ok && start.startedAt.Equal(startedAt) {
		return start.converted
	}
	s.observeClock()
	converted := s.convertNew(startedAt)
	s.known[id] = knownStart{startedAt, converted}
	return converted
}

// observeClock notices a step of the wall clock.
func (s *startTimes) observeClock() {
	origin := s.wall().Round(0).Add(-s.now())
	if origin.Sub(s.origins[0]).Abs() < minStep {
		return
	}
	s.origins = append([]time.Time{origin}, s.origins...)
	s.origins = s.origins[:min(len(s.origins), maxSteps)]
}

// convertNew converts a start time that was not listed before. If the wall clock was set, it is not known whether that was
// before or after the start: of the times that are not in the future, the latest counts, so that the backend warms up.
func (s *startTimes) convertNew(startedAt time.Time) time.Duration {
	if len(s.origins) == 1 {
		return max(startedAt.Sub(s.origins[0]), 0)
	}
	now := s.now()
	latest, found := now, false
	for _, origin := range s.origins {
		converted := max(startedAt.Sub(origin), 0)
		if converted <= now && (!found || converted > latest) {
			latest, found = converted, true
		}
	}
	return latest
}

// retain forgets the start times of backends that a complete list does not name.
func (s *startTimes) retain(listed map[string]bool) {
	for id := range s.known {
		if !listed[id] {
			delete(s.known, id)
		}
	}
}
