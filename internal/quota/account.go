package quota

import (
	"math"
	"time"

	"lemongate/internal/gossip"
	"lemongate/internal/rate"
)

// An Account is what is held here of one customer's stores. Between two calls
// it stands as of its last one; advance brings it up to now.
type Account struct {
	CustomerHash uint32
	PlanIndex    int  // place in the settings
	SlotsInUse   int  // places in use here, kept by the caller
	Forgotten    bool // forgotten by Sweep

	ledger                *Ledger `json:"-"`
	firstLimiter, setSize int
	baseFraction          float64 // base part of the quota's store, 0 where this is no holder
	evenFraction          float64 // one over the size of the set
	ceilingFraction       float64 // base part of the ceiling's store

	// Of a large set alone, see home.go.
	owners                []int          // the home, and those that stand in for it
	ownerRank             int            // this limiter's place among these, or -1
	ownerView             ownerView      // what the home told
	credit                rate.Allowance // units that may be sent on here without a word
	unreportedUnits       float64        // units so sent that the home was not told of
	unreportedDemand      float64        // units asked for here that the home was not told of
	requestAllowance      float64        // asks of a hot customer that may go
	requestOutstanding    bool           // the req at the head waits for a word
	ownerDecision         int            // what came since
	levelHintReceived     bool           // an asker told what the level was
	lastGrantAt           time.Duration
	ceilingInTransit      []inTransit // of the ceiling, granted and maybe not there yet
	ceilingUnitsInTransit float64     // their sum

	baseSlots               int   // base places
	lenders                 []int // the limiters that may help: the other holders
	advancedTo              time.Duration
	lastSeen                time.Duration
	quotaLevel              float64 // level: units that may be sent on here
	ceilingLevel            float64
	unresolvedUnits         float64 // units that the start left open, see Standing
	reservedUnits           float64 // units taken and not sent yet
	largestRequest          float64 // of a req, of late
	admittedWhileUnresolved bool    // one was let go in doubt
	demand                  rate.Decaying
	links                   []link

	consumed         uint16  // parts sent on in this life, modulo 2^16
	totalLevel       float64 // the true store, from what all say that they sent on; below 0 where nobody can say
	totalKnown       bool    // it is known
	startedFull      bool    // it was full when all began: a peer's first total counts from nothing
	unallocatedUnits float64 // least of late that the true store holds beyond all parts
	unallocatedTicks int     // looks at that
	unallocatedSince time.Duration
}

// A link is what stands between this limiter and one other for an account.
type link struct {
	peerID int
	epoch  uint32 // of the peer: what was agreed with an earlier life of it is void

	pending       bool // an ask is out
	nonce         uint16
	requestedAt   time.Duration // its first telling
	lastSentAt    time.Duration // its last
	queued        bool          // to be told
	quotaWanted   float64
	ceilingWanted float64
	slotsWanted   int // places wanted
	nextRequestAt time.Duration
	borrowed      loan // borrowed there: what the last answer said

	lent []grantRecord // lent there, each until it ends: the peer goes by one of them

	lastGrant            gossip.Grant  // the last one given, of a home
	ceilingBorrowedUntil time.Duration // of a home's link to one that stands in: until when what that one gained of the ceiling was asked for
	demandToReport       uint8         // units asked for beside, of a large set

	known      bool // what the peer told of itself
	reclaimed  bool // what it held was taken up
	restarted  bool // it did in an earlier life: what it tells next it sent on since
	level      float64
	consumed   uint16
	demand     float64 // its demand
	reportedAt time.Duration
	returnDue  bool // places are to be given back there
}

// A loan is a part of the rate and size of both stores that is used here until
// it ends by itself.
type loan struct {
	share     float64
	slots     int
	expiresAt time.Duration
}

// A grantRecord is the lender's record of a loan. It ends later than the loan by what
// two clocks may differ. Units in it are on their way.
type grantRecord struct {
	loan
	nonce                    uint16
	quotaUnits, ceilingUnits float64
	deliveredBy              time.Duration // they have come by then, or never will
	message                  gossip.Grant
}

