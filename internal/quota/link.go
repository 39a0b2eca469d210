package quota

import (
	"time"

	"lemongate/internal/gossip"
)

// This file holds the state of the exchange between two limiters about one account.

// A link is the exchange between this limiter and one peer about an account.
type link struct {
	peerID int
	epoch  uint32 // of the peer: transfer requests, grants and loans of an earlier one are void

	// The last transfer request, and what it requested.
	pending               bool
	nonce                 uint16
	requestedAt           time.Duration // when it was first sent
	lastSentAt            time.Duration
	queued                bool // a message about the account is to be sent
	quotaWanted           float64
	ceilingWanted         float64
	slotsWanted           int
	returnDue             bool          // slots or units are to be returned, by a message that requests nothing
	slotReturns           int           // messages that return slots still to be sent
	nextTransferRequestAt time.Duration // no new transfer request before
	borrowed              loan          // what the last grant lent

	// The grants to the peer. The peer uses one of them; if a message is lost, this limiter does not know which.
	lent      []grantRecord
	lastGrant gossip.Grant // in a set with an owner: the last grant to the peer

	lentToEarlierEpochs []loan // slots lent to earlier epochs of the peer

	// What the peer reported.
	//
	//	            small set                        with an owner
	//	known       it reported in this epoch        at the owner: it sent a transfer request in this epoch
	//	reportedAt  when known was last set          the same
	//	consumed    consumed there, in               at the requester: debt that the last transfer request
	//	            gossip.UnitParts modulo 2^16     reports, int16 in gossip.UnitParts
	//	the others  as below                         not used
	known      bool
	reportedAt time.Duration
	level      float64 // units
	consumed   uint16
	demand     float64 // units per second
	recovered  bool    // this limiter has recovered its part of the peer's units, see recoverUnits
	restarted  bool    // it was known in an earlier epoch: what it reports next was consumed in this one

	// Only in a set with an owner.
	ceilingBorrowedUntil time.Duration // the backup owner's refill of the ceiling up to this time was requested
	demandToReport       uint8         // units of client requests here that the owner does not know of
}

// inUse reports whether anything is lent, borrowed or requested by a link.
func (lk *link) inUse(now time.Duration) bool {
	return lk.borrowed.expiresAt > now || lk.borrowed.slots > 0 || len(lk.lent)+len(lk.lentToEarlierEpochs) > 0 || lk.queued || lk.isPending(now)
}

// isPending reports whether a grant for the last transfer request may still be accepted.
func (lk *link) isPending(now time.Duration) bool {
	return lk.pending && now-lk.requestedAt < transferTimeout
}

// accepts reports whether a grant replies to the last transfer request and arrived in time.
func (lk *link) accepts(grant gossip.Grant, now time.Duration) bool {
	return lk.isPending(now) && lk.nonce == grant.Nonce
}

// link returns the link to a peer, a new one if there is none. The pointer stays valid as long as the
// account.
func (a *Account) link(peerID int) *link {
	for _, lk := range a.links {
		if lk.peerID == peerID {
			a.resetStaleOwnerLink(lk)
			return lk
		}
	}
	lk := &link{peerID: peerID}
	if peer := a.ledger.peers[peerID]; peer != nil {
		lk.epoch = peer.epoch
	}
	a.links = append(a.links, lk)
	return lk
}

// resetStaleOwnerLink drops transfer requests, grants and loans of an earlier epoch of a peer, in a set with an
// owner. In a small set resetStaleLinks does that.
func (a *Account) resetStaleOwnerLink(lk *link) {
	peer := a.ledger.peers[lk.peerID]
	if a.hasSmallSet() || peer == nil || peer.epoch == lk.epoch {
		return
	}
	if lk.epoch == 0 { // no message was received before: the last transfer request stays valid
		lk.epoch = peer.epoch
		return
	}
	*lk = link{peerID: lk.peerID, epoch: peer.epoch, queued: lk.queued, lentToEarlierEpochs: lk.slotLoansToEarlierEpochs(a.ledger)}
}
