package quota

import (
	"math"
	"time"

	"lemongate/internal/gossip"
	"lemongate/internal/rate"
)

// This file holds the stores of customers whose set is large: more limiters than
// Holders. Such a set meets a customer so thinly that nothing can be held ahead of
// need anywhere. One limiter of it, the home, holds the stores whole, and the others
// ask it for the units of each req. Two more stand in for it, in their order, while
// it is silent: an asker goes to the first that is not.
//
// Ceilings are held by right alone: the home and those that stand in have fixed
// parts of them, whoever is silent (roofs), and a home that runs short is sent units out of
// the other parts (borrow). A quota is held by the home's level. It
// may be passed by what a stand-in grants beside the home, at most its level, by
// restLevel of the burst at each start of a home, and by credit: a limiter that gets
// no word at all sends on by a small store of its own. All of a set's credit
// together is at most creditTimes the rate and one req a limiter.

const (
	ownerCount           = 3                     // the home, and those that stand in for it
	ownerRetransmitAfter = 50 * time.Millisecond // without an answer: the ask or the answer is lost
	restartLevelFraction = 0.5                   // of the burst: what a home that lost all takes its stores to hold
	creditRateFactor     = 2.0                   // of its even part of the rate: credit of a limiter without a word
	ownerViewDuration    = 5 * time.Second       // what a home told of its level means something for as long
	hotDemandFactor      = 1.2                   // times the rate: a customer that asks for so much is told of unasked
	hotRequestFactor     = 1.3                   // times the rate: what a hot customer's limiters ask for together
	hotUpdatesPerMessage = 2                     // such customers told of in a message
	hotCustomerDuration  = 2 * time.Second       // since it was last asked for
	minBorrowedCeiling   = 1.0                   // units that a home asks of one that stands in for it
	backupLevelDuration  = 2 * time.Second       // without a grant: a stand-in's level is not what it thinks
)

// ceilingFractions are the parts of a ceiling that the home and its stand-ins hold. As a ceiling
// is well above the quota, the home's part is the quota's rate and more.
var ceilingFractions = [ownerCount]float64{0.6, 0.3, 0.1}

// What the home said to the req at the head since it asked.
const (
	ownerUndecided = iota
	ownerGranted
	ownerRejected
)

// A ownerView is what a limiter was last told of a customer by its home.
type ownerView struct {
	known      bool
	level      float64 // units
	demand     float64 // units a second, by all limiters
	receivedAt time.Duration
}

// A inTransit is what a home granted of a ceiling, until it is there for sure or never
// will be. It keeps its room: else the home's part would fill again meanwhile, and
// all parts together could hold more than the whole.
type inTransit struct {
	units     float64
	arrivesBy time.Duration
}

// settleInTransit forgets the flights that have ended.
func (a *Account) settleInTransit() {
	n := 0
	for n < len(a.ceilingInTransit) && a.ceilingInTransit[n].arrivesBy <= a.advancedTo {
		a.ceilingUnitsInTransit -= a.ceilingInTransit[n].units
		n++
	}
	if a.ceilingInTransit = a.ceilingInTransit[n:]; len(a.ceilingInTransit) == 0 {
		a.ceilingInTransit, a.ceilingUnitsInTransit = nil, 0
	}
}

// initOwned makes an account one of a large set.
func (a *Account) initOwned(l *Ledger) {
	a.ceilingFraction = 0
	a.owners = rank(a.CustomerHash, a.firstLimiter, a.setSize, l.Limiters, ownerCount)
	p := a.plan()
	a.credit = rate.Allowance{Amount: p.Quota.Burst, UpdatedAt: l.startedAt}
	for i, who := range a.owners {
		if who != l.Self {
			continue
		}
		a.ownerRank, a.baseFraction, a.ceilingFraction = i, 1, ceilingFractions[i]
		if i == 0 {
			a.baseSlots = p.Slots
			l.ownedAccounts = append(l.ownedAccounts, a)
		}
		full := p.Quota.Burst
		a.quotaLevel = full * restartLevelFraction
		switch l.recovery {
		case TierStarted:
			a.quotaLevel = full
		case RecoveryUnknown:
			a.unresolvedUnits = full - a.quotaLevel
		}
	}
}

