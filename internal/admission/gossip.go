package admission

import (
	"math"
	"slices"
	"time"

	"lemongate/internal/gossip"
)

// This file decides what limiters send each other: observations of backends, the pressure on them, and the
// transfer requests and grants of the ledger. When it is sent is decided in pacing.go.

const (
	// observationRepeats is how many messages carry an observation.
	observationRepeats = 3
	// announceWithinFraction is the time within which an announced observation is sent, as a fraction of the
	// shortest objective.
	announceWithinFraction = 0.3
	// observationObjectives is the time in longest objectives after which the weight of an observation has
	// fallen to 1/e.
	observationObjectives = 1.5
	// ageStepsPerObjective is the unit of an observation's age: steps in the shortest objective.
	ageStepsPerObjective = 32
	// loadStepsPerOctave is the unit of an observation's load: steps per factor of two, around loadStepOne,
	// which encodes the mean load. minEncodedLoad keeps the logarithm finite.
	loadStepsPerOctave = 16
	loadStepOne        = 128
	minEncodedLoad     = 1e-3
	// pressureSteps is the unit of a message's pressure: it encodes a pressure of one.
	pressureSteps = 64
	// peerPressureWeight is the weight of another limiter's pressure in the running mean.
	peerPressureWeight = 0.2
	// peerEjectFailureRate is the failure rate in an observation above which the backend is ejected at once:
	// another limiter got no connection.
	peerEjectFailureRate = 0.95
	// urgentFailureChange is the change of a failure rate that others must know at once; for
	// urgentObjectives longest objectives messages with observations only then skip observationPauses.
	urgentFailureChange = 0.25
	urgentObjectives    = 0.3
)

// peer is another limiter.
type peer struct {
	number          int
	known           bool   // a message came from it
	epoch           uint32 // of its start
	lastReceivedSeq uint32
	lastSentSeq     uint32
	queued          bool          // is in gossipState.queued
	dueAt           time.Duration // clock time at which it is to be sent a message
	pacedUntil      time.Duration // clock time before which it may not be sent a message
}

// gossips reports whether there are other limiters that messages can be sent to.
func (ctl *Controller) gossips() bool {
	return ctl.settings.GossipEnabled && ctl.settings.PeerMessagesPerSecond > 0 && ctl.settings.Limiters > 1
}

// peer finds another limiter by its number, or adds it.
func (ctl *Controller) peer(number int) *peer {
	p := ctl.gossip.peers[number]
	if p == nil {
		p = &peer{number: number, pacedUntil: math.MinInt64}
		ctl.gossip.peers[number] = p
	}
	return p
}

// handlePeerMessage acts on a message of another limiter.
func (ctl *Controller) handlePeerMessage(ev *PeerMessage) {
	m, p, ok := ctl.receiveMessage(ev)
	if !ok {
		return
	}
	ctl.window.pressure += peerPressureWeight * (float64(m.Pressure)/pressureSteps - ctl.window.pressure)
	for _, request := range m.Requests {
		ctl.customers.ledger.HandleRequest(p.number, request, ctl.now)
	}
	if m.ReceiverEpoch == ctl.settings.Epoch { // grants to an earlier start of this limiter are void
		for _, grant := range m.Grants {
			ctl.customers.ledger.HandleGrant(p.number, grant, ctl.now)
		}
	}
	ctl.settleWaiting()
	ctl.customers.ledger.ReturnUnusedSlots(ctl.now)
	for _, o := range m.Observations {
		ctl.mergeObservation(o)
	}
}

// receiveMessage reads a message and records its sender's epoch. It is not ok if it is malformed, or not
// newer than the last one of that limiter.
func (ctl *Controller) receiveMessage(ev *PeerMessage) (m gossip.Message, p *peer, ok bool) {
	m, ok = gossip.Parse(ev.Data)
	if !ok || ev.From < 0 || ev.From >= ctl.settings.Limiters || ev.From == ctl.settings.Self {
		return m, nil, false
	}
	p = ctl.peer(ev.From)
	sameEpoch := p.known && p.epoch == m.Epoch
	if sameEpoch && int32(m.Seq-p.lastReceivedSeq) <= 0 {
		return m, p, false
	}
	knowsThisEpoch := m.ReceiverEpoch == ctl.settings.Epoch
	if !ctl.customers.ledger.ObservePeer(p.number, m.Epoch, knowsThisEpoch, m.ServingAge, ctl.servingAge(), ctl.now) {
		return m, p, false
	}
	if !sameEpoch {
		ctl.queueMessage(p, 0) // which shows the peer that this limiter knows of its start
	}
	p.known, p.epoch, p.lastReceivedSeq = true, m.Epoch, m.Seq
	return m, p, true
}

