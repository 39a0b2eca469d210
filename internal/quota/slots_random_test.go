package quota

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	slotRuns  = flag.Int("slots.runs", 2, "seeds of each case of TestSlotsUnderRandomLoad")
	slotSeed  = flag.Uint64("slots.seed", 0, "the only seed to run, with a trace")
	slotLoad  = flag.Float64("slots.load", 2, "requested attempts in flight, relative to the plan's slots")
	slotFirst = flag.Uint64("slots.first", 1, "the first seed")
)

const (
	slotStep              = 10 * time.Millisecond // of true time, in which a run advances
	slotLoadDuration      = 40 * time.Second
	slotMaxDowntime       = time.Second            // the longest time for which a limiter is down
	slotMaxWait           = 200 * time.Millisecond // the longest time for which a request waits for a grant
	slotMaxQueueTime      = 300 * time.Millisecond // the longest time for which a request is queued
	slotTickInterval      = 100 * time.Millisecond
	slotMessageInterval   = 100 * time.Millisecond // the least time between two messages to one peer, except for grants in a large tier
	slotHeartbeatInterval = time.Second            // between messages without content in a large tier
)

// slotCase is a combination of load and failures.
type slotCase struct {
	name               string
	limiters           int
	plan               Plan
	maxAttemptDuration time.Duration // the longest attempt
	lossIn             int           // one in so many messages is lost; 0 for none
	disorder           bool          // messages are delayed and repeated
	cutOffDirection    string        // lost messages while a limiter is cut off: "" (none), "both", "in" (to it) or "out" (from it)
	restarts           string        // which limiters restart: "" (none), "any", "owner" or "others"
	drift              bool          // clocks run at their bounds
	withRetries        bool          // some requests start a retry when their attempt ends, on the same slot
	withQueue          bool          // some requests are queued first, and some of these refunded
}

// slotAttempt is an attempt in flight, or a queued request that has a slot.
type slotAttempt struct {
	limiter  int
	epoch    uint32        // of the limiter, when the attempt got its slot
	endAt    time.Duration // true time at which the attempt ends, or the request leaves the queue
	deadline time.Duration // of the client request, retries included
}

// slotMessage is a message in transit.
type slotMessage struct {
	message
	deliverAt time.Duration // true time
}

// borrowedLoan is what a limiter borrowed from one epoch of a lender.
type borrowedLoan struct {
	loan
	epoch uint32
}

// slotRequest is a request that waits for a grant.
type slotRequest struct{ deadline time.Duration }

// slotRun is one run of a case.
type slotRun struct {
	slotCase
	*tier
	random            *rand.Rand
	traceEnabled      bool
	attempts          []slotAttempt // in flight, those of earlier epochs included
	messagesInTransit []slotMessage
	waitingRequests   [][]slotRequest // by limiter, in the order of arrival
	queuedRequests    []slotAttempt
	sentAt            map[[2]int]time.Duration // when the last message was sent, by sender and receiver
	downUntil         []time.Duration          // by limiter
	cutOffUntil       []time.Duration          // by limiter
	busiestLimiter    int                      // receives most requests, until busiestUntil
	busiestUntil      time.Duration
	borrowed          []map[int]borrowedLoan // what each limiter borrowed, by lender, at the last call of recordChanges
	overLimitReasons  []map[string]bool      // why a limiter uses more slots than its limit

	requestCount, rejected, rejectedWithFreeSlot int
	// The most attempts in flight beyond the plan's slots: of all attempts, and of those that limiters know of.
	maxExcess, maxKnownExcess int
	excessTime                time.Duration  // how long there were too many attempts
	excessReasons             map[string]int // number of attempts started beyond the plan's slots, by describeExcess
	firstExcess               string         // description of the first
	// After the load: the sum of the limiters' slot limits, and the attempts that one limiter could start.
	finalSlotLimits, usableSlots int
}

