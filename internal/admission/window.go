package admission

import "lemongate/internal/rate"

// This file defines the concurrency window, which limits the number of attempts in flight. Its usual size follows from
// the quotas served here, by Little's law; the control loop scales it by the ratio of backend targets to latencies.

const (
	// windowStartPerBackend is the usual window, in attempts of all limiters together per listed backend,
	// while few customers are known.
	windowStartPerBackend = 5.0
	// windowSlack is added to the usual window, in attempts: at low request rates some requests coincide by
	// chance.
	windowSlack = 2.0
	// windowFloorPerBackend is the minimum window, in attempts of all limiters together per listed backend.
	windowFloorPerBackend = 2.0
	// windowMinScale and windowMaxScale bound the scale of the usual window.
	windowMinScale = 0.1
	windowMaxScale = 4.0
	// windowMinFactor and windowMaxFactor bound the change of the scale in one control period.
	windowMinFactor = 0.4
	windowMaxFactor = 1.4
	// windowMinSamples is the number of attempts of a class that must be measured in a control period for their
	// latency to limit the scale: the latency of fewer attempts varies too much.
	windowMinSamples = 10
	// pressureWeight is the weight of the previous pressure, in measured attempts.
	pressureWeight = 3.0
	// quotaRateObjectives is the time in longest objectives after which the quota of a customer without
	// requests no longer counts.
	quotaRateObjectives = 5.0
	// minAttemptSeconds prevents division by a mean objective of 0, which occurs without request classes.
	minAttemptSeconds = 1e-3
	// minTargetSeconds prevents division by a sum of targets of 0, which occurs without measured attempts.
	minTargetSeconds = 1e-9
)

// concurrencyWindow limits the number of attempts in flight.
type concurrencyWindow struct {
	scale     float64 // factor on the usual size
	quotaRate float64 // requests per second that the quotas served here allow
	wasFull   bool    // at some time in the current control period

	// fraction is the part of an attempt that a window smaller than one attempt has accumulated.
	fraction rate.Allowance
	// attemptRate is the rate at which attempts are started.
	attemptRate rate.Decaying
	// pressure is the upstream pressure: the ratio of attempt latencies to their backend targets, as a running
	// mean of what is measured here and received from other limiters.
	pressure float64
}

func newConcurrencyWindow() concurrencyWindow {
	return concurrencyWindow{scale: 1, pressure: 1, fraction: rate.Allowance{Amount: 1}}
}

// windowSize returns the number of attempts that may be in flight.
func (ctl *Controller) windowSize() float64 {
	backendsPerLimiter := float64(len(ctl.endpoints.listed)) / float64(ctl.settings.Limiters)
	byQuotas := ctl.window.quotaRate * backendTargetFraction * ctl.classes.meanObjective
	usual := max(byQuotas, windowStartPerBackend*backendsPerLimiter) + windowSlack
	return max(usual*ctl.window.scale, windowFloorPerBackend*backendsPerLimiter)
}

// windowFull reports whether no attempt may be started now. Attempts at ejected backends do not count, as they may never
// end. A window smaller than one attempt accumulates until one attempt may start while none is in flight; otherwise no
// attempt would ever start. For that, windowFull refills the accumulated fraction and schedules a tick for when it
// suffices.
func (ctl *Controller) windowFull() bool {
	_, inFlight := ctl.countUsable()
	size := ctl.windowSize()
	if size >= 1 {
		ctl.window.fraction = rate.Allowance{Amount: 1, UpdatedAt: ctl.now}
		return float64(inFlight) >= size
	}
	perSecond := size / (backendTargetFraction * ctl.classes.meanObjective)
	if ctl.window.fraction.Refill(ctl.now, perSecond, 1) < 1 {
		missing := seconds((1 - ctl.window.fraction.Amount) / perSecond)
		ctl.scheduleTick(ctl.now + missing + ctl.settings.ClockResolution)
	}
	return ctl.window.fraction.Amount < 1 || inFlight > 0
}

// scaleWindow changes the scale of the window by headroom, the ratio of backend targets to latencies. If it is below 1,
// attempts take too long and the window shrinks, provided that attempts were measured; otherwise the window grows,
// provided that it was full.
func (ctl *Controller) scaleWindow(headroom float64, measured bool) {
	shrinks := headroom < 1 && measured
	grows := headroom >= 1 && ctl.window.wasFull
	if shrinks || grows {
		factor := min(max(headroom, windowMinFactor), windowMaxFactor)
		ctl.window.scale = min(max(ctl.window.scale*factor, windowMinScale), windowMaxScale)
	}
	ctl.window.wasFull = false
}

// measureQuotaRate sums up the requests per second that this limiter's part of the customers' quotas allows.
func (ctl *Controller) measureQuotaRate() {
	ctl.window.quotaRate = 0
	memory := seconds(quotaRateObjectives * ctl.classes.longestObjective.Seconds())
	for _, c := range ctl.customers.order {
		if c.setSize == 0 || ctl.now-c.lastSeen > memory {
			continue
		}
		ctl.window.quotaRate += ctl.requestRate(c) / float64(c.setSize)
	}
}

// requestRate returns the requests per second that a customer's quota allows at all limiters together: by its rate, or
// by its slots and the time that an attempt should take.
func (ctl *Controller) requestRate(c *customer) float64 {
	if c.plan.Rate > 0 {
		return c.plan.Rate / max(c.meanUnits, 1)
	}
	return float64(c.plan.MaxConcurrent) / max(ctl.classes.meanObjective*backendTargetFraction, minAttemptSeconds)
}

// measurePressure adds the attempts of a control period to the running mean of the pressure: the sum of their
// latencies divided by the sum of their targets, both in seconds. Their weight increases with their number.
func (w *concurrencyWindow) measurePressure(attempts, latencySum, targetSum float64) {
	weight := attempts / (attempts + pressureWeight)
	w.pressure += weight * (latencySum/max(targetSum, minTargetSeconds) - w.pressure)
}

// recordLateAttempts measures attempts that have been in flight for longer than their backend target: while overloaded
// backends do not respond, no other latency is measured. Each attempt counts in every control period while its class
// exceeds the target. Otherwise it counts once, as its response may be lost, for which the window must not shrink.
func (ctl *Controller) recordLateAttempts() {
	for _, b := range ctl.endpoints.listed {
		if b.ejected() {
			continue
		}
		for _, r := range b.inFlight {
			age := (ctl.now - r.sentAt).Seconds()
			if age > r.class.backendTarget() && (!r.ageRecorded || r.class.exceedsTarget()) {
				r.ageRecorded = true
				r.class.recordAttemptLatency(age)
			}
		}
	}
}
