package lemongate

// This file makes every decision, in the order a request meets them: admit (quota), dispatch (shares and
// window), choose (backend), outcome, end. Then the store and peer messages, the control loop, backend
// health, cold starts and the list. Events and actions are in api.go, what is remembered in state.go.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lemongate/internal/model"
	"lemongate/internal/peermsg"
	"lemongate/internal/quota"
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
func New(set Settings, seed uint64) *Gateway {
	g := newState(set, seed)
	g.retryMost = 1 + retryBurst/float64(g.set.Gateways)
	g.retryTokens, g.carry.amount = g.retryMost, 1
	g.scale, g.typical, g.strain = 1, 1, 1
	g.memory, g.period, g.forget = g.aimLong.Seconds(), periodAims*g.aimLong.Seconds(), forgetAims*g.aimLong
	g.wakeAt, g.dueAt = math.MaxInt64, math.MaxInt64
	if g.set.Gateways-1 > tellSenders {
		g.pause = seconds(1 / (tellUse * max(g.set.PeerInPerSec, 1)))
	}
	g.gap = seconds(float64(min(g.set.Gateways-1, tellSenders)) / (tellUse * max(g.set.PeerInPerSec, 1)))
	slices.SortStableFunc(g.preferred, func(a, b *class) int {
		return cmp.Or(cmp.Compare(b.Worth, a.Worth), cmp.Compare(a.Aim, b.Aim))
	})
	return g
}

// beat does what time alone brings about.
func (g *Gateway) beat() {
	if g.now < g.wakeAt {
		return // an earlier one was set since
	}
	g.wakeAt, g.dueAt = math.MaxInt64, math.MaxInt64
	if g.now >= g.nextPeriod {
		g.nextPeriod = g.now + seconds(g.period)
		g.control()
		if g.watch {
			g.watch = false
			g.do(Watch{})
		}
	}
	g.by(g.nextPeriod)
	g.unheard()
	g.expire()
	g.unstick()
	g.dispatch()
	for _, p := range g.telling {
		if at := max(p.due, p.paced); at > g.now { // what is due waits for the pace of all
			g.by(at)
		}
	}
}

// admit takes a request in: beyond its quota it is refused at once, otherwise sent on or held.
func (g *Gateway) admit(ev *Request) {
	c := g.byName[ev.Class]
	if c == nil {
		g.do(Refuse{Request: ev.ID})
		return
	}
	r := &request{Request: ev, class: c, customer: g.customer(ev), came: g.now, deadline: g.now + ev.Budget}
	if r.limit = min(r.came+c.Aim, r.deadline) - g.waited(c, ev); r.limit <= g.now {
		g.do(Refuse{Request: ev.ID, After: g.set.MaxRetryAfter})
		return
	}
	if g.left && r.customer.plan.Rate+r.customer.plan.CeilingRate > 0 {
		g.do(Refuse{Request: ev.ID})
		return
	}
	g.requests[ev.ID] = r
	g.look()
	if g.first == 0 {
		g.first = g.now
	}
	g.ledger.Demand(r.customer.account, ev.Units, g.now)
	if g.hopeless(r) { // before it takes units in vain
		return
	}
	if len(r.customer.asks) > 0 || !g.reserve(r, false) {
		g.hold(r)
	}
}

// decided goes on with a request whose quota is settled.
func (g *Gateway) decided(r *request, ok bool, wait time.Duration) {
	if !ok {
		g.turned.Beyond++
		g.do(Refuse{Request: r.ID, After: min(max(wait, 0), g.set.MaxRetryAfter)})
		g.over(r)
		return
	}
	r.class.arrivals++
	r.held = true
	r.customer.held++
	g.places(r.customer)
	if g.hopeless(r) {
		return
	}
	r.class.queue = append(r.class.queue, r)
	g.by(g.startBy(r))
	g.dispatch()
}

