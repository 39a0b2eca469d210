package admission

// This file makes every decision, in the order a request meets them: admit (quota), dispatch (shares and
// window), choose (backend), outcome, end. Then the store and peer messages, the control loop, backend
// health, cold starts and the list. Events and actions are in api.go, what is remembered in state.go.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lemongate/internal/gossip"
	"lemongate/internal/queueing"
	"lemongate/internal/quota"
	"lemongate/internal/rate"
)

// Tuned values. Each is a pure number; times come from settings.
const (
	beatsPerAim  = 100.0 // beats in the shortest aim: what waits for a backend looks again after one
	periodAims   = 0.5   // period of the control loop, in longest aims: a jam shows within one of them
	gain         = 0.3   // part of the model's Newton step taken per period; small against overshoot
	stepMost     = 0.15  // most that one period's error moves a share, so that a stall does not swing it
	shareLeast   = 0.01  // no class is starved outright (the design's clamp)
	spikeMost    = 3.0   // one period's arrivals, or one latency, count at most this many times the mean
	momentWeight = 0.05  // weight of a new latency in the running moments: about 20 answers
	blend        = 0.5   // weight of a new period in the arrival rate

	serveShare   = 0.33 // part of the aim meant for the backend; the rest may be spent on hold
	idleTimes    = 2.0  // what an idle backend takes is at least the part meant for it over this
	idleDrift    = 0.01 // growth per period of the least mean latency, towards a longer one
	budgetLeast  = 0.25 // part of the tries that have the usual budget, if there is a usual one
	budgetSame   = 50   // budgets are the same within this part of the shortest aim: the way of a request
	holdSpare    = 2.0  // mean latencies that a held request must have left: most then come in time
	holdPart     = 0.45 // of a client's time: longest hold; the way here and back takes of it as well
	windowGrow   = 1.4  // most widening per period, while the window binds
	windowCut    = 0.4  // most narrowing per period; one attempt counts up to its part of the aim over this
	windowLeast  = 0.1  // narrowest window, in terms of the one that the quotas served here call for
	windowMost   = 4.0  // widest window, likewise
	windowFloor  = 2.0  // least attempts out, all gateways together, per usable backend
	windowStart  = 5.0  // the same while few customers were seen
	windowChance = 2.0  // attempts out beyond the mean: with few requests they come by chance
	windowLook   = 10   // answers that tell how the window does: fewer are chance
	strainLook   = 3.0  // answers that weigh as much as what was seen before: two in a period are chance
	strainPeer   = 0.2  // weight of a peer's view of how attempts do
	creditMost   = 2.0  // dispatch turns that an absent class can save up
	retryShare   = 0.15 // further attempts per first attempt: a slow fleet is not made slower
	retryBurst   = 16.0 // further attempts saved up by all gateways, for a backend that dies with its work
	retryTurned  = 0.25 // what one costs that never ran: it was no work
	tellUse      = 0.7  // part of a peer's intake that its busiest senders together fill at their pace
	tellSenders  = 6    // how many these are at most: in a large tier the sum is bounded
	tellBurst    = 4    // messages to one peer that may go without a pause
	tellSights   = 3    // times that a sight is passed on
	askMost      = 0.3  // of the shortest aim: longest wait for the others' word
	newsWait     = 0.3  // of the shortest aim: what is seen of backends is told within it
	startLook    = 3    // backends whose first reports tell whether the tier is new
	leaveTold    = 2    // times that a gateway tells that it leaves
	startBusy    = 0.2  // and how busy those that were never used may look
	forgetAims   = 20.0 // longest aims after which idle customers and gone backends are forgotten
	failWeight   = 0.2  // weight of one outcome in a backend's failure share
	failEject    = 0.4  // failure share that ejects: two to three failures in a row
	failDear     = 4.0  // how much dearer a wholly failing backend looks; as all that was seen, it fades
	failBack     = 0.15 // failure share at which a backend on trial is trusted again
	soundLeast   = 0.5  // part of the fleet that is kept in use, however badly it answers
	others       = 2.0  // unseen attempts at a backend, or one tried once would look worse than any busy one
	slopeWeight  = 0.1  // weight of one latency in a backend's slope
	stuckTimes   = 4.0  // mean latencies after which a silent backend's attempt is called off
	coldMargin   = 0.9  // part of a cold backend's fair share that it is sent
	coldFleet    = 0.5  // a fleet colder than this, for its size, is not sent all that a warm one was
	keepLeast    = 8    // backends that a gateway keeps to at least: enough to go round one that fails
	keepTier     = 12.0 // gateways that keep to a backend at least; in a small tier all do
	lookLeast    = 3    // backends to choose among, at random: all gateways would rush to the best one
	lookFleet    = 4.0  // the same for all gateways together, in fleets: two see nearly all there is
	sightAims    = 1.5  // longest aims after which what was told of a backend has faded to a third
	sightWeight  = 0.3  // weight of one answer in what is told of a backend
	sightMost    = 16.0 // most that a backend is told to differ: by less, all busy ones look alike
	coldTold     = 2.5  // times its fair share that a cold backend gets at most, where it is told to be idle
	sightSteps   = 32   // steps of age in the shortest aim
	busyMargin   = 0.15 // a backend that is wholly busy waits this much less than forever
	probeAims    = 1.0  // shortest aims after which a backend of which nothing is heard may be probed
	probeRound   = 4.0  // longest aims in which all gateways together probe each backend once at most
	turnedTimes  = 4    // times that a turning away took for which its kind stays away
	unseenSlope  = 0.8  // of the median slope: a backend unseen for long looks a little better and is tried
	memoryAims   = 5.0  // aims after which what was seen of an unused backend has faded to a third
	trialAims    = 0.5  // aims until an ejected backend gets its first trial; doubles each time
	trialDoubles = 4    // doublings at most
	trialSenders = 8.0  // gateways that try an ejected backend at that pace
	ownAnswers   = 3.0  // own answers of a backend that weigh as much as what peers tell of it
	gonePeer     = 0.95 // failure share told by a peer that ejects: it got no connection
)

