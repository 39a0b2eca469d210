package admission

import (
	"cmp"
	"math"
	"time"

	"lemongate/internal/queueing"
	"lemongate/internal/quota"
)

// This file decides the shares of the classes and the scale of the window once per control period:
// shares by a queueing model, with an integral correction on the error of the latency objective.

const (
	// controlPeriodObjectives is the control period in longest objectives: an overload shows within one.
	controlPeriodObjectives = 0.5
	// controlGain is the fraction of the model's Newton step that is made in one period: small, to avoid
	// overshoot.
	controlGain = 0.3
	// maxShareStep bounds the change of a share by the error of one period, so that a short stall does
	// not set it.
	maxShareStep = 0.15
	// minShare keeps a class from being starved.
	minShare = 0.01
	// minSpareShare is the least share that a class is taken to have beyond its load, see queueing.Slope.
	minSpareShare = 0.01
	// minPressure keeps from dividing by a pressure near 0.
	minPressure = 0.01
	// arrivalWeight is the weight of a new period in the arrival rate.
	arrivalWeight = 0.5
	// idleLatencyGrowth is the fraction by which the idle latency grows per period while the mean latency is
	// above it, so that it follows a mean that stays higher.
	idleLatencyGrowth = 0.01
)

// controlLoop is the timing of the control loop, and of decaying rates.
type controlLoop struct {
	nextAt        time.Duration // clock time of its next run
	periodSeconds float64
	memorySeconds float64 // the longest objective: after it an event counts 1/e in a decaying rate
}

func newControlLoop(longestObjective time.Duration) controlLoop {
	return controlLoop{
		periodSeconds: controlPeriodObjectives * longestObjective.Seconds(),
		memorySeconds: longestObjective.Seconds(),
	}
}

// periodTotals adds up what was measured of all classes in a control period.
type periodTotals struct {
	shares     float64 // sum of the wanted shares
	room       float64 // least ratio of backend target to latency of the classes that count, see addPeriod
	attempts   float64 // measured attempts
	latencySum float64 // latencies of the measured attempts, seconds
	targetSum  float64 // backend targets of the measured attempts, seconds
}

// runControlLoop sets the shares of the next control period and the scale of the window.
func (ctl *Controller) runControlLoop() {
	ctl.inferStartStateByTime()
	ctl.customers.ledger.Tick(ctl.now)
	window := ctl.windowSize()
	ctl.recordLateAttempts()

	totals := periodTotals{room: math.Inf(1)}
	wanted, modelled := make([]float64, len(ctl.classes.byWeight)), make([]float64, len(ctl.classes.byWeight))
	for i, c := range ctl.classes.byWeight {
		c.updateArrivalRate(ctl.control.periodSeconds)
		wanted[i], modelled[i] = c.wantedShare(window)
		totals.shares += wanted[i]
		ctl.addPeriod(&totals, c, i == 0)
		c.startPeriod()
	}
	if totals.shares > 1 {
		fitShares(wanted, modelled)
	}
	for i, share := range normalize(wanted) {
		ctl.classes.byWeight[i].share = share
	}

	ctl.window.measurePressure(totals.attempts, totals.latencySum, totals.targetSum)
	room := min(totals.room, 1/max(ctl.window.pressure, minPressure))
	ctl.forgetIdleCustomers()
	ctl.measureQuotaRate()
	ctl.endpoints.medianLatencyPerAttempt = ctl.measureMedianLatency()
	ctl.scaleWindow(room, totals.attempts > 0)
}

// inferStartStateByTime decides that the tier of limiters is new, so that customers have a full burst, if the
// start state is still unknown one longest objective after the first request: the backends report too little.
func (ctl *Controller) inferStartStateByTime() {
	first := ctl.customers.firstRequestAt
	if first > 0 && ctl.now-first > ctl.classes.longestObjective {
		ctl.customers.ledger.ResolveStartState(quota.TierStarted, ctl.now)
	}
}

// addPeriod adds what was measured of a class. The latencies of the lightest classes do not shrink the window,
// as these get what is left; those of the heaviest class do in any case, as all may weigh the same.
func (ctl *Controller) addPeriod(totals *periodTotals, c *requestClass, heaviest bool) {
	lightest := ctl.classes.byWeight[len(ctl.classes.byWeight)-1].Weight
	target := c.backendTarget()
	if c.attemptsMeasured >= windowMinSamples && (c.Weight > lightest || heaviest) {
		totals.room = min(totals.room, target*float64(c.attemptsMeasured)/c.attemptLatencySum)
	}
	totals.targetSum += target * float64(c.attemptsMeasured)
	totals.latencySum += c.attemptLatencySum
	totals.attempts += float64(c.attemptsMeasured)
}

// updateArrivalRate updates the arrival rate by the arrivals of a control period.
func (c *requestClass) updateArrivalRate(periodSeconds float64) {
	perSecond := float64(c.arrivals) / periodSeconds
	if c.arrivalRate > 0 {
		perSecond = min(perSecond, spikeFactor*c.arrivalRate+1/periodSeconds)
	}
	c.arrivalRate += arrivalWeight * (perSecond - c.arrivalRate)
}

// wantedShare is the share of a window (in attempts) that meets the latency objective of a class: as the
// queueing model gives it, and corrected by the error of the last period. The model takes the window for one
// server, which a request occupies for its latency over the size of the window.
func (c *requestClass) wantedShare(window float64) (wanted, modelled float64) {
	service := queueing.ServiceTime{
		Mean:   c.meanLatency / window,
		Square: c.meanSquaredLatency / (window * window),
	}
	modelled = clampShare(queueing.Share(c.arrivalRate, service, c.LatencyObjective.Seconds()))
	if c.completed == 0 {
		return modelled, modelled
	}
	slack := c.LatencyObjective.Seconds() - c.latencySum/float64(c.completed)
	return clampShare(modelled + shareCorrection(slack, c.arrivalRate, service, modelled)), modelled
}

// startPeriod updates the idle latency, and clears the measurements of the last control period.
func (c *requestClass) startPeriod() {
	c.idleLatency = min(c.meanLatency, cmp.Or(c.idleLatency, c.meanLatency)*(1+idleLatencyGrowth))
	c.arrivals, c.completed, c.latencySum = 0, 0, 0
	c.attemptsMeasured, c.attemptLatencySum = 0, 0
}

// shareCorrection is the change of a share by the slack of its class, which is its latency objective less
// its latency, in seconds: a fraction of the Newton step, slack over the slope of latency by share. The
// slope is below zero, so a class that is late, with a slack below zero, gains.
func shareCorrection(slack, arrivalRate float64, service queueing.ServiceTime, share float64) float64 {
	if service.Mean <= 0 {
		return 0
	}
	step := controlGain * slack / queueing.Slope(arrivalRate, service, share, minSpareShare)
	return min(max(step, -maxShareStep), maxShareStep)
}

// fitShares reduces shares, in the order of falling weight, that sum to more than one: a share that exceeds
// what the heavier classes left loses its correction, and is cut to what they left.
func fitShares(wanted, modelled []float64) {
	left := 1.0
	for i := range wanted {
		if wanted[i] > left {
			wanted[i] = clampShare(min(modelled[i], left))
		}
		left = max(left-wanted[i], 0)
	}
}

// clampShare keeps a share within its bounds.
func clampShare(share float64) float64 { return min(max(share, minShare), 1) }

// normalize scales shares to sum to one.
func normalize(shares []float64) []float64 {
	sum := 0.0
	for _, v := range shares {
		sum += v
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}