// predictedOwnerLevel is what a limiter thinks that the store holds, by its home's last word.
func (a *Account) predictedOwnerLevel(now time.Duration) (level, demand float64, known bool) {
	v := a.ownerView
	if !v.known || now-v.receivedAt > ownerViewDuration {
		return 0, 0, false
	}
	p := a.plan()
	return min(max(v.level+(p.Quota.Rate-v.demand)*(now-v.receivedAt).Seconds(), 0), p.Quota.Burst), v.demand, true
}

// reserveOwned is Reserve for a customer with a home.
func (l *Ledger) reserveOwned(a *Account, units float64, last bool, now time.Duration) (Decision, time.Duration) {
	p := a.plan()
	lacks := p.Quota.Rate > 0 && a.quotaLevel < units || p.Ceiling.Rate > 0 && a.ceilingLevel < units ||
		p.Slots > 0 && a.SlotsInUse >= a.slotLimit()
	first := a.ownerRank == 0 || a.ownerRank > 0 && l.firstLiveOwner(a, now) < 0
	said := a.ownerDecision
	a.ownerDecision = ownerUndecided
	if !lacks && (a.ownerRank < 0 || first || said == ownerGranted) {
		l.consumeOwned(a, units, now)
		l.borrowCeiling(a, now)
		return Granted, 0
	}
	l.borrowCeiling(a, now)
	wait := time.Duration(units / max(p.Quota.Rate, 1e-3) * float64(time.Second))
	if first || said != ownerUndecided {
		a.requestOutstanding = false
		return Rejected, wait
	}
	level, demand, known := a.predictedOwnerLevel(now)
	if known && !a.requestOutstanding && level < units && demand > hotRequestFactor*p.Quota.Rate {
		// Of a hot customer as much is asked for as its home may grant: it need not
		// say no to each req. More the older the word is, as a rush may be over.
		old := (now - a.ownerView.receivedAt).Seconds() / ownerViewDuration.Seconds()
		if a.requestAllowance += hotRequestFactor*p.Quota.Rate/demand + old*old; a.requestAllowance < 1 {
			return Rejected, wait
		}
		a.requestAllowance--
	}
	if !last && l.requestFromOwner(a, units, now) {
		a.requestOutstanding = true
		return Pending, 0
	}
	if a.ownerRank > 0 && l.firstLiveOwner(a, now) < 0 { // just found to be the one who decides
		return l.reserveOwned(a, units, last, now)
	}
	a.requestOutstanding = false
	if p.Ceiling.Rate > 0 || p.Slots > 0 { // no matter of credit
		return Rejected, wait
	}
	// No word came, or nobody is there to give one.
	if known && level < units && demand > p.Quota.Rate && p.LeastProbability > 0 {
		return Rejected, wait
	}
	if a.credit.Refill(now, creditRateFactor*p.Quota.Rate*a.evenFraction, max(a.largestRequest, p.Quota.Burst*a.evenFraction)) < units {
		return Rejected, wait
	}
	a.credit.Amount -= units
	a.unreportedUnits += units
	a.quotaLevel += units
	l.Counts.AdmittedWithoutGrant++
	l.consumeOwned(a, units, now)
	return Granted, 0
}

func (l *Ledger) consumeOwned(a *Account, units float64, now time.Duration) {
	p := a.plan()
	a.requestOutstanding = false
	if p.Quota.Rate > 0 {
		a.quotaLevel -= units
	}
	if p.Ceiling.Rate > 0 {
		a.ceilingLevel -= units
	}
	a.reservedUnits += units
	a.lastGrantAt = now
}

// firstLiveOwner is the place of the first home before this limiter that is not silent,
// or -1.
func (l *Ledger) firstLiveOwner(a *Account, now time.Duration) int {
	for i, who := range a.owners {
		if who == l.Self {
			return -1
		}
		if p := l.peer(who); now >= p.silentUntil && !p.dead && !p.unresponsive {
			return i
		}
	}
	return -1
}