// advance brings an account up to now: its stores fill by the parts that it has,
// from one end of a loan to the next.
func (a *Account) advance(now time.Duration) {
	if !a.isAllocated() { // nothing is lent but places
		for a.advancedTo < now {
			next := now
			if len(a.ceilingInTransit) > 0 {
				next = min(max(a.ceilingInTransit[0].arrivesBy, a.advancedTo), now)
			}
			a.refill((next - a.advancedTo).Seconds(), true)
			a.advancedTo = next
			a.settleInTransit()
		}
		a.expireLoans()
		return
	}
	a.dropStaleLinks()
	for a.advancedTo < now {
		next := now
		earlier := func(at time.Duration) {
			if at > a.advancedTo && at < next {
				next = at
			}
		}
		ready := a.loansSettledAt()
		earlier(ready)
		for i := range a.links {
			earlier(a.links[i].borrowed.expiresAt)
			for _, o := range a.links[i].lent {
				earlier(o.expiresAt)
				earlier(o.deliveredBy)
			}
		}
		a.refill((next - a.advancedTo).Seconds(), a.advancedTo >= ready)
		a.advancedTo = next
		a.expireLoans()
	}
}

// refill adds what some seconds bring. A part that holds more than its room, as one
// that has lent room or lost a loan, drains as fast as the others may fill: so all
// parts together never gain while they hold as much as the whole store can.
func (a *Account) refill(dt float64, ready bool) {
	p := a.plan()
	quota, ceiling, units, over := a.fractions(ready)
	if p.Quota.Rate > 0 {
		a.totalLevel = min(a.totalLevel+dt*p.Quota.Rate, p.Quota.Burst)
		a.quotaLevel = refilled(a.quotaLevel, quota*p.Quota.Burst-units, dt*p.Quota.Rate, quota, 1)
	}
	if p.Ceiling.Rate > 0 {
		a.ceilingLevel = refilled(a.ceilingLevel, ceiling*p.Ceiling.Burst-over-a.reservedUnits, dt*p.Ceiling.Rate, ceiling, 1-ClockDrift)
	}
}

// refilled is a level after the whole store gained some units, of which a share is
// this part's.
func refilled(level, room, gain, share, slow float64) float64 {
	room = max(room, 0)
	if level > room {
		return max(room, level-gain*(1-share))
	}
	return min(level+gain*share*slow, room)
}

// fractions are the parts of the two stores that are this limiter's to fill, and
// the units lent that are on their way and keep their room.
func (a *Account) fractions(ready bool) (quota, ceiling, units, over float64) {
	quota, ceiling = a.baseFraction, a.ceilingFraction
	if !ready { // an earlier life may have lent as much as this
		ceiling *= 1 - MaxLentFraction
	}
	if !a.isAllocated() {
		return quota, ceiling, 0, a.ceilingUnitsInTransit
	}
	moved := 0.0
	for i := range a.links {
		k := &a.links[i]
		moved += k.borrowed.share - k.lentShare()
		for _, o := range k.lent {
			units += o.quotaUnits
			over += o.ceilingUnits
		}
	}
	if a.baseFraction > 0 {
		dead := 0
		for _, who := range a.lenders {
			if p := a.ledger.peers[who]; p != nil && p.dead {
				dead++
			}
		}
		quota += a.baseFraction * float64(dead) / float64(len(a.lenders)+1-dead)
	}
	return max(quota+moved, 0), max(ceiling+moved, 0), units, over
}

// lentShare is the share that the peer may be using: the answer that it goes by is not
// known for sure.
func (k *link) lentShare() (share float64) {
	for i := range k.lent {
		share = max(share, k.lent[i].share)
	}
	return share
}

// lentSlots is likewise how many places.
func (k *link) lentSlots() (places int) {
	for i := range k.lent {
		places = max(places, k.lent[i].slots)
	}
	return places
}

// isAllocated tells whether every limiter of the set has a base part of both stores; of
// a large one only the home has.
func (a *Account) isAllocated() bool { return a.setSize <= SmallSetSize }

func (a *Account) plan() *Plan { return &a.ledger.Plans[a.PlanIndex] }

// loansSettledAt is when no other limiter can still use what an earlier life lent it:
// all of the set know of this life, or every lease has ended.
func (a *Account) loansSettledAt() time.Duration {
	l := a.ledger
	at := l.startedAt
	if a.advancedTo >= l.startedAt+lenderLoanDuration || !a.isAllocated() {
		return at
	}
	for i := range a.setSize {
		who := (a.firstLimiter + i) % l.Limiters
		if who == l.Self {
			continue
		}
		if p := l.peers[who]; p != nil && p.acked {
			at = max(at, min(p.ackedAt, l.startedAt+lenderLoanDuration))
		} else {
			return l.startedAt + lenderLoanDuration
		}
	}
	return at
}

