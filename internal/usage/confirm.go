package usage

import (
	"cmp"
	"slices"
)

// This file decides which unconfirmed usage counts. Its limiter sent it for the report of its period, and
// the reports themselves show whether it got there.

// confirmUsage adds the unconfirmed usage that counts.
func (s *Summary) confirmUsage() {
	for _, r := range s.Reports {
		for _, u := range r.Unconfirmed {
			s.confirm(r.Period, u)
		}
	}
}

// confirm adds the unconfirmed usage of the report of a period unless another one has it. Of what is before
// the first report that is not known.
func (s *Summary) confirm(period uint32, u UnconfirmedUsage) {
	if u.Period < s.Reports[0].Period {
		if len(u.Usage) == 0 {
			return
		}
		s.fault("period %d: limiter %d has usage up to period %d, which does not count: the report of that one is not here", period, u.Limiter, u.Period)
		return
	}
	if s.isReported(u) {
		return
	}
	s.confirmed = append(s.confirmed, u)
	if u.FirstPeriod == 0 && u.Period > s.Reports[0].Period {
		s.restartFault(u.Period, u.Limiter)
	}
}

// isReported reports whether a report that counts has the usage: that of its period, a later one that has
// the limiter's usage since then, or one before with the same unconfirmed usage.
func (s *Summary) isReported(u UnconfirmedUsage) bool {
	next, found := slices.BinarySearchFunc(s.Reports, u.Period, func(r Report, period uint32) int {
		return cmp.Compare(r.Period, period)
	})
	if found && !slices.Contains(s.Reports[next].Missing, u.Limiter) {
		return true
	}
	return reportedLater(s.Reports[next:], u.Limiter, u.Period) || slices.ContainsFunc(s.confirmed, u.isSame)
}

// isSame reports whether the usage is the same: no limiter closes a period in which it has usage more than once.
func (u UnconfirmedUsage) isSame(other UnconfirmedUsage) bool {
	return u.Limiter == other.Limiter && u.Period == other.Period
}

// isConfirmed reports whether the usage of a limiter in a period is part of the unconfirmed usage that counts.
func (s *Summary) isConfirmed(limiter int, period uint32) bool {
	return slices.ContainsFunc(s.confirmed, func(u UnconfirmedUsage) bool {
		inBefore := u.FirstPeriod > 0 && u.FirstPeriod <= period && period < u.Period
		return u.Limiter == limiter && (u.Period == period || inBefore)
	})
}