// hopeless ends a request that would wait longer for room than is of use.
func (g *Gateway) hopeless(r *request) bool {
	if !g.full() || g.wait(r.class) <= (g.startBy(r)-g.now).Seconds() {
		return false
	}
	g.turned.Full++
	g.end(r)
	return true
}

// waited tells how long a client has been waiting since its first try. Trouble: a repeat after the aim
// is worth nothing, yet takes units and a place. A try's budget is the usual one or what is left before
// the deadline. Where budgets just differ, nothing is told (incident iaef1fa).
func (g *Gateway) waited(c *class, ev *Request) time.Duration {
	same := g.aimShort / budgetSame
	c.budget(ev.Budget, same, budgetLeast)
	if c.usual == 0 || (ev.Budget-c.usual).Abs() <= same || g.set.MarksRetry && !ev.Retry {
		return 0
	}
	return max(c.Deadline-ev.Budget, 0)
}

func (g *Gateway) wait(c *class) float64 {
	return float64(len(c.queue)) / max(g.sendRate.value(g.now, g.memory)*c.share, 1)
}

// spare is the time that a held request must have left. Trouble: latencies seen in a jam would refuse
// all, and nothing better would ever be seen; so the backend's part of the aim bounds them.
func (g *Gateway) spare(c *class) float64 {
	return holdSpare * min(c.mean, serveShare*c.Aim.Seconds())
}

// startBy is when a held request must have been sent to be of use. Trouble: one that is refused after
// half of its time with nothing sent costs more than its worth, so by then it is sent or refused.
func (g *Gateway) startBy(r *request) time.Duration {
	return min(r.limit-seconds(g.spare(r.class)), r.came+seconds(holdPart*r.Budget.Seconds()))
}

// full tells whether the window binds; what is at ejected backends may never come back. Trouble: a window
// under one never opens; so its part of an attempt is carried over, and goes when none is out (ia3ba8e).
func (g *Gateway) full() bool {
	_, out := g.trusted()
	w := g.window()
	if w >= 1 {
		g.carry = saved{1, g.now}
		return float64(out) >= w
	}
	rate := w / (serveShare * g.meanAim)
	if g.carry.grow(g.now, rate) < 1 {
		g.by(g.now + seconds((1-g.carry.amount)/rate) + g.set.Tick)
	}
	return g.carry.amount < 1 || out > 0
}

// dispatch sends on what may go: repeats first, then classes by their shares while the window has room.
func (g *Gateway) dispatch() {
	waiting := g.retries
	g.retries = g.retries[len(g.retries):]
	for _, r := range waiting {
		if !r.over {
			g.again(r, 1)
		}
	}
	for {
		c := g.nextClass()
		if c == nil {
			return
		}
		if g.full() {
			g.bound = true
			return
		}
		r := c.queue[0]
		b := g.choose(r)
		if b == nil {
			g.by(g.now + g.aimShort/beatsPerAim)
			return
		}
		c.queue = c.queue[1:]
		g.turn(c)
		g.carry.amount--
		g.send(r, b)
	}
}

// expire ends held requests that cannot be in time, also behind queue heads: budgets differ.
func (g *Gateway) expire() {
	margin := g.aimShort / beatsPerAim * 2
	for _, c := range g.preferred {
		for _, r := range c.queue {
			if at := g.startBy(r) - margin; !r.over && g.now > at {
				g.turned.Held++
				g.end(r)
			} else if !r.over {
				g.by(at + g.set.Tick)
			}
		}
	}
}

// nextClass drops what can no longer be in time from the queue heads and picks the class that is due.
func (g *Gateway) nextClass() *class {
	var next *class
	for _, c := range g.preferred {
		for len(c.queue) > 0 {
			r := c.queue[0]
			if !r.over && g.now <= g.startBy(r) {
				break
			}
			c.queue = c.queue[1:]
			if !r.over {
				g.turned.Held++
				g.end(r)
			}
		}
		if len(c.queue) > 0 && (next == nil || c.credit > next.credit) {
			next = c
		}
	}
	return next
}

