package usage

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Summary is the usage of a tier according to all its reports.
type Summary struct {
	Reports []Report        // the reports that count, one for each period, in order
	Usage   []CustomerUsage // total usage in them
	Faults  []string        // what is missing, uncertain or reported twice, one line each

	Duplicates         []string           // the Faults about a period with two reports without MayRepeat
	countedUnconfirmed []UnconfirmedUsage // unconfirmed usage of Reports that counts, as no other report includes it
}

// Merge merges reports, which may be from several files. One report of each period counts: one without MayRepeat
// takes precedence over one with it, then the one with the lowest token. A second report without MayRepeat is a
// fault. The unconfirmed usage of a report that counts is added once if no report that counts includes it.
func Merge(reports []Report) Summary {
	var s Summary
	s.addReports(reports)
	s.countUnconfirmed()
	for i := range s.Reports {
		s.checkPrevious(i)
		s.checkMissing(i)
		s.checkRestarted(i)
	}
	s.Usage = s.sumUsage()
	return s
}

func (s *Summary) addFault(format string, args ...any) {
	s.Faults = append(s.Faults, fmt.Sprintf(format, args...))
}

// addReports adds the reports that count.
func (s *Summary) addReports(reports []Report) {
	reports = slices.Clone(reports)
	slices.SortStableFunc(reports, compareReports)
	for _, r := range reports {
		last := len(s.Reports) - 1
		if last < 0 || s.Reports[last].Period != r.Period {
			s.Reports = append(s.Reports, r)
			continue
		}
		if !r.MayRepeat {
			s.addFault("period %d: reported twice, under tokens %d and %d", r.Period, s.Reports[last].Token, r.Token)
			s.Duplicates = append(s.Duplicates, s.Faults[len(s.Faults)-1])
		}
	}
}

// compareReports orders reports by period; within a period the report that counts is first.
func compareReports(a, b Report) int {
	return cmp.Or(
		cmp.Compare(a.Period, b.Period),
		compareBool(a.MayRepeat, b.MayRepeat),
		cmp.Compare(a.Token, b.Token),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// checkPrevious checks that no report is missing before the one at index.
func (s *Summary) checkPrevious(index int) {
	if index == 0 {
		return
	}
	r, preceding := s.Reports[index], s.Reports[index-1]
	switch r.Previous {
	case 0:
		s.addFault("before period %d: unknown whether lines are missing", r.Period)
	case preceding.Period:
	default:
		s.addFault("between periods %d and %d: a line is missing: the report of period %d follows that of period %d", preceding.Period, r.Period, r.Period, r.Previous)
	}
}

// checkMissing checks that the usage of limiters missing in a report is in a later report, or is unconfirmed usage
// that counts.
func (s *Summary) checkMissing(index int) {
	r := s.Reports[index]
	for _, limiter := range r.Missing {
		if !reportedLater(s.Reports[index+1:], limiter, r.Period) && !s.isCountedUnconfirmed(limiter, r.Period) {
			s.addFault("period %d: limiter %d is missing", r.Period, limiter)
		}
	}
}

// checkRestarted adds a fault for each limiter that lost usage by a restart.
func (s *Summary) checkRestarted(index int) {
	if index == 0 {
		return
	}
	r := s.Reports[index]
	for _, limiter := range r.Restarted {
		s.addRestartFault(r.Period, limiter)
	}
}

// addRestartFault adds the fault that a limiter lost usage by a restart before a period.
func (s *Summary) addRestartFault(period uint32, limiter int) {
	s.addFault("period %d: limiter %d restarted, its unreported usage from before the restart is lost", period, limiter)
}

// reportedLater reports whether the usage of a limiter in a period is in the next of reports that includes the
// limiter. It skips a report with MayRepeat that may have only an empty page of the limiter, whose usage is kept
// for a later report.
func reportedLater(reports []Report, limiter int, period uint32) bool {
	for _, r := range reports {
		if slices.Contains(r.Missing, limiter) {
			continue
		}
		since, ok := r.Since[strconv.Itoa(limiter)]
		if r.MayRepeat && !ok {
			continue
		}
		return ok && since <= period
	}
	return false
}

// sumUsage adds up the usage in the reports and the unconfirmed usage that counts, by customer and plan.
func (s *Summary) sumUsage() (list []CustomerUsage) {
	type key struct{ customer, plan string }
	units := map[key]float64{}
	add := func(usage []CustomerUsage) {
		for _, u := range usage {
			units[key{u.Customer, u.Plan}] += u.Units
		}
	}
	for _, r := range s.Reports {
		add(r.Usage)
	}
	for _, u := range s.countedUnconfirmed {
		add(u.Usage)
	}
	for k, sum := range units {
		rounded := math.Round(sum*UnitParts) / UnitParts
		list = append(list, CustomerUsage{Customer: k.customer, Plan: k.plan, Units: rounded})
	}
	slices.SortFunc(list, func(a, b CustomerUsage) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Plan, b.Plan))
	})
	return list
}
