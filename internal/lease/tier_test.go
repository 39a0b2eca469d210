package lease

import (
	"math/rand/v2"
	"slices"
	"time"
)

// leaseDuration is the lease duration of all tests.
const leaseDuration = time.Second

// simulatedLimiter is a proposer, and an acceptor if the limiter is one, with a clock of its own.
type simulatedLimiter struct {
	config      Config
	acceptor    *Acceptor // nil if this limiter is no acceptor
	proposer    Proposer
	dead        bool
	stalled     bool
	clockRate   float64
	clockOffset time.Duration
	inbox       []receivedMessage // messages that arrived while the limiter is stalled
}

type receivedMessage struct {
	from    Limiter
	message Message
}

// simulatedTier simulates limiters, clocks and a network, and checks which limiters hold the lease.
type simulatedTier struct {
	fail      func(format string, args ...any)
	random    *rand.Rand
	now       time.Duration
	limiters  []*simulatedLimiter
	inTransit []sentMessage
	acceptors []Limiter
	epoch     uint32
	drift     float64 // the maximum clock drift that is assumed
	minToken  uint64  // replaces the wall clock; 0 to use the wall clock

	loss, duplication float64 // fractions of messages
	maxDelay          time.Duration
	cutLinks          map[[2]int]bool // by sender and receiver

	holder               int    // the last lease holder; -1 for none so far
	token                uint64 // of the last lease
	wins                 int    // leases with a token greater than the last one
	lastHeldAt           time.Duration
	longestWithoutHolder time.Duration
	messagesSent         int

	setsPayloads     bool   // lease holders set payloads
	payload          uint64 // the greatest that a quorum has accepted
	timeoutRecovered bool   // recoversByTimeout has been true
}

type sentMessage struct {
	arrivesAt time.Duration
	from, to  int
	message   Message
}

func newTier(fail func(string, ...any), seed uint64, limiters, acceptors int) *simulatedTier {
	tier := &simulatedTier{
		fail: fail, random: rand.New(rand.NewPCG(seed, 7)), now: time.Hour, epoch: 100, drift: 0.01, holder: -1,
		cutLinks: map[[2]int]bool{}, maxDelay: 20 * time.Millisecond, lastHeldAt: time.Hour,
	}
	for i := range acceptors {
		tier.acceptors = append(tier.acceptors, Limiter(i))
	}
	for range limiters {
		tier.limiters = append(tier.limiters, &simulatedLimiter{clockRate: 1})
	}
	for i := range limiters {
		tier.start(i)
	}
	return tier
}

// start starts a limiter without state.
func (tier *simulatedTier) start(i int) {
	tier.epoch++
	limiter := tier.limiters[i]
	limiter.dead, limiter.stalled, limiter.inbox = false, false, nil
	limiter.config = Config{
		Task: 7, Self: Limiter(i), Epoch: tier.epoch, Acceptors: tier.acceptors, Duration: leaseDuration, ClockDrift: tier.drift,
		MinToken: uint64(tier.now / time.Millisecond), Candidates: len(tier.limiters),
	}
	if tier.minToken > 0 {
		limiter.config.MinToken = tier.minToken
	}
	limiter.acceptor = nil
	if i < len(tier.acceptors) {
		acceptor := NewAcceptor(limiter.config, tier.clock(limiter))
		limiter.acceptor = &acceptor
	}
	limiter.proposer = NewProposer(limiter.config)
}

func (tier *simulatedTier) clock(limiter *simulatedLimiter) time.Duration {
	return limiter.clockOffset + time.Duration(float64(tier.now)*limiter.clockRate)
}

func (tier *simulatedTier) setRate(limiter *simulatedLimiter, rate float64) {
	before := tier.clock(limiter)
	limiter.clockRate = rate
	limiter.clockOffset += before - tier.clock(limiter)
}

func (tier *simulatedTier) send(from int, out []Envelope) {
	for _, e := range out {
		tier.messagesSent++
		copies := 1
		if tier.random.Float64() < tier.duplication {
			copies = 2
		}
		if from != int(e.To) && (tier.random.Float64() < tier.loss || tier.cutLinks[[2]int{from, int(e.To)}]) {
			copies = 0
		}
		for range copies {
			delay := time.Duration(0)
			if from != int(e.To) {
				delay = time.Duration(tier.random.Int64N(int64(tier.maxDelay))) + time.Millisecond
			}
			tier.inTransit = append(tier.inTransit, sentMessage{tier.now + delay, from, int(e.To), e.Message})
		}
	}
}

func (tier *simulatedTier) receive(i int, from Limiter, m Message) {
	limiter := tier.limiters[i]
	switch {
	case limiter.dead:
		return
	case limiter.stalled:
		limiter.inbox = append(limiter.inbox, receivedMessage{from, m})
		return
	}
	now := tier.clock(limiter)
	tier.send(i, limiter.proposer.HandleMessage(now, from, m, tier.random.Float64()))
	if limiter.acceptor != nil {
		if reply, ok := limiter.acceptor.HandleMessage(now, from, m); ok {
			tier.send(i, []Envelope{{from, reply}})
		}
	}
}