// expireLoans drops loans and grants that have ended.
func (a *Account) expireLoans() {
	for i := range a.links {
		k := &a.links[i]
		if k.borrowed.expiresAt <= a.advancedTo {
			k.borrowed = loan{}
		}
		n := 0
		for _, o := range k.lent {
			if o.deliveredBy <= a.advancedTo && o.quotaUnits+o.ceilingUnits > 0 {
				a.ledger.Counts.UnitsUnacknowledged += o.quotaUnits
				o.quotaUnits, o.ceilingUnits = 0, 0
			}
			if o.expiresAt > a.advancedTo {
				k.lent[n] = o
				n++
			}
		}
		k.lent = k.lent[:n]
	}
}

// dropStaleLinks ends what was agreed with an earlier life of a peer: its rights died with
// it, and those lent by it are its new life's again.
func (a *Account) dropStaleLinks() {
	for i := range a.links {
		k := &a.links[i]
		p := a.ledger.peers[k.peerID]
		if p != nil && k.epoch == 0 { // not heard before: there was nothing yet to agree on
			k.epoch = p.epoch
		}
		if p != nil && p.dead {
			a.reclaim(k)
		}
		if p != nil && p.epoch != k.epoch {
			a.ledger.Counts.RateReclaimed += k.lentShare() * a.plan().Quota.Rate
			if k.known { // what it sent on at last nobody will ever tell
				past := min((a.ledger.lastMessageAt - k.reportedAt).Seconds(), 1)
				a.totalLevel -= min(k.demand, a.peerFraction(k.peerID)*a.plan().Quota.Rate) * past
			}
			a.reclaim(k)
			*k = link{peerID: k.peerID, epoch: p.epoch, queued: k.queued, restarted: k.known}
		}
	}
}

// reclaim takes up this limiter's part of what a peer held when it left or died.
// The store still has these units, and the peer's next life starts without them.
func (a *Account) reclaim(k *link) {
	p := a.plan()
	if !k.known || k.reclaimed || a.baseFraction <= 0 || p.Quota.Rate <= 0 {
		return
	}
	k.reclaimed = true
	most := a.evenFraction * p.Quota.Burst
	past := min((a.ledger.lastMessageAt - k.reportedAt).Seconds(), 1)
	level := min(max(k.level+(a.evenFraction*p.Quota.Rate-k.demand)*past, 0), most)
	if k.level < 0 { // its debt is ours as well
		level = k.level
	}
	a.quotaLevel += level / float64(len(a.lenders))
	a.ledger.Counts.UnitsRecovered += level / float64(len(a.lenders))
}

// link finds or starts what stands with a peer.
func (a *Account) link(who int) *link {
	for i := range a.links {
		if k := &a.links[i]; k.peerID == who {
			if p := a.ledger.peers[who]; !a.isAllocated() && p != nil && p.epoch != k.epoch {
				if k.epoch == 0 { // not heard before: what is asked of it stands
					k.epoch = p.epoch
				} else {
					*k = link{peerID: who, epoch: p.epoch, queued: k.queued}
				}
			}
			return k
		}
	}
	k := link{peerID: who}
	if p := a.ledger.peers[who]; p != nil {
		k.epoch = p.epoch
	}
	a.links = append(a.links, k)
	return &a.links[len(a.links)-1]
}

// slotLimit is how many places may be in use here.
func (a *Account) slotLimit() int {
	n := a.baseSlots
	for i := range a.links {
		n += a.links[i].borrowed.slots - a.links[i].lentSlots()
	}
	return n
}

// estimatePeer is what a peer is thought to hold: by what it told last, by what it
// has gained and spent since; of one that told nothing, that it is like this one.
func (a *Account) estimatePeer(k *link, now time.Duration) (level, demand float64) {
	p := a.plan()
	part := max(a.peerFraction(k.peerID)-k.borrowed.share, 0)
	most := part * p.Quota.Burst
	if p := a.ledger.peers[k.peerID]; p != nil && now < p.silentUntil {
		return 0, 0
	}
	if !k.known {
		demand = min(a.demand.Value(now, demandMemorySeconds)/2, unknownDemandFraction*part*p.Quota.Rate)
		level = most * unknownLevelFraction
		if s := a.ledger.recovery; s == RecoveryUnknown || s == TierRestarted { // it started from nothing as well
			level = min(level, part*p.Quota.Rate*(now-a.ledger.startedAt).Seconds())
		}
		return level, demand
	}
	dt := (now - k.reportedAt).Seconds()
	return min(max(k.level+(part*p.Quota.Rate-k.demand)*dt, 0), most), k.demand
}

// peerFraction is the base part of the quota's store that a peer has.
func (a *Account) peerFraction(who int) float64 {
	return a.evenFraction
}

// encodeTotal is what is known here of the true store.
func (a *Account) encodeTotal() uint8 {
	if !a.totalKnown {
		return gossip.UnknownTotal
	}
	return uint8(max(a.totalLevel, 0) / max(a.plan().Quota.Burst, 1e-3) * gossip.TotalSteps)
}

