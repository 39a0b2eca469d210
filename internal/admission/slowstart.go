package admission

// This file decides how much a backend is sent while it warms up: in proportion to its capacity by then, so
// that all limiters together, each by chance, send it no more than it can serve.
//
// A capacity here is in warm backends: the sum of warmUpFraction over the usable backends.

const (
	// slowStartMargin is the fraction of its fair share that is sent to a backend that warms up.
	slowStartMargin = 0.9
	// minWarmFraction is the capacity, per usable backend, below which these are not sent the full rate of
	// attempts.
	minWarmFraction = 0.5
	// maxIdleFactor bounds how many times its fair share a backend that warms up gets if it is observed to be
	// idle: well below what overloads it.
	maxIdleFactor = 2.5
	// minWarmUpFraction is the least fraction of its capacity that a backend counts with.
	minWarmUpFraction = 0.01
)

// warmUpFraction is the least fraction of its capacity that a backend can have by now, 1 if it is warm.
func (ctl *Controller) warmUpFraction(b *backend) float64 {
	age := ctl.now - b.StartedAt
	if b.StartedAt <= 0 || age >= ctl.settings.SlowStartDuration {
		return 1
	}
	from := max(ctl.settings.SlowStartFraction, minWarmUpFraction)
	return from + (1-from)*max(age.Seconds(), 0)/ctl.settings.SlowStartDuration.Seconds()
}

// admitsWarmingUp decides by chance whether a backend that warms up is considered, if so many choices
// are looked at out of so many usable backends of a capacity: as often as its fraction of a warm backend's
// share. The fraction is the least that it may have, so a backend that is observed to be idle gets more:
// otherwise the warm ones would be overloaded beside idle ones.
func (ctl *Controller) admitsWarmingUp(b *backend, choices, usable int, capacity float64) bool {
	size := float64(usable)
	idle := min(max(1/b.relativeLoad, 1), maxIdleFactor)
	factor := 1 + ctl.gossipFreshness(b)*(idle-1)
	fairShare := factor * slowStartMargin * ctl.warmUpFraction(b) * size / max(capacity, minWarmFraction*size)
	return ctl.random.Float64() < fairShare/float64(choices)
}

// selectWarmingUp returns the warmest backend if all eligible ones are warming up, or nil if the capacity of
// the usable backends does not allow another attempt now.
func (ctl *Controller) selectWarmingUp(warmest *backend, usable int, capacity float64) *backend {
	attempts := ctl.window.attemptRate.Value(ctl.now, ctl.control.memorySeconds)
	perSecond := slowStartMargin * attempts * capacity / (minWarmFraction * float64(max(usable, 1)))
	if ctl.slowStart.Refill(ctl.now, perSecond, 1) < 1 {
		return nil
	}
	ctl.slowStart.Amount--
	return warmest
}
