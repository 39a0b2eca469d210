package quota

import (
	"math"
	"time"

	"lemongate/internal/gossip"
)

// This file is the exchange between the limiters of a large set and the owner: a transfer request for the
// units of each client request, and the owner's grant.

const (
	// ownerRetransmitAfter is the time without a grant after which a transfer request to an owner is sent
	// again.
	ownerRetransmitAfter = 50 * time.Millisecond
	// backupLevelDuration is the time after its last grant during which a backup owner ignores level hints:
	// its own level is the newer one.
	backupLevelDuration = 2 * time.Second
)

// requestFromOwner sends a transfer request for a client request's units to the first of the owners that
// is available, and reports whether the client request is to wait for its grant. An unresponsive owner is sent a
// transfer request as well, as it may be back, but nothing waits for its grant.
func (l *Ledger) requestFromOwner(a *Account, units float64, now time.Duration) bool {
	for _, owner := range a.owners {
		if owner == l.Self {
			return false
		}
		peer := l.peer(owner)
		if !peer.available(now) {
			continue
		}
		lk := a.link(owner)
		switch l.checkTransferRequest(a, lk, ownerRetransmitAfter, now) {
		case transferTimedOut:
			continue
		case noTransferRequest:
			l.startOwnerTransferRequest(a, lk, units, now)
		}
		if !peer.unresponsive {
			return true
		}
	}
	return false
}

// startOwnerTransferRequest requests what a client request for units needs, and reports the demand and
// the debt that the owner does not know of.
func (l *Ledger) startOwnerTransferRequest(a *Account, lk *link, units float64, now time.Duration) {
	l.startTransferRequest(lk, a.neededFromOwner(units), now)
	lk.demandToReport = uint8(min(max(a.unreportedDemand-units, 0), math.MaxUint8))
	a.unreportedDemand = 0
	a.attachDebt(lk)
	l.queueTransferRequest(a, lk)
}

// neededFromOwner returns what a client request for units needs beyond what was granted before and not used.
func (a *Account) neededFromOwner(units float64) amounts {
	plan := a.plan()
	var need amounts
	if plan.Quota.Rate > 0 {
		need.quota = max(units-max(a.quotaLevel, 0), 0)
	}
	if plan.Ceiling.Rate > 0 {
		need.ceiling = max(units-max(a.ceilingLevel, 0), 0)
	}
	if plan.Slots > 0 && a.SlotsInUse >= a.slotLimit() {
		need.slots = 1
	}
	return need
}

// attachDebt adds to a transfer request to the owner what was consumed here without a decision, less what
// was granted and not used.
func (a *Account) attachDebt(lk *link) {
	lk.consumed = encodeSigned(a.unreportedUnits)
	a.unreportedUnits = 0
}

// addOwnerReport adds to a transfer request to an owner what the owner does not know.
func (a *Account) addOwnerReport(request *gossip.TransferRequest, lk *link, now time.Duration) {
	request.Consumed, request.Share = lk.consumed, lk.demandToReport
	request.TotalLevel = gossip.UnknownTotal
	if view := a.predictOwnerView(now); view.known {
		request.TotalLevel = uint8(a.relativeToBurst(view.level) * gossip.TotalSteps)
	}
}

// handleRequestAsOwner grants what a limiter requests from its owner, all of it or nothing.
func (l *Ledger) handleRequestAsOwner(peerID int, a *Account, request gossip.TransferRequest, now time.Duration) {
	lk := a.link(peerID)
	if lk.known && lk.lastGrant.Nonce == request.Nonce { // a repeated request: the grant was lost
		l.queueGrant(peerID, lk.lastGrant)
		return
	}
	lk.known, lk.reportedAt = true, now
	lk.lastGrant = gossip.Grant{Customer: a.CustomerHash, Nonce: request.Nonce}
	if a.ownerRank == notOwner { // sent here in error: this limiter has nothing of the quota
		l.queueGrant(peerID, lk.lastGrant)
		return
	}
	a.applyLevelHint(request, now)
	fromOwner := a.ownerRank > 0 && peerID == a.owners[0] // the owner borrows, see borrowCeiling
	if !fromOwner {
		a.recordRequestedDemand(request, now)
	}
	a.applyDebt(request)
	grant := lk.lastGrant
	if l.grantAsOwner(a, lk, request, &grant, now) && !fromOwner {
		a.lastGrantAt = now
	}
	l.borrowCeiling(a, now)
	a.addOwnerView(&grant, now)
	lk.lastGrant = grant
	wanted := request.QuotaWanted+request.CeilingWanted > 0 || request.SlotsWanted > 0
	if wanted || a.plan().Slots > 0 { // a return of units needs no reply, but a return of slots is repeated until one arrives
		l.queueGrant(peerID, grant)
	}
}

