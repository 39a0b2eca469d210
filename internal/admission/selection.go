package admission

import (
	"math"
	"slices"
)

// This file selects the backend of an attempt: the one with the lowest expected latency among a few candidates. Each
// limiter considers a small random sample of its subset of the backends (endpoints.go). If hundreds of limiters that
// share their observations all chose the best backend, they would overload it; and a limiter that spread few requests
// over all backends would open a connection for nearly each request.

const (
	// minChoices is the minimum number of backends that are considered.
	minChoices = 3
	// choicesPerBackend is the number of times that each usable backend is considered when every limiter selects
	// once. It is higher with so many limiters that each would consider fewer than minChoices.
	choicesPerBackend = 4.0
	// priorResponses is the number of own responses of a backend that weigh as much as the estimate from
	// observations.
	priorResponses = 3.0
	// unmeasuredLatencyFactor is the latency per attempt, relative to the median, that is assumed for a backend
	// without recent own responses. It is slightly optimistic, so that such backends are tried.
	unmeasuredLatencyFactor = 0.8
	// failureCost is the additional cost of a backend that always fails, in multiples of its latency.
	failureCost = 4.0
	// ejectedCost and triedCost are added to a cost: a backend that was already tried for the request is
	// used only if there is no other, and an ejected backend only if there is no tried one either.
	ejectedCost = 1e6
	triedCost   = 1e3
	// goodEnoughCost is the cost above which the search continues beyond the first choices. Only triedCost and
	// ejectedCost are meant to exceed it.
	goodEnoughCost = 1e2
	// assumedOtherAttempts is the number of attempts of other limiters at a backend that the latency per attempt
	// assumes. Without them, a backend with one attempt would appear slower than any busy one.
	assumedOtherAttempts = 2.0
	// latencyPerAttemptWeight is the minimum weight of a single response in the latency per attempt.
	latencyPerAttemptWeight = 0.1
	// ownResponseObjectives is the time in longest objectives in which the weight of a backend's own responses
	// decays to 1/e.
	ownResponseObjectives = 5.0
	// lateLatencies is the age, in mean latencies, above which the oldest attempt raises a backend's cost.
	lateLatencies = 2.0
	// maxLimitersWithoutNoise is the number of limiters up to which the cost alone decides; with twice as many or
	// more, the noise on costs is fully applied.
	maxLimitersWithoutNoise = 6
	// minMeanLatencySeconds and minLateSeconds prevent division by a mean latency of 0: the former for responses
	// whose latency is below the clock resolution, the latter for a class without a response so far.
	minMeanLatencySeconds = 1e-6
	minLateSeconds        = 1e-3
)

// backendSearch is the state of one search for a backend.
type backendSearch struct {
	usable   int     // number of backends to choose from, see usableSubset
	capacity float64 // of the usable backends, in warm backends
	choices  int     // number of usable backends that are considered before the best is taken

	best    *backend
	cost    float64  // of best
	warm    bool     // an eligible backend that is not warming up was found
	warmest *backend // the one closest to full capacity of the eligible backends that are warming up; nil for none
}

// selectBackend returns the backend for the next attempt of a request, or nil if none may be used now.
func (ctl *Controller) selectBackend(r *request) *backend {
	search := backendSearch{cost: math.Inf(1)}
	search.usable, search.capacity = ctl.usableSubset()
	search.choices = ctl.choices(search.usable)
	from := ctl.random.IntN(max(search.usable, 1))
	for i := range ctl.endpoints.listed {
		if i >= search.choices && search.warm && search.cost <= goodEnoughCost {
			break
		}
		b := ctl.endpoints.listed[i]
		if i < search.usable { // the usable backends in rotation from a random start, then the others in list order
			b = ctl.endpoints.listed[(from+i)%search.usable]
		}
		if ctl.eligible(r, b) && ctl.considerWarmUp(&search, b, i < search.choices) {
			ctl.consider(&search, r, b)
		}
	}
	if !search.warm && search.warmest != nil {
		return ctl.selectWarmingUp(search.warmest, search.usable, search.capacity)
	}
	return search.best
}

// choices returns the number of usable backends that are considered before the best of them is taken.
func (ctl *Controller) choices(usable int) int {
	choicesPerLimiter := int(choicesPerBackend * float64(usable) / float64(ctl.settings.Limiters))
	return min(max(choicesPerLimiter, minChoices), usable)
}

// eligible reports whether an attempt of a request may go to a backend at all.
func (ctl *Controller) eligible(r *request, b *backend) bool {
	return ctl.deduplicates(r, b) && b.rejectedUntil[ctl.rejectionKind(r)] <= ctl.now
}