// newSlotRun starts a run of a case in a new tier.
func newSlotRun(c slotCase, seed uint64) *slotRun {
	r := &slotRun{
		slotCase: c, random: rand.New(rand.NewPCG(seed, uint64(c.limiters))),
		tier:   &tier{plan: c.plan, longestAttempt: c.maxAttemptDuration + slotMaxQueueTime, servingAges: true},
		sentAt: map[[2]int]time.Duration{}, excessReasons: map[string]int{},
	}
	for i := range c.limiters {
		n := &limiter{clockRate: 1, clockOffset: time.Hour + time.Duration(i)*time.Minute}
		if c.drift {
			n.clockRate = []float64{1 + ClockDrift, 1 - ClockDrift}[r.random.IntN(2)]
		}
		r.tier.limiters = append(r.tier.limiters, n)
		r.borrowed = append(r.borrowed, map[int]borrowedLoan{})
		r.overLimitReasons = append(r.overLimitReasons, map[string]bool{})
	}
	r.waitingRequests = make([][]slotRequest, c.limiters)
	r.downUntil = make([]time.Duration, c.limiters)
	r.cutOffUntil = make([]time.Duration, c.limiters)
	for i := range r.tier.limiters {
		r.startLimiter(i, TierStarted)
	}
	return r
}

// startLimiter starts a limiter with an account of the customer.
func (r *slotRun) startLimiter(i int, state StartState) {
	r.start(i)
	n := r.tier.limiters[i]
	n.ledger.ResolveStartState(state, r.clock(n))
	r.account(n)
	r.borrowed[i], r.overLimitReasons[i] = map[int]borrowedLoan{}, map[string]bool{}
}

func (r *slotRun) logf(format string, args ...any) {
	if r.traceEnabled {
		fmt.Printf("%8.3f "+format+"\n", append([]any{r.now.Seconds()}, args...)...)
	}
}

func (r *slotRun) isUp(i int) bool { return r.now >= r.downUntil[i] }

// happensNow draws whether an event with a rate happens in this step.
func (r *slotRun) happensNow(perSecond float64) bool {
	return r.random.Float64() < perSecond*slotStep.Seconds()
}

// randomDuration draws a duration of at least least and less than most.
func (r *slotRun) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(r.random.Int64N(int64(most-least)))
}

// countAttempts counts all attempts, and those known to their limiters.
func (r *slotRun) countAttempts() (all, known int) {
	for _, x := range r.attempts {
		if x.epoch == r.tier.limiters[x.limiter].epoch && r.isUp(x.limiter) {
			known++
		}
	}
	return len(r.attempts), known
}

// recordChanges records how an operation changed what a limiter borrows, and why its limit fell below the slots in use.
func (r *slotRun) recordChanges(i int, operation string) {
	n := r.tier.limiters[i]
	a := r.account(n)
	now := r.clock(n)
	for _, lk := range a.links {
		before, after := r.borrowed[i][lk.peerID], borrowedLoan{lk.borrowed, lk.epoch}
		r.borrowed[i][lk.peerID] = after
		if before.slots == after.slots {
			continue
		}
		reason := operation
		switch {
		case before.slots < after.slots:
			reason = "grant"
		case before.epoch != after.epoch:
			reason = "lender's restart"
		case before.expiresAt <= now:
			reason = "expiry"
		case operation == "deliver":
			reason = "grant of fewer"
		}
		r.logf("limiter %d borrows %d slots instead of %d of limiter %d (%s): %d in use, limit %d", i, after.slots, before.slots, lk.peerID, reason,
			a.SlotsInUse, a.slotLimit())
		if after.slots < before.slots && a.SlotsInUse > max(a.slotLimit(), 0) {
			r.overLimitReasons[i][reason] = true
		}
	}
	switch {
	case a.SlotsInUse <= max(a.slotLimit(), 0):
		clear(r.overLimitReasons[i])
	case operation == "retry":
		r.overLimitReasons[i]["retry"] = true
	}
}

