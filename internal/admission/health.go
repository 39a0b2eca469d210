package admission

import (
	"slices"
	"time"
)

// This file keeps what is known of each backend, detects outliers by their failure rate, and ejects
// them: an ejected backend gets recovery attempts (recovery.go), and others only if there is no other
// backend for a request.

const (
	// failureWeight is the weight of one result in a failure rate.
	failureWeight = 0.2
	// ejectFailureRate is the failure rate above which a backend is ejected: from 0, by three failures in a row.
	ejectFailureRate = 0.4
	// minUsableFraction is the fraction of the listed backends that ejections by failure rate leave in use.
	// Unreachable backends, and those that another limiter found to be, are ejected in any case.
	minUsableFraction = 0.5
	// rejectionLatencyFactor: after a rejection a kind of request avoids the backend for a mean latency of its
	// class plus this many times the latency of the rejection.
	rejectionLatencyFactor = 4
)

// backend is a backend of the endpoint list, or one that was removed and may come back.
type backend struct {
	Backend
	unavailable bool          // draining or removed
	removedAt   time.Duration // clock time; 0 while it is listed
	inFlight    []*request    // with an attempt in flight, oldest first

	// Own responses, see selection.go.
	latencyPerAttempt float64       // latency per attempt in flight, in mean latencies of the class; 1 is typical
	samples           float64       // responses that latencyPerAttempt comes from, fading with time
	lastResponseAt    time.Duration // clock time

	// Health.
	failureRate          float64       // 0 to 1, by own results and observations of other limiters
	nextRecoveryAt       time.Duration // clock time from which on a recovery attempt may be made; 0 if not ejected
	consecutiveEjections int
	rejectedUntil        map[int]time.Duration // by kind of request, see rejectionKind

	// Observations of it, see gossip.go.
	gossipKey            uint32        // identifies it in messages
	relativeLoad         float64       // over that of the other backends
	observedAt           time.Duration // clock time of the newest observation, own or received
	gossipRepeats        int           // messages that are still to carry the observation
	announcedFailureRate float64       // failure rate when it was last announced as urgent

	initialReportSeen bool // its first report has counted, see inferStartState
}

// recordResult records the result of an attempt for its backend and its class.
func (ctl *Controller) recordResult(b *backend, r *request, ev *AttemptFinished) {
	ctl.recordMeasuredAttempt(r, ev)
	switch ev.Result {
	case Succeeded:
		ctl.recordSuccess(b, r, ev)
	case Rejected: // it may accept others: only this kind of request avoids it
		until := ctl.now + seconds(r.class.meanLatency) + rejectionLatencyFactor*ev.Latency
		b.avoidKind(ctl.rejectionKind(r), until)
	case Unreachable: // no need to wait for a second failure
		b.failureRate = 1
		ctl.announce(b, ctl.now)
		ctl.eject(b)
	case NotSent:
	case Canceled:
		if !r.ended { // not by the client
			ctl.recordFailure(b)
		}
	case TimedOut:
		if b.silentSince(r) { // otherwise the request took long, not the backend
			ctl.recordFailure(b)
		}
	default:
		ctl.recordFailure(b)
	}
}

// recordMeasuredAttempt measures an attempt against its backend target: one that succeeded, timed out
// or was canceled. One that recordLateAttempts has measured already counts again only while its class
// exceeds the target.
func (ctl *Controller) recordMeasuredAttempt(r *request, ev *AttemptFinished) {
	if r.ageRecorded && !r.class.exceedsTarget() {
		return
	}
	switch ev.Result {
	case Succeeded, TimedOut, Canceled:
		r.class.recordAttemptLatency(ev.Latency.Seconds())
	}
}

// recordSuccess records a response. If no load is reported, its latency counts as the load.
func (ctl *Controller) recordSuccess(b *backend, r *request, ev *AttemptFinished) {
	latency := ev.Latency.Seconds()
	r.class.recordLatency(latency)
	ctl.recordLatencyPerAttempt(b, r, latency)
	b.failureRate -= failureWeight * b.failureRate
	reportMissing := ev.Report == nil && ctl.now-b.observedAt > ctl.classes.longestObjective
	if len(ctl.settings.LoadReportFields) == 0 || reportMissing {
		relative := latency / max(r.class.meanLatency, minMeanLatencySeconds)
		b.relativeLoad = clampLoad(b.relativeLoad + latencyLoadWeight*(relative-b.relativeLoad))
	}
	ctl.announce(b, ctl.now)
	b.recoverIfHealthy()
}

// recordFailure records a failure, and ejects a backend that fails too often if enough others are usable.
// A failure after nextRecoveryAt, as of a recovery attempt, ejects it again, for longer.
func (ctl *Controller) recordFailure(b *backend) {
	b.failureRate += failureWeight * (1 - b.failureRate)
	ctl.announce(b, ctl.now)
	usable, _ := ctl.countUsable()
	spare := float64(usable-1) >= minUsableFraction*float64(len(ctl.endpoints.listed))
	outlier := !b.ejected() && b.failureRate > ejectFailureRate && spare
	recoveryFailed := b.ejected() && b.nextRecoveryAt <= ctl.now
	if outlier || recoveryFailed {
		ctl.eject(b)
	}
}

// ejected reports whether a backend was taken out of use and has not recovered.
func (b *backend) ejected() bool { return b.nextRecoveryAt > 0 }

// countUsable counts the listed backends that are not ejected, and their attempts in
// flight.
func (ctl *Controller) countUsable() (backends, inFlight int) {
	for _, b := range ctl.endpoints.listed {
		if !b.ejected() {
			backends++
			inFlight += len(b.inFlight)
		}
	}
	return backends, inFlight
}

// AvoidsBackend reports whether requests avoid a backend: it is not known, draining, removed or ejected.
func (ctl *Controller) AvoidsBackend(id string) bool {
	b := ctl.endpoints.byID[id]
	return b == nil || b.unavailable || b.ejected()
}

// rejectionKind numbers what a backend may reject apart from the rest: a class of a plan.
func (ctl *Controller) rejectionKind(r *request) int {
	return r.customer.planIndex*len(ctl.classes.all) + slices.Index(ctl.classes.all, r.class)
}

// avoidKind keeps one kind of request away from a backend for a while.
func (b *backend) avoidKind(kind int, until time.Duration) {
	if b.rejectedUntil == nil {
		b.rejectedUntil = map[int]time.Duration{}
	}
	b.rejectedUntil[kind] = until
}
