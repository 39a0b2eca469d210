package quota

import (
	"time"

	"lemongate/internal/gossip"
)

// This file is the state of the exchange between two limiters about one account.

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
	returnDue             bool          // slots or units are to be given back, by a message that requests nothing
	slotReturns           int           // messages that give back slots still to be sent
	nextTransferRequestAt time.Duration // no new request before
	borrowed              loan          // what the last grant lent

	// The grants to the peer. It uses one of them; a lost message leaves open which one.
	lent      []grantRecord
	lastGrant gossip.Grant // of an owner: the last one

	lentBefore []loan // slots lent to earlier epochs of the peer

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
	recovered  bool    // this limiter took up its part of the units there, see recoverUnits
	restarted  bool    // it was known in an earlier epoch: what it reports next was consumed since

	// Only in a set with an owner.
	ceilingBorrowedUntil time.Duration // what a backup owner gained of the ceiling until then was requested
	demandToReport       uint8         // units of client requests here that the owner does not know of
}

// inUse reports whether anything is lent, borrowed or requested by a link.
func (lk *link) inUse(now time.Duration) bool {
	return lk.borrowed.expiresAt > now || lk.borrowed.slots > 0 || len(lk.lent)+len(lk.lentBefore) > 0 || lk.queued || lk.isPending(now)
}

// isPending reports whether a grant for the last transfer request may still come.
func (lk *link) isPending(now time.Duration) bool {
	return lk.pending && now-lk.requestedAt < transferTimeout
}

// accepts reports whether a grant replies to the last transfer request, and in time.
func (lk *link) accepts(grant gossip.Grant, now time.Duration) bool {
	return lk.isPending(now) && lk.nonce == grant.Nonce
}

// link returns the link to a peer, a new one if there is none. The pointer stays valid as long as the
// account.
func (a *Account) link(peerID int) *link {
	for _, lk := range a.links {
		if lk.peerID == peerID {
			a.renewOwnerLink(lk)
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

// renewOwnerLink drops transfer requests, grants and loans of an earlier epoch of a peer, in a set with an
// owner. Links of
// allocated accounts are renewed by dropStaleLinks.
func (a *Account) renewOwnerLink(lk *link) {
	peer := a.ledger.peers[lk.peerID]
	if a.isAllocated() || peer == nil || peer.epoch == lk.epoch {
		return
	}
	if lk.epoch == 0 { // no message had come before: the last transfer request stays valid
		lk.epoch = peer.epoch
		return
	}
	*lk = link{peerID: lk.peerID, epoch: peer.epoch, queued: lk.queued, lentBefore: lk.slotsLentBefore(a.ledger)}
}