// describeExcess lists the possible causes of too many attempts at a moment.
func (r *slotRun) describeExcess() string {
	descriptions := map[string]bool{}
	all, known := r.countAttempts()
	if all > known {
		descriptions["attempts of an earlier epoch"] = true
	}
	for i, n := range r.tier.limiters {
		if !r.isUp(i) {
			continue
		}
		a := r.account(n)
		if a.slotLimit() < 0 {
			descriptions["lent slots that it had borrowed"] = true
		}
		if a.SlotsInUse > max(a.slotLimit(), 0) {
			for reason := range r.overLimitReasons[i] {
				descriptions["in use after "+reason] = true
			}
		}
		for _, lk := range a.links {
			lender := r.tier.limiters[lk.peerID]
			if !r.isUp(lk.peerID) || lk.borrowed.slots == 0 {
				continue
			}
			if lk.borrowed.slots > r.account(lender).link(i).lentSlots() {
				reason := "borrowed and not lent by the lender"
				if lk.epoch != lender.epoch {
					reason += ", lender restarted"
				}
				descriptions[reason] = true
			}
		}
	}
	return strings.Join(slices.Sorted(maps.Keys(descriptions)), " + ")
}

// addAttempt starts an attempt at a limiter.
func (r *slotRun) addAttempt(i int) {
	endAt := r.now + r.randomDuration(min(50*time.Millisecond, r.maxAttemptDuration/2), r.maxAttemptDuration)
	r.attempts = append(r.attempts, slotAttempt{limiter: i, epoch: r.tier.limiters[i].epoch, endAt: endAt, deadline: r.now + r.maxAttemptDuration})
	r.countExcess(i)
}

// retry starts another attempt of the request whose attempt has ended.
func (r *slotRun) retry(x slotAttempt) {
	x.endAt = r.now + r.randomDuration(0, x.deadline-r.now)
	r.attempts = append(r.attempts, x)
	r.countExcess(x.limiter)
}

// countExcess records the number of attempts beyond the plan's slots after one started at a limiter.
func (r *slotRun) countExcess(i int) {
	all, known := r.countAttempts()
	r.maxExcess, r.maxKnownExcess = max(r.maxExcess, all-r.plan().Slots), max(r.maxKnownExcess, known-r.plan().Slots)
	if all <= r.plan().Slots {
		return
	}
	description := r.describeExcess()
	r.excessReasons[description]++
	if r.firstExcess == "" {
		r.firstExcess = fmt.Sprintf("%.2f s: %d in flight, %s", r.now.Seconds(), all, description)
	}
	r.logf("too many attempts: limiter %d starts one, %d in flight, %d known to limiters: %s", i, all, known, description)
}

func (r *slotRun) plan() Plan { return r.slotCase.plan }

// decide calls Reserve for a request at a limiter, and reports whether there is a decision other than Pending.
func (r *slotRun) decide(i int, final bool) bool {
	n := r.tier.limiters[i]
	a := r.account(n)
	decision, _ := n.ledger.Reserve(a, 1, final, r.clock(n))
	r.recordChanges(i, "reserve")
	switch decision {
	case Pending:
		return false
	case Rejected:
		r.rejected++
		if all, _ := r.countAttempts(); all+len(r.queuedRequests) < r.plan().Slots {
			r.rejectedWithFreeSlot++
		}
		return true
	}
	a.SlotsInUse++
	if r.withQueue && r.random.IntN(4) == 0 {
		r.queuedRequests = append(r.queuedRequests, slotAttempt{limiter: i, epoch: n.epoch, endAt: r.now + r.randomDuration(time.Millisecond, slotMaxQueueTime)})
		return true
	}
	a.MarkSent(1)
	r.addAttempt(i)
	return true
}