// New returns a Gateway that knows just its settings.
func New(set Settings, seed uint64) *Controller {
	g := newController(set, seed)
	g.maxRetryTokens = 1 + retryBurst/float64(g.settings.Limiters)
	g.retryTokens, g.fractionalWindow.Amount = g.maxRetryTokens, 1
	g.windowScale, g.medianLatencyPerAttempt, g.upstreamPressure = 1, 1, 1
	g.memorySeconds, g.controlPeriod, g.forgetAfter = g.longestObjective.Seconds(), periodAims*g.longestObjective.Seconds(), forgetAims*g.longestObjective
	g.timerAt, g.nextDueAt = math.MaxInt64, math.MaxInt64
	if g.settings.Limiters-1 > tellSenders {
		g.messageInterval = seconds(1 / (tellUse * max(g.settings.PeerMessagesPerSecond, 1)))
	}
	g.peerMessageInterval = seconds(float64(min(g.settings.Limiters-1, tellSenders)) / (tellUse * max(g.settings.PeerMessagesPerSecond, 1)))
	slices.SortStableFunc(g.classesByWeight, func(a, b *requestClass) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.LatencyObjective, b.LatencyObjective))
	})
	return g
}

// onTick does what time alone brings about.
func (g *Controller) onTick() {
	if g.now < g.timerAt {
		return // an earlier one was set since
	}
	g.timerAt, g.nextDueAt = math.MaxInt64, math.MaxInt64
	if g.now >= g.nextControlAt {
		g.nextControlAt = g.now + seconds(g.controlPeriod)
		g.runControlLoop()
		if g.pollDue {
			g.pollDue = false
			g.emit(PollEndpoints{})
		}
	}
	g.wakeBy(g.nextControlAt)
	g.settleWaiting()
	g.expireQueued()
	g.cancelStuckAttempts()
	g.dispatch()
	for _, p := range g.queuedPeers {
		if at := max(p.dueAt, p.pacedUntil); at > g.now { // what is due waits for the pace of all
			g.wakeBy(at)
		}
	}
}

// admit takes a request in: beyond its quota it is refused at once, otherwise sent on or held.
func (g *Controller) admit(ev *Request) {
	c := g.classesByName[ev.Class]
	if c == nil {
		g.emit(Reject{Request: ev.ID})
		return
	}
	r := &request{Request: ev, class: c, customer: g.touchCustomer(ev), receivedAt: g.now, deadline: g.now + ev.Budget}
	if r.usefulUntil = min(r.receivedAt+c.LatencyObjective, r.deadline) - g.clientWaited(c, ev); r.usefulUntil <= g.now {
		g.emit(Reject{Request: ev.ID, RetryAfter: g.settings.MaxRetryAfter})
		return
	}
	if g.leaving && r.customer.plan.Rate+r.customer.plan.CeilingRate > 0 {
		g.emit(Reject{Request: ev.ID})
		return
	}
	g.requests[ev.ID] = r
	g.probeStaleBackend()
	if g.firstRequestAt == 0 {
		g.firstRequestAt = g.now
	}
	g.ledger.RecordDemand(r.customer.account, ev.Units, g.now)
	if g.rejectIfQueueTooLong(r) { // before it takes units in vain
		return
	}
	if len(r.customer.waiting) > 0 || !g.reserveQuota(r, false) {
		g.waitForGrant(r)
	}
}

// onQuotaDecision goes on with a request whose quota is settled.
func (g *Controller) onQuotaDecision(r *request, ok bool, wait time.Duration) {
	if !ok {
		g.rejections.OverQuota++
		g.emit(Reject{Request: r.ID, RetryAfter: min(max(wait, 0), g.settings.MaxRetryAfter)})
		g.release(r)
		return
	}
	r.class.arrivals++
	r.queued = true
	r.customer.queued++
	g.syncSlots(r.customer)
	if g.rejectIfQueueTooLong(r) {
		return
	}
	r.class.queue = append(r.class.queue, r)
	g.wakeBy(g.latestStart(r))
	g.dispatch()
}

// rejectIfQueueTooLong ends a request that would wait longer for room than is of use.
func (g *Controller) rejectIfQueueTooLong(r *request) bool {
	if !g.windowFull() || g.queueDelay(r.class) <= (g.latestStart(r)-g.now).Seconds() {
		return false
	}
	g.rejections.WindowFull++
	g.endUnserved(r)
	return true
}

