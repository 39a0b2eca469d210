package admission

import (
	"slices"
	"time"
)

// This file tracks the health of each backend, detects outliers by their failure rate, and ejects them. An ejected
// backend gets recovery attempts (recovery.go); it gets other attempts only if no other backend is available for a
// request.

const (
	// failureWeight is the weight of one result in a failure rate.
	failureWeight = 0.2
	// ejectFailureRate is the failure rate above which a backend is ejected; starting from 0, three consecutive
	// failures exceed it.
	ejectFailureRate = 0.4
	// minUsableFraction is the fraction of the listed backends that must remain in use when a backend is ejected
	// by its failure rate. Backends that this or another limiter found unreachable are ejected in any case.
	minUsableFraction = 0.5
	// rejectionLatencyFactor: after a rejection, a kind of request (see rejectionKind) avoids the backend for the mean
	// latency of its class plus this many times the latency of the rejection.
	rejectionLatencyFactor = 4
)

// backend is a backend in the endpoint list, or a removed one that may come back.
type backend struct {
	Backend
	unavailable bool          // draining or removed
	removedAt   time.Duration // clock time; 0 while it is listed
	inFlight    []*request    // requests with an attempt in flight here, oldest first

	// Responses to this limiter, see selection.go.
	latencyPerAttempt float64       // latency per attempt in flight, in mean latencies of the class; 1 is typical
	samples           float64       // number of responses in latencyPerAttempt, decaying with time
	lastResponseAt    time.Duration // clock time

	// Health.
	failureRate          float64       // 0 to 1, from own results and observations of other limiters
	nextRecoveryAt       time.Duration // clock time from which a recovery attempt may be made; 0 if not ejected
	consecutiveEjections int
	rejectedUntil        map[int]time.Duration // by kind of request, see rejectionKind

	// Observations, see gossip.go.
	gossipKey            uint32        // identifies the backend in messages
	relativeLoad         float64       // load divided by the mean load of the backends
	observedAt           time.Duration // clock time of the newest observation, own or received
	gossipRepeats        int           // number of messages that still have to carry the observation
	announcedFailureRate float64       // failure rate when it was last announced as urgent

	initialReportSeen bool // its first load report has been evaluated, see inferStartState
}

// recordResult records the result of an attempt for its backend and its class.
func (ctl *Controller) recordResult(b *backend, r *request, ev *AttemptFinished) {
	ctl.recordMeasuredAttempt(r, ev)
	switch ev.Result {
	case Succeeded:
		ctl.recordSuccess(b, r, ev)
	case Rejected: // the backend may accept other requests: only this kind of request avoids it
		until := ctl.now + seconds(r.class.meanLatency) + rejectionLatencyFactor*ev.Latency
		b.avoidKind(ctl.rejectionKind(r), until)
	case Unreachable: // eject without waiting for another failure
		b.failureRate = 1
		ctl.announce(b, ctl.now)
		ctl.eject(b)
	case NotSent:
	case Canceled:
		if !r.ended { // not canceled on behalf of the client
			ctl.recordFailure(b)
		}
	case TimedOut:
		if b.silentSince(r) { // otherwise the request was slow, not the backend
			ctl.recordFailure(b)
		}
	default:
		ctl.recordFailure(b)
	}
}

// recordMeasuredAttempt records the latency of an attempt that succeeded, timed out or was canceled, for comparison with
// the backend target. An attempt that recordLateAttempts has already measured counts again only while its class
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

// recordSuccess records a response. If no load was reported, the latency is used as the load.
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
// A failure after nextRecoveryAt, such as that of a recovery attempt, ejects the backend again, for longer.
func (ctl *Controller) recordFailure(b *backend) {
	b.failureRate += failureWeight * (1 - b.failureRate)
	ctl.announce(b, ctl.now)
	usable, _ := ctl.countUsable()
	enoughUsable := float64(usable-1) >= minUsableFraction*float64(len(ctl.endpoints.listed))
	outlier := !b.ejected() && b.failureRate > ejectFailureRate && enoughUsable
	recoveryFailed := b.ejected() && b.nextRecoveryAt <= ctl.now
	if outlier || recoveryFailed {
		ctl.eject(b)
	}
}

// ejected reports whether a backend was ejected and has not recovered.
func (b *backend) ejected() bool { return b.nextRecoveryAt > 0 }

// countUsable returns the number of listed backends that are not ejected, and the number of their attempts in flight.
func (ctl *Controller) countUsable() (backends, inFlight int) {
	for _, b := range ctl.endpoints.listed {
		if !b.ejected() {
			backends++
			inFlight += len(b.inFlight)
		}
	}
	return backends, inFlight
}

// AvoidsBackend reports whether requests avoid a backend because it is unknown, draining, removed or ejected.
func (ctl *Controller) AvoidsBackend(id string) bool {
	b := ctl.endpoints.byID[id]
	return b == nil || b.unavailable || b.ejected()
}

// rejectionKind returns the index of the combination of plan and class of a request. A backend that rejects requests of
// one combination may accept those of others.
func (ctl *Controller) rejectionKind(r *request) int {
	return r.customer.planIndex*len(ctl.classes.all) + slices.Index(ctl.classes.all, r.class)
}

// avoidKind makes requests of one kind avoid a backend until the given time of the Controller's clock.
func (b *backend) avoidKind(kind int, until time.Duration) {
	if b.rejectedUntil == nil {
		b.rejectedUntil = map[int]time.Duration{}
	}
	b.rejectedUntil[kind] = until
}
