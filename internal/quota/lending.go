package quota

import (
	"math"
	"slices"
	"time"

	"lemongate/internal/gossip"
)

// This file decides what a limiter grants to a peer out of its allocation: units permanently, and a share
// and slots as a loan.

const (
	// LoanDuration is the duration of a loan of a share, from the transfer request on.
	LoanDuration = 2 * time.Second
	// MaxLentFraction bounds what a limiter lends of its allocation. The rest can be used at once after a
	// restart, when the limiter does not know what it lent before.
	MaxLentFraction = 0.75

	// lenderLoanDuration is the duration of a loan at the lender: longer than at the borrower by the most that
	// two clocks may differ, so that no share is used on both sides. With both clocks at their bounds it is
	// too short by 0.4 ms.
	lenderLoanDuration = LoanDuration + time.Duration(float64(LoanDuration)*2*ClockDrift)
	// grantDeliveryTimeout is the time after which the units of a grant have arrived or never will, by
	// the lender's clock.
	grantDeliveryTimeout = transferTimeout + time.Duration(float64(transferTimeout)*2*ClockDrift)
	// loanRenewalMargin is the time before the end of a loan from which on its renewal is requested, if needed.
	loanRenewalMargin = 800 * time.Millisecond
	// lenderDemandFactor times its demand is the rate that a lender keeps.
	lenderDemandFactor = 1.2
	// minLoanShare is the smallest share that is lent.
	minLoanShare = 0.03
	// minDemandSum, in units per second, keeps a divisor from being zero.
	minDemandSum = 1e-6
)

// A loan is a share of the rate and burst of both buckets, and slots. The borrower uses the share until the loan
// expires. It keeps a slot beyond that while the slot's attempt is in flight, see slots.go.
type loan struct {
	share     float64
	slots     int
	expiresAt time.Duration
}

// expiresWithin reports whether the loan has a share and expires within the margin.
func (ln loan) expiresWithin(margin, now time.Duration) bool {
	return ln.share > 0 && ln.expiresAt-now < margin
}

// A grantRecord is a lender's record of a grant. Its loan ends later than the borrower's by the most that two
// clocks may differ.
type grantRecord struct {
	loan
	nonce                    uint16
	quotaUnits, ceilingUnits float64       // in transit
	deliveredBy              time.Duration // the units arrive by then or never
	message                  gossip.Grant  // sent again when the transfer request is repeated
}

// isEmpty reports whether a grant lent neither a share nor slots, or all of it has been returned.
func (lent grantRecord) isEmpty() bool { return lent.share == 0 && lent.slots == 0 }

// loanEnded reports whether a peer can no longer use any part of a loan.
func (a *Account) loanEnded(lent loan) bool {
	if lent.expiresAt > a.advancedTo {
		return false
	}
	return lent.slots == 0 || a.ledger.slotsReturnedBy(lent.expiresAt) <= a.advancedTo
}

// loanExpiring reports whether a borrowed share expires within loanRenewalMargin.
func (a *Account) loanExpiring(now time.Duration) bool {
	return slices.ContainsFunc(a.links, func(lk *link) bool { return lk.borrowed.expiresWithin(loanRenewalMargin, now) })
}

// lentShare returns the share that the peer may be using.
func (lk *link) lentShare() float64 {
	share := 0.0
	for i := range lk.lent {
		share = max(share, lk.lent[i].share)
	}
	return share
}

// acknowledgeGrants records that a peer sent a new transfer request: the units of earlier grants have arrived
// by now or never will, and the peer still uses slotsBorrowed of the slots lent to it.
func (lk *link) acknowledgeGrants(slotsBorrowed int) {
	for i := range lk.lent {
		lk.lent[i].quotaUnits, lk.lent[i].ceilingUnits = 0, 0
		lk.lent[i].slots = min(lk.lent[i].slots, slotsBorrowed)
	}
	lk.lent = slices.DeleteFunc(lk.lent, grantRecord.isEmpty)
}

// expireLoans ends shares that have expired, and removes loans of which nothing is left.
func (a *Account) expireLoans() {
	for _, lk := range a.links {
		if lk.borrowed.expiresAt <= a.advancedTo {
			lk.borrowed = loan{slots: lk.borrowed.slots} // the slots stay borrowed until they are returned
		}
		a.endLoanTransits(lk)
		for i := range lk.lent {
			if lk.lent[i].expiresAt <= a.advancedTo {
				lk.lent[i].share = 0
			}
		}
		lk.lent = slices.DeleteFunc(lk.lent, func(lent grantRecord) bool { return a.loanEnded(lent.loan) })
		lk.lentToEarlierEpochs = slices.DeleteFunc(lk.lentToEarlierEpochs, a.loanEnded)
	}
}

// endLoanTransits ends the transit of the units of a link's grants once they have arrived or never will.
func (a *Account) endLoanTransits(lk *link) {
	for i, lent := range lk.lent {
		if lent.deliveredBy <= a.advancedTo && lent.quotaUnits+lent.ceilingUnits > 0 {
			a.ledger.Counts.UnitsUnacknowledged += lent.quotaUnits
			lk.lent[i].quotaUnits, lk.lent[i].ceilingUnits = 0, 0
		}
	}
}

// earlierLoansEndedAt returns the clock time from which on no peer can still use what an earlier epoch of this
// limiter lent it: all peers of the set know of this epoch, or every loan has ended.
func (a *Account) earlierLoansEndedAt() time.Duration {
	l := a.ledger
	latest := l.startedAt + lenderLoanDuration
	if a.advancedTo >= latest || !a.hasSmallSet() {
		return l.startedAt
	}
	endedAt := l.startedAt
	for i := range a.setSize {
		limiter := (a.firstLimiter + i) % l.Limiters
		if limiter == l.Self {
			continue
		}
		peer := l.peers[limiter]
		if peer == nil || !peer.acked {
			return latest
		}
		endedAt = max(endedAt, min(peer.ackedAt, latest))
	}
	return endedAt
}

