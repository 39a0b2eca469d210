package quota

// This file recovers units and ends loans after a peer restarted, shut down or died.

// maxUnreportedSeconds bounds the time in seconds that a lost peer is assumed to have served after its last
// report. Reports of peers that are not lost count for longer, see unseenMaxAge.
const maxUnreportedSeconds = 1.0

// resetStaleLinks ends the loans, grants and transfer requests of earlier epochs of peers. Shares that were
// lent to an earlier epoch are available here again from the first message of the new epoch on, not before: until
// then the earlier epoch may have used them. Shares borrowed from an earlier epoch are given up: the peer's new epoch
// has them.
func (a *Account) resetStaleLinks() {
	for _, lk := range a.links {
		peer := a.ledger.peers[lk.peerID]
		if peer == nil {
			continue
		}
		if lk.epoch == 0 { // no message was received before: nothing was lent or granted
			lk.epoch = peer.epoch
		}
		if peer.dead {
			a.recoverUnits(lk)
		}
		if peer.epoch != lk.epoch && peer.epochSince <= a.advancedTo {
			a.resetLink(lk, peer)
		}
	}
}

// resetLink resets the link to a peer that restarted.
func (a *Account) resetLink(lk *link, peer *peer) {
	rate := a.plan().Quota.Rate
	a.ledger.Counts.RateReclaimed += lk.lentShare() * rate
	if lk.known { // what the earlier epoch consumed after its last report is never reported
		a.totalLevel -= min(lk.demand, a.evenFraction*rate) * a.unreportedSeconds(lk)
	}
	a.recoverUnits(lk)
	*lk = link{
		peerID: lk.peerID, epoch: peer.epoch, queued: lk.queued, restarted: lk.known, lentToEarlierEpochs: lk.slotLoansToEarlierEpochs(a.ledger),
	}
}

// unreportedSeconds returns the time that a peer may have served after its last report.
func (a *Account) unreportedSeconds(lk *link) float64 {
	return min((a.ledger.lastMessageAt - lk.reportedAt).Seconds(), maxUnreportedSeconds)
}

// recoverUnits adds to this limiter's quota level its part of the units that a peer had when it shut down, died
// or restarted. The customer's bucket still has them, and the peer's next epoch starts without them. A peer's debt is
// divided in the same way.
func (a *Account) recoverUnits(lk *link) {
	plan := a.plan()
	if !lk.known || lk.recovered || a.baseFraction <= 0 || plan.Quota.Rate <= 0 {
		return
	}
	lk.recovered = true
	gained := (a.evenFraction*plan.Quota.Rate - lk.demand) * a.unreportedSeconds(lk)
	level := min(max(lk.level+gained, 0), a.evenFraction*plan.Quota.Burst)
	if lk.level < 0 {
		level = lk.level
	}
	part := level / float64(len(a.lenders))
	a.quotaLevel += part
	a.ledger.Counts.UnitsRecovered += part
}
