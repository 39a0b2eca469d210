package quota

import (
	"math"
	"slices"
	"time"

	"lemongate/internal/gossip"
)

// This file queues transfer requests and grants for each peer, and composes messages from them.

// queueTransferRequest queues a transfer request for an account to the peer of lk, unless one is queued.
func (l *Ledger) queueTransferRequest(a *Account, lk *link) {
	if lk.queued {
		return
	}
	lk.queued = true
	peer := l.peer(lk.peerID)
	peer.queuedTransferRequests = append(peer.queuedTransferRequests, a)
	l.markReady(lk.peerID, peer)
}

// queueGrant queues a grant to a peer, replacing an earlier one for the same customer.
func (l *Ledger) queueGrant(peerID int, grant gossip.Grant) {
	peer := l.peer(peerID)
	sameCustomer := func(other gossip.Grant) bool { return other.Customer == grant.Customer }
	peer.queuedGrants = append(slices.DeleteFunc(peer.queuedGrants, sameCustomer), grant)
	l.markReady(peerID, peer)
}

func (l *Ledger) markReady(peerID int, peer *peer) {
	if !peer.queuedForSend {
		peer.queuedForSend = true
		l.readyPeers = append(l.readyPeers, peerID)
	}
}

// TakeReadyPeers returns the peers for which something was queued since the last call.
func (l *Ledger) TakeReadyPeers() []int {
	list := l.readyPeers
	l.readyPeers = nil
	for _, peerID := range list {
		l.peers[peerID].queuedForSend = false
	}
	return list
}

// HasGrantsFor reports whether a grant to a peer is queued. No more grants are queued than transfer requests were
// received, so messages with grants need no limit of their own.
func (l *Ledger) HasGrantsFor(peerID int) bool {
	peer := l.peers[peerID]
	return peer != nil && len(peer.queuedGrants) > 0
}

// HasRequestsFor reports whether a transfer request to a peer is queued.
func (l *Ledger) HasRequestsFor(peerID int) bool {
	peer := l.peers[peerID]
	return peer != nil && len(peer.queuedTransferRequests) > 0
}

// Compose removes from the queues for a peer the transfer requests and grants that fit into one message,
// returns them, and reports whether more are queued.
func (l *Ledger) Compose(peerID int, now time.Duration) (requests []gossip.TransferRequest, grants []gossip.Grant, more bool) {
	peer := l.peer(peerID)
	requests = l.takeTransferRequests(peerID, peer, now)
	n := min(len(peer.queuedGrants), gossip.MaxGrants)
	grants, peer.queuedGrants = peer.queuedGrants[:n:n], peer.queuedGrants[n:]
	l.Counts.GrantsSent += uint64(n)
	if l.Limiters > SmallSetSize && n < hotUpdatesPerMessage { // a smaller tier has no set with an owner
		grants = append(grants, l.hotCustomerUpdates(hotUpdatesPerMessage-n, now)...)
	}
	return requests, grants, len(peer.queuedTransferRequests)+len(peer.queuedGrants) > 0
}

// takeTransferRequests removes the transfer requests of one message from a peer's queue. They are built only
// now, from the amounts recorded in the link and the state of the account at the time of sending.
func (l *Ledger) takeTransferRequests(peerID int, peer *peer, now time.Duration) (requests []gossip.TransferRequest) {
	for len(peer.queuedTransferRequests) > 0 && len(requests) < gossip.MaxRequests {
		a := peer.queuedTransferRequests[0]
		peer.queuedTransferRequests = peer.queuedTransferRequests[1:]
		lk := a.link(peerID)
		lk.queued = false
		if !lk.pending && !lk.returnDue {
			continue
		}
		if !lk.pending || lk.slotReturns > 0 && !lk.isPending(now) { // the peer would ignore SlotsBorrowed in a repetition of the last request
			l.startReturn(a, lk)
			lk.slotReturns = max(lk.slotReturns-1, 0)
		}
		lk.returnDue = false
		lk.lastSentAt = now
		requests = append(requests, l.buildTransferRequest(a, lk, now))
		l.Counts.RequestsSent++
	}
	if len(peer.queuedTransferRequests) == 0 {
		peer.queuedTransferRequests = nil
	}
	return requests
}

// startReturn replaces a link's transfer request by one that only returns slots or units. No grant is expected.
func (l *Ledger) startReturn(a *Account, lk *link) {
	lk.nonce, lk.quotaWanted, lk.ceilingWanted, lk.slotsWanted = l.nextNonce(), 0, 0, 0
	if !a.hasSmallSet() {
		a.attachDebt(lk)
	}
}

// buildTransferRequest returns the message of a link's transfer request, with a report of the account here.
func (l *Ledger) buildTransferRequest(a *Account, lk *link, now time.Duration) gossip.TransferRequest {
	a.advance(now)
	request := gossip.TransferRequest{
		Customer:      a.CustomerHash,
		Plan:          uint8(a.PlanIndex),
		FirstLimiter:  uint16(a.firstLimiter),
		SetSize:       uint16(a.setSize),
		Nonce:         lk.nonce,
		QuotaWanted:   encodeUnits(lk.quotaWanted),
		CeilingWanted: encodeUnits(lk.ceilingWanted),
		SlotsBorrowed: uint8(min(lk.borrowed.slots, math.MaxUint8)),
		SlotsWanted:   uint8(lk.slotsWanted),
	}
	if a.hasSmallSet() {
		request.Consumed = a.consumed
		request.Demand = a.encodeDemand(now)
		request.Level = a.encodeLevel()
		request.Share = uint8(min(max(a.fractions(true).quota-lk.borrowed.share, 0), 1) * gossip.ShareSteps)
		request.TotalLevel = a.encodeTotal()
	} else {
		a.addOwnerReport(&request, lk, now)
	}
	return request
}
