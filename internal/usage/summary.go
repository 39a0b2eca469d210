package usage

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
)

// maxLine is the longest line that is read.
const maxLine = 64 << 20

// ReadReports takes the lines of a file. One that is torn or no line is told by its number, and left out.
func ReadReports(r io.Reader) (lines []Report, bad []int, err error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for n := 1; scan.Scan(); n++ {
		if len(bytes.TrimSpace(scan.Bytes())) == 0 {
			continue
		}
		var l Report
		if json.Unmarshal(scan.Bytes(), &l) != nil || l.Period == 0 || l.Token == 0 {
			bad = append(bad, n)
			continue
		}
		lines = append(lines, l)
	}
	if err := scan.Err(); err != nil {
		return lines, bad, fmt.Errorf("lines: %w", err)
	}
	return lines, bad, nil
}

// A Summary is what the lines of a fleet say together.
type Summary struct {
	Reports []Report        // that count, one a period, in order
	Usage   []CustomerUsage // of all of them
	Faults  []string        // what is missing, in doubt or twice, a line each
}

// Merge joins lines of all files. Of a period the line counts that is not written again, and of several
// the one with the least token; a second that does not say so is a fault.
func Merge(lines []Report) Summary {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Report) int {
		again := func(l Report) int {
			if l.MayRepeat {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(a.Period, b.Period), cmp.Compare(again(a), again(b)), cmp.Compare(a.Token, b.Token))
	})
	var s Summary
	fault := func(format string, args ...any) { s.Faults = append(s.Faults, fmt.Sprintf(format, args...)) }
	for _, l := range lines {
		if n := len(s.Reports); n > 0 && s.Reports[n-1].Period == l.Period {
			if !l.MayRepeat {
				fault("period %d: twice, under tokens %d and %d", l.Period, s.Reports[n-1].Token, l.Token)
			}
			continue
		}
		s.Reports = append(s.Reports, l)
	}
	units := map[[2]string]float64{}
	for i, l := range s.Reports {
		for _, u := range l.Usage {
			units[[2]string{u.Customer, u.Plan}] += u.Units
		}
		switch {
		case i > 0 && l.Previous != s.Reports[i-1].Period && l.Previous > 0:
			fault("between periods %d and %d: a line is missing, as %d comes after %d", s.Reports[i-1].Period, l.Period, l.Period, l.Previous)
		case i > 0 && l.Previous == 0:
			fault("before period %d: not known whether lines are missing", l.Period)
		}
		for _, k := range l.Missing {
			if !reportedLater(s.Reports[i+1:], k, l.Period) {
				fault("period %d: limiter %d is missing", l.Period, k)
			}
		}
		for _, k := range l.Restarted {
			if i > 0 {
				fault("period %d: limiter %d started anew, what it had not told before is lost", l.Period, k)
			}
		}
	}
	for k, n := range units {
		s.Usage = append(s.Usage, CustomerUsage{Customer: k[0], Plan: k[1], Units: math.Round(n*UnitParts) / UnitParts})
	}
	slices.SortFunc(s.Usage, func(a, b CustomerUsage) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Plan, b.Plan))
	})
	return s
}

// reportedLater tells whether a limiter's use of a period is in a later line.
func reportedLater(lines []Report, limiter int, period uint32) bool {
	for _, l := range lines {
		if slices.Contains(l.Missing, limiter) {
			continue
		}
		since, ok := l.Since[fmt.Sprint(limiter)]
		return ok && since <= period
	}
	return false
}
