// Package quota holds customers' stores together over the limiters of a tier, by
// rights that are moved and never copied.
//
// Every customer's store is cut into parts, one for each limiter of its set. A
// part has a level, fills by its share of the rate and holds its share of the
// burst. A limiter sends on by its own part alone, so whatever is lost, repeated,
// reordered, delayed or cut, all parts together never hold more than the true
// store. Where one runs short it asks the others, which move units for good and
// lend shares for a time: a lease, by which a limiter that died or is cut off
// gives back what it borrowed without a word.
//
// A ceiling is held by this alone. A quota may also be passed on chance, by a
// bounded debt: see Account.chance and docs/design/quota-loss.md, which has the
// bounds and their proof.
//
// The package does no I/O, reads no clock, draws no random number and starts no
// goroutine: the same calls give the same answers.
package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lemongate/internal/gossip"
	"lemongate/internal/rate"
)

const (
	// LoanDuration is how long a share is lent.
	LoanDuration = 2 * time.Second
	// ClockDrift is the most that a clock may run fast or slow, as a part.
	ClockDrift = 0.01
	// MaxLentFraction is the part of its base that a limiter lends at most. What is left
	// is its new life's at once after a restart.
	MaxLentFraction = 0.75
	// SmallSetSize is how many limiters of a set have a part of a customer's stores at
	// most. A larger set has one, the customer's home, that holds them whole: with
	// many parts each would be under one req, and every limiter that has none would
	// ask them in turn, most often one that is empty. A smaller set meets the customer
	// so often that a home could not say a word to each req at the pace of messages.
	SmallSetSize = 8

	smallTierSize = 8 // in a tier of no more each pair has something to tell each other all the time

	grantDeliveryTimeout   = requestTimeout + time.Duration(float64(requestTimeout)*2*ClockDrift)
	lenderLoanDuration     = LoanDuration + time.Duration(float64(LoanDuration)*2*ClockDrift)
	demandMemory           = 2 * time.Second // over which demand is seen
	demandMemorySeconds    = float64(demandMemory) / float64(time.Second)
	prefetchDuration       = 250 * time.Millisecond // of the demand: what a busy limiter keeps in hand
	requestInterval        = 150 * time.Millisecond // between asks of one customer to one peer
	emptyGrantBackoff      = 500 * time.Millisecond // after an answer that brought next to nothing
	requestRetransmitAfter = 70 * time.Millisecond  // without an answer: the ask or the answer is lost
	requestTimeout         = 500 * time.Millisecond // and then the peer is silent
	peerSilenceTimeout     = time.Second            // asked again after this
	reportStaleAfter       = time.Second            // a peer thought to hold nothing is asked again after this
	debtSettlementTime     = 500 * time.Millisecond // in which a debt is settled
	busyReportMaxAge       = 400 * time.Millisecond // all holders were heard within it
	tierStartDuration      = 3 * time.Second        // after a fresh start nothing was sent on yet that is not told
	idleReportMaxAge       = 3 * time.Second        // or within this, if they wanted next to nothing
	loanRenewalMargin      = 800 * time.Millisecond // of its end a loan that is still wanted is asked for again
	unallocatedMinDuration = 500 * time.Millisecond // and units are astray all that time
	unallocatedMinTicks    = 3                      // and at so many looks
	demandTickWeight       = 0.05                   // of one look at what is asked for here
	demandMinTicks         = 10                     // looks before the mean means anything
	significantDeviations  = 2.0                    // times the usual ups and downs: a rise that stands out
	maxDebtFraction        = 1.0                    // of the even part of the burst: debt on chance
	immediateProbability   = 0.9                    // a req goes at once, without the others' word
	finalProbability       = 0.5                    // nor does one whose word nobody can bring, above this ...
	finalProbabilityFactor = 0.6                    // ... and this times the least chance that its plan pays for
	unknownLevelFraction   = 0.8                    // of its part: what a peer that told nothing is thought to hold
	unknownDemandFraction  = 0.5                    // of its part of the rate: likewise to want
	reportDelay            = 100 * time.Millisecond // what was told is that old when it comes
	unseenMaxAge           = 5 * time.Second        // and counts as at most so old: stores are full again
	unseenMinFraction      = 0.05                   // of a part of the rate: the least thought to be spent unseen
	lenderDemandFactor     = 1.2                    // of its demand: what a lender keeps
	borrowerDemandFactor   = 1.15                   // of its demand: what a borrower asks for
	minLoanShare           = 0.03                   // of the whole: no smaller share is lent
	olderServingAge        = 2                      // quarters of a second: a peer that served that much longer is older
	earlierEpochDuration   = 10 * time.Second       // an epoch before the known one is believed after this
	accountsPerSweep       = 64                     // accounts looked at per Sweep
)

// A Bucket is a plan's: it fills at Rate (units a second) and holds Burst.
type Bucket struct{ Rate, Burst float64 }

// A Plan is what a customer's stores are. A zero Rate or no Places means no such
// limit.
type Plan struct {
	Quota, Ceiling   Bucket
	Slots            int     // attempts out at once
	LeastProbability float64 // least chance at which a req may go without a right, 0 to 1
}

// Config is what a Ledger is told at its start.
type Config struct {
	Self, Limiters int
	Gossips        bool // peers can be told
	Plans          []Plan
	Epoch          uint32 // grows with each start of this limiter
}

