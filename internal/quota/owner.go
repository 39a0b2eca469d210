package quota

import (
	"slices"
	"time"

	"lemongate/internal/gossip"
	"lemongate/internal/rate"
)

// This file handles accounts of large sets: the owner and the backup owners of an account, their allocations, and what
// the other limiters know of the owner's level. owner_reserve.go decides on requests, owner_transfer.go is the exchange
// with the owner, and owner_ceiling.go borrows units of a ceiling from the backup owners. Account.owners and "owners"
// in names are the owner and its backup owners together; HoldersOf also covers small sets, in which all limiters are
// holders.
//
// The owner has the customer's complete quota, and two backup owners decide, in their order, while those
// before them are silent: a limiter sends its transfer request to the first owner that is not silent.
//
// A quota may be exceeded by:
//   - grants of a backup owner while the owner grants too: at most the backup owner's level;
//   - the start of an owner: restartLevelFraction of the burst at each start;
//   - credit: a limiter that gets no decision at all consumes from a small bucket of its own. All credit of a set
//     together is at most creditRateFactor times the rate, plus one request for each limiter.

const (
	// ownerCount is the number of owners of a customer: the owner and its backups.
	ownerCount = 3
	// notOwner is the rank of a limiter that is neither the owner nor a backup owner.
	notOwner = -1
	// restartLevelFraction of the burst is the assumed level of the quota at an owner that lost its state.
	restartLevelFraction = 0.5
	// ownerViewDuration is the time for which an owner's report of its level is used.
	ownerViewDuration = 5 * time.Second
	// A hot customer is one whose demand is more than hotDemandFactor times its rate while its level is
	// below hotLevelFraction of the burst. Its owner reports it, in messages with fewer than
	// hotUpdatesPerMessage grants, for hotCustomerDuration after its last request.
	hotDemandFactor      = 1.2
	hotLevelFraction     = 1.0 / 4
	hotUpdatesPerMessage = 2
	hotCustomerDuration  = 2 * time.Second
)

// ceilingFractions are the fractions of a ceiling that the owners have as allocations, by rank. As a ceiling is well
// above the quota, the owner's allocation refills at the quota's rate or faster.
var ceilingFractions = [ownerCount]float64{0.6, 0.3, 0.1}

// An ownerDecision is the owner's reply to a transfer request.
type ownerDecision int

const (
	ownerUndecided ownerDecision = iota // no reply yet
	ownerGranted
	ownerRejected
)

// An ownerView is what a limiter knows of a customer's quota at its owner.
type ownerView struct {
	known      bool
	level      float64 // units
	demand     float64 // units per second, at all limiters
	receivedAt time.Duration
}

// inTransit is units of a ceiling that an owner or a backup owner granted, until they have arrived or never
// will. They count against the capacity of its allocation: else the allocation would refill meanwhile, and all
// allocations together could hold more than the ceiling.
type inTransit struct {
	units     float64
	arrivesBy time.Duration
}

// initLargeSet sets the owners of an account of a large set, and this limiter's allocations by its rank among them.
func (a *Account) initLargeSet() {
	l := a.ledger
	plan := a.plan()
	a.owners = rank(a.CustomerHash, a.firstLimiter, a.setSize, l.Limiters, ownerCount)
	a.credit = rate.Allowance{Amount: plan.Quota.Burst, UpdatedAt: l.startedAt}
	a.ownerRank = slices.Index(a.owners, l.Self)
	if a.ownerRank == notOwner {
		return
	}
	a.baseFraction, a.ceilingFraction = 1, ceilingFractions[a.ownerRank]
	if a.ownerRank == 0 {
		a.baseSlots = plan.Slots
		l.ownedAccounts = append(l.ownedAccounts, a)
	}
	full := plan.Quota.Burst
	a.quotaLevel = full * restartLevelFraction
	switch l.startState {
	case TierStarted:
		a.quotaLevel = full
	case StartUnknown:
		a.unresolvedUnits = full - a.quotaLevel
	}
}

