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
	// closeSlack is the longest delay with which a backend may notice that the connection of an attempt ended: events on
	// two connections may be observed in either order. The operating requirements add as much to each time limit.
	closeSlack = 50 * time.Millisecond
	// loanDuration is the time for which a limiter lends a slot.
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

// inFlightChanges returns the starts and ends of attempts by customer, sorted by time. If one attempt ends at the time
// at which another one starts, the end is first.
func (o *observations) inFlightChanges() map[string][]inFlightChange {
	byCustomer := map[string][]inFlightChange{}
	for i := range o.spans {
		span := &o.spans[i]
		changes := append(byCustomer[span.Customer], inFlightChange{span.ArrivedAt, 1, span})
		if !span.End.IsZero() {
			changes = append(changes, inFlightChange{earliestEnd(span), -1, span})
		}
		byCustomer[span.Customer] = changes
	}
	for _, changes := range byCustomer {
		slices.SortStableFunc(changes, func(a, b inFlightChange) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.change, b.change))
		})
	}
	return byCustomer
}

// earliestEnd returns the earliest time at which an attempt may have ended: up to closeSlack before the backend noticed
// that the connection ended, but after the start of the attempt.
func earliestEnd(span *processharness.AttemptSpan) time.Time {
	if !span.Closed {
		return span.End
	}
	if early := span.End.Add(-closeSlack); early.After(span.ArrivedAt) {
		return early
	}
	return span.ArrivedAt.Add(1)
}

// describe returns a line for each attempt: when it started, its request, the limiter to which the request was sent,
// and the number of the attempt.
func (o *observations) describe(inFlight map[*processharness.AttemptSpan]bool) string {
	limiters := map[string]int{}
	for _, r := range o.results {
		limiters[r.ID] = r.Limiter
	}
	var lines []string
	for span := range inFlight {
		lines = append(lines, fmt.Sprintf("\n    %.3f s: request %s at limiter %d, attempt %d of its request",
			span.ArrivedAt.Sub(o.startedAt).Seconds(), span.CallID, limiters[span.CallID], o.attemptNumber(span)))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// attemptNumber returns the number of an attempt among those of its request, from 1.
func (o *observations) attemptNumber(span *processharness.AttemptSpan) int {
	number := 1
	for i := range o.spans {
		if other := &o.spans[i]; other.CallID == span.CallID && other.ArrivedAt.Before(span.ArrivedAt) {
			number++
		}
	}
	return number
}

// countLongAttempts returns how many attempts lasted longer than the loan of a slot.
func (o *observations) countLongAttempts() (count int) {
	for _, span := range o.spans {
		if !span.End.IsZero() && span.End.Sub(span.ArrivedAt) > loanDuration {
			count++
		}
	}
	return count
}