// requestFromOwner asks the first home that is not silent for a req's units, and tells
// whether there is one. One that was silent of late is asked as well, as it may be
// back, but not waited for.
func (l *Ledger) requestFromOwner(a *Account, units float64, now time.Duration) bool {
	for _, who := range a.owners {
		if who == l.Self {
			return false
		}
		peer := l.peer(who)
		if now < peer.silentUntil || peer.dead {
			continue
		}
		k := a.link(who)
		if k.pending && now-k.requestedAt < requestTimeout {
			if now-k.lastSentAt > ownerRetransmitAfter && !k.queued {
				l.queueRequest(a, k, now)
			}
			if !peer.unresponsive {
				return true
			}
			continue
		}
		if k.pending {
			k.pending = false
			if peer.lastReceivedAt < k.requestedAt {
				peer.silentUntil, peer.unresponsive = now+peerSilenceTimeout, true
				continue
			}
		}
		l.nextNonce()
		k.pending, k.nonce, k.requestedAt, k.lastSentAt = true, l.lastNonce, now, now
		k.quotaWanted, k.ceilingWanted, k.slotsWanted = 0, 0, 0
		p := a.plan()
		if p.Quota.Rate > 0 {
			k.quotaWanted = max(units-max(a.quotaLevel, 0), 0)
		}
		if p.Ceiling.Rate > 0 {
			k.ceilingWanted = max(units-max(a.ceilingLevel, 0), 0)
		}
		if p.Slots > 0 && a.SlotsInUse >= a.slotLimit() {
			k.slotsWanted = 1
		}
		k.demandToReport = uint8(min(max(a.unreportedDemand-units, 0), 255))
		a.unreportedDemand = 0
		k.attachDebt(a)
		l.queueRequest(a, k, now)
		if !peer.unresponsive {
			return true
		}
	}
	return false
}

// attachDebt puts into an ask what was sent on without a word, less what was granted and not
// sent.
func (k *link) attachDebt(a *Account) {
	k.consumed = uint16(int16(min(max(a.unreportedUnits*gossip.UnitParts, math.MinInt16), math.MaxInt16)))
	a.unreportedUnits = 0
}

// refundOwned gives units back that are not sent after all: to the home, which is told
// soon, as nobody else could use them; or to this limiter's own level, where it
// decides itself. If that telling is lost, so are the units.
func (l *Ledger) refundOwned(a *Account, units float64, now time.Duration) {
	first := -1
	if a.ownerRank != 0 {
		first = l.firstLiveOwner(a, now)
	}
	if first < 0 && a.ownerRank >= 0 {
		a.quotaLevel += units
		return
	}
	a.unreportedUnits -= units
	if first >= 0 {
		k := a.link(a.owners[first])
		k.returnDue = true
		l.queueRequest(a, k, now)
	}
}

// buildOwnedRequest words an ask to a home.
func (a *Account) buildOwnedRequest(k *link, now time.Duration) gossip.TransferRequest {
	whole := uint8(gossip.UnknownTotal)
	if level, _, known := a.predictedOwnerLevel(now); known {
		whole = uint8(level / max(a.plan().Quota.Burst, 1e-3) * gossip.TotalSteps)
	}
	return gossip.TransferRequest{
		Customer: a.CustomerHash, Plan: uint8(a.PlanIndex), FirstLimiter: uint16(a.firstLimiter), SetSize: uint16(a.setSize), Nonce: k.nonce,
		QuotaWanted: encodeUnits(k.quotaWanted), CeilingWanted: encodeUnits(k.ceilingWanted), Consumed: k.consumed, Share: k.demandToReport, TotalLevel: whole,
		SlotsHeld: uint8(min(k.borrowed.slots, 255)), SlotsWanted: uint8(k.slotsWanted),
	}
}