// reconcile takes in how a peer stands. Where all holders were heard of late, what
// the true store has beyond all parts has strayed: a part stood full while the
// store was not, a message with units was lost, a limiter died with units in hand.
// Each holder takes its part of what strayed, once that was so for a while: what
// is on its way between two others looks astray for as long.
func (a *Account) reconcile(k *link, level int8, drawn uint16, demand, whole uint8, now time.Duration) {
	p := a.plan()
	if whole != gossip.UnknownTotal && !a.totalKnown { // it has seen more than this life of ours
		a.totalLevel, a.totalKnown = float64(whole)/gossip.TotalSteps*p.Quota.Burst, true
		k.known, k.consumed = true, drawn
	}
	if k.known || k.restarted || a.startedFull { // a new life counts from nothing
		a.totalLevel -= float64(int16(drawn-k.consumed)) / gossip.UnitParts
	}
	k.known, k.restarted, k.reportedAt, k.consumed = true, false, now, drawn
	k.level = float64(level) / gossip.LevelSteps * p.Quota.Burst
	k.demand = float64(demand) / gossip.DemandSteps * p.Quota.Rate
	if p.Quota.Rate <= 0 || a.baseFraction <= 0 {
		return
	}
	held := a.quotaLevel
	for _, who := range a.lenders {
		o := a.link(who)
		peer := a.ledger.peers[who]
		if peer != nil && peer.dead {
			continue // what it held strays
		}
		if !o.known || now-o.reportedAt > busyReportMaxAge && (now-o.reportedAt > idleReportMaxAge || o.demand*(now-o.reportedAt).Seconds() > 1) {
			return
		}
		for _, g := range o.lent {
			held += g.quotaUnits
		}
		part := max(a.baseFraction+o.lentShare()-o.borrowed.share, 0)
		held += o.level + part*p.Quota.Rate*(now-o.reportedAt).Seconds()
	}
	if !a.totalKnown || a.totalLevel < held { // the parts never hold more than there is
		a.totalLevel, a.totalKnown, a.unallocatedTicks = held, true, 0
		return
	}
	stray := a.totalLevel - held - a.largestRequest - p.Quota.Burst/gossip.LevelSteps*float64(a.setSize)
	if a.unallocatedTicks == 0 || now-a.unallocatedSince > idleReportMaxAge {
		a.unallocatedUnits, a.unallocatedSince, a.unallocatedTicks = stray, now, 0
	}
	a.unallocatedUnits = min(a.unallocatedUnits, stray)
	if a.unallocatedTicks++; a.unallocatedTicks < unallocatedMinTicks || now-a.unallocatedSince < unallocatedMinDuration {
		return
	}
	if a.unallocatedUnits > 0 {
		a.quotaLevel += a.unallocatedUnits * a.baseFraction
		a.ledger.Counts.UnitsRecovered += a.unallocatedUnits * a.baseFraction
	}
	a.unallocatedTicks = 0
}

// admissionProbability is the probability that the true store has a req's units, of which some
// are short here. What was told gives what the store held, and how fast others
// draw on it; what they drew unseen since is taken as exponential. Where nothing
// was told yet, the others' parts stand for the store.
func (a *Account) admissionProbability(units, short float64, now time.Duration) float64 {
	p := a.plan()
	spare, unseen, told := 0.0, 0.0, a.totalKnown
	for _, who := range a.lenders {
		k := a.link(who)
		level, demand := a.estimatePeer(k, now)
		past := debtSettlementTime
		if told = told && k.known; k.known {
			past = min(now-k.reportedAt+reportDelay, unseenMaxAge)
			demand = k.demand
		}
		spare += max(level-demand*debtSettlementTime.Seconds(), 0)
		drawn := max(demand, unseenMinFraction*p.Quota.Rate*a.evenFraction) * past.Seconds()
		if k.known && now-k.reportedAt < peerSilenceTimeout { // it goes by its own rights too, while it hears of ours
			drawn = min(drawn, max(k.level, 0)+a.evenFraction*p.Quota.Rate*past.Seconds())
		}
		unseen += drawn
	}
	if told {
		spare, short = a.totalLevel, units
	}
	if spare < short {
		return 0
	}
	return 1 - math.Exp(-(spare-short)/max(unseen, 1e-6))
}

// maxDebt is how far below nothing the store may go here on chance.
func (a *Account) maxDebt() float64 {
	return max(maxDebtFraction*a.plan().Quota.Burst*a.evenFraction, a.largestRequest)
}
