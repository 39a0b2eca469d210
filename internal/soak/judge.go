package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"lemongate/internal/processharness"
)

const (
	// unreadAfter is how long after SIGTERM a request may come that SIGKILL then finds unanswered.
	unreadAfter = 700 * time.Millisecond
	// longestDeadline is that of all classes of the harness.
	longestDeadline = 3 * time.Second
	// killAfter is how long after SIGTERM the SIGKILL comes, at the earliest.
	killAfter = longestDeadline + unreadAfter
	// deadlineSlack is how long after its deadline a response may come.
	deadlineSlack = 500 * time.Millisecond
	// leaveSlack is how long after its client left a request may still reach a backend.
	leaveSlack = deadlineSlack
	// readyWithin is how long a limiter may take to be ready.
	readyWithin = 10 * time.Second
	// unlistedWithin is how long after a change of the list a limiter counts as told of it at the latest.
	unlistedWithin = 6 * time.Second
	// excuseMargin is how long before and after a crash its clients may miss a response.
	excuseMargin = 200 * time.Millisecond
	// maxExtraDescriptors is how many descriptors an idle process may have more than a fresh one: idle
	// connections to backends, 1/64 of the socket limit for each.
	maxExtraDescriptors = backends*socketLimit/64 + 8
	// maxExtraMemoryKB is how much more memory it may have.
	maxExtraMemoryKB = 24 << 10
)

// An outage is a time in which a limiter is down or shuts down, or in which one of its two processes is ended.
type outage struct {
	limiter  int
	from, to time.Time     // from the signal until the next process is ready
	crash    bool          // SIGKILL without SIGTERM before
	hot      bool          // a hot restart: another process of the limiter serves
	failure  string        // what went wrong with a hot restart, "" for nothing
	took     time.Duration // from SIGTERM to the end of the process
	exit     error
	killed   bool          // by SIGKILL after SIGTERM
	heldUp   time.Duration // suspended between SIGTERM and the end of the process
	log      []string      // last lines of a process that did not end as it should
	readyIn  time.Duration // of the next process
}

// An unlisting is a time in which a backend is not in the list.
type unlisting struct {
	backend  int
	from, to time.Time
}

// resources are what a process holds.
type resources struct{ descriptors, memoryKB int }

// observations are what clients, backends and the system showed of a run.
type observations struct {
	results    []processharness.Result
	attempts   map[string]int         // by request: how often it arrived at backends
	arrivals   []processharness.Visit // at backends
	keysTwice  int                    // idempotency keys that had their effect twice
	outages    []outage
	unlistings []unlisting
	fresh      resources   // of a process that served nothing
	idle       []resources // of each process at the end, without requests

	lastArrival map[string]time.Time // by request, at backends; by judge
	startedAt   time.Time
	flights     []processharness.Flight // attempts of the customers with a limit of attempts in flight
	maxInFlight int                     // that limit
}

// judge returns what broke a rule, a line each.
func (o *observations) judge() (breaches []string) {
	breach := func(format string, args ...any) { breaches = append(breaches, fmt.Sprintf(format, args...)) }
	o.lastArrival = map[string]time.Time{}
	for _, a := range o.arrivals {
		if a.At.After(o.lastArrival[a.CallID]) {
			o.lastArrival[a.CallID] = a.At
		}
	}
	for _, r := range o.results {
		if fault := o.faultOf(r); fault != "" {
			breach("request %s of class %s at limiter %d: %s", r.ID, r.Class, r.Limiter, fault)
		}
	}
	if o.keysTwice > 0 {
		breach("%d idempotency keys had their effect twice", o.keysTwice)
	}
	for _, out := range o.outages {
		if fault := out.fault(); fault != "" {
			breach("limiter %d: %s", out.limiter, fault)
		}
	}
	for _, a := range o.arrivals {
		if o.isUnlisted(a) {
			breach("request %s reached backend %d, which is not listed", a.CallID, a.Backend)
		}
	}
	breaches = append(breaches, o.judgeFlights()...)
	for number, r := range o.idle {
		if r.descriptors > o.fresh.descriptors+maxExtraDescriptors {
			breach("limiter %d: %d descriptors without requests, %d when fresh", number, r.descriptors, o.fresh.descriptors)
		}
		if r.memoryKB > o.fresh.memoryKB+maxExtraMemoryKB {
			breach("limiter %d: %d KB without requests, %d KB when fresh", number, r.memoryKB, o.fresh.memoryKB)
		}
	}
	return breaches
}