// A RecoveryState is what a limiter makes of its start: with nothing in memory, the
// stores may be full (the tier is new) or spent (it was there before).
type RecoveryState uint8

const (
	RecoveryUnknown  RecoveryState = iota // one req of each customer may go; the rest wait
	TierStarted                           // the tier is new: all stores are full
	LimiterRestarted                      // the others were there before: what this one had is lost, the rest is with them
	TierRestarted                         // all were there before and lost it: the stores hold what they gained since, for sure
)

func (s RecoveryState) String() string { return [...]string{"unsure", "fresh", "returned", "spent"}[s] }

// Counters count what became of rights, in units and numbers, since the start.
type Counters struct {
	RequestsSent         uint64  `json:"asks"`      // sent, repeats included
	GrantsSent           uint64  `json:"answers"`   // sent
	UnitsReceived        float64 `json:"got"`       // units of quotas that came from others
	UnitsSent            float64 `json:"moved"`     // units that went to others
	UnitsUnacknowledged  float64 `json:"unheard"`   // of these, units that came or were lost without a word
	RateReclaimed        float64 `json:"reclaimed"` // units a second taken back from a peer's earlier life
	UnitsRecovered       float64 `json:"strayed"`   // units taken up that no limiter held
	AdmittedWithoutGrant uint64  `json:"on_chance"` // reqs let go without a right
	Waited               uint64  `json:"waited"`    // reqs that waited for the others' word
	Accounts             int     `json:"accounts"`  // customers held now
	RecoveryState        string  `json:"standing"`  // what the start was taken for
	SilentPeers          int     `json:"silent"`    // peers that do not answer now
	PeersDeclaredDead    uint64  `json:"dead"`      // times that a silent peer was taken for dead
}

// A Ledger is what one limiter holds of all customers' stores. It is not safe
// for concurrent use.
type Ledger struct {
	Config        `json:"-"`
	Counts        Counters
	recovery      RecoveryState
	startedAt     time.Duration
	lastMessageAt time.Duration // of the last message

	totalDemand    rate.Decaying // units a second asked for here
	meanDemand     float64       // of total, over meanOver, while all peers are heard
	demandVariance float64       // mean square of how it strays from that
	ticks          int
	accounts       map[uint32][]*Account // by the hash of the customer's name, which two may share
	accountOrder   []*Account            `json:"-"` // as first met
	sweepIndex     int
	peers          map[int]*peer
	lastNonce      uint16
	ownedAccounts  []*Account `json:"-"` // those whose home this is
	hotCursor      int        // among these: where the search for hot ones goes on
	readyPeers     []int      // peers to be told, in the order found
}

// A peer is another limiter.
type peer struct {
	epoch          uint32
	known          bool
	acked          bool // it knows of this life
	ackedAt        time.Duration
	lastReceivedAt time.Duration
	silentUntil    time.Duration // it left asks unanswered, and is left alone for a while
	unresponsive   bool          // since then nothing came: it is asked, but not waited for
	dead           bool          // silent, and its clients come here: its parts of quotas are shared out
	queuedRequests []*Account    `json:"-"`
	queuedGrants   []gossip.Grant
	queuedForSend  bool // stands in ready
}

// New starts a Ledger at a time.
func New(c Config, now time.Duration) *Ledger {
	c.Limiters = max(c.Limiters, 1)
	l := &Ledger{Config: c, startedAt: now, accounts: map[uint32][]*Account{}, peers: map[int]*peer{}}
	if !c.Gossips || c.Limiters == 1 {
		l.recovery = TierStarted // nothing else could ever tell
	}
	return l
}

// Recovery is what the limiter makes of its start.
func (l *Ledger) Recovery() RecoveryState { return l.recovery }

// Resolve settles what the start left open. Only the first call counts.
func (l *Ledger) Resolve(s RecoveryState, now time.Duration) {
	if l.recovery != RecoveryUnknown || s == RecoveryUnknown {
		return
	}
	l.recovery = s
	for _, a := range l.accountOrder {
		a.advance(now)
		if s == TierStarted {
			a.quotaLevel += a.unresolvedUnits
			a.assumeFull()
		}
		a.unresolvedUnits = 0
	}
}

// assumeFull takes the true store for full when all began.
func (a *Account) assumeFull() {
	sent := float64(a.consumed) / gossip.UnitParts
	a.totalLevel, a.totalKnown, a.startedFull = a.plan().Quota.Burst-sent, true, true
	for i := range a.links {
		if k := &a.links[i]; k.known {
			a.totalLevel -= float64(k.consumed) / gossip.UnitParts
		}
	}
}

