package soak

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"lemongate/internal/processharness"
)

const (
	// closeSlack is the longest time by which a backend may be late to notice that the connection of an attempt ended:
	// events on two connections are observed in any order. The operating requirements add as much to each time limit.
	closeSlack = 50 * time.Millisecond
	// loanDuration is how long a limiter lends a slot.
	loanDuration = 2 * time.Second
)

// inFlightChange is the start or the end of an attempt.
type inFlightChange struct {
	at     time.Time
	change int // of the number of attempts in flight: 1 or -1
	span   *processharness.AttemptSpan
}

// checkAttemptsInFlight returns a line for each customer that had more attempts in flight at once than its limit.
func (o *observations) checkAttemptsInFlight() (breaches []string) {
	byCustomer := o.inFlightChanges()
	for _, customer := range slices.Sorted(maps.Keys(byCustomer)) {
		inFlight := map[*processharness.AttemptSpan]bool{}
		for _, c := range byCustomer[customer] {
			if c.change < 0 {
				delete(inFlight, c.span)
				continue
			}
			inFlight[c.span] = true
			if len(inFlight) > o.maxInFlight {
				breaches = append(breaches, fmt.Sprintf("customer %s: %d attempts in flight at once, %d allowed%s",
					customer, len(inFlight), o.maxInFlight, o.describe(inFlight)))
				break
			}
		}
	}
	return breaches
}

// inFlightChanges returns the changes by customer, in the order of time. An attempt that ends at the time at which
// another one starts counts as ended before it.
func (o *observations) inFlightChanges() map[string][]inFlightChange {
	byCustomer := map[string][]inFlightChange{}
	for i := range o.spans {
		f := &o.spans[i]
		changes := append(byCustomer[f.Customer], inFlightChange{f.At, 1, f})
		if !f.End.IsZero() {
			changes = append(changes, inFlightChange{earliestEnd(f), -1, f})
		}
		byCustomer[f.Customer] = changes
	}
	for _, changes := range byCustomer {
		slices.SortStableFunc(changes, func(a, b inFlightChange) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.change, b.change))
		})
	}
	return byCustomer
}

// earliestEnd returns the earliest time at which an attempt may have ended.
func earliestEnd(f *processharness.AttemptSpan) time.Time {
	if !f.Closed {
		return f.End
	}
	if early := f.End.Add(-closeSlack); early.After(f.At) {
		return early
	}
	return f.At.Add(1)
}

// describe returns a line for each attempt: when it started, and to which limiter its request was sent.
func (o *observations) describe(inFlight map[*processharness.AttemptSpan]bool) string {
	limiters := map[string]int{}
	for _, r := range o.results {
		limiters[r.ID] = r.Limiter
	}
	var lines []string
	for f := range inFlight {
		lines = append(lines, fmt.Sprintf("\n    %.3f s: request %s at limiter %d, attempt %d of its request",
			f.At.Sub(o.startedAt).Seconds(), f.CallID, limiters[f.CallID], o.attemptNumber(f)))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// attemptNumber returns the number of an attempt among those of its request, from 1.
func (o *observations) attemptNumber(f *processharness.AttemptSpan) int {
	number := 1
	for i := range o.spans {
		if other := &o.spans[i]; other.CallID == f.CallID && other.At.Before(f.At) {
			number++
		}
	}
	return number
}

// countLongAttempts returns how many attempts lasted longer than the loan of a slot.
func (o *observations) countLongAttempts() (count int) {
	for _, f := range o.spans {
		if !f.End.IsZero() && f.End.Sub(f.At) > loanDuration {
			count++
		}
	}
	return count
}
