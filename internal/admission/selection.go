package admission

import (
	"math"
	"slices"
)

// This file decides at which backend an attempt is made: the one expected to respond soonest, of a few
// that are looked at. Each limiter looks at a small random choice out of its subset of the backends
// (endpoints.go): hundreds of limiters that share their observations would all send to the best one, and
// one that spread few requests over all backends would open a connection for nearly each.

const (
	// minChoices is how many backends are looked at, at least.
	minChoices = 3
	// choicesPerBackend is how often each usable backend is looked at when every limiter selects once. With
	// so many limiters that each would look at fewer than minChoices, it is more often.
	choicesPerBackend = 4.0
	// priorResponses is how many own responses of a backend weigh as much as the estimate by observations.
	priorResponses = 3.0
	// unmeasuredLatencyFactor is the latency per attempt, over the median, that is assumed of a backend
	// without recent own responses: a little better than it may be, so that it is tried.
	unmeasuredLatencyFactor = 0.8
	// failureCost is the extra cost of a backend that always fails, in multiples of its latency.
	failureCost = 4.0
	// ejectedCost and triedCost are added to a cost: a backend that was tried for the request already is
	// used only if there is no other, and an ejected one only if there is no tried one either.
	ejectedCost = 1e6
	triedCost   = 1e3
	// goodEnoughCost is the cost above which the search goes on beyond the first choices, meant for backends
	// with triedCost or ejectedCost.
	goodEnoughCost = 1e2
	// assumedOtherAttempts is how many attempts of other limiters the latency per attempt assumes at a
	// backend: without them a backend with one attempt would look worse than any busy one.
	assumedOtherAttempts = 2.0
	// latencyPerAttemptWeight is the least weight of one response in the latency per attempt.
	latencyPerAttemptWeight = 0.1
	// ownResponseObjectives is the time in longest objectives after which what own responses have shown of a
	// backend has faded to 1/e.
	ownResponseObjectives = 5.0
	// lateLatencies is the age, in mean latencies, from which on the oldest attempt raises a backend's cost.
	lateLatencies = 2.0
	// maxLimitersWithoutNoise is how many limiters choose by cost alone; with twice as many or more the noise
	// on costs is complete.
	maxLimitersWithoutNoise = 6
	// minMeanLatencySeconds and minLateSeconds keep from dividing by a mean latency of 0: that of responses in
	// no time by the clock, and that of a class without a response so far.
	minMeanLatencySeconds = 1e-6
	minLateSeconds        = 1e-3
)

// choice is the state of one search for a backend.
type choice struct {
	usable   int     // number of backends to choose from, see usableSubset
	capacity float64 // of the usable backends, in warm ones
	choices  int     // how many usable backends are looked at before the best is taken

	best    *backend
	cost    float64  // of best
	warm    bool     // an eligible backend that is not warming up was met
	warmest *backend // of the eligible backends that are warming up; nil for none
}

// selectBackend returns the backend for the next attempt of a request, nil if none may be used now.
func (ctl *Controller) selectBackend(r *request) *backend {
	c := choice{cost: math.Inf(1)}
	c.usable, c.capacity = ctl.usableSubset()
	c.choices = ctl.choices(c.usable)
	from := ctl.random.IntN(max(c.usable, 1))
	for i := range ctl.endpoints.listed {
		if i >= c.choices && c.warm && c.cost <= goodEnoughCost {
			break
		}
		b := ctl.endpoints.listed[i]
		if i < c.usable { // the usable ones in turn from a random one on, then the others in their order
			b = ctl.endpoints.listed[(from+i)%c.usable]
		}
		if ctl.eligible(r, b) && ctl.considerWarmUp(&c, b, i < c.choices) {
			ctl.consider(&c, r, b)
		}
	}
	if !c.warm && c.warmest != nil {
		return ctl.selectWarmingUp(c.warmest, c.usable, c.capacity)
	}
	return c.best
}

// choices is how many of the usable backends are looked at before the best of them is taken.
func (ctl *Controller) choices(usable int) int {
	ofTier := int(choicesPerBackend * float64(usable) / float64(ctl.settings.Limiters))
	return min(max(ofTier, minChoices), usable)
}

// eligible reports whether an attempt of a request may go to a backend at all.
func (ctl *Controller) eligible(r *request, b *backend) bool {
	return ctl.deduplicates(r, b) && b.rejectedUntil[ctl.rejectionKind(r)] <= ctl.now
}