func (tier *simulatedTier) tick(i int) {
	limiter := tier.limiters[i]
	if limiter.dead || limiter.stalled {
		return
	}
	out, _ := limiter.proposer.Tick(tier.clock(limiter), tier.random.Float64())
	tier.send(i, out)
	if limiter.acceptor != nil {
		out, _ := limiter.acceptor.Tick(tier.clock(limiter))
		tier.send(i, out)
	}
}

func (tier *simulatedTier) resume(i int) {
	limiter := tier.limiters[i]
	limiter.stalled = false
	inbox := limiter.inbox
	limiter.inbox = nil
	for _, r := range inbox {
		tier.receive(i, r.from, r.message)
	}
}

// run advances time in steps, and checks after each step which limiter holds the lease.
func (tier *simulatedTier) run(d time.Duration) {
	for end := tier.now + d; tier.now < end; {
		tier.now += 2 * time.Millisecond
		slices.SortStableFunc(tier.inTransit, func(a, b sentMessage) int { return int(a.arrivesAt - b.arrivesAt) })
		for len(tier.inTransit) > 0 && tier.inTransit[0].arrivesAt <= tier.now {
			m := tier.inTransit[0]
			tier.inTransit = tier.inTransit[1:]
			tier.receive(m.to, Limiter(m.from), m.message)
		}
		for i := range tier.limiters {
			tier.tick(i)
		}
		tier.check()
	}
}

// check evaluates each limiter, also a stalled one, by its own clock: at most one may hold the lease, each new
// lease has a greater token, and each holder knows every payload that was set.
func (tier *simulatedTier) check() {
	holder := -1
	for i, limiter := range tier.limiters {
		token, _, ok := limiter.proposer.Holds(tier.clock(limiter))
		if limiter.dead || !ok {
			continue
		}
		if holder >= 0 {
			tier.fail("%v: limiters %d and %d both hold the lease", tier.now-time.Hour, holder, i)
		}
		holder = i
		tier.checkToken(i, token)
		if token > tier.token {
			tier.wins++
		}
		tier.token = token
		tier.checkPayload(i)
	}
	if holder >= 0 {
		tier.holder = holder
		tier.longestWithoutHolder = max(tier.longestWithoutHolder, tier.now-tier.lastHeldAt)
		tier.lastHeldAt = tier.now
	}
}

// checkToken checks that the token of a lease is greater than that of the last lease, or the same if the holder is.
// If the tier sets payloads, tokens may repeat once an acceptor has become active because of recoveryTimeout.
func (tier *simulatedTier) checkToken(holder int, token uint64) {
	repeated := token == tier.token && tier.holder != holder && tier.holder >= 0
	if token > tier.token || token == tier.token && !repeated {
		return
	}
	if !tier.setsPayloads || !tier.recoversByTimeout() {
		tier.fail("%v: limiter %d holds the lease with token %d after token %d, want a greater token", tier.now-time.Hour, holder, token, tier.token)
	}
}

// checkPayload checks that a lease holder knows the greatest payload, and sets the next one.
func (tier *simulatedTier) checkPayload(holder int) {
	limiter := tier.limiters[holder]
	if !tier.setsPayloads || limiter.stalled || tier.recoversByTimeout() {
		return
	}
	if payload := limiter.proposer.Payload(); payload < tier.payload {
		tier.fail("%v: limiter %d holds the lease and knows payload %d, want at least %d", tier.now-time.Hour, holder, payload, tier.payload)
	}
	if limiter.proposer.SetPayload(tier.clock(limiter), tier.payload+1) {
		tier.payload++
	}
}

func (tier *simulatedTier) setWanted(i int, wanted bool) {
	if limiter := tier.limiters[i]; !limiter.dead && !limiter.stalled {
		tier.send(i, limiter.proposer.SetWanted(tier.clock(limiter), wanted, tier.random.Float64()))
	}
}

// recoversByTimeout reports whether any acceptor is, or has been, active because of recoveryTimeout alone: then
// tokens and payloads may be lost, and only the wall clocks ensure that tokens increase.
func (tier *simulatedTier) recoversByTimeout() bool {
	for _, i := range tier.acceptors {
		limiter := tier.limiters[i]
		if limiter.acceptor.Active(tier.clock(limiter)) && !limiter.acceptor.hasRecovered() {
			tier.timeoutRecovered = true
		}
	}
	return tier.timeoutRecovered
}

// allActive reports whether all acceptors are active.
func (tier *simulatedTier) allActive() bool {
	for _, i := range tier.acceptors {
		if limiter := tier.limiters[i]; !limiter.acceptor.Active(tier.clock(limiter)) {
			return false
		}
	}
	return true
}