// mergeObservation records another limiter's observation of a backend, if it is newer than any known, and
// passes it on. A wrong observation is corrected by the next one, which is newer still.
func (ctl *Controller) mergeObservation(o gossip.Observation) {
	b := ctl.endpoints.byGossipKey[o.Backend]
	age := float64(o.Age) / ageStepsPerObjective * ctl.classes.shortestObjective.Seconds()
	at := ctl.now - seconds(age)
	if b == nil || at <= max(b.observedAt, b.StartedAt) {
		return
	}
	b.relativeLoad = clampLoad(math.Exp2((float64(o.Load) - loadStepOne) / loadStepsPerOctave))
	b.failureRate = float64(o.FailureRate) / math.MaxUint8
	ctl.announce(b, at)
	if b.failureRate > peerEjectFailureRate && b.lastResponseAt < at && !b.ejected() {
		ctl.eject(b)
		return
	}
	b.recoverIfHealthy()
}

// gossipFreshness is the weight, 0 to 1, that the newest observation of a backend has kept since it was made.
func (ctl *Controller) gossipFreshness(b *backend) float64 {
	age := (ctl.now - b.observedAt).Seconds()
	return math.Exp(-age / (observationObjectives * ctl.control.memorySeconds))
}

// announce has an observation of a backend, made at a clock time, sent to other limiters in the next
// observationRepeats messages.
func (ctl *Controller) announce(b *backend, at time.Duration) {
	b.observedAt = at
	if math.Abs(b.failureRate-b.announcedFailureRate) > urgentFailureChange {
		b.announcedFailureRate = b.failureRate
		ctl.gossip.urgentUntil = ctl.now + seconds(urgentObjectives*ctl.classes.longestObjective.Seconds())
	}
	if b.gossipRepeats == 0 {
		ctl.gossip.pending = append(ctl.gossip.pending, b)
		ctl.announceToPeers()
	}
	b.gossipRepeats = observationRepeats
}

// takeObservations returns the latest observations for a message, up to a number, and counts them as sent once
// more.
func (ctl *Controller) takeObservations(most int) []gossip.Observation {
	var taken []gossip.Observation
	for i := len(ctl.gossip.pending) - 1; i >= 0 && len(taken) < most; i-- {
		b := ctl.gossip.pending[i]
		age := (ctl.now - b.observedAt).Seconds() / ctl.classes.shortestObjective.Seconds() * ageStepsPerObjective
		current := age <= math.MaxUint8 && !b.unavailable
		b.gossipRepeats--
		if b.gossipRepeats <= 0 || !current {
			b.gossipRepeats = 0
			ctl.gossip.pending = slices.Delete(ctl.gossip.pending, i, i+1)
		}
		if current {
			taken = append(taken, gossip.Observation{
				Backend: b.gossipKey, Age: uint8(age), FailureRate: uint8(b.failureRate * math.MaxUint8),
				Load: encodeLoad(b.relativeLoad),
			})
		}
	}
	return taken
}

// encodeLoad is a relative load as an observation carries it.
func encodeLoad(load float64) uint8 {
	steps := loadStepOne + loadStepsPerOctave*math.Log2(max(load, minEncodedLoad))
	return uint8(min(max(steps, 0), math.MaxUint8))
}

// sendPeerMessage sends another limiter as much of what is queued for it as fits, and reports whether there
// is more.
func (ctl *Controller) sendPeerMessage(p *peer) (more bool) {
	p.lastSentSeq++
	m := gossip.Message{
		Epoch: ctl.settings.Epoch, ReceiverEpoch: p.epoch, Seq: p.lastSentSeq,
		Pressure: uint8(min(ctl.window.pressure*pressureSteps, math.MaxUint8)), ServingAge: ctl.servingAge(),
	}
	m.Requests, m.Grants, more = ctl.customers.ledger.Compose(p.number, ctl.now)
	m.Observations = ctl.takeObservations(gossip.MaxObservations)
	ctl.emit(SendToPeer{Peer: p.number, Data: m.Append(nil)})
	return more
}

// servingAge is the time since the first request in units of gossip.ServingAgeStep, or gossip.ShuttingDownAge in a
// shutdown.
func (ctl *Controller) servingAge() uint8 {
	switch {
	case ctl.customers.leaving:
		return gossip.ShuttingDownAge
	case ctl.customers.firstRequestAt == 0:
		return 0
	}
	return uint8(min((ctl.now-ctl.customers.firstRequestAt)/gossip.ServingAgeStep, gossip.ShuttingDownAge-1))
}