// decideWaiting decides the waiting requests of a limiter in order, up to the first that has to keep waiting.
func (r *slotRun) decideWaiting(i int) {
	for len(r.waitingRequests[i]) > 0 {
		if !r.decide(i, r.now >= r.waitingRequests[i][0].deadline) {
			return
		}
		r.waitingRequests[i] = r.waitingRequests[i][1:]
	}
}

func (r *slotRun) receiveRequest(i int) {
	n := r.tier.limiters[i]
	r.requestCount++
	n.ledger.RecordDemand(r.account(n), 1, r.clock(n))
	if len(r.waitingRequests[i]) > 0 || !r.decide(i, false) {
		r.waitingRequests[i] = append(r.waitingRequests[i], slotRequest{deadline: r.now + slotMaxWait})
	}
}

// endAttempts ends the attempts that are due to end, or retries their requests.
func (r *slotRun) endAttempts() {
	var left, ended []slotAttempt
	for _, x := range r.attempts {
		if x.endAt <= r.now {
			ended = append(ended, x)
		} else {
			left = append(left, x)
		}
	}
	r.attempts = left
	for _, x := range ended {
		n := r.tier.limiters[x.limiter]
		if n.epoch != x.epoch || !r.isUp(x.limiter) {
			continue
		}
		if r.withRetries && r.random.IntN(8) == 0 && x.deadline > r.now {
			r.retry(x) // the retry keeps the slot
			continue
		}
		r.freeSlot(x.limiter)
	}
}

// freeSlot frees a slot as the admission controller does: for a request that waits at the limiter, else for its
// lender.
func (r *slotRun) freeSlot(i int) {
	n := r.tier.limiters[i]
	a := r.account(n)
	a.SlotsInUse--
	r.decideWaiting(i)
	n.ledger.ReleaseSlot(a, r.clock(n))
	r.recordChanges(i, "return")
}

// processQueue forwards or refunds the queued requests that are due, as the admission controller does.
func (r *slotRun) processQueue() {
	queue := r.queuedRequests
	r.queuedRequests = nil // freed slots may be used by further requests, which are queued
	for _, x := range queue {
		n := r.tier.limiters[x.limiter]
		switch {
		case n.epoch != x.epoch || !r.isUp(x.limiter):
		case x.endAt > r.now:
			r.queuedRequests = append(r.queuedRequests, x)
		case r.random.IntN(3) == 0:
			n.ledger.Refund(r.account(n), 1, r.clock(n))
			r.freeSlot(x.limiter)
		default:
			r.account(n).MarkSent(1)
			r.addAttempt(x.limiter)
		}
	}
}

// exchange sends the messages that are due, and delivers messages. If reliable is set, no message that it sends is lost.
func (r *slotRun) exchange(reliable bool) {
	for i, n := range r.tier.limiters {
		for j := range r.tier.limiters {
			if i == j || !r.isUp(i) {
				continue
			}
			sinceLastMessage := r.now - r.sentAt[[2]int{i, j}]
			hasContent := n.ledger.HasGrantsFor(j) || n.ledger.HasRequestsFor(j)
			due := sinceLastMessage >= slotMessageInterval && (hasContent || r.slotCase.limiters <= smallTierSize) || sinceLastMessage >= slotHeartbeatInterval
			if n.ledger.HasGrantsFor(j) && r.slotCase.limiters > smallTierSize {
				due = true
			}
			if !due {
				continue
			}
			r.sentAt[[2]int{i, j}] = r.now
			r.send(i, j)
			m := r.inFlight[len(r.inFlight)-1]
			r.inFlight = nil
			r.transmit(m, reliable)
		}
	}
	r.deliverDue()
}

// isCutOff reports whether a message is lost because its sender or its receiver is cut off.
func (r *slotRun) isCutOff(m message) bool {
	out, in := r.now < r.cutOffUntil[m.from], r.now < r.cutOffUntil[m.to]
	switch r.cutOffDirection {
	case "both":
		return out || in
	case "out":
		return out
	case "in":
		return in
	}
	return false
}