// clientWaited tells how long a client has been waiting since its first try. Trouble: a repeat after the aim
// is worth nothing, yet takes units and a place. A try's budget is the usual one or what is left before
// the deadline. Where budgets just differ, nothing is told (incident iaef1fa).
func (g *Controller) clientWaited(c *requestClass, ev *Request) time.Duration {
	same := g.shortestObjective / budgetSame
	c.recordBudget(ev.Budget, same, budgetLeast)
	if c.usualBudget == 0 || (ev.Budget-c.usualBudget).Abs() <= same || g.settings.ClientsMarkRetries && !ev.IsRetry {
		return 0
	}
	return max(c.Deadline-ev.Budget, 0)
}

func (g *Controller) queueDelay(c *requestClass) float64 {
	return float64(len(c.queue)) / max(g.attemptRate.Value(g.now, g.memorySeconds)*c.share, 1)
}

// requiredTime is the time that a held request must have left. Trouble: latencies seen in a jam would refuse
// all, and nothing better would ever be seen; so the backend's part of the aim bounds them.
func (g *Controller) requiredTime(c *requestClass) float64 {
	return holdSpare * min(c.meanLatency, serveShare*c.LatencyObjective.Seconds())
}

// latestStart is when a held request must have been sent to be of use. Trouble: one that is refused after
// half of its time with nothing sent costs more than its worth, so by then it is sent or refused.
func (g *Controller) latestStart(r *request) time.Duration {
	return min(r.usefulUntil-seconds(g.requiredTime(r.class)), r.receivedAt+seconds(holdPart*r.Budget.Seconds()))
}

// windowFull tells whether the window binds; what is at ejected backends may never come back. Trouble: a window
// under one never opens; so its part of an attempt is carried over, and goes when none is out (ia3ba8e).
func (g *Controller) windowFull() bool {
	_, out := g.countUsable()
	w := g.window()
	if w >= 1 {
		g.fractionalWindow = rate.Allowance{Amount: 1, UpdatedAt: g.now}
		return float64(out) >= w
	}
	rate := w / (serveShare * g.meanObjective)
	if g.fractionalWindow.Refill(g.now, rate, 1) < 1 {
		g.wakeBy(g.now + seconds((1-g.fractionalWindow.Amount)/rate) + g.settings.ClockResolution)
	}
	return g.fractionalWindow.Amount < 1 || out > 0
}

// dispatch sends on what may go: repeats first, then classes by their shares while the window has room.
func (g *Controller) dispatch() {
	waiting := g.waitingRetries
	g.waitingRetries = g.waitingRetries[len(g.waitingRetries):]
	for _, r := range waiting {
		if !r.ended {
			g.retry(r, 1)
		}
	}
	for {
		c := g.nextClass()
		if c == nil {
			return
		}
		if g.windowFull() {
			g.windowWasFull = true
			return
		}
		r := c.queue[0]
		b := g.selectBackend(r)
		if b == nil {
			g.wakeBy(g.now + g.shortestObjective/beatsPerAim)
			return
		}
		c.queue = c.queue[1:]
		g.chargeCredit(c)
		g.fractionalWindow.Amount--
		g.startAttempt(r, b)
	}
}

// expireQueued ends held requests that cannot be in time, also behind queue heads: budgets differ.
func (g *Controller) expireQueued() {
	margin := g.shortestObjective / beatsPerAim * 2
	for _, c := range g.classesByWeight {
		for _, r := range c.queue {
			if at := g.latestStart(r) - margin; !r.ended && g.now > at {
				g.rejections.QueueTimeout++
				g.endUnserved(r)
			} else if !r.ended {
				g.wakeBy(at + g.settings.ClockResolution)
			}
		}
	}
}

// nextClass drops what can no longer be in time from the queue heads and picks the class that is due.
func (g *Controller) nextClass() *requestClass {
	var next *requestClass
	for _, c := range g.classesByWeight {
		for len(c.queue) > 0 {
			r := c.queue[0]
			if !r.ended && g.now <= g.latestStart(r) {
				break
			}
			c.queue = c.queue[1:]
			if !r.ended {
				g.rejections.QueueTimeout++
				g.endUnserved(r)
			}
		}
		if len(c.queue) > 0 && (next == nil || c.credit > next.credit) {
			next = c
		}
	}
	return next
}

func (g *Controller) startAttempt(r *request, b *backend) {
	if r.queued {
		r.queued = false
		r.customer.queued--
		r.customer.account.MarkSent(r.Units)
		g.retryTokens = min(g.retryTokens+retryShare, g.maxRetryTokens)
	}
	g.wakeBy(g.now + seconds(stuckTimes*r.class.expectedLatency()) + g.settings.ClockResolution)
	g.attemptRate.Add(g.now, 1, g.memorySeconds)
	r.startAt(b, g.now)
	g.syncSlots(r.customer)
	send := StartAttempt{Request: r.ID, Backend: b.ID, Deadline: r.deadline, Recovery: g.recoveryLeased() && g.recoveryDue(b)}
	if r.mayHaveRunOn != nil && r.class.Idempotency == IdempotentByKey { // a connection may be long in coming
		send.StartBefore = r.deduplicatedUntil()
	}
	g.emit(send)
}

