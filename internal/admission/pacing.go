package admission

import (
	"slices"
	"time"
)

// This file decides when another limiter is sent a message. Each takes in only so many messages per
// second from all others together, so each pair of limiters keeps a pace, and in a large tier each
// limiter keeps a pace over all of its messages.

const (
	// paceFraction is the fraction of a limiter's intake that the busiest senders fill together.
	paceFraction = 0.7
	// activePeers is how many limiters tell one at its pace at most; a tier with more peers is large.
	activePeers = 6
	// messageBurst is how many messages to one limiter may go without a pause.
	messageBurst = 4
	// observationPauses is how many intervals pass in a large tier, after any message, until one goes
	// that carries observations only: most ride on messages that go anyway, and each is paid for.
	observationPauses = 6
)

// gossipState is the other limiters, and what is to be sent to them.
type gossipState struct {
	peers   map[int]*peer
	queued  []*peer    // with a message to be sent
	pending []*backend // observed of late and not sent often enough yet, the latest last

	peerInterval  time.Duration // between messages to one limiter
	totalInterval time.Duration // between any two messages, in a large tier; 0 in a small one

	requestsPacedUntil time.Duration // clock time before which no transfer request may go
	messagesPacedUntil time.Duration // clock time before which nothing but grants may go
	nextObservationsAt time.Duration // clock time before which no message goes for observations only
	urgentUntil        time.Duration // clock time up to which observations need not wait for that
}

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

// announceToPeers has other limiters sent what is new here: all of them, or in a large tier as many as
// fill the pace, chosen by chance.
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

// queueMessage has another limiter sent a message within a time, as a fraction of the shortest
// objective.
func (ctl *Controller) queueMessage(p *peer, within float64) {
	at := ctl.now + seconds(within*ctl.classes.shortestObjective.Seconds())
	if !p.queued {
		p.queued, p.dueAt = true, at
		ctl.gossip.queued = append(ctl.gossip.queued, p)
	}
	p.dueAt = min(p.dueAt, at)
	ctl.wakeBy(p.sendableAt())
}

// sendableAt is the clock time from which on a queued message may go by the pace of its pair.
func (p *peer) sendableAt() time.Duration { return max(p.dueAt, p.pacedUntil) }

// wakeForQueuedPeers makes sure that queued messages go when they are due. One that is due already
// waits for the pace of all messages, which wakes by itself.
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

// takePace reports whether the pace of all messages allows one to a limiter, and takes it.
//
// A message with grants goes in any case, as there are no more grants than requests come in, and takes
// nothing of the pace of transfer requests: an owner of many customers would keep its own requests
// waiting. A message with observations only waits for all that may be saved up of the pace: it would
// crowd out quotas that move, here and at the receiver.
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

// paceAllowsAt is the clock time at which the pace of all messages allows one without grants.
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