// transmit puts a message in transit, with a delay and a repetition if the case has them, unless it is lost.
func (r *slotRun) transmit(m message, reliable bool) {
	if !reliable && (r.isCutOff(m) || r.lossIn > 0 && r.random.IntN(r.lossIn) == 0) {
		return
	}
	deliverAt := r.now + r.randomDuration(2*time.Millisecond, 16*time.Millisecond)
	if r.disorder && r.random.IntN(3) == 0 {
		deliverAt += r.randomDuration(time.Millisecond, 400*time.Millisecond)
	}
	r.messagesInTransit = append(r.messagesInTransit, slotMessage{m, deliverAt})
	if r.disorder && r.random.IntN(3) == 0 {
		r.messagesInTransit = append(r.messagesInTransit, slotMessage{m, deliverAt + r.randomDuration(time.Millisecond, 600*time.Millisecond)})
	}
}

// deliverDue delivers the messages whose time has come.
func (r *slotRun) deliverDue() {
	var left, due []slotMessage
	for _, m := range r.messagesInTransit {
		if m.deliverAt <= r.now {
			due = append(due, m)
		} else {
			left = append(left, m)
		}
	}
	r.messagesInTransit = left
	slices.SortStableFunc(due, func(x, y slotMessage) int { return int(x.deliverAt - y.deliverAt) })
	for _, m := range due {
		if !r.isUp(m.to) {
			continue
		}
		lastReceived := r.tier.limiters[m.to].received[m.from]
		r.logMessage(m.message)
		r.deliver(m.message)
		if r.tier.limiters[m.to].received[m.from] != lastReceived {
			r.recordChanges(m.to, "deliver")
			r.decideWaiting(m.to)
			r.tier.limiters[m.to].ledger.ReturnUnusedSlots(r.clock(r.tier.limiters[m.to]))
		}
	}
}

func (r *slotRun) logMessage(m message) {
	if !r.traceEnabled {
		return
	}
	for _, x := range m.requests {
		r.logf("  limiter %d to %d: request %d wants %d slots, has %d borrowed", m.from, m.to, x.Nonce, x.SlotsWanted, x.SlotsBorrowed)
	}
	for _, x := range m.grants {
		r.logf("  limiter %d to %d: grant %d lends %d slots", m.from, m.to, x.Nonce, x.Slots)
	}
}

// injectFailures cuts off and restarts limiters at random.
func (r *slotRun) injectFailures() {
	if r.cutOffDirection != "" && r.happensNow(0.15) {
		i := r.random.IntN(r.slotCase.limiters)
		r.cutOffUntil[i] = r.now + r.randomDuration(500*time.Millisecond, 6*time.Second)
		r.logf("limiter %d is cut off (%s) until %.3f", i, r.cutOffDirection, r.cutOffUntil[i].Seconds())
	}
	if r.restarts == "" || !r.happensNow(0.15) {
		return
	}
	i := r.random.IntN(r.slotCase.limiters)
	owner := rank(7, 0, r.slotCase.limiters, r.slotCase.limiters, ownerCount)[0]
	if r.restarts == "owner" {
		i = owner
	} else if r.restarts == "others" && i == owner {
		return
	}
	r.downUntil[i] = r.now + r.randomDuration(0, slotMaxDowntime)
	r.waitingRequests[i] = nil
	r.startLimiter(i, LimiterRestarted)
	r.logf("limiter %d restarts, back at %.3f", i, r.downUntil[i].Seconds())
}

// generateRequests sends requests, most of them to one limiter, which changes from time to time.
func (r *slotRun) generateRequests() {
	if r.now >= r.busiestUntil {
		r.busiestLimiter, r.busiestUntil = r.random.IntN(r.slotCase.limiters), r.now+r.randomDuration(500*time.Millisecond, 4*time.Second)
	}
	perSecond := *slotLoad * float64(r.plan().Slots) / (r.maxAttemptDuration.Seconds() / 2)
	for i := range r.tier.limiters {
		rate := 0.4 * perSecond / float64(r.slotCase.limiters)
		if i == r.busiestLimiter {
			rate += 0.6 * perSecond
		}
		if r.isUp(i) && r.happensNow(rate) {
			r.receiveRequest(i)
		}
	}
}

