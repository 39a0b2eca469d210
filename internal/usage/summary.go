package usage

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Summary is the usage of a tier by all its reports.
type Summary struct {
	Reports []Report        // those that count, one for each period, in order
	Usage   []CustomerUsage // in all of them
	Faults  []string        // what is missing, in doubt or repeated, a line each

	Duplicates []string           // those of Faults that name a period with two reports which both count
	confirmed  []UnconfirmedUsage // of Reports, what counts as no other report has it
}

// Merge merges the reports of all files. One report of each period counts: one without MayRepeat before one
// with it, and then that with the least token. A second report without MayRepeat is a fault. The unconfirmed
// usage of a report that counts is added once if no report that counts has it.
func Merge(reports []Report) Summary {
	var s Summary
	s.addReports(reports)
	s.confirmUsage()
	for i := range s.Reports {
		s.checkPrevious(i)
		s.checkMissing(i)
		s.checkRestarted(i)
	}
	s.Usage = s.sumUsage()
	return s
}

func (s *Summary) fault(format string, args ...any) {
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
			s.fault("period %d: twice, under tokens %d and %d", r.Period, s.Reports[last].Token, r.Token)
			s.Duplicates = append(s.Duplicates, s.Faults[len(s.Faults)-1])
		}
	}
}

// compareReports orders reports by period, and in a period the report that counts first.
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

// checkPrevious checks that no report is missing before one.
func (s *Summary) checkPrevious(index int) {
	if index == 0 {
		return
	}
	r, before := s.Reports[index], s.Reports[index-1]
	switch r.Previous {
	case 0:
		s.fault("before period %d: not known whether lines are missing", r.Period)
	case before.Period:
	default:
		s.fault("between periods %d and %d: a line is missing, as %d comes after %d", before.Period, r.Period, r.Period, r.Previous)
	}
}

// checkMissing checks that the usage of limiters that are missing is in a later report.
func (s *Summary) checkMissing(index int) {
	r := s.Reports[index]
	for _, limiter := range r.Missing {
		if !reportedLater(s.Reports[index+1:], limiter, r.Period) && !s.isConfirmed(limiter, r.Period) {
			s.fault("period %d: limiter %d is missing", r.Period, limiter)
		}
	}
}

// checkRestarted notes the limiters that lost usage as they restarted.
func (s *Summary) checkRestarted(index int) {
	if index == 0 {
		return
	}
	r := s.Reports[index]
	for _, limiter := range r.Restarted {
		s.restartFault(r.Period, limiter)
	}
}

// restartFault notes a limiter that lost usage as it restarted before a period.
func (s *Summary) restartFault(period uint32, limiter int) {
	s.fault("period %d: limiter %d started anew, what it had not reported before is lost", period, limiter)
}

// reportedLater reports whether the usage of a limiter in a period is in the next report that has the
// limiter. One that MayRepeat may have an empty page of it, while its usage is kept for a later report.
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

// sumUsage adds up the usage in reports, and what is confirmed, by customer and plan.
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
	for _, u := range s.confirmed {
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
