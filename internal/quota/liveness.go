package quota

import (
	"math"
	"time"

	"lemongate/internal/gossip"
)

// This file decides which peers are alive. It records the messages of peers, and decides which peers are
// silent and which of these are dead rather than cut off.

const (
	// peerSilenceTimeout is the time without a message after which a peer is silent, and the time for which
	// no transfer request is sent to a peer that did not reply.
	peerSilenceTimeout = time.Second
	// smallTierSize is the number of limiters up to which each pair exchanges messages all the time.
	smallTierSize = 8
	// olderServingAge is how much longer than this limiter a peer has to have served to show that it served
	// before this limiter started, in quarters of a second.
	olderServingAge = 2
	// earlierEpochDuration is the time after a peer's last message during which a message of an earlier
	// epoch is rejected. After that any epoch is accepted: epochs grow modulo 2^32, and a later one may look
	// earlier.
	earlierEpochDuration = 10 * time.Second
	// demandTickWeight is the weight of one tick in the mean and variance of the demand, and
	// demandMinTicks the number of ticks after which these are used.
	demandTickWeight = 0.05
	demandMinTicks   = 10
	// significantDeviations is the number of standard deviations that the expected rise of the demand has to
	// reach for the demand to show that a peer died.
	significantDeviations = 2.0
)

// A peer is the state of another limiter as known here.
type peer struct {
	epoch          uint32
	epochSince     time.Duration // when the first message of the epoch arrived
	known          bool          // a message of the epoch has arrived
	acked          bool          // the peer knows this limiter's epoch
	ackedAt        time.Duration
	lastReceivedAt time.Duration // when its last message arrived
	silentUntil    time.Duration // it did not reply: no transfer request is sent to it until then
	unresponsive   bool          // no message arrived since: transfer requests are sent, but nothing waits for a grant
	dead           bool          // it is shutting down, or is silent and its clients send their requests here

	queuedTransferRequests []*Account // about which a message to the peer is due
	queuedGrants           []gossip.Grant
	queuedForSend          bool // is in Ledger.readyPeers
}

// available reports whether transfer requests are sent to a peer now.
func (p *peer) available(now time.Duration) bool { return now >= p.silentUntil && !p.dead }

// peer returns the state of another limiter, creating it if there is none.
func (l *Ledger) peer(limiter int) *peer {
	p := l.peers[limiter]
	if p == nil {
		p = &peer{}
		l.peers[limiter] = p
	}
	return p
}

// ObservePeer records that a message of a peer arrived: the epoch of its sender, whether the sender knows
// this limiter's epoch, and for how long client requests have been arriving there and here, in quarters of a
// second or gossip.ShuttingDownAge. It returns false if the message is of an earlier epoch and has to be
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
	l.restartedInService = l.restartedInService || l.servedBeforeStart(peerServingAge, now)
	p.epoch, p.known, p.lastReceivedAt = epoch, true, now
	p.silentUntil, p.unresponsive = 0, false
	p.dead = peerServingAge == gossip.ShuttingDownAge
	if p.dead {
		return true
	}
	if knowsEpoch && !p.acked {
		p.acked, p.ackedAt = true, now
	}
	if int(peerServingAge) >= int(ownServingAge)+olderServingAge {
		l.ResolveStartState(LimiterRestarted, now)
	}
	return true
}

// servedBeforeStart reports whether a peer whose message arrives now received requests before this limiter
// started.
func (l *Ledger) servedBeforeStart(peerServingAge uint8, now time.Duration) bool {
	if peerServingAge >= gossip.ShuttingDownAge-1 { // the longest age that a message can carry
		return true
	}
	return time.Duration(peerServingAge)*gossip.ServingAgeStep > now-l.startedAt
}

// Tick declares silent peers dead if the demand shows that they are, and returns borrowed slots that are not in
// use. The caller calls it every fraction of a second.
//
// The clients of a peer that died send their requests to the other limiters, and the demand here rises by 1/n, with
// n limiters left; the clients of a peer that is cut off do not. If half of the tier or more is silent, this limiter
// counts as the one that is cut off. If the expected rise would not stand out from the usual variation, the peer
// counts as cut off, and its allocations of quotas stay with it.
func (l *Ledger) Tick(now time.Duration) {
	l.ReturnUnusedSlots(now)
	silent := l.countSilent(now)
	demand := l.totalDemand.Value(now, demandMemorySeconds)
	if silent == 0 || l.ticks == 0 {
		l.recordUsualDemand(demand)
		return
	}
	if 2*silent >= l.Limiters || l.ticks < demandMinTicks || !l.showsDeadPeers(silent, demand, now) {
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

// showsDeadPeers reports whether the demand rose as it does when the clients of silent peers send their requests
// here (by at least half of the expected rise), and the expected rise stands out from the usual variation.
func (l *Ledger) showsDeadPeers(silent int, demand float64, now time.Duration) bool {
	customerVariance := l.meanDemand * l.meanDemand / float64(l.activeAccounts(now)) // few customers: each one changes it
	deviation := math.Sqrt(max(l.demandVariance, customerVariance))
	rise := l.meanDemand * float64(silent) / float64(max(l.Limiters-silent, 1))
	return rise >= significantDeviations*deviation && demand-l.meanDemand >= rise/2
}

// activeAccounts returns one more than the number of accounts with a request within demandMemory.
func (l *Ledger) activeAccounts(now time.Duration) int {
	active := 1
	for _, a := range l.accountOrder {
		if now-a.lastSeen < demandMemory {
			active++
		}
	}
	return active
}

// isSilent reports whether no message arrives from a peer that should send some. In a large tier most pairs
// have nothing to send each other for seconds, and only a transfer request without a reply counts.
func (l *Ledger) isSilent(p *peer, now time.Duration) bool {
	return p != nil && p.known && now-p.lastReceivedAt > peerSilenceTimeout && (p.unresponsive || l.Limiters <= smallTierSize)
}
