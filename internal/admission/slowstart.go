package admission

// This file decides how much a backend is sent while it warms up: as its capacity grows, so that all
// limiters together, each by chance, send it no more than it bears.

const (
	// slowStartMargin is the fraction of its fair share that a backend that warms up is sent.
	slowStartMargin = 0.9
	// minWarmFraction is the capacity, in warm backends per backend, under which a subset is not sent the
	// full rate of attempts.
	minWarmFraction = 0.5
	// maxIdleFactor bounds how many times its fair share a backend that warms up gets where it is observed
	// to be idle: well below what overloads it.
	maxIdleFactor = 2.5
)

// warmUpFraction is the least fraction of its capacity that a backend can have by now, 1 if it is warm.
func (ctl *Controller) warmUpFraction(b *backend) float64 {
	age := ctl.now - b.StartedAt
	if b.StartedAt <= 0 || age >= ctl.settings.SlowStartDuration {
		return 1
	}
	from := max(ctl.settings.SlowStartFraction, minShare)
	return from + (1-from)*max(age.Seconds(), 0)/ctl.settings.SlowStartDuration.Seconds()
}

// admitsWarmingUp decides by chance whether a backend that warms up is considered, among so many choices
// out of so many usable backends whose capacity is given in warm ones: as often as its fraction of a warm
// backend's share. The fraction is the least that it may have, so a backend that is observed to be idle
// gets more: otherwise the warm ones would be overloaded beside idle ones.
func (ctl *Controller) admitsWarmingUp(b *backend, choices, usable int, capacity float64) bool {
	size := float64(usable)
	idle := min(max(1/b.relativeLoad, 1), maxIdleFactor)
	factor := 1 + ctl.gossipFreshness(b)*(idle-1)
	fairShare := factor * slowStartMargin * ctl.warmUpFraction(b) * size / max(capacity, minWarmFraction*size)
	return ctl.random.Float64() < fairShare/float64(choices)
}

// selectWarmingUp returns the warmest backend where all eligible ones are warming up, or nil if the usable
// backends, whose capacity is given in warm ones, do not bear another attempt now.
func (ctl *Controller) selectWarmingUp(warmest *backend, usable int, capacity float64) *backend {
	attempts := ctl.window.attemptRate.Value(ctl.now, ctl.control.memorySeconds)
	perSecond := slowStartMargin * attempts * capacity / (minWarmFraction * float64(max(usable, 1)))
	if ctl.slowStart.Refill(ctl.now, perSecond, 1) < 1 {
		return nil
	}
	ctl.slowStart.Amount--
	return warmest
}