func (g *Gateway) send(r *request, b *backend) {
	if r.held {
		r.held = false
		r.customer.held--
		r.customer.account.Sent(r.Units)
		g.retryTokens = min(g.retryTokens+retryShare, g.retryMost)
	}
	g.by(g.now + seconds(stuckTimes*r.class.expected()) + g.set.Tick)
	g.sendRate.add(g.now, 1, g.memory)
	r.start(b, g.now)
	g.places(r.customer)
	send := Send{Request: r.ID, Backend: b.ID, GiveUp: r.deadline, Trial: g.alone() && g.due(b)}
	if r.maybe != nil && r.class.Effect == Keyed { // a connection may be long in coming
		send.Before = r.dropsUntil()
	}
	g.do(send)
}

// outcome books how an attempt ended and sees to the request's next step.
func (g *Gateway) outcome(ev *Outcome) {
	r := g.requests[ev.Request]
	if r == nil || r.at == nil || ev.Attempt != r.attempts-1 {
		return
	}
	b := r.stop()
	if r.saved {
		r.saved = false
		g.retryTokens++
	}
	g.places(r.customer)
	g.ledger.Freed(r.customer.account, g.now) // a freed place is wanted soon
	g.report(b, ev.Report)
	g.learn(b, r, ev)
	if !ev.Result.NeverRan() && r.maybe == nil {
		r.maybe, r.maybeAt = b, r.sent
	}
	switch {
	case ev.Result == Done && !r.over:
		g.finished(r)
		g.over(r)
	case ev.Final || r.over:
		g.over(r)
	case ev.Result.NeverRan():
		g.again(r, retryTurned)
	default:
		g.again(r, 1)
	}
	g.dispatch()
}

// again sends a request once more, lets it wait for a backend, or ends it.
func (g *Gateway) again(r *request, price float64) {
	if !g.retriable(r, price) {
		g.turned.Tried++
		g.end(r)
		return
	}
	b := g.choose(r)
	if b == nil {
		g.retries = append(g.retries, r)
		g.by(g.now + g.aimShort/beatsPerAim)
		return
	}
	g.retryTokens -= price
	g.send(r, b)
}

// retriable tells whether another attempt is lawful, affordable and of use.
func (g *Gateway) retriable(r *request, price float64) bool {
	return g.lawful(r) && r.attempts < max(g.set.MaxAttempts, 1) && g.retryTokens >= price &&
		g.now+seconds(r.class.mean) <= r.limit
}

// lawful tells whether another attempt may go out: a keyed one only while repeats are dropped for sure,
// also where the one that is out is called off first, as it may have run.
func (g *Gateway) lawful(r *request) bool {
	mayRun := r.maybe != nil || r.at != nil
	return !mayRun || r.class.Effect == Safe || r.class.Effect == Keyed && g.now < r.dropsUntil()
}

// dropsUntil is when repeats of a keyed request that may have run are no longer dropped for sure.
func (r *request) dropsUntil() time.Duration {
	first := r.maybeAt
	if r.maybe == nil {
		first = r.sent
	}
	return first + r.class.Window - r.class.Window/10
}

// end refuses a request where a new try is harmless, and fails it otherwise.
func (g *Gateway) end(r *request) {
	harmless := r.maybe == nil && r.at == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Group == GroupAll && r.at == nil
	if harmless {
		g.do(Refuse{Request: r.ID, After: g.set.MaxRetryAfter})
	} else {
		g.do(Fail{Request: r.ID})
	}
	g.finished(r)
	g.over(r)
}

// over forgets a request once nothing of it is out, and gives back what it held of its quota.
func (g *Gateway) over(r *request) {
	if r.held {
		r.held = false
		r.customer.held--
		g.places(r.customer)
		g.ledger.GiveBack(r.customer.account, r.Units, g.now)
	}
	if r.at != nil && !r.over && !r.called && !r.stream && g.set.MayCancel {
		r.called = true
		g.do(Cancel{Request: r.ID, Attempt: r.attempts - 1})
	}
	if r.over = true; r.at == nil {
		delete(g.requests, r.ID)
	}
}

