package admission

import (
	"cmp"
	"math"
	"time"

	"lemongate/internal/queueing"
	"lemongate/internal/quota"
)

// This file sets the shares of the classes and the scale of the window once per control period. The shares follow from
// a queueing model, with a feedback correction for the deviation of measured latency from the objective.

const (
	// controlPeriodObjectives is the control period in longest objectives. An overload is detected within one
	// period.
	controlPeriodObjectives = 0.5
	// controlGain is the fraction of the model's Newton step that is applied per period. It is small to avoid
	// overshoot.
	controlGain = 0.3
	// maxShareStep bounds the correction of a share by the error of one period, so that a short stall does not
	// determine the share.
	maxShareStep = 0.15
	// minShare prevents starvation of a class.
	minShare = 0.01
	// minSpareShare is the lower bound of the share that a class is assumed to have beyond its load, see
	// queueing.Slope.
	minSpareShare = 0.01
	// minPressure prevents division by a pressure near 0.
	minPressure = 0.01
	// arrivalWeight is the weight of the latest period in the arrival rate.
	arrivalWeight = 0.5
	// idleLatencyGrowth is the fraction by which the idle latency grows per period while the mean latency is
	// above it, so that it follows a mean that stays higher.
	idleLatencyGrowth = 0.01
)

// controlLoop contains the timing of the control loop, and the time constant of decaying rates.
type controlLoop struct {
	nextAt        time.Duration // clock time of its next run
	periodSeconds float64
	memorySeconds float64 // the longest objective: the time in which an event in a decaying rate decays to 1/e
}

func newControlLoop(longestObjective time.Duration) controlLoop {
	return controlLoop{
		periodSeconds: controlPeriodObjectives * longestObjective.Seconds(),
		memorySeconds: longestObjective.Seconds(),
	}
}

// periodTotals are the totals, over all classes, of what was measured in a control period.
type periodTotals struct {
	shares     float64 // sum of the wanted shares
	headroom   float64 // lowest ratio of backend target to latency of the classes that count, see addPeriod
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

	totals := periodTotals{headroom: math.Inf(1)}
	wanted, modeled := make([]float64, len(ctl.classes.byWeight)), make([]float64, len(ctl.classes.byWeight))
	for i, c := range ctl.classes.byWeight {
		c.updateArrivalRate(ctl.control.periodSeconds)
		wanted[i], modeled[i] = c.wantedShare(window)
		totals.shares += wanted[i]
		ctl.addPeriod(&totals, c, i == 0)
		c.startPeriod()
	}
	if totals.shares > 1 {
		fitShares(wanted, modeled)
	}
	for i, share := range normalize(wanted) {
		ctl.classes.byWeight[i].share = share
	}

	ctl.window.measurePressure(totals.attempts, totals.latencySum, totals.targetSum)
	headroom := min(totals.headroom, 1/max(ctl.window.pressure, minPressure))
	ctl.forgetIdleCustomers()
	ctl.measureQuotaRate()
	ctl.endpoints.medianLatencyPerAttempt = ctl.measureMedianLatency()
	ctl.scaleWindow(headroom, totals.attempts > 0)
}

// inferStartStateByTime resolves the start state to a new tier, so that customers have a full burst, if the state is
// still unknown one longest objective after the first request because the backends report too little.
func (ctl *Controller) inferStartStateByTime() {
	first := ctl.customers.firstRequestAt
	if first > 0 && ctl.now-first > ctl.classes.longestObjective {
		ctl.customers.ledger.ResolveStartState(quota.TierStarted, ctl.now)
	}
}

// addPeriod adds the measurements of a class to the totals. The latencies of the classes with the least weight do not
// shrink the window, as these classes get only what the others leave. Those of the class with the most weight always
// count, as all classes may have the same weight.
func (ctl *Controller) addPeriod(totals *periodTotals, c *requestClass, heaviest bool) {
	lightest := ctl.classes.byWeight[len(ctl.classes.byWeight)-1].Weight
	target := c.backendTarget()
	if c.attemptsMeasured >= windowMinSamples && (c.Weight > lightest || heaviest) {
		totals.headroom = min(totals.headroom, target*float64(c.attemptsMeasured)/c.attemptLatencySum)
	}
	totals.targetSum += target * float64(c.attemptsMeasured)
	totals.latencySum += c.attemptLatencySum
	totals.attempts += float64(c.attemptsMeasured)
}

// updateArrivalRate updates the arrival rate with the arrivals of a control period.
func (c *requestClass) updateArrivalRate(periodSeconds float64) {
	perSecond := float64(c.arrivals) / periodSeconds
	if c.arrivalRate > 0 {
		perSecond = min(perSecond, spikeFactor*c.arrivalRate+1/periodSeconds)
	}
	c.arrivalRate += arrivalWeight * (perSecond - c.arrivalRate)
}

// wantedShare returns the share of a window (in attempts) that meets the latency objective of a class: modeled is the
// share by the queueing model, wanted adds the correction for the error of the last period. The model treats the window
// as a single server with a service time of the attempt latency divided by the window size.
func (c *requestClass) wantedShare(window float64) (wanted, modeled float64) {
	service := queueing.ServiceTime{
		Mean:   c.meanLatency / window,
		Square: c.meanSquaredLatency / (window * window),
	}
	modeled = clampShare(queueing.Share(c.arrivalRate, service, c.LatencyObjective.Seconds()))
	if c.completed == 0 {
		return modeled, modeled
	}
	slack := c.LatencyObjective.Seconds() - c.latencySum/float64(c.completed)
	return clampShare(modeled + shareCorrection(slack, c.arrivalRate, service, modeled)), modeled
}

// startPeriod updates the idle latency and clears the measurements of the last control period.
func (c *requestClass) startPeriod() {
	c.idleLatency = min(c.meanLatency, cmp.Or(c.idleLatency, c.meanLatency)*(1+idleLatencyGrowth))
	c.arrivals, c.completed, c.latencySum = 0, 0, 0
	c.attemptsMeasured, c.attemptLatencySum = 0, 0
}

// shareCorrection returns the change of a share for the slack of its class, in seconds: the latency objective minus the
// measured latency. It is a fraction of the Newton step, slack divided by the slope of latency over share. The slope is
// negative, so a class that misses its objective (negative slack) gains share.
func shareCorrection(slack, arrivalRate float64, service queueing.ServiceTime, share float64) float64 {
	if service.Mean <= 0 {
		return 0
	}
	step := controlGain * slack / queueing.Slope(arrivalRate, service, share, minSpareShare)
	return min(max(step, -maxShareStep), maxShareStep)
}

// fitShares reduces shares, given in descending order of weight, whose sum exceeds one. A share that exceeds what remains
// after the classes with more weight loses its correction and is limited to what remains.
func fitShares(wanted, modeled []float64) {
	remaining := 1.0
	for i := range wanted {
		if wanted[i] > remaining {
			wanted[i] = clampShare(min(modeled[i], remaining))
		}
		remaining = max(remaining-wanted[i], 0)
	}
}

// clampShare limits a share to the range from minShare to 1.
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