// Account finds or starts a customer's account. Its set is size limiters in a
// row from first. Customers whose names share a hash share an account only where
// they have the same plan and set: none goes by another's settings.
func (l *Ledger) Account(hash uint32, plan, first, size int, now time.Duration) *Account {
	a := l.Find(hash, plan, first, size)
	if a == nil {
		a = &Account{CustomerHash: hash, PlanIndex: plan, ledger: l, firstLimiter: first % l.Limiters, setSize: min(max(size, 1), l.Limiters), advancedTo: l.startedAt}
		l.accounts[hash] = append(l.accounts[hash], a)
		l.accountOrder = append(l.accountOrder, a)
		p := a.plan()
		a.evenFraction = 1 / float64(a.setSize)
		a.ceilingFraction, a.ownerRank = a.evenFraction, -1
		if !a.isAllocated() {
			a.initOwned(l)
			a.advance(now)
			a.lastSeen = now
			return a
		}
		list := l.allocatedLimiters(a)
		for i, who := range list {
			if who == l.Self {
				a.baseFraction = 1 / float64(len(list))
				a.baseSlots = p.Slots / len(list)
				if i < p.Slots%len(list) {
					a.baseSlots++
				}
			} else if l.Gossips {
				a.lenders = append(a.lenders, who)
			}
		}
		// As if met at the start: what it sent before is not known. Most customers come only once.
		a.advance(now)
		if full := a.baseFraction * p.Quota.Burst; l.recovery == TierStarted {
			a.quotaLevel = max(a.quotaLevel, full)
			if now-l.startedAt < tierStartDuration {
				a.assumeFull()
			}
		} else if l.recovery == RecoveryUnknown {
			a.unresolvedUnits = max(full-a.quotaLevel, 0)
		}
	}
	a.lastSeen = now
	return a
}

// Find gives a customer's account, nil if there is none.
func (l *Ledger) Find(hash uint32, plan, first, size int) *Account {
	first, size = first%l.Limiters, min(max(size, 1), l.Limiters)
	for _, a := range l.accounts[hash] {
		if a.PlanIndex == plan && a.firstLimiter == first && a.setSize == size {
			return a
		}
	}
	return nil
}

// accountOfGrant finds the account that an answer of a peer is about: the one that asked, or of a word
// unasked the only one with that hash.
func (l *Ledger) accountOfGrant(who int, m gossip.Grant) *Account {
	list := l.accounts[m.Customer]
	for _, a := range list {
		for i := range a.links {
			if k := &a.links[i]; k.peerID == who && k.pending && k.nonce == m.Nonce {
				return a
			}
		}
	}
	if len(list) == 1 {
		return list[0]
	}
	return nil
}

// rebuildDerived builds what follows from the rest in a Ledger that was unpacked from another
// process's. The configuration has to be that one's.
func (l *Ledger) rebuildDerived(c Config) {
	c.Limiters = max(c.Limiters, 1)
	l.Config = c
	for _, hash := range slices.Sorted(maps.Keys(l.accounts)) {
		for _, a := range l.accounts[hash] {
			a.ledger, a.requestOutstanding, a.ownerDecision = l, false, ownerUndecided
			l.accountOrder = append(l.accountOrder, a)
			if a.ownerRank == 0 && !a.isAllocated() {
				l.ownedAccounts = append(l.ownedAccounts, a)
			}
			for i := range a.links {
				if k := &a.links[i]; k.queued {
					p := l.peer(k.peerID)
					p.queuedRequests = append(p.queuedRequests, a)
					l.markReady(k.peerID, p)
				}
			}
		}
	}
}

// allocatedLimiters are the limiters of a small set, each of which has a base part of the
// stores.
func (l *Ledger) allocatedLimiters(a *Account) []int {
	list := make([]int, a.setSize)
	turn := int(a.CustomerHash) % a.setSize // so that odd places are spread over the set
	for i := range list {
		list[i] = (a.firstLimiter + (i+turn)%a.setSize) % l.Limiters
	}
	return list
}

// A Decision is what the ledger says of a req.
type Decision uint8

const (
	Rejected Decision = iota // beyond the quota or the ceiling, as far as can be known
	Granted                  // its units are taken
	Pending                  // the others have been asked; Reserve again when they answered
)

// RecordDemand books that a customer asks for units here, whether they are granted or not.
func (l *Ledger) RecordDemand(a *Account, units float64, now time.Duration) {
	a.demand.Add(now, units, demandMemorySeconds)
	l.totalDemand.Add(now, units, demandMemorySeconds)
	a.largestRequest = max(units, a.largestRequest+(units-a.largestRequest)/16)
	if a.lastSeen = now; !a.isAllocated() && a.ownerRank != 0 {
		a.unreportedDemand += units
	}
}

// Reserve takes the units of a req if the customer has them, and else says
// whether the others may. With last, nothing is waited for any longer. For a
// refusal it tells how long until the units may be there.
func (l *Ledger) Reserve(a *Account, units float64, last bool, now time.Duration) (Decision, time.Duration) {
	a.advance(now)
	if !a.isAllocated() {
		return l.reserveOwned(a, units, last, now)
	}
	p := a.plan()
	short, over, place := 0.0, 0.0, 0
	if p.Quota.Rate > 0 && a.quotaLevel < units {
		short = units - a.quotaLevel
	}
	if p.Ceiling.Rate > 0 {
		over = max(units-a.ceilingLevel, 0)
	}
	if p.Slots > 0 && a.SlotsInUse >= a.slotLimit() {
		place = 1
	}
	if over == 0 && place == 0 && short == 0 {
		l.consume(a, units, now)
		return Granted, 0
	}
	chance := 0.0 // a ceiling is no matter of chance
	if over == 0 && place == 0 && a.quotaLevel-units >= -a.maxDebt() {
		chance = a.admissionProbability(units, short, now)
		if l.recovery == RecoveryUnknown && !a.admittedWhileUnresolved && (last || l.allLendersKnown(a)) {
			chance = 1
		}
	}
	if chance < max(p.LeastProbability, immediateProbability) && !last {
		if l.requestTransfers(a, short, over, place, now) || l.recovery == RecoveryUnknown && over == 0 && place == 0 && a.unresolvedUnits >= short {
			return Pending, 0
		}
	}
	if chance > 0 && chance >= max(p.LeastProbability, finalProbability+finalProbabilityFactor*p.LeastProbability) {
		l.Counts.AdmittedWithoutGrant++
		a.admittedWhileUnresolved = true
		l.consume(a, units, now)
		return Granted, 0
	}
	quota, ceiling, _, _ := a.fractions(true)
	wait := max(short/max(quota*p.Quota.Rate, 1e-3), over/max(ceiling*p.Ceiling.Rate, 1e-3))
	if place > 0 {
		wait = max(wait, debtSettlementTime.Seconds()/4)
	}
	return Rejected, time.Duration(min(wait, 3600) * float64(time.Second))
}

