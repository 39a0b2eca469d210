package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"lemongate/internal/processharness"
)

const (
	// responseWindow is a time after SIGTERM: a request sent within it needs a response before SIGKILL, a later one not.
	responseWindow = 700 * time.Millisecond
	// longestDeadline is the longest deadline of the request classes of the process harness.
	longestDeadline = 3 * time.Second
	// killAfter is the time from SIGTERM to SIGKILL for a process that has not ended.
	killAfter = longestDeadline + responseWindow
	// deadlineSlack is how long after the budget of its request a response may still arrive.
	deadlineSlack = 500 * time.Millisecond
	// disconnectSlack is how long after the client disconnected its request may still reach a backend.
	disconnectSlack = 100 * time.Millisecond
	// readyWithin is how long a process of a limiter may take from its start until it accepts clients.
	readyWithin = 10 * time.Second
	// listPropagationTime is the time after a change of the endpoint list by which every limiter must apply it.
	listPropagationTime = 6 * time.Second
	// excuseMargin is the time before and after a crash in which the limiter's clients may miss a response.
	excuseMargin = 200 * time.Millisecond
	// maxExtraDescriptors is how many more descriptors an idle process may have than a fresh one: idle connections to
	// backends, at most 1/64 of the socket limit for each backend, and 8 more.
	maxExtraDescriptors = backends*socketLimit/64 + 8
	// maxExtraMemoryKB is how many more KB of memory an idle process may have than a fresh one.
	maxExtraMemoryKB = 24 << 10
)

// An outage is a time in which a limiter is down or shuts down, or in which one of its two processes ends.
type outage struct {
	limiter      int
	from, to     time.Time     // from the signal until a process accepts clients or, in a hot restart, the predecessor ends
	isCrash      bool          // SIGKILL without SIGTERM before
	isHotRestart bool          // a hot restart: another process of the limiter keeps serving
	failure      string        // how a hot restart failed, "" if it did not
	took         time.Duration // from SIGTERM to the end of the process
	exitErr      error         // error with which the process ended after SIGTERM
	killed       bool          // by SIGKILL after SIGTERM
	suspended    time.Duration // suspended between SIGTERM and the end of the process
	log          []string      // last log lines, if a process did not exit as it should
	readyIn      time.Duration // time until a process accepts clients, from its start or the kill of its successor
}

// An unlisting is a time in which a backend is not in the endpoint list.
type unlisting struct {
	backend  int
	from, to time.Time
}

// resources are what a process uses.
type resources struct{ descriptors, memoryKB, peakMemoryKB int }

// observations are what clients, backends and the operating system showed during a run.
type observations struct {
	results      []processharness.Result
	attempts     map[string]int                  // by request: how often it arrived at backends
	arrivals     []processharness.BackendAttempt // at backends
	repeatedKeys int                             // how often an idempotency key took effect again
	outages      []outage
	unlistings   []unlisting
	fresh        resources   // of a process before the first request
	idle         []resources // of each process at the end of the run, without requests

	lastArrival map[string]time.Time // by request, at backends; set by check
	startedAt   time.Time
	spans       []processharness.AttemptSpan // attempts of the customers with a limit of attempts in flight
	maxInFlight int                          // this limit
	memoryMB    int                          // memory limit of each process
}

// check returns a line for each breach of a rule.
func (o *observations) check() (breaches []string) {
	breach := func(format string, args ...any) { breaches = append(breaches, fmt.Sprintf(format, args...)) }
	o.lastArrival = map[string]time.Time{}
	for _, a := range o.arrivals {
		if a.ArrivedAt.After(o.lastArrival[a.CallID]) {
			o.lastArrival[a.CallID] = a.ArrivedAt
		}
	}
	for _, r := range o.results {
		if breachText := o.checkResult(r); breachText != "" {
			breach("request %s of class %s at limiter %d: %s", r.ID, r.Class, r.Limiter, breachText)
		}
	}
	if o.repeatedKeys > 0 {
		breach("%d idempotency keys took effect twice", o.repeatedKeys)
	}
	for _, out := range o.outages {
		if breachText := out.check(); breachText != "" {
			breach("limiter %d: %s", out.limiter, breachText)
		}
	}
	for _, a := range o.arrivals {
		if o.isUnlisted(a) {
			breach("request %s reached backend %d, which is not listed", a.CallID, a.Backend)
		}
	}
	breaches = append(breaches, o.checkAttemptsInFlight()...)
	for number, r := range o.idle {
		if r.descriptors > o.fresh.descriptors+maxExtraDescriptors {
			breach("limiter %d: %d open descriptors when idle, %d in a fresh process", number, r.descriptors, o.fresh.descriptors)
		}
		if r.memoryKB > o.fresh.memoryKB+maxExtraMemoryKB {
			breach("limiter %d: %d KB of memory when idle, %d KB in a fresh process", number, r.memoryKB, o.fresh.memoryKB)
		}
		if r.peakMemoryKB > o.memoryMB<<10 {
			breach("limiter %d: up to %d KB of memory, %d MB allowed", number, r.peakMemoryKB, o.memoryMB)
		}
	}
	return breaches
}

