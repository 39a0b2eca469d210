package admission

import (
	"cmp"
	"slices"
	"time"
)

// This file holds the state of request classes: settings, queue, share and measurements.

const (
	// backendTargetFraction is the fraction of a latency objective that is meant for the backend;
	// the rest may be spent in the queue.
	backendTargetFraction = 0.33
	// idleLatencyFactor: the backend target is at least this many idle latencies, but at most
	// maxTargetFactor times the fraction of the objective.
	idleLatencyFactor = 2.0
	maxTargetFactor   = 2
	// spikeFactor bounds what one latency, or the arrivals of one period, count for: so many times the mean
	// or the objective.
	spikeFactor = 3.0
	// meanWeight is the weight of a new value in a running mean: about 20 values count.
	meanWeight = 0.05
	// minRoomOfAttempt is the least ratio of backend target to latency that one attempt counts with: a few
	// stuck ones would otherwise take the window to its least for all.
	minRoomOfAttempt = 0.4
	// targetWeight is the weight of the backend target in an expected latency, in measured latencies.
	targetWeight = 3.0
	// recentBudgetCount is how many budgets of clients are remembered per class.
	recentBudgetCount = 16
)

// classSet is all request classes, and the objectives that other times are multiples of.
type classSet struct {
	all      []*requestClass // in the order of the settings
	byName   map[string]*requestClass
	byWeight []*requestClass // the heaviest first

	shortestObjective time.Duration
	longestObjective  time.Duration
	meanObjective     float64 // seconds
}

// requestClass is a request class, its queue and its measurements. Latencies are in seconds.
type requestClass struct {
	Class
	queue  []*request
	share  float64 // of the window, 0 to 1
	credit float64 // dispatches that are due to it, see chargeCredit; below zero if it had more than its share

	recentBudgets [recentBudgetCount]time.Duration // of clients, a ring
	budgetsSeen   int
	usualBudget   time.Duration // the most common of them; 0 if they differ

	// Measured in the current control period.
	arrivals          int     // requests whose quota was granted
	completed         int     // answered requests
	latencySum        float64 // of completed requests, time in the queue included
	attemptsMeasured  int
	attemptLatencySum float64 // of measured attempts

	arrivalRate        float64 // per second
	meanLatency        float64 // of attempts
	meanSquaredLatency float64
	latencySamples     int     // latencies that the means come from
	idleLatency        float64 // recent minimum of meanLatency: what attempts take at idle backends
}

// longestDeadline is the longest that a client of any class waits.
func (s *classSet) longestDeadline() (longest time.Duration) {
	for _, c := range s.all {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// newClassSet returns the classes of the settings, with equal shares. A class without a latency objective
// has its deadline as the objective, or else one second.
func newClassSet(classes []Class) classSet {
	s := classSet{byName: map[string]*requestClass{}}
	for _, settings := range classes {
		settings.LatencyObjective = cmp.Or(max(settings.LatencyObjective, 0), max(settings.Deadline, 0), time.Second)
		c := &requestClass{Class: settings, share: 1 / float64(len(classes))}
		s.all = append(s.all, c)
		s.longestObjective = max(s.longestObjective, c.LatencyObjective)
		s.shortestObjective = min(cmp.Or(s.shortestObjective, c.LatencyObjective), c.LatencyObjective)
		s.meanObjective += c.LatencyObjective.Seconds() / float64(len(classes))
	}
	s.shortestObjective = cmp.Or(s.shortestObjective, time.Second)
	s.longestObjective = cmp.Or(s.longestObjective, time.Second)
	s.index()
	return s
}

// index derives byName and byWeight from all.
func (s *classSet) index() {
	clear(s.byName)
	for _, c := range s.all {
		s.byName[c.Name] = c
	}
	s.byWeight = slices.Clone(s.all)
	slices.SortStableFunc(s.byWeight, func(a, b *requestClass) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.LatencyObjective, b.LatencyObjective))
	})
}

// pollInterval is the time after which requests that wait for a backend or a grant are looked at again.
func (s *classSet) pollInterval() time.Duration { return s.shortestObjective / pollsPerObjective }

// pollsPerObjective is how many poll intervals there are in the shortest objective.
const pollsPerObjective = 100

// backendTarget is the latency in seconds that an attempt should take. No window brings latency below that of
// idle backends, and one that tried would shrink to its least; so the target is a multiple of it at least.
func (c *requestClass) backendTarget() float64 {
	usual := c.usualBackendTarget()
	return max(usual, min(idleLatencyFactor*c.idleLatency, maxTargetFactor*usual))
}

// usualBackendTarget is the backend target, in seconds, unless idle backends are slow.
func (c *requestClass) usualBackendTarget() float64 {
	return backendTargetFraction * c.LatencyObjective.Seconds()
}

// exceedsTarget reports whether attempts take longer than they should.
func (c *requestClass) exceedsTarget() bool { return c.meanLatency > c.backendTarget() }

// expectedLatency is the latency expected of an attempt, in seconds: the mean, weighted with the backend
// target while few latencies were measured, as one early response may come far sooner than most.
func (c *requestClass) expectedLatency() float64 {
	samples := float64(c.latencySamples)
	prior := max(c.backendTarget(), c.meanLatency)
	return (samples*c.meanLatency + targetWeight*prior) / (samples + targetWeight)
}

// recordLatency adds the latency of a successful attempt, in seconds, to the running means.
func (c *requestClass) recordLatency(latency float64) {
	if c.meanLatency == 0 {
		c.meanLatency, c.meanSquaredLatency = latency, latency*latency
	}
	c.latencySamples++
	latency = min(latency, spikeFactor*c.meanLatency)
	c.meanLatency += meanWeight * (latency - c.meanLatency)
	c.meanSquaredLatency += meanWeight * (latency*latency - c.meanSquaredLatency)
}

// recordAttemptLatency measures the latency of an attempt, in seconds, for the window.
func (c *requestClass) recordAttemptLatency(latency float64) {
	c.attemptsMeasured++
	c.attemptLatencySum += min(latency, c.backendTarget()/minRoomOfAttempt)
}

// recordCompletion measures the time from the arrival to the end of a request, for the control loop.
func (ctl *Controller) recordCompletion(r *request) {
	r.class.completed++
	bound := spikeFactor * r.class.LatencyObjective.Seconds()
	r.class.latencySum += min((ctl.now - r.receivedAt).Seconds(), bound)
}

// recordBudget remembers the budget of a client and, each time the ring is full, which one is usual:
// the most common one, if enough of them are equal within the tolerance.
func (c *requestClass) recordBudget(budget, tolerance time.Duration) {
	c.recentBudgets[c.budgetsSeen%recentBudgetCount] = budget
	c.budgetsSeen++
	if c.budgetsSeen%recentBudgetCount > 0 {
		return
	}
	usual, count := mostCommon(c.recentBudgets[:], tolerance)
	if float64(count) < usualBudgetFraction*recentBudgetCount {
		usual = 0
	}
	c.usualBudget = usual
}

// mostCommon returns the least of the largest group of values that differ by no more than the tolerance, and
// the size of the group.
func mostCommon(values []time.Duration, tolerance time.Duration) (time.Duration, int) {
	sorted := slices.Sorted(slices.Values(values))
	var least time.Duration
	largest, from := 0, 0
	for i, v := range sorted {
		for v-sorted[from] > tolerance {
			from++
		}
		if size := i - from + 1; size > largest {
			least, largest = sorted[from], size
		}
	}
	return least, largest
}