// onAttemptFinished books how an attempt ended and sees to the request's next step.
func (g *Controller) onAttemptFinished(ev *AttemptFinished) {
	r := g.requests[ev.Request]
	if r == nil || r.backend == nil || ev.Attempt != r.attempts-1 {
		return
	}
	b := r.finishAttempt()
	if r.retryPrepaid {
		r.retryPrepaid = false
		g.retryTokens++
	}
	g.syncSlots(r.customer)
	g.ledger.ReleaseSlot(r.customer.account, g.now) // a freed place is wanted soon
	g.onLoadReport(b, ev.Report)
	g.recordResult(b, r, ev)
	if !ev.Result.NeverRan() && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunFrom = b, r.sentAt
	}
	switch {
	case ev.Result == Succeeded && !r.ended:
		g.recordCompletion(r)
		g.release(r)
	case ev.Final || r.ended:
		g.release(r)
	case ev.Result.NeverRan():
		g.retry(r, retryTurned)
	default:
		g.retry(r, 1)
	}
	g.dispatch()
}

// retry sends a request once more, lets it wait for a backend, or ends it.
func (g *Controller) retry(r *request, price float64) {
	if !g.shouldRetry(r, price) {
		g.rejections.RetriesExhausted++
		g.endUnserved(r)
		return
	}
	b := g.selectBackend(r)
	if b == nil {
		g.waitingRetries = append(g.waitingRetries, r)
		g.wakeBy(g.now + g.shortestObjective/beatsPerAim)
		return
	}
	g.retryTokens -= price
	g.startAttempt(r, b)
}

// shouldRetry tells whether another attempt is lawful, affordable and of use.
func (g *Controller) shouldRetry(r *request, price float64) bool {
	return g.mayRetry(r) && r.attempts < max(g.settings.MaxAttempts, 1) && g.retryTokens >= price &&
		g.now+seconds(r.class.meanLatency) <= r.usefulUntil
}

// mayRetry tells whether another attempt may go out: a keyed one only while repeats are dropped for sure,
// also where the one that is out is called off first, as it may have run.
func (g *Controller) mayRetry(r *request) bool {
	mayRun := r.mayHaveRunOn != nil || r.backend != nil
	return !mayRun || r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentByKey && g.now < r.deduplicatedUntil()
}

// deduplicatedUntil is when repeats of a keyed request that may have run are no longer dropped for sure.
func (r *request) deduplicatedUntil() time.Duration {
	first := r.mayHaveRunFrom
	if r.mayHaveRunOn == nil {
		first = r.sentAt
	}
	return first + r.class.IdempotencyWindow - r.class.IdempotencyWindow/10
}

// endUnserved refuses a request where a new try is harmless, and fails it otherwise.
func (g *Controller) endUnserved(r *request) {
	harmless := r.mayHaveRunOn == nil && r.backend == nil || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotentByKey && r.class.IdempotencyScope == ScopeAll && r.backend == nil
	if harmless {
		g.emit(Reject{Request: r.ID, RetryAfter: g.settings.MaxRetryAfter})
	} else {
		g.emit(Fail{Request: r.ID})
	}
	g.recordCompletion(r)
	g.release(r)
}

// release forgets a request once nothing of it is out, and gives back what it held of its quota.
func (g *Controller) release(r *request) {
	if r.queued {
		r.queued = false
		r.customer.queued--
		g.syncSlots(r.customer)
		g.ledger.Refund(r.customer.account, r.Units, g.now)
	}
	if r.backend != nil && !r.ended && !r.canceled && !r.responding && g.settings.MayCancel {
		r.canceled = true
		g.emit(CancelAttempt{Request: r.ID, Attempt: r.attempts - 1})
	}
	if r.ended = true; r.backend == nil {
		delete(g.requests, r.ID)
	}
}

// touchCustomer finds a request's customer.
func (g *Controller) touchCustomer(ev *Request) *customer {
	c := g.lookupCustomer(ev)
	if c.meanUnits == 0 {
		c.meanUnits = max(ev.Units, 1)
	}
	c.lastSeen = g.now
	c.meanUnits += momentWeight * (ev.Units - c.meanUnits)
	return c
}

// leastAdmissionProbability is the least chance of being inside the quota at which a request is worth sending: what it
// pays inside, against what it costs beyond less what it earns there.
func leastAdmissionProbability(p Plan) float64 {
	loss := max(p.OverQuotaCost-p.ExcessFraction, 0)
	return loss / (1 + loss)
}

// reserveQuota acts on what the ledger says of a request; last, it is not to wait any longer.
func (g *Controller) reserveQuota(r *request, last bool) (settled bool) {
	word, wait := g.ledger.Reserve(r.customer.account, r.Units, last, g.now)
	if word == quota.Pending {
		return false
	}
	g.onQuotaDecision(r, word == quota.Granted, wait)
	return true
}

// waitForGrant keeps a request until the others' word, which the ledger has asked for.
func (g *Controller) waitForGrant(r *request) {
	c := r.customer
	c.waiting = append(c.waiting, r)
	g.ledger.Counts.Waited++
	if !c.waitsForGrant {
		c.waitsForGrant, g.customersWaiting = true, append(g.customersWaiting, c)
	}
	g.wakeBy(g.now + g.shortestObjective/beatsPerAim)
}

// grantDeadline is when a request that waits for a word goes by what is known here.
func (g *Controller) grantDeadline(r *request) time.Duration {
	margin := g.shortestObjective / beatsPerAim * 2
	return min(r.receivedAt+seconds(askMost*g.shortestObjective.Seconds()), r.receivedAt+(g.latestStart(r)-r.receivedAt)/2) - margin
}