// handleOwnedRequest grants what a limiter asks its home for, or nothing.
func (l *Ledger) handleOwnedRequest(who int, a *Account, m gossip.TransferRequest, now time.Duration) {
	k := a.link(who)
	if k.known && k.lastGrant.Nonce == m.Nonce { // the answer was lost
		l.queueGrant(who, k.lastGrant)
		return
	}
	k.known, k.reportedAt = true, now
	k.lastGrant = gossip.Grant{Customer: a.CustomerHash, Nonce: m.Nonce}
	if a.ownerRank < 0 { // asked in error: there is nothing to give, nor to give back to
		l.queueGrant(who, k.lastGrant)
		return
	}
	p := a.plan()
	if m.TotalLevel != gossip.UnknownTotal && p.Quota.Rate > 0 {
		hint := float64(m.TotalLevel) / gossip.TotalSteps * p.Quota.Burst
		switch {
		case a.ownerRank > 0 && now-a.lastGrantAt > backupLevelDuration:
			a.quotaLevel = min(a.quotaLevel, hint)
		case a.ownerRank == 0 && !a.levelHintReceived && l.recovery != TierStarted:
			a.quotaLevel = max(a.quotaLevel, hint)
		}
		a.levelHintReceived = true
	}
	want, over := float64(m.QuotaWanted)/gossip.UnitParts, float64(m.CeilingWanted)/gossip.UnitParts
	lends := a.ownerRank > 0 && who == a.owners[0] // no client asks for it
	if !lends {
		a.demand.Add(now, max(want, over)+float64(m.Share), demandMemorySeconds)
	}
	// Below nothing it is what comes back; the store holds no more than its burst.
	a.quotaLevel = min(max(a.quotaLevel-float64(int16(m.Consumed))/gossip.UnitParts, -p.Quota.Burst), max(p.Quota.Burst, a.quotaLevel))
	answer := k.lastGrant
	held := 0
	for i := range k.lent {
		held += min(k.lent[i].slots, int(m.SlotsHeld))
	}
	k.lent = nil
	granted := (want == 0 || a.quotaLevel >= want) && (over == 0 || a.ceilingLevel >= over)
	if p.Slots > 0 {
		if granted = granted && a.slotLimit()-held-a.SlotsInUse >= int(m.SlotsWanted); granted {
			held += int(m.SlotsWanted)
		}
		if held > 0 {
			k.lent = []grantRecord{{loan: loan{slots: held, expiresAt: now + lenderLoanDuration}}}
		}
		answer.Slots = uint8(held)
	}
	if granted {
		if over > 0 {
			a.ceilingInTransit, a.ceilingUnitsInTransit = append(a.ceilingInTransit, inTransit{over, now + grantDeliveryTimeout}), a.ceilingUnitsInTransit+over
		}
		if !lends {
			a.lastGrantAt = now
		}
		a.quotaLevel -= want
		a.ceilingLevel -= over
		l.Counts.UnitsSent += want
		answer.QuotaUnits, answer.CeilingUnits = m.QuotaWanted, m.CeilingWanted
	}
	l.borrowCeiling(a, now)
	a.encodeOwnerView(&answer, now)
	k.lastGrant = answer
	if m.QuotaWanted+m.CeilingWanted > 0 || m.SlotsWanted > 0 { // what only gives back waits for nothing
		l.queueGrant(who, answer)
	}
}