// lendingDecision holds the inputs of a decision about a transfer request.
type lendingDecision struct {
	account           *Account
	link              *link
	request           gossip.TransferRequest
	earlierLoansEnded bool // no peer can still use a loan of an earlier epoch
	ownDemand         float64
	peerDemand        float64
	demandWeight      float64 // the peer's fraction of the sum of both demands
	fractions         fractions
	lentToOthers      float64 // shares
	lentToPeer        float64
}

func (a *Account) newLendingDecision(lk *link, request gossip.TransferRequest, now time.Duration) lendingDecision {
	d := lendingDecision{
		account:           a,
		link:              lk,
		request:           request,
		earlierLoansEnded: now >= a.earlierLoansEndedAt(),
		ownDemand:         a.demandRate(now),
		peerDemand:        lk.demand,
		demandWeight:      1,
		lentToPeer:        lk.lentShare(),
	}
	if sum := d.ownDemand + d.peerDemand; sum > 0 {
		d.demandWeight = d.peerDemand / sum
	}
	d.fractions = a.fractions(d.earlierLoansEnded)
	for _, other := range a.links {
		if other != lk {
			d.lentToOthers += other.lentShare()
		}
	}
	return d
}

// lend moves units and lends a share and slots to a peer, and returns the grant to send.
func (l *Ledger) lend(a *Account, lk *link, request gossip.TransferRequest, now time.Duration) gossip.Grant {
	decision := a.newLendingDecision(lk, request, now)
	record := grantRecord{
		nonce:       request.Nonce,
		loan:        loan{expiresAt: now + lenderLoanDuration},
		deliveredBy: now + grantDeliveryTimeout,
	}
	if a.plan().Quota.Rate > 0 && (request.QuotaWanted > 0 || request.Demand > 0) {
		record.share = decision.share()
		record.quotaUnits = decision.quotaUnits(record.share)
	}
	if decision.earlierLoansEnded && a.plan().Ceiling.Rate > 0 && request.CeilingWanted > 0 {
		record.ceilingUnits = decision.ceilingUnits(record.share)
	}
	record.slots = a.lendSlots(lk, int(request.SlotsWanted))
	a.quotaLevel -= record.quotaUnits
	a.ceilingLevel -= record.ceilingUnits
	l.Counts.UnitsSent += record.quotaUnits
	record.message = a.buildGrant(record, now)
	lk.lent = append(lk.lent, record)
	return record.message
}

// share returns the share to lend: what the peer needs beyond its own share for its demand, up to what this
// limiter can spare, and 0 if that is less than minLoanShare.
func (d *lendingDecision) share() float64 {
	rate := d.account.plan().Quota.Rate
	spare := 0.0
	if d.earlierLoansEnded {
		notNeeded := d.fractions.quota + d.lentToPeer - d.ownDemand*lenderDemandFactor/rate
		spare = min(notNeeded, MaxLentFraction*d.account.baseFraction-d.lentToOthers)
	}
	shortfall := min(d.peerDemand*borrowerDemandFactor/rate, 1) - decodeShare(d.request.Share)
	share := math.Floor(min(spare, shortfall)*gossip.ShareSteps) / gossip.ShareSteps
	if share < minLoanShare {
		return 0
	}
	return share
}

// quotaUnits returns the units of the quota to move: as many as make the levels of both limiters proportional to
// their demands, up to the units that the peer wants. If a share is lent, it moves at least the units that the
// remaining allocation cannot hold.
func (d *lendingDecision) quotaUnits(share float64) float64 {
	a := d.account
	levelSum := a.quotaLevel + max(d.link.level, -a.quotaLevel)
	units := min(levelSum*d.demandWeight-d.link.level, decodeUnits(d.request.QuotaWanted))
	if share > 0 {
		remaining := d.fractions.quota + d.lentToPeer - max(d.lentToPeer, share)
		units = max(units, a.quotaLevel-remaining*a.plan().Quota.Burst)
	}
	return roundToParts(min(units, a.quotaLevel))
}

// ceilingUnits returns the units of the ceiling to move: those not needed here, up to the headroom. The units
// lent and in transit together stay within MaxLentFraction, the fraction that is left unused after a restart.
func (d *lendingDecision) ceilingUnits(share float64) float64 {
	a, ceiling := d.account, d.account.plan().Ceiling
	lent := (d.lentToOthers + max(share, d.lentToPeer)) * ceiling.Burst
	headroom := MaxLentFraction*a.evenFraction*ceiling.Burst - lent - d.fractions.ceilingInTransit
	ownNeed := d.ownDemand / max(d.ownDemand+d.fractions.ceiling*ceiling.Rate, minDemandSum)
	spare := a.ceilingLevel * max(d.demandWeight, 1-ownNeed)
	return roundToParts(min(spare, decodeUnits(d.request.CeilingWanted), max(headroom, 0)))
}

// buildGrant returns the message of a grant, with a report of the account here.
func (a *Account) buildGrant(record grantRecord, now time.Duration) gossip.Grant {
	return gossip.Grant{
		Customer:     a.CustomerHash,
		Nonce:        record.nonce,
		QuotaUnits:   encodeUnits(record.quotaUnits),
		CeilingUnits: encodeUnits(record.ceilingUnits),
		Consumed:     a.consumed,
		Share:        uint8(math.Round(record.share * gossip.ShareSteps)),
		Level:        a.encodeLevel(),
		Demand:       a.encodeDemand(now),
		Slots:        uint8(record.slots),
		TotalLevel:   a.encodeTotal(),
	}
}