// allLendersKnown tells whether all that may help an account were heard in this life: if
// one of them had served for longer, the start would be no open matter.
func (l *Ledger) allLendersKnown(a *Account) bool {
	for _, who := range a.lenders {
		if !l.peer(who).known {
			return false
		}
	}
	return true
}

// consume books units, and sees to it that a busy customer has some in hand.
func (l *Ledger) consume(a *Account, units float64, now time.Duration) {
	p := a.plan()
	if p.Quota.Rate > 0 {
		a.quotaLevel -= units
		a.totalLevel -= units
		a.consumed += uint16(math.Ceil(units * gossip.UnitParts))
	}
	if p.Ceiling.Rate > 0 {
		a.ceilingLevel -= units
	}
	a.reservedUnits += units
	l.requestTransfers(a, 0, 0, 0, now)
}

// MarkSent tells that units taken are on their way to a backend.
func (a *Account) MarkSent(units float64) { a.reservedUnits = max(a.reservedUnits-units, 0) }

// Refund returns units that were taken and never sent.
func (l *Ledger) Refund(a *Account, units float64, now time.Duration) {
	a.advance(now)
	a.MarkSent(units)
	if p := a.plan(); p.Quota.Rate > 0 && !a.isAllocated() {
		l.refundOwned(a, units, now)
	} else if p.Quota.Rate > 0 {
		a.quotaLevel += units
		a.totalLevel += units
		a.consumed -= uint16(math.Ceil(units * gossip.UnitParts))
	}
	if a.plan().Ceiling.Rate > 0 {
		a.ceilingLevel += units
	}
}

// ReleaseSlot tells that a place is free again: a borrowed one goes back at once.
func (l *Ledger) ReleaseSlot(a *Account, now time.Duration) {
	if a.plan().Slots <= 0 || a.SlotsInUse >= a.slotLimit() {
		return
	}
	for i := range a.links {
		k := &a.links[i]
		if k.borrowed.slots > 0 {
			k.borrowed.slots--
			k.returnDue = true
			l.queueRequest(a, k, now)
			return
		}
	}
}

// requestTransfers asks the others for what an account lacks: for reqs that wait, and ahead
// of need for a busy customer. It tells whether a word is to be waited for.
func (l *Ledger) requestTransfers(a *Account, short, over float64, place int, now time.Duration) (waits bool) {
	p := a.plan()
	demand := a.demand.Value(now, demandMemorySeconds)
	want, overWant := short, over
	if p.Quota.Rate > 0 {
		if keep := demand*prefetchDuration.Seconds() + a.largestRequest; a.quotaLevel < keep && a.baseFraction > 0 {
			want = max(want, keep-a.quotaLevel)
		}
	}
	if p.Ceiling.Rate > 0 {
		if keep := demand*prefetchDuration.Seconds() + a.largestRequest; a.ceilingLevel < keep {
			overWant = max(overWant, keep-a.ceilingLevel)
		}
	}
	busy := p.Quota.Rate > 0 && demand*borrowerDemandFactor > a.baseFraction*p.Quota.Rate
	if want <= 0 && overWant <= 0 && place == 0 && !(busy && a.loanExpiring(now)) {
		return false
	}
	urgent := short > 0 || over > 0 || place > 0
	asked := 0
	for _, who := range a.lenders {
		k := a.link(who)
		peer := l.peer(who)
		if now < peer.silentUntil || peer.dead {
			continue
		}
		if k.pending && now-k.requestedAt < requestTimeout {
			if now-k.lastSentAt > requestRetransmitAfter && !k.queued {
				l.queueRequest(a, k, now)
			}
			waits = waits || urgent && !peer.unresponsive
			asked++
			continue
		}
		if k.pending { // nothing came
			k.pending = false
			if peer.lastReceivedAt < k.requestedAt {
				peer.silentUntil, peer.unresponsive = now+peerSilenceTimeout, true
				continue
			}
		}
		level, theirs := a.estimatePeer(k, now)
		spare := level > a.largestRequest*3/4 && (urgent || level > theirs*prefetchDuration.Seconds())
		lendable := p.Quota.Rate > 0 && a.peerFraction(who)*p.Quota.Rate > theirs*lenderDemandFactor+minLoanShare*p.Quota.Rate
		renews := busy && k.borrowed.share > 0 && k.borrowed.expiresAt-now < loanRenewalMargin
		news := now-k.reportedAt > reportStaleAfter
		ceilings := p.Ceiling.Rate > 0 && overWant > 0
		useful := !k.known || spare || renews || place > 0 || (lendable && busy || ceilings || urgent) && news
		if !useful || now < k.nextRequestAt {
			continue
		}
		l.nextNonce()
		k.pending, k.nonce, k.requestedAt, k.lastSentAt, k.nextRequestAt = true, l.lastNonce, now, now, now+requestInterval
		k.quotaWanted, k.ceilingWanted, k.slotsWanted = want, overWant, place
		l.queueRequest(a, k, now)
		asked++
		waits = waits || urgent && !peer.unresponsive
	}
	return waits
}

