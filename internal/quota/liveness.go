package quota

import (
	"math"
	"time"

	"lemongate/internal/gossip"
)

// This file decides which peers are alive: what their messages show, which of them are silent, and which
// silent ones are dead rather than cut off.

const (
	// peerSilenceTimeout is the time without a message after which a peer is silent, and for which no
	// request is sent to one that did not reply.
	peerSilenceTimeout = time.Second
	// smallTierSize is the number of limiters up to which each pair exchanges messages all the time.
	smallTierSize = 8
	// olderServingAge is how much longer a peer has to have served than this limiter to have been there
	// before its start, in quarters of a second.
	olderServingAge = 2
	// earlierEpochDuration is how long after the last message of a peer one of an earlier epoch is
	// rejected. After that any epoch is accepted: they grow modulo 2^32, and a later one may look earlier.
	earlierEpochDuration = 10 * time.Second
	// demandTickWeight is the weight of one tick in the mean and variance of the demand, and
	// demandMinTicks the number of ticks from which on these are used.
	demandTickWeight = 0.05
	demandMinTicks   = 10
	// significantDeviations is how many standard deviations a rise of the demand has to be to show that
	// a peer died.
	significantDeviations = 2.0
)

// A peer is another limiter.
type peer struct {
	epoch          uint32
	epochSince     time.Duration // when the first message of the epoch came
	known          bool          // a message came in this epoch
	acked          bool          // the peer knows of this limiter's epoch
	ackedAt        time.Duration
	lastReceivedAt time.Duration // when its last message came
	silentUntil    time.Duration // it did not reply: no transfer request is sent to it until then
	unresponsive   bool          // no message came since: transfer requests are sent, but nothing waits for a grant
	dead           bool          // it left, or is silent and its clients come here

	queuedTransferRequests []*Account // about which a message to the peer is due
	queuedGrants           []gossip.Grant
	queuedForSend          bool // is in Ledger.readyPeers
}

// available reports whether transfer requests are sent to a peer now.
func (p *peer) available(now time.Duration) bool { return now >= p.silentUntil && !p.dead }

// peer returns what is known of a limiter, nothing at first.
func (l *Ledger) peer(limiter int) *peer {
	p := l.peers[limiter]
	if p == nil {
		p = &peer{}
		l.peers[limiter] = p
	}
	return p
}

// ObservePeer reports that a message came from a peer: the epoch of its sender, whether the sender knows
// of this limiter's epoch, and for how long requests have been coming there and here, in quarters of a
// second or gossip.LeavingAge. It returns false if the message is of an earlier epoch and has to be
// dropped.
func (l *Ledger) ObservePeer(peerID int, epoch uint32, knowsEpoch bool, peerServingAge, ownServingAge uint8, now time.Duration) bool {
	p := l.peer(peerID)
	l.lastMessageAt = now
	if p.known && int32(epoch-p.epoch) < 0 && now-p.lastReceivedAt < earlierEpochDuration {
		return false
	}
	if p.known && p.epoch != epoch {
		p.queuedGrants = nil
		p.epochSince = now
	}
	l.restartedInService = l.restartedInService || l.servedBefore(peerServingAge, now)
	p.epoch, p.known, p.lastReceivedAt = epoch, true, now
	p.silentUntil, p.unresponsive = 0, false
	p.dead = peerServingAge == gossip.LeavingAge
	if p.dead {
		return true
	}
	if knowsEpoch && !p.acked {
		p.acked, p.ackedAt = true, now
	}
	if int(peerServingAge) >= int(ownServingAge)+olderServingAge {
		l.Resolve(LimiterRestarted, now)
	}
	return true
}

// servedBefore reports whether a peer whose message comes now had requests before this limiter started.
func (l *Ledger) servedBefore(peerServingAge uint8, now time.Duration) bool {
	if peerServingAge >= gossip.LeavingAge-1 { // the longest that a message can tell
		return true
	}
	return time.Duration(peerServingAge)*gossip.ServingAgeStep > now-l.startedAt
}

// Tick declares silent peers dead, if they are, and returns borrowed slots that are not in use; it is to be
// called every fraction of a second.
//
// The clients of a peer that died go to the other limiters, and the demand here rises by one part in as
// many as are left; those of one that is cut off do not. Where half of the tier or more is silent, this
// limiter counts as the one that is cut off. Where the expected rise would not stand out from the usual variation,
// the peer counts as cut off, and its allocations of quotas stay with it.
func (l *Ledger) Tick(now time.Duration) {
	l.ReturnUnusedSlots(now)
	silent := l.countSilent(now)
	demand := l.totalDemand.Value(now, demandMemorySeconds)
	if silent == 0 || l.ticks == 0 {
		l.recordUsualDemand(demand)
		return
	}
	if 2*silent >= l.Limiters || l.ticks < demandMinTicks || !l.showsDeath(silent, demand, now) {
		return
	}
	for limiter := range l.Limiters {
		p := l.peers[limiter]
		if l.isSilent(p, now) && !p.dead {
			p.dead = true
			l.Counts.PeersDeclaredDead++
		}
	}
}

func (l *Ledger) countSilent(now time.Duration) int {
	silent := 0
	for limiter := range l.Limiters {
		if l.isSilent(l.peers[limiter], now) {
			silent++
		}
	}
	return silent
}

// recordUsualDemand adds the demand of one tick to the mean and variance.
func (l *Ledger) recordUsualDemand(demand float64) {
	l.ticks++
	if l.ticks == 1 {
		l.meanDemand = demand
	}
	weight := max(demandTickWeight, 1/float64(l.ticks))
	deviation := demand - l.meanDemand
	l.meanDemand += weight * deviation
	l.demandVariance += weight * (deviation*deviation - l.demandVariance)
}

// showsDeath reports whether the demand rose as it does when the clients of silent peers come here, and
// that rise stands out from the usual variation.
func (l *Ledger) showsDeath(silent int, demand float64, now time.Duration) bool {
	ofCustomers := l.meanDemand * l.meanDemand / float64(l.activeAccounts(now)) // the demand of few varies with each
	deviation := math.Sqrt(max(l.demandVariance, ofCustomers))
	rise := l.meanDemand * float64(silent) / float64(max(l.Limiters-silent, 1))
	return rise >= significantDeviations*deviation && demand-l.meanDemand >= rise/2
}

// activeAccounts is one more than the number of accounts with a request within demandMemory.
func (l *Ledger) activeAccounts(now time.Duration) int {
	active := 1
	for _, a := range l.accountOrder {
		if now-a.lastSeen < demandMemory {
			active++
		}
	}
	return active
}

// isSilent reports whether no message comes from a peer that should send some. In a large tier most pairs
// have nothing to send each other for seconds, and only a request without a reply counts.
func (l *Ledger) isSilent(p *peer, now time.Duration) bool {
	return p != nil && p.known && now-p.lastReceivedAt > peerSilenceTimeout && (p.unresponsive || l.Limiters <= smallTierSize)
}