// customer finds a request's customer.
func (g *Gateway) customer(ev *Request) *customer {
	c := g.lookup(ev)
	if c.units == 0 {
		c.units = max(ev.Units, 1)
	}
	c.seen = g.now
	c.units += momentWeight * (ev.Units - c.units)
	return c
}

// leastChance is the least chance of being inside the quota at which a request is worth sending: what it
// pays inside, against what it costs beyond less what it earns there.
func leastChance(p Plan) float64 {
	loss := max(p.Over-p.Excess, 0)
	return loss / (1 + loss)
}

// reserve acts on what the ledger says of a request; last, it is not to wait any longer.
func (g *Gateway) reserve(r *request, last bool) (settled bool) {
	word, wait := g.ledger.Reserve(r.customer.account, r.Units, last, g.now)
	if word == quota.Wait {
		return false
	}
	g.decided(r, word == quota.Granted, wait)
	return true
}

// hold keeps a request until the others' word, which the ledger has asked for.
func (g *Gateway) hold(r *request) {
	c := r.customer
	c.asks = append(c.asks, r)
	g.ledger.Count.Waited++
	if !c.waits {
		c.waits, g.asking = true, append(g.asking, c)
	}
	g.by(g.now + g.aimShort/beatsPerAim)
}

// wordBy is when a request that waits for a word goes by what is known here.
func (g *Gateway) wordBy(r *request) time.Duration {
	margin := g.aimShort / beatsPerAim * 2
	return min(r.came+seconds(askMost*g.aimShort.Seconds()), r.came+(g.startBy(r)-r.came)/2) - margin
}

// unheard sees to requests that wait for a word: each goes by what has come, and the last by what is known
// here once there is no more time.
func (g *Gateway) unheard() {
	for _, c := range g.waits() {
		asks := c.asks
		c.asks = nil
		for i, r := range asks {
			switch at := g.wordBy(r); {
			case r.over:
			case g.reserve(r, g.now >= at):
			default: // the ones behind it would only take what it waits for
				c.asks = append(c.asks, asks[i:]...)
				g.by(min(at, g.now+g.aimShort/beatsPerAim*2) + g.set.Tick)
			}
			if len(c.asks) > 0 {
				break
			}
		}
	}
}

// hear takes a peer's message in.
func (g *Gateway) hear(ev *PeerMessage) {
	m, p, ok := g.receive(ev)
	if !ok {
		return
	}
	g.strain += strainPeer * (float64(m.Strain)/64 - g.strain)
	for _, a := range m.Asks {
		g.ledger.Asked(p.number, a, g.now)
	}
	if m.You == g.set.Epoch {
		for _, a := range m.Answers {
			g.ledger.Answered(p.number, a, g.now)
		}
	}
	g.unheard()
	for _, s := range m.Sights {
		g.sighted(s)
	}
}

// leave gives the quotas up for the others, and tells them so more than once, as messages are lost, and at
// once, as the program may end any moment. What comes in from now on is refused: its units may be taken.
func (g *Gateway) leave() {
	g.left = true
	times := leaveTold
	if g.pause > 0 { // in a large tier the few who ask find out as well
		times = 1
	}
	for range times {
		for who := range g.set.Gateways {
			if who != g.set.Self && g.talks() {
				g.tell(g.peer(who))
			}
		}
	}
}

// settled makes out from the first reports whether the tier is new: backends that are at work already had
// others before. Trouble: a limiter that lost all it knew, with all others, gave every
// customer a fresh burst.
func (g *Gateway) settled(b *backend, busy float64) {
	if g.ledger.Standing() != quota.Unsure || busy < 0 || b.reported {
		return
	}
	b.reported = true
	g.starting = append(g.starting, busy)
	if len(g.starting) < min(startLook, len(g.backends)) {
		return
	}
	standing, sum := quota.Fresh, 0.0
	for _, v := range g.starting {
		sum += v
	}
	if sum > startBusy*float64(len(g.starting)) {
		standing = quota.Spent
	}
	g.ledger.Resolve(standing, g.now)
	g.unheard()
}