// settleWaiting sees to requests that wait for a word: each goes by what has come, and the last by what is known
// here once there is no more time.
func (g *Controller) settleWaiting() {
	for _, c := range g.waitingCustomers() {
		asks := c.waiting
		c.waiting = nil
		for i, r := range asks {
			switch at := g.grantDeadline(r); {
			case r.ended:
			case g.reserveQuota(r, g.now >= at):
			default: // the ones behind it would only take what it waits for
				c.waiting = append(c.waiting, asks[i:]...)
				g.wakeBy(min(at, g.now+g.shortestObjective/beatsPerAim*2) + g.settings.ClockResolution)
			}
			if len(c.waiting) > 0 {
				break
			}
		}
	}
}

// handlePeerMessage takes a peer's message in.
func (g *Controller) handlePeerMessage(ev *PeerMessage) {
	m, p, ok := g.receiveMessage(ev)
	if !ok {
		return
	}
	g.upstreamPressure += strainPeer * (float64(m.Pressure)/64 - g.upstreamPressure)
	for _, a := range m.Requests {
		g.ledger.HandleRequest(p.number, a, g.now)
	}
	if m.ReceiverEpoch == g.settings.Epoch {
		for _, a := range m.Grants {
			g.ledger.HandleGrant(p.number, a, g.now)
		}
	}
	g.settleWaiting()
	for _, s := range m.Observations {
		g.mergeObservation(s)
	}
}

// startShutdown gives the quotas up for the others, and tells them so more than once, as messages are lost, and at
// once, as the program may end any moment. What comes in from now on is refused: its units may be taken.
func (g *Controller) startShutdown() {
	g.leaving = true
	times := leaveTold
	if g.messageInterval > 0 { // in a large tier the few who ask find out as well
		times = 1
	}
	for range times {
		for who := range g.settings.Limiters {
			if who != g.settings.Self && g.gossips() {
				g.sendPeerMessage(g.peer(who))
			}
		}
	}
}

// inferRecovery makes out from the first reports whether the tier is new: backends that are at work already had
// others before. Trouble: a limiter that lost all it knew, with all others, gave every
// customer a fresh burst.
func (g *Controller) inferRecovery(b *backend, busy float64) {
	if g.ledger.Recovery() != quota.RecoveryUnknown || busy < 0 || b.initialReportSeen {
		return
	}
	b.initialReportSeen = true
	g.initialUtilizations = append(g.initialUtilizations, busy)
	if len(g.initialUtilizations) < min(startLook, len(g.backends)) {
		return
	}
	standing, sum := quota.TierStarted, 0.0
	for _, v := range g.initialUtilizations {
		sum += v
	}
	if sum > startBusy*float64(len(g.initialUtilizations)) {
		standing = quota.TierRestarted
	}
	g.ledger.Resolve(standing, g.now)
	g.settleWaiting()
}

// mergeObservation takes in what a peer knows of a backend, if it is newer; whoever is wrong, the next is newer.
func (g *Controller) mergeObservation(s gossip.Observation) {
	b := g.backendsByGossipKey[s.Backend]
	at := g.now - seconds(float64(s.Age)/sightSteps*g.shortestObjective.Seconds())
	if b == nil || at <= max(b.observedAt, b.StartedAt) {
		return
	}
	b.relativeLoad = min(max(math.Exp2((float64(s.Load)-128)/16), 1/sightMost), sightMost)
	b.failureRate = float64(s.FailureRate) / math.MaxUint8
	g.announce(b, at)
	switch {
	case b.failureRate > gonePeer && b.lastResponseAt < at && b.ejectedUntil == 0:
		g.eject(b)
	case b.failureRate < failBack && b.ejectedUntil > 0:
		b.ejectedUntil, b.consecutiveEjections = 0, 0
	}
}

// onLoadReport reads a backend's load; only how it compares with its fellows counts, whatever the unit.
func (g *Controller) onLoadReport(b *backend, values []float64) {
	held, each, busy, ok := parseLoadReport(g.settings.LoadReportFields, values)
	if !ok {
		return
	}
	g.inferRecovery(b, busy)
	load := max(each, 1) * (max(held, 0) + 1)
	if held < 0 && busy >= 0 {
		load /= max(1+busyMargin-busy, busyMargin)
	}
	if g.meanLoad == 0 {
		g.meanLoad = load
	}
	g.meanLoad += momentWeight * (min(load, sightMost*g.meanLoad) - g.meanLoad)
	b.relativeLoad = min(max(load/g.meanLoad, 1/sightMost), sightMost)
	g.announce(b, g.now)
}

// probeStaleBackend probes a backend of which nothing new is known; where answers come often enough there is none.
func (g *Controller) probeStaleBackend() {
	if !g.settings.MayProbe || len(g.settings.LoadReportFields) == 0 || len(g.backends) == 0 {
		return
	}
	n, _ := g.usableSubset()
	b := g.backends[g.random.IntN(n)]
	each := float64(len(g.backends)) / float64(g.settings.Limiters)
	if (g.now-max(b.observedAt, b.lastResponseAt)).Seconds() > probeAims*g.shortestObjective.Seconds() &&
		g.probeAllowance.Refill(g.now, each/(probeRound*g.longestObjective.Seconds()), 1) >= 1 {
		g.probeAllowance.Amount--
		g.emit(ProbeBackend{Backend: b.ID})
	}
}