// loanExpiring tells whether a borrowed share is about to end.
func (a *Account) loanExpiring(now time.Duration) bool {
	for i := range a.links {
		if got := a.links[i].borrowed; got.share > 0 && got.expiresAt-now < loanRenewalMargin {
			return true
		}
	}
	return false
}

// queueRequest has a peer told of an account.
func (l *Ledger) queueRequest(a *Account, k *link, now time.Duration) {
	if k.queued {
		return
	}
	k.queued = true
	p := l.peer(k.peerID)
	p.queuedRequests = append(p.queuedRequests, a)
	l.markReady(k.peerID, p)
}

func (l *Ledger) markReady(who int, p *peer) {
	if !p.queuedForSend {
		p.queuedForSend = true
		l.readyPeers = append(l.readyPeers, who)
	}
}

// TakeReadyPeers lists the peers for which there is something new to tell since the last
// call.
func (l *Ledger) TakeReadyPeers() []int {
	list := l.readyPeers
	l.readyPeers = nil
	for _, who := range list {
		l.peers[who].queuedForSend = false
	}
	return list
}

// HasGrantsFor tells whether a peer waits for an answer. There are no more of them than asks
// come in.
func (l *Ledger) HasGrantsFor(who int) bool {
	p := l.peers[who]
	return p != nil && len(p.queuedGrants) > 0
}

// HasRequestsFor tells whether a peer is to be asked for something.
func (l *Ledger) HasRequestsFor(who int) bool {
	p := l.peers[who]
	return p != nil && len(p.queuedRequests) > 0
}

// Compose takes from what a peer is to be told what fits into a message, and
// tells whether there is more.
func (l *Ledger) Compose(who int, now time.Duration) (asks []gossip.TransferRequest, answers []gossip.Grant, more bool) {
	p := l.peer(who)
	for len(p.queuedRequests) > 0 && len(asks) < gossip.MaxRequests {
		a := p.queuedRequests[0]
		p.queuedRequests = p.queuedRequests[1:]
		k := a.link(who)
		if k.queued = false; !k.pending && !k.returnDue {
			continue
		}
		if k.returnDue && !k.pending {
			l.nextNonce()
			k.nonce, k.quotaWanted, k.ceilingWanted, k.slotsWanted = l.lastNonce, 0, 0, 0
			if !a.isAllocated() {
				k.attachDebt(a)
			}
		}
		k.returnDue = false
		k.lastSentAt = now
		asks = append(asks, l.buildRequest(a, k, now))
		l.Counts.RequestsSent++
	}
	n := min(len(p.queuedGrants), gossip.MaxGrants)
	answers, p.queuedGrants = p.queuedGrants[:n:n], p.queuedGrants[n:]
	l.Counts.GrantsSent += uint64(n)
	if l.Limiters > SmallSetSize && n < hotUpdatesPerMessage {
		answers = append(answers, l.hotCustomerUpdates(hotUpdatesPerMessage-n, now)...)
	}
	if len(p.queuedRequests) == 0 {
		p.queuedRequests = nil
	}
	return asks, answers, len(p.queuedRequests)+len(p.queuedGrants) > 0
}

// nextNonce moves on to the next name of an ask. None is 0: that is what a home tells
// unasked.
func (l *Ledger) nextNonce() {
	if l.lastNonce++; l.lastNonce == 0 {
		l.lastNonce = 1
	}
}

func (l *Ledger) buildRequest(a *Account, k *link, now time.Duration) gossip.TransferRequest {
	a.advance(now)
	if !a.isAllocated() {
		return a.buildOwnedRequest(k, now)
	}
	quota, _, _, _ := a.fractions(true)
	return gossip.TransferRequest{
		Customer: a.CustomerHash, Plan: uint8(a.PlanIndex), FirstLimiter: uint16(a.firstLimiter), SetSize: uint16(a.setSize), Nonce: k.nonce,
		QuotaWanted: encodeUnits(k.quotaWanted), CeilingWanted: encodeUnits(k.ceilingWanted), Demand: a.encodeDemand(now), Level: a.encodeLevel(),
		Consumed: a.consumed, TotalLevel: a.encodeTotal(), Share: uint8(min(max(quota-k.borrowed.share, 0), 1) * gossip.ShareSteps), SlotsHeld: uint8(min(k.borrowed.slots, math.MaxUint8)),
		SlotsWanted: uint8(k.slotsWanted),
	}
}