// sighted takes in what a peer knows of a backend, if it is newer; whoever is wrong, the next is newer.
func (g *Gateway) sighted(s peermsg.Sight) {
	b := g.byKey[s.Backend]
	at := g.now - seconds(float64(s.Age)/sightSteps*g.aimShort.Seconds())
	if b == nil || at <= max(b.heard, b.Started) {
		return
	}
	b.load = min(max(math.Exp2((float64(s.Load)-128)/16), 1/sightMost), sightMost)
	b.fails = float64(s.Fails) / math.MaxUint8
	g.spread(b, at)
	switch {
	case b.fails > gonePeer && b.seen < at && b.until == 0:
		g.eject(b)
	case b.fails < failBack && b.until > 0:
		b.until, b.doubts = 0, 0
	}
}

// report reads a backend's load; only how it compares with its fellows counts, whatever the unit.
func (g *Gateway) report(b *backend, values []float64) {
	held, each, busy, ok := readReport(g.set.ReportFields, values)
	if !ok {
		return
	}
	g.settled(b, busy)
	load := max(each, 1) * (max(held, 0) + 1)
	if held < 0 && busy >= 0 {
		load /= max(1+busyMargin-busy, busyMargin)
	}
	if g.meanLoad == 0 {
		g.meanLoad = load
	}
	g.meanLoad += momentWeight * (min(load, sightMost*g.meanLoad) - g.meanLoad)
	b.load = min(max(load/g.meanLoad, 1/sightMost), sightMost)
	g.spread(b, g.now)
}

// look probes a backend of which nothing new is known; where answers come often enough there is none.
func (g *Gateway) look() {
	if !g.set.MayProbe || len(g.set.ReportFields) == 0 || len(g.backends) == 0 {
		return
	}
	n, _ := g.near()
	b := g.backends[g.rng.IntN(n)]
	each := float64(len(g.backends)) / float64(g.set.Gateways)
	if (g.now-max(b.heard, b.seen)).Seconds() > probeAims*g.aimShort.Seconds() &&
		g.probes.grow(g.now, each/(probeRound*g.aimLong.Seconds())) >= 1 {
		g.probes.amount--
		g.do(Probe{Backend: b.ID})
	}
}

// control sets the shares of the next period and the window.
func (g *Gateway) control() {
	if g.first > 0 && g.now-g.first > g.aimLong { // no backend tells how busy it is
		g.ledger.Resolve(quota.Fresh, g.now)
	}
	g.ledger.Look(g.now)
	period, window := g.period, g.window()
	sum, room, due, took, served := 0.0, math.Inf(1), 0.0, 0.0, 0.0
	want, base := make([]float64, len(g.preferred)), make([]float64, len(g.preferred))
	// Trouble: in a jam nothing is answered; what is out for long counts by its age. But once only while
	// what is answered comes soon: then answers are lost, and the window must not shut.
	for _, b := range g.backends {
		for _, r := range b.open {
			age, again := (g.now - r.sent).Seconds(), !r.aged || r.class.late()
			if age > r.class.part() && again && !b.ejected() {
				r.aged = true
				r.class.took(age)
			}
		}
	}
	for i, c := range g.preferred {
		rate := float64(c.arrivals) / period
		if c.rate > 0 {
			rate = min(rate, spikeMost*c.rate+1/period)
		}
		c.rate += blend * (rate - c.rate)
		x, x2 := c.mean/window, c.mean2/(window*window)
		base[i] = clamp(model.Share(c.rate, x, x2, c.Aim.Seconds()))
		want[i] = base[i]
		if c.ended > 0 {
			e := c.Aim.Seconds() - c.latency/float64(c.ended)
			want[i] = clamp(base[i] + correction(e, c.rate, x, x2, base[i]))
		}
		sum += want[i]
		if c.served >= windowLook && (c.Worth > g.preferred[len(g.preferred)-1].Worth || i == 0) {
			room = min(room, c.part()*float64(c.served)/c.work)
		}
		due += c.part() * float64(c.served)
		c.idle = min(c.mean, cmp.Or(c.idle, c.mean)*(1+idleDrift))
		took += c.work
		served += float64(c.served)
		c.arrivals, c.ended, c.latency, c.served, c.work = 0, 0, 0, 0, 0
	}
	if sum > 1 {
		// Infeasible together: the less preferred go uncorrected and take what is left.
		left := 1.0
		for i := range want {
			if want[i] > left {
				want[i] = clamp(min(base[i], left))
			}
			left = max(left-want[i], 0)
		}
	}
	for i, w := range normalise(want) {
		g.preferred[i].share = w
	}
	g.strain += served / (served + strainLook) * (took/max(due, 1e-9) - g.strain)
	room = min(room, 1/max(g.strain, shareLeast))
	g.measureQuotas()
	g.typical = g.medianSlope()
	if room < 1 && served > 0 || room >= 1 && g.bound {
		g.scale = min(max(g.scale*min(max(room, windowCut), windowGrow), windowLeast), windowMost)
	}
	g.bound = false
}

