package admission

import (
	"slices"
	"time"
)

// This file decides when another limiter is sent a message. Each takes in only so many messages per
// second from all others together, so the messages to each of them are paced. Beyond activePeers other
// limiters (a large tier) all messages of a limiter have a common pace as well, by what they carry:
//
//	carries             waits for                                          charges
//	grants              nothing common                                     messagesPacedUntil
//	transfer requests   requestsPacedUntil                                 messagesPacedUntil, requestsPacedUntil
//	observations only   a full burst saved up in both, nextObservationsAt  messagesPacedUntil, requestsPacedUntil
//
// Each message moves nextObservationsAt, for which urgent observations do not wait. A message with grants and
// transfer requests counts as one with grants. Notices of a shutdown are not paced.

const (
	// paceFraction is the fraction of PeerMessagesPerSecond that the busiest senders to a limiter may use
	// together.
	paceFraction = 0.7
	// activePeers is how many limiters are assumed to send messages to the same one at a time. A tier where
	// each has more peers is large: there, pacing the messages to each peer is not enough.
	activePeers = 6
	// messageBurst is how many messages to one limiter may be sent without a pause.
	messageBurst = 4
	// observationPauses is how many totalIntervals pass after any message until one is sent that carries
	// observations only: most are carried by messages that are sent anyway.
	observationPauses = 6
)

// gossipState is the other limiters, and what is to be sent to them. The clock times ...PacedUntil act as token
// buckets: a message adds an interval to one, and a burst is how many intervals it may lie in the past.
type gossipState struct {
	peers   map[int]*peer
	queued  []*peer    // with a message to be sent
	pending []*backend // with an observation that is still to be sent, the latest last

	peerInterval  time.Duration // between messages to one limiter
	totalInterval time.Duration // between any two messages; 0 for any up to activePeers peers

	requestsPacedUntil time.Duration // clock time before which no transfer request may be sent without grants
	messagesPacedUntil time.Duration // clock time up to which the rate of all messages is used up
	nextObservationsAt time.Duration // clock time before which no message is sent for observations only
	urgentUntil        time.Duration // clock time up to which nextObservationsAt does not count
}

// newGossipState derives the pace of messages from the settings.
func newGossipState(set Settings) gossipState {
	perSecond := paceFraction * max(set.PeerMessagesPerSecond, 1)
	senders := set.Limiters - 1
	state := gossipState{
		peers:        map[int]*peer{},
		peerInterval: seconds(float64(min(senders, activePeers)) / perSecond),
	}
	if senders > activePeers {
		state.totalInterval = seconds(1 / perSecond)
	}
	return state
}

// announceToPeers has a message with what is new here sent to other limiters: to all of them, or to
// activePeers of them, from a random one on, if there are more.
func (ctl *Controller) announceToPeers() {
	if !ctl.gossips() {
		return
	}
	others := ctl.settings.Limiters - 1
	from := 0
	if others > activePeers {
		from = ctl.random.IntN(others)
	}
	for i := range min(others, activePeers) {
		number := (ctl.settings.Self + 1 + (from+i)%others) % ctl.settings.Limiters
		ctl.queueMessage(ctl.peer(number), announceWithinFraction)
	}
}

// queueMessage has a message sent to another limiter within a time, given as a fraction of the shortest
// objective. What it carries is decided when it is sent.
func (ctl *Controller) queueMessage(p *peer, within float64) {
	at := ctl.now + seconds(within*ctl.classes.shortestObjective.Seconds())
	if !p.queued {
		p.queued, p.dueAt = true, at
		ctl.gossip.queued = append(ctl.gossip.queued, p)
	}
	p.dueAt = min(p.dueAt, at)
	ctl.wakeBy(p.sendableAt())
}

// sendableAt is the clock time from which on a queued message may be sent by the pace to its receiver.
func (p *peer) sendableAt() time.Duration { return max(p.dueAt, p.pacedUntil) }

// wakeForQueuedPeers makes sure that queued messages are sent when they are due. One that is due already
// waits for the common pace, for which takePace has set the timer.
func (ctl *Controller) wakeForQueuedPeers() {
	for _, p := range ctl.gossip.queued {
		if at := p.sendableAt(); at > ctl.now {
			ctl.wakeBy(at)
		}
	}
}

// sendQueuedMessages sends what is due, to each limiter at its pace.
func (ctl *Controller) sendQueuedMessages() {
	for _, number := range ctl.customers.ledger.TakeReadyPeers() {
		ctl.queueMessage(ctl.peer(number), 0)
	}
	interval := ctl.gossip.peerInterval
	for i := 0; i < len(ctl.gossip.queued); i++ {
		p := ctl.gossip.queued[i]
		if ctl.now < p.sendableAt() || !ctl.takePace(p) {
			continue
		}
		p.pacedUntil = max(p.pacedUntil, ctl.now-messageBurst*interval) + interval
		more := ctl.sendPeerMessage(p)
		p.queued = false
		ctl.gossip.queued = slices.Delete(ctl.gossip.queued, i, i+1)
		i--
		if more {
			ctl.queueMessage(p, 0)
		}
	}
}

// takePace reports whether the common pace allows a message to a limiter, and charges it.
//
// A message with grants is sent in any case, as there are no more grants than transfer requests received,
// and does not delay transfer requests: otherwise an owner of many customers would keep its own waiting. A
// message with observations only waits until a full burst is saved up: otherwise it would crowd out
// transfers of quota, here and at the receiver.
func (ctl *Controller) takePace(p *peer) bool {
	g := &ctl.gossip
	if g.totalInterval == 0 {
		return true
	}
	savedUp := 2 * messageBurst * g.totalInterval
	grants := ctl.customers.ledger.HasGrantsFor(p.number)
	if at := ctl.paceAllowsAt(p, savedUp); !grants && ctl.now < at {
		ctl.wakeBy(at)
		return false
	}
	g.messagesPacedUntil = max(g.messagesPacedUntil, ctl.now-savedUp) + g.totalInterval
	g.nextObservationsAt = ctl.now + observationPauses*g.totalInterval
	if !grants {
		g.requestsPacedUntil = max(g.requestsPacedUntil, ctl.now-savedUp) + g.totalInterval
	}
	return true
}

// paceAllowsAt is the clock time at which the common pace allows a message without grants. A full burst is
// saved up in the time savedUp.
func (ctl *Controller) paceAllowsAt(p *peer, savedUp time.Duration) time.Duration {
	g := &ctl.gossip
	if ctl.customers.ledger.HasRequestsFor(p.number) {
		return g.requestsPacedUntil
	}
	at := max(g.requestsPacedUntil, g.messagesPacedUntil) + savedUp
	if ctl.now >= g.urgentUntil {
		at = max(at, g.nextObservationsAt)
	}
	return at
}
