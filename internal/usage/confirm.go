package usage

import (
	"cmp"
	"slices"
)

// This file decides which unconfirmed usage counts. A limiter sent this usage to a lease holder for the report of an
// earlier period, without learning whether that report includes it; the reports themselves show whether one does.

// countUnconfirmed adds the unconfirmed usage that counts to s.countedUnconfirmed.
func (s *Summary) countUnconfirmed() {
	for _, r := range s.Reports {
		for _, u := range r.Unconfirmed {
			s.addIfUnreported(r.Period, u)
		}
	}
}

// addIfUnreported adds the unconfirmed usage u, from the report of a period, unless a report that counts
// includes it. If u is from before the first report that was read, this is not known: u does not count, and is a
// fault unless it is empty.
func (s *Summary) addIfUnreported(period uint32, u UnconfirmedUsage) {
	if u.Period < s.Reports[0].Period {
		if len(u.Usage) == 0 {
			return
		}
		s.addFault("period %d: limiter %d has unconfirmed usage up to period %d, which does not count: the report of that period is not among those read", period, u.Limiter, u.Period)
		return
	}
	if s.isReported(u) {
		return
	}
	s.countedUnconfirmed = append(s.countedUnconfirmed, u)
	if u.FirstPeriod == 0 && u.Period > s.Reports[0].Period {
		s.addRestartFault(u.Period, u.Limiter)
	}
}

// isReported reports whether a report that counts includes the usage: the report of its period, a later one
// with the limiter's usage since then, or an earlier one with the same unconfirmed usage.
func (s *Summary) isReported(u UnconfirmedUsage) bool {
	index, found := slices.BinarySearchFunc(s.Reports, u.Period, func(r Report, period uint32) int {
		return cmp.Compare(r.Period, period)
	})
	if found && !slices.Contains(s.Reports[index].Missing, u.Limiter) {
		return true
	}
	return reportedLater(s.Reports[index:], u.Limiter, u.Period) || slices.ContainsFunc(s.countedUnconfirmed, u.isSame)
}

// isSame reports whether both are the same usage. A limiter closes a period with usage at most once, so that
// the limiter and the period identify the usage.
func (u UnconfirmedUsage) isSame(other UnconfirmedUsage) bool {
	return u.Limiter == other.Limiter && u.Period == other.Period
}

// isCountedUnconfirmed reports whether the usage of a limiter in a period is part of the unconfirmed usage that
// counts.
func (s *Summary) isCountedUnconfirmed(limiter int, period uint32) bool {
	return slices.ContainsFunc(s.countedUnconfirmed, func(u UnconfirmedUsage) bool {
		covered := u.FirstPeriod > 0 && u.FirstPeriod <= period && period < u.Period
		return u.Limiter == limiter && (u.Period == period || covered)
	})
}