// window is how many attempts may be out before the shares bind: what the quotas served here keep out
// in the backends' part of the aims (Little's law), scaled by how the aims are met.
func (g *Gateway) window() float64 {
	each := float64(len(g.backends)) / float64(g.set.Gateways)
	usual := max(g.quotas*serveShare*g.meanAim, windowStart*each) + windowChance
	return max(usual*g.scale, windowFloor*each)
}

// took books an attempt against the window, a stuck one for little, or a few would shut it for all.
func (c *class) took(x float64) {
	c.served++
	c.work += min(x, c.part()/windowCut)
}

// part is the part of the aim meant for the backend. Trouble: no window brings latency under what idle
// backends take, and one that tries ends shut; so it is twice that at least.
func (c *class) part() float64 {
	return max(serveShare*c.Aim.Seconds(), min(idleTimes*c.idle, 2*serveShare*c.Aim.Seconds()))
}

// measureQuotas adds up the requests a second that this gateway's parts of the quotas allow.
func (g *Gateway) measureQuotas() {
	g.quotas = 0
	g.dropIdle()
	for _, c := range g.order {
		if c.size == 0 || g.now-c.seen > seconds(memoryAims*g.aimLong.Seconds()) {
			continue
		}
		rate := c.plan.Rate / max(c.units, 1)
		if c.plan.Rate <= 0 {
			rate = float64(c.plan.Open) / max(g.meanAim*serveShare, 1e-3)
		}
		g.quotas += rate / float64(c.size)
	}
}

// correction turns a latency error e into a part of the Newton step e/s in share, s being the slope of
// latency over share: below zero, so a late class, with e below zero, gains.
func correction(e, l, x, x2, b float64) float64 {
	if x <= 0 {
		return 0
	}
	return min(max(gain*e/model.Slope(l, x, x2, b, shareLeast), -stepMost), stepMost)
}