// step advances the run by slotStep. If reliable is set, no message that is sent in the step is lost.
func (r *slotRun) step(reliable bool) {
	r.now += slotStep
	r.endAttempts()
	r.processQueue()
	for i, n := range r.tier.limiters {
		if r.isUp(i) {
			r.account(n).advance(r.clock(n))
			if r.now%slotTickInterval == 0 {
				n.ledger.Tick(r.clock(n))
			}
			r.recordChanges(i, "time")
		}
	}
	r.exchange(reliable)
	for i := range r.tier.limiters {
		if r.isUp(i) {
			r.decideWaiting(i)
		}
	}
	if len(r.attempts) > r.plan().Slots {
		r.excessTime += slotStep
	}
}

// run starts the tier without load, applies load and failures, and lets all attempts and loans end. Then it records
// how many slots can be used.
func (r *slotRun) run() {
	for range int(5 * time.Second / slotStep) {
		r.step(true)
	}
	for range int(slotLoadDuration / slotStep) {
		r.injectFailures()
		r.step(false)
		r.generateRequests()
	}
	for range int((r.maxAttemptDuration + 6*time.Second) / slotStep) {
		r.step(true)
	}
	for _, n := range r.tier.limiters {
		r.finalSlotLimits += max(r.account(n).slotLimit(), 0)
	}
	r.requestAllSlots()
}

// requestAllSlots requests all slots at one limiter, with attempts that do not end, and counts those that start. An
// excess during this does not count in maxExcess.
func (r *slotRun) requestAllSlots() {
	r.maxAttemptDuration, r.withRetries, r.withQueue = time.Hour, false, false
	savedExcess := r.maxExcess
	for range 3 * r.plan().Slots {
		r.receiveRequest(0)
		for range int(250 * time.Millisecond / slotStep) {
			r.step(true)
			for k := range r.attempts {
				r.attempts[k].endAt = r.now + time.Hour
			}
			if len(r.attempts) >= r.plan().Slots {
				r.usableSlots = r.plan().Slots
				r.maxExcess = savedExcess
				return
			}
		}
		r.usableSlots = max(r.usableSlots, len(r.attempts))
	}
	r.maxExcess = savedExcess
}

func slotCases() []slotCase {
	var cases []slotCase
	quota := Plan{Slots: 12, Quota: Bucket{Rate: 30, Burst: 60}, Ceiling: Bucket{Rate: 60, Burst: 120}}
	for _, limiters := range []int{3, 8, 12} {
		add := func(name string, c slotCase) {
			c.name, c.limiters = fmt.Sprintf("%d/%s", limiters, name), limiters
			if c.plan.Slots == 0 {
				c.plan.Slots = 12
			}
			if c.maxAttemptDuration == 0 {
				c.maxAttemptDuration = time.Second
			}
			cases = append(cases, c)
		}
		add("1s", slotCase{})
		add("3s", slotCase{maxAttemptDuration: 3 * time.Second})
		add("8s", slotCase{maxAttemptDuration: 8 * time.Second})
		add("1s-quota", slotCase{plan: quota})
		add("3s-quota", slotCase{plan: quota, maxAttemptDuration: 3 * time.Second})
		add("1s-loss", slotCase{lossIn: 5})
		add("3s-loss", slotCase{lossIn: 5, maxAttemptDuration: 3 * time.Second})
		add("1s-disorder", slotCase{disorder: true})
		add("1s-cut-both", slotCase{cutOffDirection: "both"})
		add("3s-cut-both", slotCase{cutOffDirection: "both", maxAttemptDuration: 3 * time.Second})
		add("1s-cut-out", slotCase{cutOffDirection: "out"})
		add("1s-cut-in", slotCase{cutOffDirection: "in"})
		add("1s-restart", slotCase{restarts: "any"})
		add("3s-restart", slotCase{restarts: "any", maxAttemptDuration: 3 * time.Second})
		if limiters > SmallSetSize {
			add("1s-restart-owner", slotCase{restarts: "owner"})
			add("1s-restart-others", slotCase{restarts: "others"})
		}
		add("1s-drift", slotCase{drift: true})
		add("1s-retries", slotCase{withRetries: true})
		add("1s-queued", slotCase{withQueue: true})
		add("3s-all", slotCase{
			maxAttemptDuration: 3 * time.Second, lossIn: 5, disorder: true, cutOffDirection: "both", restarts: "any", drift: true, withQueue: true,
		})
	}
	return cases
}