// advanceLargeSet refills the allocations of an owner or a backup owner, step by step, from the end of one transit to
// the next. Only slots are lent.
func (a *Account) advanceLargeSet(now time.Duration) {
	for a.advancedTo < now {
		next := now
		if len(a.ceilingInTransit) > 0 {
			next = min(max(a.ceilingInTransit[0].arrivesBy, a.advancedTo), now)
		}
		a.refill((next - a.advancedTo).Seconds(), true)
		a.advancedTo = next
		a.endCeilingTransits()
	}
	a.expireLoans()
}

// endCeilingTransits removes the units of the ceiling whose transit has ended.
func (a *Account) endCeilingTransits() {
	ended := 0
	for ended < len(a.ceilingInTransit) && a.ceilingInTransit[ended].arrivesBy <= a.advancedTo {
		a.ceilingUnitsInTransit -= a.ceilingInTransit[ended].units
		ended++
	}
	a.ceilingInTransit = a.ceilingInTransit[ended:]
	if len(a.ceilingInTransit) == 0 {
		a.ceilingInTransit, a.ceilingUnitsInTransit = nil, 0
	}
}

// decides reports whether this limiter decides on an account: it is the owner, or a backup owner while
// all before it are silent.
func (l *Ledger) decides(a *Account, now time.Duration) bool {
	return a.ownerRank == 0 || a.ownerRank > 0 && l.firstLiveOwner(a, now) == notOwner
}

// firstLiveOwner returns the rank of the first owner or backup owner before this limiter that is not silent,
// notOwner if there is none.
func (l *Ledger) firstLiveOwner(a *Account, now time.Duration) int {
	for i, owner := range a.owners {
		if owner == l.Self {
			return notOwner
		}
		peer := l.peer(owner)
		if peer.available(now) && !peer.unresponsive {
			return i
		}
	}
	return notOwner
}

// predictOwnerView returns the owner's level expected now from its last report. It is unknown if there was no
// report within ownerViewDuration.
func (a *Account) predictOwnerView(now time.Duration) ownerView {
	view := a.ownerView
	age := now - view.receivedAt
	if !view.known || age > ownerViewDuration {
		return ownerView{}
	}
	quota := a.plan().Quota
	view.level = min(max(view.level+(quota.Rate-view.demand)*age.Seconds(), 0), quota.Burst)
	return view
}

// addOwnerView adds this owner's level and demand to a grant.
func (a *Account) addOwnerView(grant *gossip.Grant, now time.Duration) {
	grant.TotalLevel = uint8(min(a.relativeToBurst(max(a.quotaLevel, 0)), 1) * gossip.TotalSteps)
	grant.Demand = a.encodeDemand(now)
}

// recordOwnerView records the level and demand that an owner reported in a grant.
func (a *Account) recordOwnerView(grant gossip.Grant, now time.Duration) {
	if a.ownerRank == 0 || grant.TotalLevel == gossip.UnknownTotal {
		return
	}
	a.ownerView = ownerView{
		known:      true,
		receivedAt: now,
		level:      a.decodeTotal(grant.TotalLevel),
		demand:     a.decodeDemand(grant.Demand),
	}
}

// hotCustomerUpdates returns grants that were not requested and that carry no units: they report hot
// customers of this owner. Limiters that receive them need not send a transfer request for each
// client request.
func (l *Ledger) hotCustomerUpdates(most int, now time.Duration) (list []gossip.Grant) {
	for range l.ownedAccounts {
		if len(list) >= most {
			return list
		}
		l.hotCursor = (l.hotCursor + 1) % len(l.ownedAccounts)
		a := l.ownedAccounts[l.hotCursor]
		if a.isHot(now) {
			update := gossip.Grant{Customer: a.CustomerHash}
			a.addOwnerView(&update, now)
			list = append(list, update)
		}
	}
	return list
}

// isHot reports whether the owner reports its level and demand for an account to other limiters.
func (a *Account) isHot(now time.Duration) bool {
	quota := a.plan().Quota
	return now-a.lastSeen <= hotCustomerDuration && quota.Rate > 0 && a.quotaLevel < quota.Burst*hotLevelFraction &&
		a.demandRate(now) > hotDemandFactor*quota.Rate
}