// choose picks the backend for the next attempt: the one expected to answer soonest, among a few at
// random that it keeps to, more where the rules allow none. Trouble: hundreds of gateways would rush to the
// best one; and where each of 300 spread its few requests over all of 150, nearly each opened a connection,
// and the backends had no room for these.
func (g *Gateway) choose(r *request) *backend {
	var best, cold *backend
	least, warm := math.Inf(1), false
	n, bear := g.near()
	look := min(max(int(lookFleet*float64(n)/float64(g.set.Gateways)), lookLeast), n)
	for i, from := 0, g.rng.IntN(max(n, 1)); i < len(g.backends) && (i < look || !warm || least > 1e2); i++ {
		b := g.backends[i]
		if i < n {
			b = g.backends[(from+i)%n]
		}
		if !g.allowed(r, b) || b.turned[g.kind(r)] > g.now {
			continue
		}
		if warm = warm || g.warmth(b) == 1; g.warmth(b) < 1 {
			if cold == nil || g.warmth(cold) < g.warmth(b) {
				cold = b
			}
			if i >= look || !g.coldRoom(b, look, n, bear) {
				continue
			}
		}
		cost := g.cost(b) * g.doubt()
		switch {
		case g.due(b) && len(b.open) == 0 && r.class.Effect == Safe && r.attempts == 0:
			cost = 0 // one safe request at a time: at low load it would never come back
		case b.ejected():
			cost += 1e6 // only when there is nothing else
		case slices.Contains(r.tried, b):
			cost += 1e3
		}
		if cost < least {
			best, least = b, cost
		}
	}
	rate := coldMargin * g.sendRate.value(g.now, g.memory) * bear / (coldFleet * float64(max(n, 1)))
	if !warm && cold != nil {
		if best = nil; g.cold.grow(g.now, rate) >= 1 {
			g.cold.amount, best = g.cold.amount-1, cold
		}
	}
	return best
}

// doubt is what a cost is multiplied by in a large tier: with all of it, a backend is taken in proportion
// to one over its cost. Trouble: 80 gateways know the same of a backend, a second late; the least told had
// 23 attempts out and the others none, and a second later it was the other way round.
func (g *Gateway) doubt() float64 {
	part := min(max(float64(g.set.Gateways)/tellSenders-1, 0), 1)
	return math.Pow(g.rng.ExpFloat64(), part)
}

// allowed keeps the keyed repeats within the group that drops them.
func (g *Gateway) allowed(r *request, b *backend) bool {
	if r.maybe == nil || r.class.Effect == Safe || r.class.Group == GroupAll {
		return true
	}
	return b.Zone == r.maybe.Zone && (r.class.Group == GroupZone || b.Cell == r.maybe.Cell)
}

// cost is the latency to expect of a backend, in class means.
func (g *Gateway) cost(b *backend) float64 {
	fade := g.fade(b)
	fade *= b.answers * fade / (b.answers*fade + ownAnswers) // one answer tells little: work differs
	told := g.told(b)
	unseen := unseenSlope * g.typical * (1 + told*(b.load-1)) // others saw what this gateway did not
	cost := (unseen*(1-fade) + b.slope*fade) * float64(len(b.open)+1)
	cost /= told + (1-told)*g.warmth(b) // what is told of it has its coldness in it
	if len(b.open) > 0 {
		old := b.open[0] // its age bounds the latency from below: it may take work and never answer
		age := (g.now - old.sent).Seconds() / (stuckTimes / 2 * max(old.class.mean, 1e-3))
		cost *= max(age, 1)
	}
	cost *= 1 + failDear*b.fails*max(fade, told)
	return cost
}

// learn books an outcome with its backend.
func (g *Gateway) learn(b *backend, r *request, ev *Outcome) {
	c := r.class
	if (!r.aged || c.late()) && (ev.Result == Done || ev.Result == TimedOut || ev.Result == Canceled) {
		c.took(ev.Latency.Seconds())
	}
	switch ev.Result {
	case Done:
		x := ev.Latency.Seconds()
		c.moments(x, spikeMost, momentWeight)
		part := (1 + others) * x / max(c.mean, 1e-6) / (float64(r.depth) + others)
		// What is known of a backend long unseen gives way to the new answer.
		b.answers = b.answers*g.fade(b) + 1
		b.slope += max(slopeWeight, 1/b.answers) * (min(part, spikeMost*spikeMost*b.slope) - b.slope)
		b.seen = g.now
		b.fails -= failWeight * b.fails
		if len(g.set.ReportFields) == 0 || ev.Report == nil && g.now-b.heard > g.aimLong {
			b.load = min(max(b.load+sightWeight*(x/max(c.mean, 1e-6)-b.load), 1/sightMost), sightMost)
		}
		g.spread(b, g.now)
		if b.until > 0 && b.fails < failBack {
			b.until, b.doubts = 0, 0
		}
	case TurnedAway:
		// Trouble: it turns away one plan or class and has room for the rest; only that kind stays away.
		b.avoid(g.kind(r), g.now+seconds(c.mean)+turnedTimes*ev.Latency)
	case Unreachable:
		// Nothing listens there: one sign tells more than a share of failures.
		b.fails = 1
		g.spread(b, g.now)
		g.eject(b)
	default:
		called := ev.Result == Canceled && r.over || ev.Result == TimedOut && !b.silent(r)
		if !called && ev.Result != NotSent { // not by the client, and it did not just take long
			g.failed(b)
		}
	}
}