// No more attempts are in flight at once than a plan has slots, whatever happens to messages and limiters, and
// all slots can be used after the failures and the load have ended.
func TestSlotsUnderRandomLoad(t *testing.T) {
	for _, c := range slotCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			first, runs := *slotFirst, *slotRuns
			if *slotSeed > 0 {
				first, runs = *slotSeed, 1
			}
			checkSlotCase(t, c, first, runs)
		})
	}
}

// checkSlotCase runs a case with several seeds, logs the results and checks them.
func checkSlotCase(t *testing.T, c slotCase, first uint64, runs int) {
	var requests, rejected, withFreeSlot, excessSeeds, knownExcessSeeds, maxExcess, maxKnownExcess, seedsNotRestored, seedsNotUsable int
	var excessTime time.Duration
	reasons := map[string]int{}
	var firstExample string
	for k := range runs {
		r := newSlotRun(c, first+uint64(k))
		r.traceEnabled = *slotSeed > 0
		r.run()
		requests, rejected, withFreeSlot = requests+r.requestCount, rejected+r.rejected, withFreeSlot+r.rejectedWithFreeSlot
		maxExcess, maxKnownExcess, excessTime = max(maxExcess, r.maxExcess), max(maxKnownExcess, r.maxKnownExcess), excessTime+r.excessTime
		if r.maxExcess > 0 {
			excessSeeds++
			if firstExample == "" {
				firstExample = fmt.Sprintf("seed %d, %s", first+uint64(k), r.firstExcess)
			}
		}
		if r.maxKnownExcess > 0 {
			knownExcessSeeds++
		}
		if r.finalSlotLimits != c.plan.Slots {
			seedsNotRestored++
		}
		if r.usableSlots < c.plan.Slots {
			seedsNotUsable++
		}
		for reason, count := range r.excessReasons {
			reasons[reason] += count
		}
	}
	t.Logf("%-20s too many attempts in %d of %d seeds, by at most %d (known to limiters: in %d seeds, by at most %d), for %.2f s a run; "+
		"requests %d rejected %.1f%% with a free slot %.1f%%; seeds with slots not restored %d, not usable %d; %s",
		c.name, excessSeeds, runs, maxExcess, knownExcessSeeds, maxKnownExcess, excessTime.Seconds()/float64(runs), requests,
		100*float64(rejected)/float64(requests), 100*float64(withFreeSlot)/float64(requests), seedsNotRestored, seedsNotUsable, firstExample)
	for _, reason := range slices.SortedFunc(maps.Keys(reasons), func(x, y string) int { return reasons[y] - reasons[x] })[:min(5, len(reasons))] {
		t.Logf("   %5d times: %s", reasons[reason], reason)
	}
	if excessSeeds > 0 || seedsNotRestored > 0 || seedsNotUsable > 0 {
		t.Errorf("of %[2]d seeds, %[1]d have too many attempts in flight, %[3]d did not restore all slots, %[4]d cannot use all slots, want 0 of each", excessSeeds, runs, seedsNotRestored, seedsNotUsable)
	}
}