func (a *Account) encodeDemand(now time.Duration) uint8 {
	return uint8(min(math.Ceil(a.demand.Value(now, demandMemorySeconds)/max(a.plan().Quota.Rate, 1e-3)*gossip.DemandSteps), math.MaxUint8))
}

func (a *Account) encodeLevel() int8 {
	return int8(math.Floor(min(max(a.quotaLevel/max(a.plan().Quota.Burst, 1e-3), -1), 1) * gossip.LevelSteps))
}

// encodeUnits turns units into the parts that messages count in, rounded down.
func encodeUnits(units float64) uint16 {
	return uint16(min(max(units, 0)*gossip.UnitParts, math.MaxUint16))
}

// peer finds or starts what is remembered of a limiter.
func (l *Ledger) peer(who int) *peer {
	p := l.peers[who]
	if p == nil {
		p = &peer{}
		l.peers[who] = p
	}
	return p
}

// ObservePeer tells that a message came from a peer, in which life that is, whether it
// knows of this life, and for how long reqs came there and here (in quarters of a
// second). It is false where the message is of an earlier life and does not count.
func (l *Ledger) ObservePeer(who int, epoch uint32, knows bool, theirs, ours uint8, now time.Duration) bool {
	p := l.peer(who)
	l.lastMessageAt = now
	if p.known && int32(epoch-p.epoch) < 0 && now-p.lastReceivedAt < earlierEpochDuration {
		return false
	}
	if p.known && p.epoch != epoch {
		p.queuedGrants = nil
	}
	p.epoch, p.known, p.lastReceivedAt, p.silentUntil = epoch, true, now, 0
	p.dead, p.unresponsive = theirs == gossip.LeavingAge, false
	if p.dead {
		return true
	}
	if knows && !p.acked {
		p.acked, p.ackedAt = true, now
	}
	if int(theirs) >= int(ours)+olderServingAge {
		l.Resolve(LimiterRestarted, now)
	}
	return true
}

// HandleRequest takes in how a customer stands at a peer, and lends what it may.
func (l *Ledger) HandleRequest(who int, m gossip.TransferRequest, now time.Duration) {
	size := int(m.SetSize)
	if int(m.Plan) >= len(l.Plans) || int(m.FirstLimiter) >= l.Limiters || size == 0 || size > l.Limiters {
		return
	}
	inSet := func(n int) bool { return (n-int(m.FirstLimiter)+l.Limiters)%l.Limiters < size }
	if !inSet(who) || !inSet(l.Self) {
		return
	}
	seen := now
	if old := l.Find(m.Customer, int(m.Plan), int(m.FirstLimiter), size); old != nil {
		seen = max(old.lastSeen, now-demandMemory)
	}
	a := l.Account(m.Customer, int(m.Plan), int(m.FirstLimiter), size, now)
	a.lastSeen = max(a.lastSeen, seen)
	a.advance(now)
	if !a.isAllocated() {
		l.handleOwnedRequest(who, a, m, now)
		return
	}
	k := a.link(who)
	a.reconcile(k, m.Level, m.Consumed, m.Demand, m.TotalLevel, now)
	for i := range k.lent {
		if k.lent[i].nonce == m.Nonce { // the answer was lost
			l.queueGrant(who, k.lent[i].message)
			return
		}
	}
	for i := range k.lent { // what was on its way is there by now, or never will be
		k.lent[i].quotaUnits, k.lent[i].ceilingUnits = 0, 0
		k.lent[i].slots = min(k.lent[i].slots, int(m.SlotsHeld))
	}
	k.lent = slices.DeleteFunc(k.lent, func(g grantRecord) bool { return g.share == 0 && g.slots == 0 })
	l.queueGrant(who, l.lend(a, k, m, now))
}

func (l *Ledger) queueGrant(who int, m gossip.Grant) {
	p := l.peer(who)
	p.queuedGrants = slices.DeleteFunc(p.queuedGrants, func(o gossip.Grant) bool { return o.Customer == m.Customer })
	p.queuedGrants = append(p.queuedGrants, m)
	l.markReady(who, p)
}

