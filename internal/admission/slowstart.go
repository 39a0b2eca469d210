package admission

// This file limits the attempts at a backend that is warming up, in proportion to its current capacity, so that all
// limiters together, each deciding at random, do not send it more than it can serve.
//
// Capacities are in warm backends: the sum of warmUpFraction over the usable backends.

const (
	// fairShareFraction is the fraction of its fair share that a backend is sent while it is warming up.
	fairShareFraction = 0.9
	// minWarmFraction is the capacity, per usable backend, below which the backends are not sent the full rate of
	// attempts.
	minWarmFraction = 0.5
	// maxIdleFactor bounds the multiple of its fair share that a backend gets if it is warming up and observed to be
	// idle. It is well below what overloads the backend.
	maxIdleFactor = 2.5
	// minWarmUpFraction is the minimum fraction of its capacity that a backend is assumed to have.
	minWarmUpFraction = 0.01
)

// warmUpFraction returns the minimum fraction of its capacity that a backend has now, 1 if it is warm.
func (ctl *Controller) warmUpFraction(b *backend) float64 {
	age := ctl.now - b.StartedAt
	if b.StartedAt <= 0 || age >= ctl.settings.SlowStartDuration {
		return 1
	}
	initial := max(ctl.settings.SlowStartFraction, minWarmUpFraction)
	return initial + (1-initial)*max(age.Seconds(), 0)/ctl.settings.SlowStartDuration.Seconds()
}

// admitsWarmingUp decides at random whether a backend that is warming up is considered, when choices backends are
// considered out of usable backends with the given capacity. The probability corresponds to the backend's fraction of
// the share of a warm backend. As that fraction is a minimum, a backend that is observed to be idle gets more:
// otherwise the warm backends would be overloaded while others are idle.
func (ctl *Controller) admitsWarmingUp(b *backend, choices, usable int, capacity float64) bool {
	size := float64(usable)
	idleFactor := min(max(1/b.relativeLoad, 1), maxIdleFactor)
	factor := 1 + ctl.gossipFreshness(b)*(idleFactor-1)
	fairShare := factor * fairShareFraction * ctl.warmUpFraction(b) * size / max(capacity, minWarmFraction*size)
	return ctl.random.Float64() < fairShare/float64(choices)
}

// selectWarmingUp returns the warmest backend if all eligible ones are warming up, or nil if the capacity of the usable
// backends does not allow another attempt now.
func (ctl *Controller) selectWarmingUp(warmest *backend, usable int, capacity float64) *backend {
	attempts := ctl.window.attemptRate.Value(ctl.now, ctl.control.memorySeconds)
	perSecond := fairShareFraction * attempts * capacity / (minWarmFraction * float64(max(usable, 1)))
	if ctl.slowStart.Refill(ctl.now, perSecond, 1) < 1 {
		return nil
	}
	ctl.slowStart.Amount--
	return warmest
}