// applyLevelHint adopts the quota's level as the requester knows it, if this limiter knows less: as a backup
// owner without a grant for backupLevelDuration, or as an owner that restarted.
func (a *Account) applyLevelHint(request gossip.TransferRequest, now time.Duration) {
	if request.TotalLevel == gossip.UnknownTotal || a.plan().Quota.Rate <= 0 {
		return
	}
	hint := a.decodeTotal(request.TotalLevel)
	switch {
	case a.ownerRank > 0 && now-a.lastGrantAt > backupLevelDuration:
		a.quotaLevel = min(a.quotaLevel, hint)
	case a.ownerRank == 0 && !a.levelHintReceived && a.ledger.startState != TierStarted:
		a.quotaLevel = max(a.quotaLevel, hint)
	}
	a.levelHintReceived = true
}

// recordRequestedDemand adds to the demand the units requested, and those of client requests for which the
// requester sent no transfer request.
func (a *Account) recordRequestedDemand(request gossip.TransferRequest, now time.Duration) {
	units := max(decodeUnits(request.QuotaWanted), decodeUnits(request.CeilingWanted))
	a.demand.Add(now, units+float64(request.Share), demandMemorySeconds)
}

// applyDebt takes units that the requester consumed without a grant, or returns what it did not use. The
// quota's level stays within its burst above and below 0.
func (a *Account) applyDebt(request gossip.TransferRequest) {
	burst := a.plan().Quota.Burst
	level := a.quotaLevel - decodeSigned(request.Consumed)
	a.quotaLevel = min(max(level, -burst), max(burst, a.quotaLevel))
}

// grantAsOwner decides on a transfer request, adds what it grants to the grant, and reports whether it
// granted it.
func (l *Ledger) grantAsOwner(a *Account, lk *link, request gossip.TransferRequest, grant *gossip.Grant, now time.Duration) bool {
	quota, ceiling := decodeUnits(request.QuotaWanted), decodeUnits(request.CeilingWanted)
	slotsWanted := int(request.SlotsWanted)
	lk.acknowledgeGrants(int(request.SlotsBorrowed))
	granted := (quota == 0 || a.quotaLevel >= quota) && (ceiling == 0 || a.ceilingLevel >= ceiling)
	granted = granted && (a.plan().Slots <= 0 || a.spareSlots() >= slotsWanted)
	if !granted {
		slotsWanted = 0
	}
	if slots := a.lendSlots(lk, slotsWanted); slots > 0 {
		lk.lent = []grantRecord{{loan: loan{slots: slots, expiresAt: now + lenderLoanDuration}}}
		grant.Slots = uint8(slots)
	}
	if !granted {
		return false
	}
	if ceiling > 0 {
		a.ceilingInTransit = append(a.ceilingInTransit, inTransit{units: ceiling, arrivesBy: now + grantDeliveryTimeout})
		a.ceilingUnitsInTransit += ceiling
	}
	a.quotaLevel -= quota
	a.ceilingLevel -= ceiling
	l.Counts.UnitsSent += quota
	grant.QuotaUnits, grant.CeilingUnits = request.QuotaWanted, request.CeilingWanted
	return true
}

// handleOwnerGrant applies what an owner granted and reported.
func (l *Ledger) handleOwnerGrant(peerID int, a *Account, grant gossip.Grant, now time.Duration) {
	a.recordOwnerView(grant, now)
	lk := a.link(peerID)
	if !lk.accepts(grant, now) {
		lk.acknowledgeReturn(grant)
		return
	}
	l.applyGrant(a, lk, grant)
	if grant.CeilingUnits == 0 && lk.ceilingWanted > 0 { // the backup owner has less than was expected
		lk.ceilingBorrowedUntil = now
	}
	a.ownerDecision = ownerRejected
	if grant.QuotaUnits > 0 || grant.CeilingUnits > 0 || grant.Slots > 0 {
		a.ownerDecision = ownerGranted
	}
}