// failed books a failure and ejects a backend that fails too often.
func (g *Gateway) failed(b *backend) {
	b.fails += failWeight * (1 - b.fails)
	g.spread(b, g.now)
	sound, _ := g.trusted()
	spare := float64(sound-1) >= soundLeast*float64(len(g.backends))
	if b.until > 0 && b.until <= g.now || b.until == 0 && b.fails > failEject && spare {
		g.eject(b)
	}
}

// eject leaves a backend to trials, the first after a while that chance spreads: all gateways together try
// it as often as a few would alone, as who finds it well tells the others.
func (g *Gateway) eject(b *backend) {
	if b.until > g.now {
		return
	}
	wait := trialAims * g.aimLong.Seconds() * float64(int(1)<<min(b.doubts, trialDoubles))
	if !g.alone() {
		wait *= max(g.sharers()/trialSenders, 1)
	}
	wait *= (1 + g.rng.Float64()) / 1.5
	b.until = g.now + seconds(wait)
	b.doubts++
}

// unstick calls off attempts at backends gone silent while another elsewhere is of use.
func (g *Gateway) unstick() {
	for _, b := range g.backends {
		for _, r := range b.open {
			at := r.sent + seconds(stuckTimes*r.class.expected()) + g.set.Tick
			if g.now < at {
				g.by(at)
				break
			}
			free := g.set.MayCancel && !r.over && !r.called && !r.stream
			if free && b.silent(r) && g.retriable(r, 1) {
				r.called, r.saved = true, true
				g.retryTokens-- // or several called off at once would have one further attempt between them
				g.do(Cancel{Request: r.ID, Attempt: r.attempts - 1})
			}
		}
	}
}

// warmth is the least part of its capacity that a backend can have by now.
func (g *Gateway) warmth(b *backend) float64 {
	age := g.now - b.Started
	if b.Started <= 0 || age >= g.set.WarmWithin {
		return 1
	}
	from := max(g.set.ColdFrom, shareLeast)
	return from + (1-from)*max(age.Seconds(), 0)/g.set.WarmWithin.Seconds()
}

// coldRoom tells whether a cold backend may be looked at: as often as its warmth's part of a warm one's
// share, so that all gateways together, each by chance, send it no more than the warm ones bear. Its warmth
// is the least that it may have; where it is told to be idle it gets more, bounded well below what fells it.
// Trouble: with six in ten backends cold they stood idle, and the warm ones had 33 attempts each.
func (g *Gateway) coldRoom(b *backend, look, near int, bear float64) bool {
	n := float64(near)
	more := 1 + g.told(b)*(min(max(1/b.load, 1), coldTold)-1)
	return g.rng.Float64() < more*coldMargin*g.warmth(b)*n/max(bear, coldFleet*n)/float64(look)
}

// told is how much of what was told of a backend still counts.
func (g *Gateway) told(b *backend) float64 {
	return math.Exp(-(g.now - b.heard).Seconds() / (sightAims * g.memory))
}

// list brings the backends up to date; what drains or is gone gets nothing more.
func (g *Gateway) list(ev *List) {
	if ev.Kind == ListFailed {
		g.watch = g.set.PullList
		return
	}
	started, size := g.merge(ev), g.meanSize()
	for _, b := range started {
		b.slope, b.seen = 1, g.now
		if g.set.SizesKnown && b.Size > 0 && size > 0 {
			b.slope = size / b.Size
		}
	}
	g.dispatch()
}