// faultOf returns what is wrong with what became of a request, "" for nothing.
func (o *observations) faultOf(r processharness.Result) string {
	crashed := o.duringCrash(r)
	deadline := processharness.BudgetOf(r.Request) + deadlineSlack
	switch {
	case r.Class == processharness.ClassNonIdempotent && o.attempts[r.ID] > 1 && !crashed:
		return fmt.Sprintf("may not be repeated, and reached backends %d times", o.attempts[r.ID])
	case !r.Left.IsZero(): // it was owed a response no more
		if after := o.lastArrival[r.ID].Sub(r.Left); after > leaveSlack {
			return fmt.Sprintf("reached a backend %v after its client had left", after)
		}
	case r.Status == 0:
		return o.faultOfUnanswered(r)
	case r.Took > deadline && !crashed:
		return fmt.Sprintf("answered after %v, due in %v", r.Took, deadline)
	case r.Status == http.StatusOK && r.Body != fmt.Sprintf("%s %d", r.ID, r.Request.Body):
		return fmt.Sprintf("served with %q", r.Body)
	}
	return ""
}

// faultOfUnanswered returns why a request should have been answered, "" if it need not. While a limiter shuts
// down, a request on a connection that is just closed was not read, and none after unreadAfter has to be
// answered before SIGKILL.
func (o *observations) faultOfUnanswered(r processharness.Result) string {
	if o.duringCrash(r) {
		return ""
	}
	for _, out := range o.outages {
		if out.hot || out.limiter != r.Limiter || r.At.Add(r.Took).Before(out.from) || r.At.After(out.to) {
			continue
		}
		isRefused := strings.HasPrefix(r.Fault, "connect:")
		isUnread := o.attempts[r.ID] == 0 && r.Took < longestDeadline
		isLate := out.killed && r.At.After(out.from.Add(unreadAfter))
		if isRefused || isUnread || isLate {
			return ""
		}
		return fmt.Sprintf("no response during the shutdown after %v: %s; it reached backends %d times", r.Took, r.Fault, o.attempts[r.ID])
	}
	return fmt.Sprintf("no response after %v: %s; it reached backends %d times", r.Took, r.Fault, o.attempts[r.ID])
}

// duringCrash reports whether the limiter of a request crashed meanwhile.
func (o *observations) duringCrash(r processharness.Result) bool {
	for _, out := range o.outages {
		sentBefore := r.At.Before(out.to.Add(excuseMargin))
		endedAfter := r.At.Add(r.Took).After(out.from.Add(-excuseMargin))
		if out.crash && out.limiter == r.Limiter && sentBefore && endedAfter {
			return true
		}
	}
	return false
}

// fault returns what is wrong with a shutdown or start, "" for nothing.
func (out *outage) fault() string {
	switch {
	case out.failure != "":
		return out.failure + out.logText()
	case out.killed:
		return fmt.Sprintf("still there %v after SIGTERM, suspended for %v of it, when SIGKILL came%s",
			out.took, out.heldUp, out.logText())
	case !out.crash && out.exit != nil:
		return fmt.Sprintf("ended %v after SIGTERM with %v%s", out.took, out.exit, out.logText())
	case out.readyIn > readyWithin:
		return fmt.Sprintf("ready %v after its start", out.readyIn)
	}
	return ""
}

// logText returns the last lines of the process's log, each on a line of its own.
func (out *outage) logText() string {
	text := ""
	for _, line := range out.log {
		text += "\n    " + line
	}
	return text
}

// isUnlisted reports whether a request arrived at a backend that every limiter knows to be gone.
func (o *observations) isUnlisted(a processharness.Visit) bool {
	for _, u := range o.unlistings {
		if u.backend == a.Backend && a.At.After(u.from.Add(unlistedWithin)) && a.At.Before(u.to) {
			return true
		}
	}
	return false
}