// checkResult returns how the result of a request breaks a rule, "" if it breaks none.
func (o *observations) checkResult(r processharness.Result) string {
	crashed := o.duringCrash(r)
	deadline := processharness.BudgetOf(r.Request) + deadlineSlack
	switch {
	case r.Class == processharness.ClassNonIdempotent && o.attempts[r.ID] > 1 && !crashed:
		return fmt.Sprintf("must not be repeated, but reached backends %d times", o.attempts[r.ID])
	case !r.DisconnectedAt.IsZero(): // a client that disconnected needs no response
		if after := o.lastArrival[r.ID].Sub(r.DisconnectedAt); after > disconnectSlack {
			return fmt.Sprintf("reached a backend %v after its client disconnected", after)
		}
	case r.Status == 0:
		return o.checkMissingResponse(r)
	case r.Took > deadline && !crashed:
		return fmt.Sprintf("response after %v, due within %v", r.Took, deadline)
	case r.Status == http.StatusOK && r.Body != fmt.Sprintf("%s %d", r.ID, r.Request.Body):
		return fmt.Sprintf("response with the unexpected body %q", r.Body)
	}
	return ""
}

// checkMissingResponse returns why a request needs a response, "" if its response may be missing. While a limiter
// shuts down, it may refuse a connection and leave a request unread on a connection that it is closing. A request sent
// more than responseWindow after SIGTERM needs no response before SIGKILL.
func (o *observations) checkMissingResponse(r processharness.Result) string {
	if o.duringCrash(r) {
		return ""
	}
	for _, out := range o.outages {
		if out.isHotRestart || out.limiter != r.Limiter || r.SentAt.Add(r.Took).Before(out.from) || r.SentAt.After(out.to) {
			continue
		}
		isRefused := strings.HasPrefix(r.ConnError, "connect:")
		isUnread := o.attempts[r.ID] == 0 && r.Took < longestDeadline
		isSentLate := out.killed && r.SentAt.After(out.from.Add(responseWindow))
		if isRefused || isUnread || isSentLate {
			return ""
		}
		return fmt.Sprintf("no response during the shutdown after %v: %s; it reached backends %d times", r.Took, r.ConnError, o.attempts[r.ID])
	}
	return fmt.Sprintf("no response after %v: %s; it reached backends %d times", r.Took, r.ConnError, o.attempts[r.ID])
}

// duringCrash reports whether the limiter of a request crashed while the request was in flight, or within
// excuseMargin of that.
func (o *observations) duringCrash(r processharness.Result) bool {
	for _, out := range o.outages {
		sentBefore := r.SentAt.Before(out.to.Add(excuseMargin))
		endedAfter := r.SentAt.Add(r.Took).After(out.from.Add(-excuseMargin))
		if out.isCrash && out.limiter == r.Limiter && sentBefore && endedAfter {
			return true
		}
	}
	return false
}

// check returns how a shutdown or a start breaks a rule, "" if it breaks none.
func (out *outage) check() string {
	switch {
	case out.failure != "":
		return out.failure + out.logText()
	case out.killed:
		return fmt.Sprintf("still running %v after SIGTERM, suspended for %v of that, when SIGKILL was sent%s",
			out.took, out.suspended, out.logText())
	case !out.isCrash && out.exitErr != nil:
		return fmt.Sprintf("exited %v after SIGTERM with %v%s", out.took, out.exitErr, out.logText())
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

// isUnlisted reports whether an attempt arrived at a backend that every limiter must know to be unlisted.
func (o *observations) isUnlisted(a processharness.BackendAttempt) bool {
	for _, u := range o.unlistings {
		if u.backend == a.Backend && a.ArrivedAt.After(u.from.Add(listPropagationTime)) && a.ArrivedAt.Before(u.to) {
			return true
		}
	}
	return false
}
