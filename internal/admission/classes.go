package admission

import (
	"cmp"
	"slices"
	"time"
)

// This file contains the state of request classes: settings, queue, share and measurements.

const (
	// backendTargetFraction is the fraction of a latency objective that an attempt at a backend may take; the
	// rest may be spent in the queue.
	backendTargetFraction = 0.33
	// The backend target is at least idleLatencyFactor idle latencies, but at most maxTargetFactor times
	// backendTargetFraction of the objective.
	idleLatencyFactor = 2.0
	maxTargetFactor   = 2
	// spikeFactor limits the effect of a single latency, or of the arrivals of a single period, to this multiple
	// of the mean or the objective.
	spikeFactor = 3.0
	// meanWeight is the weight of a new value in a running mean, which then covers about 20 values.
	meanWeight = 0.05
	// minAttemptHeadroom is the lower bound of the ratio of backend target to latency that a single attempt
	// contributes. Without it, a few stuck attempts would shrink the window to its minimum for all requests.
	minAttemptHeadroom = 0.4
	// targetWeight is the weight of the backend target in an expected latency, in measured latencies.
	targetWeight = 3.0
	// recentBudgetCount is the number of recent client budgets stored per class.
	recentBudgetCount = 16
)

// classSet contains all request classes, and the objectives from which other times are derived.
type classSet struct {
	all      []*requestClass // in the order of the settings
	byName   map[string]*requestClass
	byWeight []*requestClass // in descending order of weight

	shortestObjective time.Duration
	longestObjective  time.Duration
	meanObjective     float64 // seconds
}

// requestClass is a request class, its queue and its measurements. Latencies are in seconds.
type requestClass struct {
	Class
	queue  []*request
	share  float64 // of the window, 0 to 1
	credit float64 // dispatch credit, see chargeCredit; below zero if the class was dispatched more than its share

	recentBudgets [recentBudgetCount]time.Duration // of clients, a ring buffer
	budgetsSeen   int
	usualBudget   time.Duration // the most common recent budget; 0 if budgets differ

	// Measured in the current control period.
	arrivals          int     // requests whose quota was granted
	completed         int     // requests that were answered
	latencySum        float64 // of completed requests, time in the queue included
	attemptsMeasured  int
	attemptLatencySum float64 // of measured attempts

	arrivalRate        float64 // per second
	meanLatency        float64 // of attempts
	meanSquaredLatency float64
	latencySamples     int     // number of latencies in the means
	idleLatency        float64 // recent minimum of meanLatency: the latency of attempts at idle backends
}

// longestDeadline returns the longest deadline of all classes.
func (s *classSet) longestDeadline() (longest time.Duration) {
	for _, c := range s.all {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// newClassSet returns the classes of the settings, with equal shares. The objective of a class without one is its
// deadline, or one second if it has no deadline either.
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

// pollInterval returns the interval after which requests that wait for a backend or a grant are checked again.
func (s *classSet) pollInterval() time.Duration { return s.shortestObjective / pollsPerObjective }

// pollsPerObjective is the number of poll intervals in the shortest objective.
const pollsPerObjective = 100

// backendTarget returns the latency in seconds that an attempt should take at most. No window can reduce latency below
// that of idle backends, and a target below it would shrink the window to its minimum. So the target is at least a
// multiple of the idle latency, within a bound.
func (c *requestClass) backendTarget() float64 {
	usual := c.usualBackendTarget()
	return max(usual, min(idleLatencyFactor*c.idleLatency, maxTargetFactor*usual))
}

// usualBackendTarget returns the backend target, in seconds, for backends whose idle latency is low.
func (c *requestClass) usualBackendTarget() float64 {
	return backendTargetFraction * c.LatencyObjective.Seconds()
}

// exceedsTarget reports whether the mean latency of attempts exceeds the backend target.
func (c *requestClass) exceedsTarget() bool { return c.meanLatency > c.backendTarget() }

// expectedLatency returns the latency expected of an attempt, in seconds: the mean latency, blended with the backend
// target while few latencies have been measured, as one early response may be much faster than most.
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

// recordAttemptLatency adds the latency of an attempt, in seconds, to the measurements that scale the window.
func (c *requestClass) recordAttemptLatency(latency float64) {
	c.attemptsMeasured++
	c.attemptLatencySum += min(latency, c.backendTarget()/minAttemptHeadroom)
}

// recordCompletion adds the time from the arrival to the end of a request to the measurements of the control loop.
func (ctl *Controller) recordCompletion(r *request) {
	r.class.completed++
	bound := spikeFactor * r.class.LatencyObjective.Seconds()
	r.class.latencySum += min((ctl.now - r.receivedAt).Seconds(), bound)
}

// recordBudget stores the budget of a client. Each time the ring buffer is full, it updates the usual budget: the most
// common one, if enough budgets are equal within the tolerance.
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

// mostCommon returns the lowest value of the largest group of values that differ by at most the tolerance, and the
// size of the group.
func mostCommon(values []time.Duration, tolerance time.Duration) (time.Duration, int) {
	sorted := slices.Sorted(slices.Values(values))
	var lowest time.Duration
	largest, from := 0, 0
	for i, v := range sorted {
		for v-sorted[from] > tolerance {
			from++
		}
		if size := i - from + 1; size > largest {
			lowest, largest = sorted[from], size
		}
	}
	return lowest, largest
}