// lend moves units and lends a share to a peer that asks: so much of what both
// hold as is its part of what both want, and of the rate what is not wanted here.
func (l *Ledger) lend(a *Account, k *link, m gossip.TransferRequest, now time.Duration) gossip.Grant {
	p := a.plan()
	ready := now >= a.loansSettledAt()
	mine, theirs := a.demand.Value(now, demandMemorySeconds), k.demand
	weight := 1.0
	if mine+theirs > 0 {
		weight = theirs / (mine + theirs)
	}
	g := grantRecord{nonce: m.Nonce, loan: loan{expiresAt: now + lenderLoanDuration}, deliveredBy: now + grantDeliveryTimeout}
	quota, ceiling, _, overFlying := a.fractions(ready)
	lent, most := 0.0, 0.0 // to others, and to this one
	for i := range a.links {
		if o := &a.links[i]; o != k {
			lent += o.lentShare()
		}
	}
	most = k.lentShare()
	if p.Quota.Rate > 0 && (m.QuotaWanted > 0 || m.Demand > 0) {
		spare := min(quota+most-mine*lenderDemandFactor/p.Quota.Rate, MaxLentFraction*a.baseFraction-lent)
		if !ready {
			spare = 0
		}
		lack := min(theirs*borrowerDemandFactor/p.Quota.Rate, 1) - float64(m.Share)/gossip.ShareSteps
		if g.share = math.Floor(min(spare, lack)*gossip.ShareSteps) / gossip.ShareSteps; g.share < minLoanShare {
			g.share = 0
		}
		fair := min((a.quotaLevel+max(k.level, -a.quotaLevel))*weight-k.level, float64(m.QuotaWanted)/gossip.UnitParts)
		if g.share > 0 { // what the smaller part has no room for goes along
			fair = max(fair, a.quotaLevel-(quota+most-max(most, g.share))*p.Quota.Burst)
		}
		g.quotaUnits = float64(encodeUnits(min(fair, a.quotaLevel))) / gossip.UnitParts
	}
	if ready && p.Ceiling.Rate > 0 && m.CeilingWanted > 0 {
		room := MaxLentFraction*a.evenFraction*p.Ceiling.Burst - (lent+max(g.share, most))*p.Ceiling.Burst - overFlying
		most := a.ceilingLevel * max(weight, 1-mine/max(mine+ceiling*p.Ceiling.Rate, 1e-6))
		g.ceilingUnits = float64(encodeUnits(min(most, float64(m.CeilingWanted)/gossip.UnitParts, max(room, 0)))) / gossip.UnitParts
	}
	if free := a.slotLimit() - a.SlotsInUse; p.Slots > 0 && m.SlotsWanted > 0 && free > 0 {
		g.slots = min(int(m.SlotsWanted), free) + k.lentSlots()
	}
	a.quotaLevel -= g.quotaUnits
	a.ceilingLevel -= g.ceilingUnits
	l.Counts.UnitsSent += g.quotaUnits
	g.message = gossip.Grant{
		Customer: a.CustomerHash, Nonce: m.Nonce, QuotaUnits: encodeUnits(g.quotaUnits), CeilingUnits: encodeUnits(g.ceilingUnits),
		Share: uint8(math.Round(g.share * gossip.ShareSteps)), Slots: uint8(g.slots),
		Consumed: a.consumed, TotalLevel: a.encodeTotal(), Demand: a.encodeDemand(now),
	}
	k.lent = append(k.lent, g)
	k.lent[len(k.lent)-1].message.Level = a.encodeLevel()
	return k.lent[len(k.lent)-1].message
}

// HandleGrant takes in what a peer moved here. It gives the account if the answer
// is one to an ask that is out, for reqs that wait.
func (l *Ledger) HandleGrant(who int, m gossip.Grant, now time.Duration) *Account {
	a := l.accountOfGrant(who, m)
	if a == nil {
		return nil
	}
	a.advance(now)
	if !a.isAllocated() {
		l.handleOwnedGrant(who, a, m, now)
		return a
	}
	k := a.link(who)
	if !k.pending || k.nonce != m.Nonce || now >= k.requestedAt+requestTimeout {
		return nil
	}
	k.pending = false
	k.borrowed = loan{share: float64(m.Share) / gossip.ShareSteps, slots: int(m.Slots), expiresAt: k.requestedAt + LoanDuration}
	a.quotaLevel += float64(m.QuotaUnits) / gossip.UnitParts
	a.ceilingLevel += float64(m.CeilingUnits) / gossip.UnitParts
	a.reconcile(k, m.Level, m.Consumed, m.Demand, m.TotalLevel, now)
	l.Counts.UnitsReceived += float64(m.QuotaUnits) / gossip.UnitParts
	if float64(m.QuotaUnits)/gossip.UnitParts < min(k.quotaWanted, a.largestRequest) {
		k.nextRequestAt = now + emptyGrantBackoff
	}
	return a
}

// Tick takes a view of the peers, every fraction of a second. One that has fallen
// silent is dead or cut off. If it is dead its clients go to the others, and what
// is asked for here rises by one part in as many as are left; if it is cut off it
// does not. Where half of the tier or more is silent it is this one that is cut
// off, and where that rise would stand out from the ups and downs of before, it
// decides; where it would not, the peer counts as cut off, and its parts of quotas
// stay with it. Ceilings are never shared out.
func (l *Ledger) Tick(now time.Duration) {
	silent := 0
	for who := range l.Limiters {
		if l.isSilent(l.peers[who], now) {
			silent++
		}
	}
	v := l.totalDemand.Value(now, demandMemorySeconds)
	if silent == 0 || l.ticks == 0 {
		if l.ticks++; l.ticks == 1 {
			l.meanDemand = v
		}
		w := max(demandTickWeight, 1/float64(l.ticks))
		off := v - l.meanDemand
		l.meanDemand += w * off
		l.demandVariance += w * (off*off - l.demandVariance)
		return
	}
	active := 1 // what is asked for by few goes up and down with each of them
	for _, a := range l.accountOrder {
		if now-a.lastSeen < demandMemory {
			active++
		}
	}
	usual := math.Sqrt(max(l.demandVariance, l.meanDemand*l.meanDemand/float64(active)))
	rise := l.meanDemand * float64(silent) / float64(max(l.Limiters-silent, 1))
	if 2*silent >= l.Limiters || l.ticks < demandMinTicks || rise < significantDeviations*usual || v-l.meanDemand < rise/2 {
		return
	}
	for who := range l.Limiters {
		if p := l.peers[who]; l.isSilent(p, now) && !p.dead {
			p.dead = true
			l.Counts.PeersDeclaredDead++
		}
	}
}

