package quota

import (
	"time"

	"lemongate/internal/gossip"
)

// This file is the exchange of transfer requests and grants: when units are requested from which peer, and
// how received messages are handled. sendqueue.go composes the messages that are sent.

const (
	// prefetchDuration is how long the units that a busy limiter requests ahead of need last at its
	// demand.
	prefetchDuration = 250 * time.Millisecond
	// transferInterval is the least time between transfer requests to one peer about one customer.
	transferInterval = 150 * time.Millisecond
	// emptyGrantBackoff replaces transferInterval after a grant of fewer units than were wanted and than the
	// largest request takes.
	emptyGrantBackoff = 500 * time.Millisecond
	// transferRetransmitAfter is the time without a grant after which a transfer request is sent again.
	transferRetransmitAfter = 70 * time.Millisecond
	// transferTimeout is the time after which no grant is accepted any longer; a peer that sent nothing
	// in this time is silent.
	transferTimeout = 500 * time.Millisecond
	// reportStaleAfter is the age of a report from which on a peer that had nothing is sent a request again.
	reportStaleAfter = time.Second
	// borrowerDemandFactor times its demand is the rate that a borrower wants.
	borrowerDemandFactor = 1.15
	// spareLevelFraction of largestRequest is the minimum level at which a peer may have units to spare.
	spareLevelFraction = 3.0 / 4
)

// transferNeed is what an account is to request from its peers.
type transferNeed struct {
	amounts
	urgent bool // a client request waits for it
	busy   bool // the demand is more than the allocation gains without loans
}

// newTransferNeed returns what an account needs from its peers: the shortfall of a client request that waits, and
// units ahead of need for a busy customer.
func (a *Account) newTransferNeed(shortfall amounts, now time.Duration) transferNeed {
	plan := a.plan()
	demand := a.demandRate(now)
	target := demand*prefetchDuration.Seconds() + a.largestRequest
	need := transferNeed{amounts: shortfall}
	if plan.Quota.Rate > 0 {
		need.busy = demand*borrowerDemandFactor > a.baseFraction*plan.Quota.Rate
		if a.quotaLevel < target && a.baseFraction > 0 {
			need.quota = max(shortfall.quota, target-a.quotaLevel)
		}
	}
	if plan.Ceiling.Rate > 0 && a.ceilingLevel < target {
		need.ceiling = max(shortfall.ceiling, target-a.ceilingLevel)
	}
	need.urgent = shortfall != amounts{}
	return need
}

// requestTransfers requests what an account needs from the other limiters. It reports whether a client
// request may wait for a grant.
func (l *Ledger) requestTransfers(a *Account, shortfall amounts, now time.Duration) (wait bool) {
	need := a.newTransferNeed(shortfall, now)
	needsRenewal := need.busy && a.loanExpiring(now)
	if need.amounts == (amounts{}) && !needsRenewal {
		return false
	}
	for _, peerID := range a.lenders {
		lk := a.link(peerID)
		peer := l.peer(peerID)
		if !peer.available(now) {
			continue
		}
		switch l.checkTransferRequest(a, lk, transferRetransmitAfter, now) {
		case transferTimedOut:
			continue
		case noTransferRequest:
			if !a.worthRequesting(lk, need, now) {
				continue
			}
			l.startTransferRequest(lk, need.amounts, now)
			lk.nextTransferRequestAt = now + transferInterval
			l.queueTransferRequest(a, lk)
		}
		wait = wait || need.urgent && !peer.unresponsive
	}
	return wait
}

// worthRequesting reports whether a peer may have something that an account needs, or has to be sent a request to
// learn whether it has.
func (a *Account) worthRequesting(lk *link, need transferNeed, now time.Duration) bool {
	if now < lk.nextTransferRequestAt {
		return false
	}
	plan := a.plan()
	level, demand := a.estimatePeer(lk, now)
	hasUnits := level > a.largestRequest*spareLevelFraction && (need.urgent || level > demand*prefetchDuration.Seconds())
	renewal := need.busy && lk.borrowed.expiresWithin(loanRenewalMargin, now)
	switch {
	case !lk.known: // it is not known whether the peer has anything
		return true
	case hasUnits: // enough for most of a request, and if no request waits here, more than its own demand takes
		return true
	case renewal: // the peer lent a share that is still needed and is about to expire
		return true
	case need.slots > 0: // reports do not show free slots
		return true
	case now-lk.reportedAt <= reportStaleAfter: // a recent report shows that it had nothing
		return false
	}
	// The peer's report is old: it may have a share to lend or units of the ceiling, or, for a client request
	// that waits, anything at all.
	spareRate := demand*lenderDemandFactor + minLoanShare*plan.Quota.Rate
	hasRate := plan.Quota.Rate > 0 && a.evenFraction*plan.Quota.Rate > spareRate
	needsCeiling := plan.Ceiling.Rate > 0 && need.ceiling > 0
	return hasRate && need.busy || needsCeiling || need.urgent
}

// transferStatus is the status of the transfer request on a link.
type transferStatus uint8

const (
	noTransferRequest transferStatus = iota // no request is pending
	transferPending                         // a grant may still arrive
	transferTimedOut                        // the peer sent nothing: it is silent
)