// considerWarmUp records whether an eligible backend is warming up, and reports whether it may be considered. A backend
// that is warming up is considered only among the first choices, and only as often as slow start allows.
func (ctl *Controller) considerWarmUp(search *backendSearch, b *backend, amongFirst bool) bool {
	fraction := ctl.warmUpFraction(b)
	if fraction == 1 {
		search.warm = true
		return true
	}
	if search.warmest == nil || ctl.warmUpFraction(search.warmest) < fraction {
		search.warmest = b
	}
	return amongFirst && ctl.admitsWarmingUp(b, search.choices, search.usable, search.capacity)
}

// consider makes a backend the best so far if its cost is lower.
func (ctl *Controller) consider(search *backendSearch, r *request, b *backend) {
	cost := ctl.backendCost(b) * ctl.costNoise()
	switch {
	case ctl.recoveryDue(b) && len(b.inFlight) == 0 && r.class.Idempotency == Idempotent && r.attempts == 0:
		cost = 0 // one idempotent request at a time makes the recovery attempt
	case b.ejected():
		cost += ejectedCost
	case slices.Contains(r.attemptedBackends, b):
		cost += triedCost
	}
	if cost < search.cost {
		search.best, search.cost = b, cost
	}
}

// backendCost returns the latency expected of a backend, in mean latencies of the class: the latency per attempt times
// the number of attempts that would then be in flight there, increased if the backend is warming up, late or failing.
// The latency per attempt is that of own responses to the extent that they are many and recent, otherwise an estimate:
// the median of all backends times the observed load.
func (ctl *Controller) backendCost(b *backend) float64 {
	ownWeight := ctl.freshness(b)
	ownWeight *= b.samples * ownWeight / (b.samples*ownWeight + priorResponses) // a single response weighs little
	observedWeight := ctl.gossipFreshness(b)
	unmeasured := unmeasuredLatencyFactor * ctl.endpoints.medianLatencyPerAttempt * (1 + observedWeight*(b.relativeLoad-1))
	cost := (unmeasured*(1-ownWeight) + b.latencyPerAttempt*ownWeight) * float64(len(b.inFlight)+1)
	cost /= observedWeight + (1-observedWeight)*ctl.warmUpFraction(b) // an observed load already reflects the warm-up
	cost *= ctl.oldestAttemptFactor(b)
	return cost * (1 + failureCost*b.failureRate*max(ownWeight, observedWeight))
}

// oldestAttemptFactor returns the factor on the cost of a backend whose oldest attempt is late: the age of the attempt
// is a lower bound of the latency, as the backend may accept requests and never respond.
func (ctl *Controller) oldestAttemptFactor(b *backend) float64 {
	if len(b.inFlight) == 0 {
		return 1
	}
	oldest := b.inFlight[0]
	lateSeconds := lateLatencies * max(oldest.class.meanLatency, minLateSeconds)
	return max((ctl.now-oldest.sentAt).Seconds()/lateSeconds, 1)
}

// costNoise returns a random factor for costs: 1 with at most maxLimitersWithoutNoise limiters, and exponentially
// distributed with twice as many or more. A backend is then chosen with a probability inversely proportional to its
// cost. Otherwise limiters that share their observations, with some delay, would all choose the same backend and then
// all switch to another one.
func (ctl *Controller) costNoise() float64 {
	exponent := min(max(float64(ctl.settings.Limiters)/maxLimitersWithoutNoise-1, 0), 1) // 0 for no noise, 1 for full noise
	return math.Pow(ctl.random.ExpFloat64(), exponent)
}

// freshness returns the weight, 0 to 1, of the own responses of a backend, which decays with the time since the last one.
func (ctl *Controller) freshness(b *backend) float64 {
	age := (ctl.now - b.lastResponseAt).Seconds()
	return math.Exp(-age / (ownResponseObjectives * ctl.control.memorySeconds))
}

// recordLatencyPerAttempt adds the latency of a response, in seconds, to the running latency per attempt of its backend.
// The new response weighs more the longer the backend was not used.
func (ctl *Controller) recordLatencyPerAttempt(b *backend, r *request, latency float64) {
	relative := (1 + assumedOtherAttempts) * latency / max(r.class.meanLatency, minMeanLatencySeconds)
	perAttempt := relative / (float64(r.inFlightAtSend) + assumedOtherAttempts)
	b.samples = b.samples*ctl.freshness(b) + 1
	weight := max(latencyPerAttemptWeight, 1/b.samples)
	bound := spikeFactor * spikeFactor * b.latencyPerAttempt
	b.latencyPerAttempt += weight * (min(perAttempt, bound) - b.latencyPerAttempt)
	b.lastResponseAt = ctl.now
}

// measureMedianLatency returns the median latency per attempt of the listed backends, or 1 if there are none.
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