// runControlLoop sets the shares of the next period and the window.
func (g *Controller) runControlLoop() {
	if g.firstRequestAt > 0 && g.now-g.firstRequestAt > g.longestObjective { // no backend tells how busy it is
		g.ledger.Resolve(quota.TierStarted, g.now)
	}
	g.ledger.Tick(g.now)
	period, window := g.controlPeriod, g.window()
	sum, room, due, took, served := 0.0, math.Inf(1), 0.0, 0.0, 0.0
	want, base := make([]float64, len(g.classesByWeight)), make([]float64, len(g.classesByWeight))
	// Trouble: in a jam nothing is answered; what is out for long counts by its age. But once only while
	// what is answered comes soon: then answers are lost, and the window must not shut.
	for _, b := range g.backends {
		for _, r := range b.open {
			age, again := (g.now - r.sentAt).Seconds(), !r.ageRecorded || r.class.exceedsTarget()
			if age > r.class.backendTarget() && again && !b.ejected() {
				r.ageRecorded = true
				r.class.recordAttemptLatency(age)
			}
		}
	}
	for i, c := range g.classesByWeight {
		rate := float64(c.arrivals) / period
		if c.arrivalRate > 0 {
			rate = min(rate, spikeMost*c.arrivalRate+1/period)
		}
		c.arrivalRate += blend * (rate - c.arrivalRate)
		x, x2 := c.meanLatency/window, c.meanSquaredLatency/(window*window)
		base[i] = clampShare(queueing.Share(c.arrivalRate, x, x2, c.LatencyObjective.Seconds()))
		want[i] = base[i]
		if c.completed > 0 {
			e := c.LatencyObjective.Seconds() - c.latencySum/float64(c.completed)
			want[i] = clampShare(base[i] + shareCorrection(e, c.arrivalRate, x, x2, base[i]))
		}
		sum += want[i]
		if c.attemptsMeasured >= windowLook && (c.Weight > g.classesByWeight[len(g.classesByWeight)-1].Weight || i == 0) {
			room = min(room, c.backendTarget()*float64(c.attemptsMeasured)/c.attemptLatencySum)
		}
		due += c.backendTarget() * float64(c.attemptsMeasured)
		c.idleLatency = min(c.meanLatency, cmp.Or(c.idleLatency, c.meanLatency)*(1+idleDrift))
		took += c.attemptLatencySum
		served += float64(c.attemptsMeasured)
		c.arrivals, c.completed, c.latencySum, c.attemptsMeasured, c.attemptLatencySum = 0, 0, 0, 0, 0
	}
	if sum > 1 {
		// Infeasible together: the less preferred go uncorrected and take what is left.
		left := 1.0
		for i := range want {
			if want[i] > left {
				want[i] = clampShare(min(base[i], left))
			}
			left = max(left-want[i], 0)
		}
	}
	for i, w := range normalize(want) {
		g.classesByWeight[i].share = w
	}
	g.upstreamPressure += served / (served + strainLook) * (took/max(due, 1e-9) - g.upstreamPressure)
	room = min(room, 1/max(g.upstreamPressure, shareLeast))
	g.measureQuotaRate()
	g.medianLatencyPerAttempt = g.measureMedianLatency()
	if room < 1 && served > 0 || room >= 1 && g.windowWasFull {
		g.windowScale = min(max(g.windowScale*min(max(room, windowCut), windowGrow), windowLeast), windowMost)
	}
	g.windowWasFull = false
}

// window is how many attempts may be out before the shares bind: what the quotas served here keep out
// in the backends' part of the aims (Little's law), scaled by how the aims are met.
func (g *Controller) window() float64 {
	each := float64(len(g.backends)) / float64(g.settings.Limiters)
	usual := max(g.quotaRate*serveShare*g.meanObjective, windowStart*each) + windowChance
	return max(usual*g.windowScale, windowFloor*each)
}

// recordAttemptLatency books an attempt against the window, a stuck one for little, or a few would shut it for all.
func (c *requestClass) recordAttemptLatency(x float64) {
	c.attemptsMeasured++
	c.attemptLatencySum += min(x, c.backendTarget()/windowCut)
}

// backendTarget is the part of the aim meant for the backend. Trouble: no window brings latency under what idle
// backends take, and one that tries ends shut; so it is twice that at least.
func (c *requestClass) backendTarget() float64 {
	return max(serveShare*c.LatencyObjective.Seconds(), min(idleTimes*c.idleLatency, 2*serveShare*c.LatencyObjective.Seconds()))
}

// measureQuotaRate adds up the requests a second that this gateway's parts of the quotas allow.
func (g *Controller) measureQuotaRate() {
	g.quotaRate = 0
	g.forgetIdleCustomers()
	for _, c := range g.customerOrder {
		if c.setSize == 0 || g.now-c.lastSeen > seconds(memoryAims*g.longestObjective.Seconds()) {
			continue
		}
		rate := c.plan.Rate / max(c.meanUnits, 1)
		if c.plan.Rate <= 0 {
			rate = float64(c.plan.MaxConcurrent) / max(g.meanObjective*serveShare, 1e-3)
		}
		g.quotaRate += rate / float64(c.setSize)
	}
}