// isSilent tells whether a peer is silent that should not be. In a tier of many most
// pairs have nothing to tell each other for seconds, and only an unanswered ask counts.
func (l *Ledger) isSilent(p *peer, now time.Duration) bool {
	return p != nil && p.known && now-p.lastReceivedAt > peerSilenceTimeout && (p.unresponsive || l.Limiters <= smallTierSize)
}

// IsLastOwner tells whether, with some other limiters out, this one is the last that holds the stores of a
// customer that was met: of a large set its home and those that stand in, else all of the set. A
// customer of this limiter alone does not count, as nobody else could ever hold it.
func (l *Ledger) IsLastOwner(out []int) bool {
	for _, a := range l.accountOrder {
		others := a.lenders
		if !a.isAllocated() {
			if a.ownerRank < 0 {
				continue
			}
			others = slices.DeleteFunc(slices.Clone(a.owners), func(n int) bool { return n == l.Self })
		}
		if len(others) > 0 && !slices.ContainsFunc(others, func(n int) bool { return !slices.Contains(out, n) }) {
			return true
		}
	}
	return false
}

// Level is what may be sent on here of an account's quota, in units.
func (l *Ledger) Level(a *Account, now time.Duration) float64 {
	a.advance(now)
	return a.quotaLevel
}

// Ceiling is likewise what the ceiling's part here allows.
func (l *Ledger) Ceiling(a *Account, now time.Duration) float64 {
	a.advance(now)
	return a.ceilingLevel
}

// Sweep forgets some of the accounts that are as good as new: idle, with full
// stores and nothing lent or borrowed. What is met again starts as full.
func (l *Ledger) Sweep(idle, now time.Duration) {
	for range min(accountsPerSweep, len(l.accountOrder)) {
		if l.sweepIndex >= len(l.accountOrder) {
			l.sweepIndex = 0
		}
		a := l.accountOrder[l.sweepIndex]
		if now-a.lastSeen <= idle || !a.isAsNew(now) {
			l.sweepIndex++
			continue
		}
		same := slices.DeleteFunc(l.accounts[a.CustomerHash], func(o *Account) bool { return o == a })
		if l.accounts[a.CustomerHash] = same; len(same) == 0 {
			delete(l.accounts, a.CustomerHash)
		}
		a.Forgotten = true
		if a.ownerRank == 0 {
			l.ownedAccounts = slices.DeleteFunc(l.ownedAccounts, func(o *Account) bool { return o == a })
		}
		last := len(l.accountOrder) - 1
		l.accountOrder[l.sweepIndex] = l.accountOrder[last]
		l.accountOrder[last] = nil
		l.accountOrder = l.accountOrder[:last]
	}
}

// isAsNew tells whether nothing would be lost by forgetting an account.
func (a *Account) isAsNew(now time.Duration) bool {
	a.advance(now)
	p := a.plan()
	for i := range a.links {
		if k := &a.links[i]; k.borrowed.expiresAt > now || len(k.lent) > 0 || k.queued || k.pending && now-k.requestedAt < requestTimeout {
			return false
		}
	}
	return a.SlotsInUse == 0 && a.reservedUnits == 0 && now >= a.loansSettledAt() &&
		(p.Quota.Rate <= 0 || a.quotaLevel >= a.baseFraction*p.Quota.Burst*0.999) &&
		(p.Ceiling.Rate <= 0 || a.ceilingLevel >= a.ceilingFraction*p.Ceiling.Burst*0.999)
}

// Counters tells the counters as they stand.
func (l *Ledger) Counters(now time.Duration) Counters {
	c := l.Counts
	c.Accounts, c.RecoveryState = len(l.accountOrder), l.recovery.String()
	for _, p := range l.peers {
		if p.known && now-p.lastReceivedAt > peerSilenceTimeout {
			c.SilentPeers++
		}
	}
	return c
}

// OwnersOf gives the limiters that hold a customer's stores: the home and those that stand in for it, or
// all of a small set.
func OwnersOf(hash uint32, first, size, limiters int) []int {
	size = min(max(size, 1), limiters)
	if size <= SmallSetSize {
		return rank(hash, first%limiters, size, limiters, size)
	}
	return rank(hash, first%limiters, size, limiters, ownerCount)
}

// rank gives the n limiters of a set that come first by rendezvous hashing: the
// same at every limiter, whoever asks.
func rank(hash uint32, first, size, limiters, n int) []int {
	type scored struct {
		who   int
		score uint64
	}
	all := make([]scored, 0, size)
	for i := range size {
		who := (first + i) % limiters
		all = append(all, scored{who, Mix64(uint64(hash)<<32 | uint64(who))})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	list := make([]int, 0, n)
	for _, s := range all[:min(n, len(all))] {
		list = append(list, s.who)
	}
	return list
}

// Mix64 spreads the bits of a number evenly (the finalizer of SplitMix64).
func Mix64(v uint64) uint64 {
	v ^= v >> 30
	v *= 0xbf58476d1ce4e5b9
	v ^= v >> 27
	v *= 0x94d049bb133111eb
	return v ^ v>>31
}