// considerWarmUp notes whether an eligible backend is warming up, and reports whether it may be
// considered. One that is warming up may be only among the first choices, as often as slow start allows.
func (ctl *Controller) considerWarmUp(c *choice, b *backend, amongFirst bool) bool {
	fraction := ctl.warmUpFraction(b)
	if fraction == 1 {
		c.warm = true
		return true
	}
	if c.warmest == nil || ctl.warmUpFraction(c.warmest) < fraction {
		c.warmest = b
	}
	return amongFirst && ctl.admitsWarmingUp(b, c.choices, c.usable, c.capacity)
}

// consider makes a backend the best so far if it costs less.
func (ctl *Controller) consider(c *choice, r *request, b *backend) {
	cost := ctl.backendCost(b) * ctl.costNoise()
	switch {
	case ctl.recoveryDue(b) && len(b.inFlight) == 0 && r.class.Idempotency == Idempotent && r.attempts == 0:
		cost = 0 // one idempotent request at a time makes the recovery attempt
	case b.ejected():
		cost += ejectedCost
	case slices.Contains(r.attemptedBackends, b):
		cost += triedCost
	}
	if cost < c.cost {
		c.best, c.cost = b, cost
	}
}

// backendCost is the latency to expect of a backend, in mean latencies of the class: the latency per
// attempt times the attempts that would then be in flight there, raised where it warms up, is late or fails.
// The latency per attempt is that of own responses as far as they are many and fresh, else an estimate: the
// median of all backends times the observed load.
func (ctl *Controller) backendCost(b *backend) float64 {
	ownWeight := ctl.freshness(b)
	ownWeight *= b.samples * ownWeight / (b.samples*ownWeight + priorResponses) // one response weighs little
	observedWeight := ctl.gossipFreshness(b)
	unmeasured := unmeasuredLatencyFactor * ctl.endpoints.medianLatencyPerAttempt * (1 + observedWeight*(b.relativeLoad-1))
	cost := (unmeasured*(1-ownWeight) + b.latencyPerAttempt*ownWeight) * float64(len(b.inFlight)+1)
	cost /= observedWeight + (1-observedWeight)*ctl.warmUpFraction(b) // an observed load includes that it warms up
	cost *= ctl.oldestAttemptFactor(b)
	return cost * (1 + failureCost*b.failureRate*max(ownWeight, observedWeight))
}

// oldestAttemptFactor raises the cost of a backend whose oldest attempt is late: its age bounds the
// latency from below, as the backend may take requests and never answer.
func (ctl *Controller) oldestAttemptFactor(b *backend) float64 {
	if len(b.inFlight) == 0 {
		return 1
	}
	oldest := b.inFlight[0]
	late := lateLatencies * max(oldest.class.meanLatency, minLateSeconds)
	return max((ctl.now-oldest.sentAt).Seconds()/late, 1)
}

// costNoise is a random factor on costs: 1 with up to maxLimitersWithoutNoise limiters, and exponentially
// distributed with twice as many or more. A backend is then chosen with a probability in proportion to one
// over its cost: limiters that share their observations, a little late, would otherwise all choose the same
// one and then all another.
func (ctl *Controller) costNoise() float64 {
	exponent := min(max(float64(ctl.settings.Limiters)/maxLimitersWithoutNoise-1, 0), 1) // 0 for no noise, 1 for all of it
	return math.Pow(ctl.random.ExpFloat64(), exponent)
}

// freshness is the weight, 0 to 1, that the own responses of a backend have kept since the last of them.
func (ctl *Controller) freshness(b *backend) float64 {
	age := (ctl.now - b.lastResponseAt).Seconds()
	return math.Exp(-age / (ownResponseObjectives * ctl.control.memorySeconds))
}

// recordLatencyPerAttempt adds the latency of a response, in seconds, to the running latency per attempt of
// its backend. The longer the backend was not used, the more the new response weighs.
func (ctl *Controller) recordLatencyPerAttempt(b *backend, r *request, latency float64) {
	relative := (1 + assumedOtherAttempts) * latency / max(r.class.meanLatency, minMeanLatencySeconds)
	perAttempt := relative / (float64(r.inFlightAtSend) + assumedOtherAttempts)
	b.samples = b.samples*ctl.freshness(b) + 1
	weight := max(latencyPerAttemptWeight, 1/b.samples)
	bound := spikeFactor * spikeFactor * b.latencyPerAttempt
	b.latencyPerAttempt += weight * (min(perAttempt, bound) - b.latencyPerAttempt)
	b.lastResponseAt = ctl.now
}

// measureMedianLatency is the median latency per attempt of the listed backends, 1 if there are none.
func (ctl *Controller) measureMedianLatency() float64 {
	listed := ctl.endpoints.listed
	if len(listed) == 0 {
		return 1
	}
	latencies := make([]float64, 0, len(listed))
	for _, b := range listed {
		latencies = append(latencies, b.latencyPerAttempt)
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}
