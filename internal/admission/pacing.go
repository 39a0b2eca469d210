package admission

import (
	"slices"
	"time"
)

// This file decides when a message is sent to another limiter. Each limiter accepts only a certain number of messages
// per second from all others together, so messages are paced per receiver. With more than activePeers other limiters
// (a large tier), all messages of a limiter also share a common pace, which depends on what a message carries:
//
//	carries             waits for                                          charges
//	grants              nothing                                            messagesPacedUntil
//	transfer requests   requestsPacedUntil                                 messagesPacedUntil, requestsPacedUntil
//	observations only   a full burst in both buckets, nextObservationsAt   messagesPacedUntil, requestsPacedUntil
//
// Each message postpones nextObservationsAt, for which urgent observations do not wait. A message with both grants and
// transfer requests is treated as one with grants. Shutdown notices are not paced.

const (
	// paceFraction is the fraction of PeerMessagesPerSecond that the busiest senders to a limiter may use
	// together.
	paceFraction = 0.7
	// activePeers is the number of limiters that are assumed to send messages to the same limiter at the same
	// time. A tier with more peers than that is large: there, pacing per receiver is not sufficient.
	activePeers = 6
	// messageBurst is the number of messages that may be sent to a limiter without a pause.
	messageBurst = 4
	// observationPauseIntervals is the time in totalIntervals between any message and a later message with
	// observations only. Most observations are carried by messages that are sent anyway.
	observationPauseIntervals = 6
)

// gossipState contains the other limiters and what has to be sent to them. The clock times ...PacedUntil act as token
// buckets: each message adds an interval, and the burst is the number of intervals that the time may lie in the past.
type gossipState struct {
	peers   map[int]*peer
	queued  []*peer    // to which a message has to be sent
	pending []*backend // whose observation has still to be sent, the latest last

	peerInterval  time.Duration // between messages to the same limiter
	totalInterval time.Duration // between any two messages; 0 with at most activePeers peers

	requestsPacedUntil time.Duration // clock time before which no transfer request may be sent without grants
	messagesPacedUntil time.Duration // clock time until which the rate of all messages is used up
	nextObservationsAt time.Duration // clock time before which no message is sent for observations only
	urgentUntil        time.Duration // clock time until which nextObservationsAt is ignored
}

// newGossipState derives the pace of messages from the settings.
func newGossipState(settings Settings) gossipState {
	perSecond := paceFraction * max(settings.PeerMessagesPerSecond, 1)
	senders := settings.Limiters - 1
	state := gossipState{
		peers:        map[int]*peer{},
		peerInterval: seconds(float64(min(senders, activePeers)) / perSecond),
	}
	if senders > activePeers {
		state.totalInterval = seconds(1 / perSecond)
	}
	return state
}

// announceToPeers queues a message to the other limiters. If there are more than activePeers of them, it queues messages
// to activePeers consecutive ones, starting at a random one.
func (ctl *Controller) announceToPeers() {
	if !ctl.canGossip() {
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

// queueMessage schedules a message to another limiter within a time, withinFraction of the shortest objective.
// The content of the message is determined when it is sent.
func (ctl *Controller) queueMessage(p *peer, withinFraction float64) {
	at := ctl.now + seconds(withinFraction*ctl.classes.shortestObjective.Seconds())
	if !p.queued {
		p.queued, p.dueAt = true, at
		ctl.gossip.queued = append(ctl.gossip.queued, p)
	}
	p.dueAt = min(p.dueAt, at)
	ctl.scheduleTick(p.sendableAt())
}

// sendableAt returns the earliest clock time at which the pace of the receiver allows a queued message.
func (p *peer) sendableAt() time.Duration { return max(p.dueAt, p.pacedUntil) }

// scheduleQueuedMessages ensures that queued messages are sent when they are due. A message that is already due waits
// for the common pace, for which chargePace has scheduled a tick.
func (ctl *Controller) scheduleQueuedMessages() {
	for _, p := range ctl.gossip.queued {
		if at := p.sendableAt(); at > ctl.now {
			ctl.scheduleTick(at)
		}
	}
}

// sendQueuedMessages sends the messages that are due, subject to pacing.
func (ctl *Controller) sendQueuedMessages() {
	for _, number := range ctl.customers.ledger.TakeReadyPeers() {
		ctl.queueMessage(ctl.peer(number), 0)
	}
	interval := ctl.gossip.peerInterval
	for i := 0; i < len(ctl.gossip.queued); i++ {
		p := ctl.gossip.queued[i]
		if ctl.now < p.sendableAt() || !ctl.chargePace(p) {
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

// chargePace reports whether the common pace allows a message to a limiter, and charges the message.
//
// A message with grants is always allowed, as there are no more grants than transfer requests received, and it does not
// delay transfer requests: otherwise the transfer requests of an owner of many customers would wait behind its grants.
// A message with observations only waits until both token buckets hold a full burst: otherwise such messages would
// delay transfers of quota, here and at the receiver.
func (ctl *Controller) chargePace(p *peer) bool {
	g := &ctl.gossip
	if g.totalInterval == 0 {
		return true
	}
	fullBurst := 2 * messageBurst * g.totalInterval
	grants := ctl.customers.ledger.HasGrantsFor(p.number)
	if at := ctl.paceAllowsAt(p, fullBurst); !grants && ctl.now < at {
		ctl.scheduleTick(at)
		return false
	}
	g.messagesPacedUntil = max(g.messagesPacedUntil, ctl.now-fullBurst) + g.totalInterval
	g.nextObservationsAt = ctl.now + observationPauseIntervals*g.totalInterval
	if !grants {
		g.requestsPacedUntil = max(g.requestsPacedUntil, ctl.now-fullBurst) + g.totalInterval
	}
	return true
}

// paceAllowsAt returns the clock time at which the common pace allows a message without grants. fullBurst is the time
// in which a token bucket refills a full burst.
func (ctl *Controller) paceAllowsAt(p *peer, fullBurst time.Duration) time.Duration {
	g := &ctl.gossip
	if ctl.customers.ledger.HasRequestsFor(p.number) {
		return g.requestsPacedUntil
	}
	at := max(g.requestsPacedUntil, g.messagesPacedUntil) + fullBurst
	if ctl.now >= g.urgentUntil {
		at = max(at, g.nextObservationsAt)
	}
	return at
}