// shareCorrection turns a latency error e into a part of the Newton step e/s in share, s being the slope of
// latency over share: below zero, so a late class, with e below zero, gains.
func shareCorrection(e, l, x, x2, b float64) float64 {
	if x <= 0 {
		return 0
	}
	return min(max(gain*e/queueing.Slope(l, x, x2, b, shareLeast), -stepMost), stepMost)
}

// selectBackend picks the backend for the next attempt: the one expected to answer soonest, among a few at
// random that it keeps to, more where the rules allow none. Trouble: hundreds of gateways would rush to the
// best one; and where each of 300 spread its few requests over all of 150, nearly each opened a connection,
// and the backends had no room for these.
func (g *Controller) selectBackend(r *request) *backend {
	var best, cold *backend
	least, warm := math.Inf(1), false
	n, bear := g.usableSubset()
	look := min(max(int(lookFleet*float64(n)/float64(g.settings.Limiters)), lookLeast), n)
	for i, from := 0, g.random.IntN(max(n, 1)); i < len(g.backends) && (i < look || !warm || least > 1e2); i++ {
		b := g.backends[i]
		if i < n {
			b = g.backends[(from+i)%n]
		}
		if !g.allowsRetryAt(r, b) || b.rejectedUntil[g.rejectionKind(r)] > g.now {
			continue
		}
		if warm = warm || g.warmUpFraction(b) == 1; g.warmUpFraction(b) < 1 {
			if cold == nil || g.warmUpFraction(cold) < g.warmUpFraction(b) {
				cold = b
			}
			if i >= look || !g.admitsWarmingUp(b, look, n, bear) {
				continue
			}
		}
		cost := g.backendCost(b) * g.costNoise()
		switch {
		case g.recoveryDue(b) && len(b.open) == 0 && r.class.Idempotency == Idempotent && r.attempts == 0:
			cost = 0 // one safe request at a time: at low load it would never come back
		case b.ejected():
			cost += 1e6 // only when there is nothing else
		case slices.Contains(r.attempted, b):
			cost += 1e3
		}
		if cost < least {
			best, least = b, cost
		}
	}
	rate := coldMargin * g.attemptRate.Value(g.now, g.memorySeconds) * bear / (coldFleet * float64(max(n, 1)))
	if !warm && cold != nil {
		if best = nil; g.slowStartAllowance.Refill(g.now, rate, 1) >= 1 {
			g.slowStartAllowance.Amount, best = g.slowStartAllowance.Amount-1, cold
		}
	}
	return best
}

// costNoise is what a cost is multiplied by in a large tier: with all of it, a backend is taken in proportion
// to one over its cost. Trouble: 80 gateways know the same of a backend, a second late; the least told had
// 23 attempts out and the others none, and a second later it was the other way round.
func (g *Controller) costNoise() float64 {
	part := min(max(float64(g.settings.Limiters)/tellSenders-1, 0), 1)
	return math.Pow(g.random.ExpFloat64(), part)
}

// allowsRetryAt keeps the keyed repeats within the group that drops them.
func (g *Controller) allowsRetryAt(r *request, b *backend) bool {
	if r.mayHaveRunOn == nil || r.class.Idempotency == Idempotent || r.class.IdempotencyScope == ScopeAll {
		return true
	}
	return b.Zone == r.mayHaveRunOn.Zone && (r.class.IdempotencyScope == ScopeZone || b.Cell == r.mayHaveRunOn.Cell)
}

// backendCost is the latency to expect of a backend, in class means.
func (g *Controller) backendCost(b *backend) float64 {
	fade := g.freshness(b)
	fade *= b.samples * fade / (b.samples*fade + ownAnswers) // one answer tells little: work differs
	told := g.gossipFreshness(b)
	unseen := unseenSlope * g.medianLatencyPerAttempt * (1 + told*(b.relativeLoad-1)) // others saw what this gateway did not
	cost := (unseen*(1-fade) + b.latencyPerAttempt*fade) * float64(len(b.open)+1)
	cost /= told + (1-told)*g.warmUpFraction(b) // what is told of it has its coldness in it
	if len(b.open) > 0 {
		old := b.open[0] // its age bounds the latency from below: it may take work and never answer
		age := (g.now - old.sentAt).Seconds() / (stuckTimes / 2 * max(old.class.meanLatency, 1e-3))
		cost *= max(age, 1)
	}
	cost *= 1 + failDear*b.failureRate*max(fade, told)
	return cost
}