// borrowCeiling has the home of a customer whose ceiling runs short ask those that stand in for
// it for what they gained of theirs since it asked last: while the home lives they have no
// use for it. No unit is made so: it leaves the one part before it comes to the other, and
// the home takes no more than its own part has room for.
//
// Trouble: a ceiling's store counts as empty at a start, and the home's part alone fills at
// little more than the quota's rate: a customer had 57 in 100 of what was due in the first
// seconds, while its quota's store was full.
func (l *Ledger) borrowCeiling(a *Account, now time.Duration) {
	p := a.plan()
	if a.ownerRank != 0 || p.Ceiling.Rate <= 0 {
		return
	}
	want := min(a.demand.Value(now, demandMemorySeconds)*prefetchDuration.Seconds()+a.largestRequest, a.ceilingFraction*p.Ceiling.Burst-a.ceilingUnitsInTransit-a.reservedUnits) - a.ceilingLevel
	if p.Quota.Rate > 0 {
		want = min(want, a.quotaLevel-a.ceilingLevel) // beyond that the quota binds
	}
	for i, who := range a.owners[1:] {
		if want < minBorrowedCeiling {
			return
		}
		k, peer := a.link(who), l.peer(who)
		if now < peer.silentUntil || peer.dead || peer.unresponsive || k.pending && now-k.requestedAt < requestTimeout {
			continue
		}
		rate := ceilingFractions[i+1] * p.Ceiling.Rate * (1 - ClockDrift)
		k.ceilingBorrowedUntil = max(k.ceilingBorrowedUntil, l.startedAt, now-time.Duration(p.Ceiling.Burst/p.Ceiling.Rate*float64(time.Second)))
		units := float64(encodeUnits(min(want, rate*(now-k.ceilingBorrowedUntil).Seconds()))) / gossip.UnitParts
		if units < minBorrowedCeiling {
			continue
		}
		l.nextNonce()
		k.pending, k.nonce, k.requestedAt, k.lastSentAt = true, l.lastNonce, now, now
		k.quotaWanted, k.ceilingWanted, k.slotsWanted, k.consumed, k.demandToReport = 0, units, 0, 0, 0
		k.ceilingBorrowedUntil += time.Duration(units / rate * float64(time.Second))
		l.queueRequest(a, k, now)
		want -= units
	}
}

// encodeOwnerView adds to an answer how the customer stands at its home.
func (a *Account) encodeOwnerView(m *gossip.Grant, now time.Duration) {
	m.TotalLevel = uint8(min(max(a.quotaLevel, 0)/max(a.plan().Quota.Burst, 1e-3), 1) * gossip.TotalSteps)
	m.Demand = a.encodeDemand(now)
}

// handleOwnedGrant takes in what a home granted or told.
func (l *Ledger) handleOwnedGrant(who int, a *Account, m gossip.Grant, now time.Duration) {
	p := a.plan()
	if a.ownerRank != 0 && m.TotalLevel != gossip.UnknownTotal {
		a.ownerView = ownerView{
			known: true, receivedAt: now, level: float64(m.TotalLevel) / gossip.TotalSteps * p.Quota.Burst,
			demand: float64(m.Demand) / gossip.DemandSteps * p.Quota.Rate,
		}
	}
	k := a.link(who)
	if !k.pending || k.nonce != m.Nonce || now >= k.requestedAt+requestTimeout {
		return
	}
	k.pending = false
	k.borrowed = loan{slots: int(m.Slots), expiresAt: k.requestedAt + LoanDuration}
	if m.CeilingUnits == 0 && k.ceilingWanted > 0 { // it holds less than was thought
		k.ceilingBorrowedUntil = now
	}
	a.quotaLevel += float64(m.QuotaUnits) / gossip.UnitParts
	a.ceilingLevel += float64(m.CeilingUnits) / gossip.UnitParts
	l.Counts.UnitsReceived += float64(m.QuotaUnits) / gossip.UnitParts
	if a.ownerDecision = ownerRejected; m.QuotaUnits > 0 || m.CeilingUnits > 0 || m.Slots > 0 {
		a.ownerDecision = ownerGranted
	}
}

// hotCustomerUpdates are words on the busiest customers whose home this is, told unasked: who hears
// of them need not ask for each of their reqs.
func (l *Ledger) hotCustomerUpdates(most int, now time.Duration) (list []gossip.Grant) {
	for range l.ownedAccounts {
		if len(list) >= most {
			return list
		}
		l.hotCursor = (l.hotCursor + 1) % len(l.ownedAccounts)
		a := l.ownedAccounts[l.hotCursor]
		if now-a.lastSeen > hotCustomerDuration {
			continue
		}
		if r := a.plan().Quota.Rate; r > 0 && a.quotaLevel < a.plan().Quota.Burst/4 && a.demand.Value(now, demandMemorySeconds) > hotDemandFactor*r {
			m := gossip.Grant{Customer: a.CustomerHash}
			a.encodeOwnerView(&m, now)
			list = append(list, m)
		}
	}
	return list
}