// checkTransferRequest returns the status of the transfer request on a link. It sends the request again if
// retransmitAfter has passed since it was last sent, and gives it up after transferTimeout.
func (l *Ledger) checkTransferRequest(a *Account, lk *link, retransmitAfter, now time.Duration) transferStatus {
	if lk.isPending(now) {
		if now-lk.lastSentAt > retransmitAfter {
			l.queueTransferRequest(a, lk)
		}
		return transferPending
	}
	if !lk.pending {
		return noTransferRequest
	}
	lk.pending = false
	peer := l.peer(lk.peerID)
	if peer.lastReceivedAt >= lk.requestedAt {
		return noTransferRequest
	}
	peer.silentUntil, peer.unresponsive = now+peerSilenceTimeout, true
	return transferTimedOut
}

// startTransferRequest starts a new transfer request on a link.
func (l *Ledger) startTransferRequest(lk *link, wanted amounts, now time.Duration) {
	lk.pending, lk.nonce, lk.requestedAt, lk.lastSentAt = true, l.nextNonce(), now, now
	lk.quotaWanted, lk.ceilingWanted, lk.slotsWanted = wanted.quota, wanted.ceiling, wanted.slots
}

// nextNonce returns a new nonce for a transfer request. It is never 0, which marks a grant that was not requested.
func (l *Ledger) nextNonce() uint16 {
	l.lastNonce++
	if l.lastNonce == 0 {
		l.lastNonce = 1
	}
	return l.lastNonce
}

// HandleRequest records a peer's report of an account, and queues a grant of what this limiter can give.
// A transfer request that does not fit the configuration is dropped.
func (l *Ledger) HandleRequest(peerID int, request gossip.TransferRequest, now time.Duration) {
	if !l.isValid(peerID, request) || !l.hasRoomFor(request) {
		return
	}
	a := l.Account(request.Customer, int(request.Plan), int(request.FirstLimiter), int(request.SetSize), now)
	a.advance(now)
	if !a.hasSmallSet() {
		l.handleRequestAsOwner(peerID, a, request, now)
		return
	}
	lk := a.link(peerID)
	a.reconcile(lk, peerReport{request.Level, request.Consumed, request.Demand, request.TotalLevel}, now)
	for i := range lk.lent {
		if lk.lent[i].nonce == request.Nonce { // a repeated request: the grant was lost
			l.queueGrant(peerID, lk.lent[i].message)
			return
		}
	}
	lk.acknowledgeGrants(int(request.SlotsBorrowed))
	l.queueGrant(peerID, l.lend(a, lk, request, now))
}

// hasRoomFor reports whether the account that a transfer request names exists or can be added. The peer decides by its own
// state if it gets no grant.
func (l *Ledger) hasRoomFor(request gossip.TransferRequest) bool {
	if l.MaxAccounts <= 0 || len(l.accountOrder) < l.MaxAccounts {
		return true
	}
	return l.Find(request.Customer, int(request.Plan), int(request.FirstLimiter), int(request.SetSize)) != nil
}

// isValid reports whether a transfer request names a plan and a set that exist, and whether the peer and
// this limiter are in that set.
func (l *Ledger) isValid(peerID int, request gossip.TransferRequest) bool {
	first, size := int(request.FirstLimiter), int(request.SetSize)
	if int(request.Plan) >= len(l.Plans) || first >= l.Limiters || size == 0 || size > l.Limiters {
		return false
	}
	inSet := func(limiter int) bool { return (limiter-first+l.Limiters)%l.Limiters < size }
	return inSet(peerID) && inSet(l.Self)
}

// HandleGrant applies what a peer granted and reported. It returns the account that the grant is about; nil if
// there is none, or in a small set if no transfer request waits for the grant.
func (l *Ledger) HandleGrant(peerID int, grant gossip.Grant, now time.Duration) *Account {
	a := l.accountOfGrant(peerID, grant)
	if a == nil {
		return nil
	}
	a.advance(now)
	if !a.hasSmallSet() {
		l.handleOwnerGrant(peerID, a, grant, now)
		return a
	}
	lk := a.link(peerID)
	if !lk.accepts(grant, now) {
		lk.acknowledgeReturn(grant)
		return nil
	}
	l.applyGrant(a, lk, grant)
	a.reconcile(lk, peerReport{grant.Level, grant.Consumed, grant.Demand, grant.TotalLevel}, now)
	if decodeUnits(grant.QuotaUnits) < min(lk.quotaWanted, a.largestRequest) {
		lk.nextTransferRequestAt = now + emptyGrantBackoff
	}
	return a
}

// applyGrant applies the units, share and slots of a grant to an account.
func (l *Ledger) applyGrant(a *Account, lk *link, grant gossip.Grant) {
	lk.pending = false
	lk.borrowed = loan{slots: int(grant.Slots), expiresAt: lk.requestedAt + LoanDuration}
	if grant.Slots > 0 {
		l.trackBorrowedSlots(a)
	}
	if a.hasSmallSet() {
		lk.borrowed.share = decodeShare(grant.Share)
	}
	a.quotaLevel += decodeUnits(grant.QuotaUnits)
	a.ceilingLevel += decodeUnits(grant.CeilingUnits)
	l.Counts.UnitsReceived += decodeUnits(grant.QuotaUnits)
}