// recordResult books an outcome with its backend.
func (g *Controller) recordResult(b *backend, r *request, ev *AttemptFinished) {
	c := r.class
	if (!r.ageRecorded || c.exceedsTarget()) && (ev.Result == Succeeded || ev.Result == TimedOut || ev.Result == Canceled) {
		c.recordAttemptLatency(ev.Latency.Seconds())
	}
	switch ev.Result {
	case Succeeded:
		x := ev.Latency.Seconds()
		c.recordLatency(x, spikeMost, momentWeight)
		part := (1 + others) * x / max(c.meanLatency, 1e-6) / (float64(r.openAtSend) + others)
		// What is known of a backend long unseen gives way to the new answer.
		b.samples = b.samples*g.freshness(b) + 1
		b.latencyPerAttempt += max(slopeWeight, 1/b.samples) * (min(part, spikeMost*spikeMost*b.latencyPerAttempt) - b.latencyPerAttempt)
		b.lastResponseAt = g.now
		b.failureRate -= failWeight * b.failureRate
		if len(g.settings.LoadReportFields) == 0 || ev.Report == nil && g.now-b.observedAt > g.longestObjective {
			b.relativeLoad = min(max(b.relativeLoad+sightWeight*(x/max(c.meanLatency, 1e-6)-b.relativeLoad), 1/sightMost), sightMost)
		}
		g.announce(b, g.now)
		if b.ejectedUntil > 0 && b.failureRate < failBack {
			b.ejectedUntil, b.consecutiveEjections = 0, 0
		}
	case Rejected:
		// Trouble: it turns away one plan or class and has room for the rest; only that kind stays away.
		b.avoidKind(g.rejectionKind(r), g.now+seconds(c.meanLatency)+turnedTimes*ev.Latency)
	case Unreachable:
		// Nothing listens there: one sign tells more than a share of failures.
		b.failureRate = 1
		g.announce(b, g.now)
		g.eject(b)
	default:
		called := ev.Result == Canceled && r.ended || ev.Result == TimedOut && !b.unresponsiveSince(r)
		if !called && ev.Result != NotSent { // not by the client, and it did not just take long
			g.recordFailure(b)
		}
	}
}

// recordFailure books a failure and ejects a backend that fails too often.
func (g *Controller) recordFailure(b *backend) {
	b.failureRate += failWeight * (1 - b.failureRate)
	g.announce(b, g.now)
	sound, _ := g.countUsable()
	spare := float64(sound-1) >= soundLeast*float64(len(g.backends))
	if b.ejectedUntil > 0 && b.ejectedUntil <= g.now || b.ejectedUntil == 0 && b.failureRate > failEject && spare {
		g.eject(b)
	}
}

// eject leaves a backend to trials, the first after a while that chance spreads: all gateways together try
// it as often as a few would alone, as who finds it well tells the others.
func (g *Controller) eject(b *backend) {
	if b.ejectedUntil > g.now {
		return
	}
	wait := trialAims * g.longestObjective.Seconds() * float64(int(1)<<min(b.consecutiveEjections, trialDoubles))
	if !g.recoveryLeased() {
		wait *= max(g.limitersPerBackend()/trialSenders, 1)
	}
	wait *= (1 + g.random.Float64()) / 1.5
	b.ejectedUntil = g.now + seconds(wait)
	b.consecutiveEjections++
}

// cancelStuckAttempts calls off attempts at backends gone silent while another elsewhere is of use.
func (g *Controller) cancelStuckAttempts() {
	for _, b := range g.backends {
		for _, r := range b.open {
			at := r.sentAt + seconds(stuckTimes*r.class.expectedLatency()) + g.settings.ClockResolution
			if g.now < at {
				g.wakeBy(at)
				break
			}
			free := g.settings.MayCancel && !r.ended && !r.canceled && !r.responding
			if free && b.unresponsiveSince(r) && g.shouldRetry(r, 1) {
				r.canceled, r.retryPrepaid = true, true
				g.retryTokens-- // or several called off at once would have one further attempt between them
				g.emit(CancelAttempt{Request: r.ID, Attempt: r.attempts - 1})
			}
		}
	}
}

// warmUpFraction is the least part of its capacity that a backend can have by now.
func (g *Controller) warmUpFraction(b *backend) float64 {
	age := g.now - b.StartedAt
	if b.StartedAt <= 0 || age >= g.settings.SlowStartDuration {
		return 1
	}
	from := max(g.settings.SlowStartFraction, shareLeast)
	return from + (1-from)*max(age.Seconds(), 0)/g.settings.SlowStartDuration.Seconds()
}

// admitsWarmingUp tells whether a cold backend may be looked at: as often as its warmth's part of a warm one's
// share, so that all gateways together, each by chance, send it no more than the warm ones bear. Its warmth
// is the least that it may have; where it is told to be idle it gets more, bounded well below what fells it.
// Trouble: with six in ten backends cold they stood idle, and the warm ones had 33 attempts each.
func (g *Controller) admitsWarmingUp(b *backend, look, near int, bear float64) bool {
	n := float64(near)
	more := 1 + g.gossipFreshness(b)*(min(max(1/b.relativeLoad, 1), coldTold)-1)
	return g.random.Float64() < more*coldMargin*g.warmUpFraction(b)*n/max(bear, coldFleet*n)/float64(look)
}

// gossipFreshness is how much of what was told of a backend still counts.
func (g *Controller) gossipFreshness(b *backend) float64 {
	return math.Exp(-(g.now - b.observedAt).Seconds() / (sightAims * g.memorySeconds))
}

// onEndpointList brings the backends up to date; what drains or is gone gets nothing more.
func (g *Controller) onEndpointList(ev *EndpointList) {
	if ev.Kind == ListFailed {
		g.pollDue = g.settings.PollEndpoints
		return
	}
	started, size := g.mergeEndpoints(ev), g.meanCapacity()
	for _, b := range started {
		b.latencyPerAttempt, b.lastResponseAt = 1, g.now
		if g.settings.CapacitiesKnown && b.RelativeCapacity > 0 && size > 0 {
			b.latencyPerAttempt = size / b.RelativeCapacity
		}
	}
	g.dispatch()
}
