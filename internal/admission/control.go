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
	// controlPeriodObjectives is the control period in longest objectives: a jam shows within one.
	controlPeriodObjectives = 0.5
	// controlGain is the fraction of the model's Newton step that one period takes: small, against
	// overshoot.
	controlGain = 0.3
	// maxShareStep bounds the change of a share by the error of one period, so that a stall does
	// not swing it.
	maxShareStep = 0.15
	// minShare keeps a class from being starved.
	minShare = 0.01
	// arrivalWeight is the weight of a new period in the arrival rate.
	arrivalWeight = 0.5
	// idleLatencyGrowth is how much of the mean the least mean latency grows per period, towards a
	// longer one.
	idleLatencyGrowth = 0.01
)

// controlLoop is the timing of the control loop, and of rates that fade.
type controlLoop struct {
	nextAt        time.Duration // clock time of its next run
	periodSeconds float64
	memorySeconds float64 // time after which an event counts 1/e in a rate
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
	room       float64 // least ratio of backend target to latency, of classes that were measured enough
	attempts   float64 // how many were measured
	latencySum float64 // of these, seconds
	targetSum  float64 // what these should have taken, seconds
}

// runControlLoop sets the shares of the next control period and the scale of the window.
func (ctl *Controller) runControlLoop() {
	ctl.resolveStartByTime()
	ctl.customers.ledger.Tick(ctl.now)
	window := ctl.windowSize()
	ctl.recordOpenAttempts()

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
	room := min(totals.room, 1/max(ctl.window.pressure, minShare))
	ctl.measureQuotaRate()
	ctl.endpoints.medianLatencyPerAttempt = ctl.measureMedianLatency()
	ctl.scaleWindow(room, totals.attempts > 0)
}

// resolveStartByTime takes the tier of limiters for new, so that customers have a full burst, if no
// backend has reported its utilization within one longest objective of the first request.
func (ctl *Controller) resolveStartByTime() {
	first := ctl.customers.firstRequestAt
	if first > 0 && ctl.now-first > ctl.classes.longestObjective {
		ctl.customers.ledger.Resolve(quota.TierStarted, ctl.now)
	}
}

// addPeriod adds what was measured of a class. The lightest classes do not narrow the window, as they
// get what is left; the heaviest class does in any case, as all may weigh the same.
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
// queueing model has it, and that corrected by the error of the last period. In the model all of the
// window is one server, so a request takes it for its latency over the size of the window.
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

// startPeriod clears what is measured per control period.
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
	step := controlGain * slack / queueing.Slope(arrivalRate, service, share, minShare)
	return min(max(step, -maxShareStep), maxShareStep)
}

// fitShares fits shares, in the order of falling weight, that sum to more than one: one that does not fit
// goes without its correction, and takes no more than the heavier ones have left.
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
