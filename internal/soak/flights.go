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
	// closeSlack is how much earlier than the backend saw it the connection of an attempt may have ended: what
	// happens on two connections is seen in any order. The operators' terms add as much to each time limit.
	closeSlack = 50 * time.Millisecond
	// loanDuration is how long a limiter lends a slot.
	loanDuration = 2 * time.Second
)

// flightChange is the beginning or the end of an attempt.
type flightChange struct {
	at     time.Time
	change int // of the number of attempts in flight: 1 or -1
	flight *processharness.Flight
}

// judgeFlights returns a line for each customer with a limit that had more attempts in flight at once.
func (o *observations) judgeFlights() (breaches []string) {
	byCustomer := o.flightChanges()
	for _, customer := range slices.Sorted(maps.Keys(byCustomer)) {
		inFlight := map[*processharness.Flight]bool{}
		for _, c := range byCustomer[customer] {
			if c.change < 0 {
				delete(inFlight, c.flight)
				continue
			}
			inFlight[c.flight] = true
			if len(inFlight) > o.maxInFlight {
				breaches = append(breaches, fmt.Sprintf("customer %s: %d attempts in flight at once, %d allowed%s",
					customer, len(inFlight), o.maxInFlight, o.describe(inFlight)))
				break
			}
		}
	}
	return breaches
}

// flightChanges returns the changes in the order of their times, by customer. What ends just when another attempt
// begins has ended before.
func (o *observations) flightChanges() map[string][]flightChange {
	byCustomer := map[string][]flightChange{}
	for i := range o.flights {
		f := &o.flights[i]
		changes := append(byCustomer[f.Customer], flightChange{f.At, 1, f})
		if !f.End.IsZero() {
			changes = append(changes, flightChange{endOf(f), -1, f})
		}
		byCustomer[f.Customer] = changes
	}
	for _, changes := range byCustomer {
		slices.SortStableFunc(changes, func(a, b flightChange) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.change, b.change))
		})
	}
	return byCustomer
}

// endOf returns the earliest time at which an attempt may have ended.
func endOf(f *processharness.Flight) time.Time {
	if !f.Closed {
		return f.End
	}
	if early := f.End.Add(-closeSlack); early.After(f.At) {
		return early
	}
	return f.At.Add(1)
}

// describe returns a line for each attempt: when it began, and at which limiter its request was.
func (o *observations) describe(inFlight map[*processharness.Flight]bool) string {
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
func (o *observations) attemptNumber(f *processharness.Flight) int {
	number := 1
	for i := range o.flights {
		if other := &o.flights[i]; other.CallID == f.CallID && other.At.Before(f.At) {
			number++
		}
	}
	return number
}

// longFlights returns how many attempts outlived a loan.
func (o *observations) longFlights() (count int) {
	for _, f := range o.flights {
		if !f.End.IsZero() && f.End.Sub(f.At) > loanDuration {
			count++
		}
	}
	return count
}
