package admission

import (
	"math"
	"slices"
	"time"

	"lemongate/internal/gossip"
)

// This file handles the messages between limiters: observations of backends, upstream pressure, and the transfer
// requests and grants of the ledger. pacing.go decides when a message is sent.

const (
	// observationRepeats is the number of messages that carry an observation.
	observationRepeats = 3
	// announceWithinFraction is the time within which an announced observation is sent, as a fraction of the
	// shortest objective.
	announceWithinFraction = 0.3
	// observationObjectives is the time in longest objectives in which the weight of an observation decays to
	// 1/e.
	observationObjectives = 1.5
	// ageStepsPerObjective is the number of steps per shortest objective in the encoded age of an observation.
	ageStepsPerObjective = 32
	// loadStepsPerOctave is the number of steps per factor of two in the encoded load of an observation;
	// loadStepOne encodes the mean load. minEncodedLoad keeps the logarithm finite.
	loadStepsPerOctave = 16
	loadStepOne        = 128
	minEncodedLoad     = 1e-3
	// pressureSteps is the number of steps per pressure of one in the encoded pressure of a message.
	pressureSteps = 64
	// peerPressureWeight is the weight of another limiter's pressure in the running mean.
	peerPressureWeight = 0.2
	// peerEjectFailureRate is the failure rate in an observation above which the backend is ejected at once:
	// another limiter could not connect to it.
	peerEjectFailureRate = 0.95
	// urgentFailureChange is the change of a failure rate above which an observation is urgent. For the next
	// urgentObjectives longest objectives, messages with observations only do not wait for nextObservationsAt.
	urgentFailureChange = 0.25
	urgentObjectives    = 0.3
)

// peer is the state of another limiter.
type peer struct {
	number          int
	known           bool   // a valid message was received from it
	epoch           uint32 // of its latest start
	lastReceivedSeq uint32
	lastSentSeq     uint32
	queued          bool          // is in gossipState.queued
	dueAt           time.Duration // clock time at which the queued message is due
	pacedUntil      time.Duration // clock time before which no message may be sent to it
}

// canGossip reports whether messages can be sent to other limiters.
func (ctl *Controller) canGossip() bool {
	return ctl.settings.GossipEnabled && ctl.settings.PeerMessagesPerSecond > 0 && ctl.settings.Limiters > 1
}

// peer returns the state of another limiter by its number, and creates it if necessary.
func (ctl *Controller) peer(number int) *peer {
	p := ctl.gossip.peers[number]
	if p == nil {
		p = &peer{number: number, pacedUntil: math.MinInt64}
		ctl.gossip.peers[number] = p
	}
	return p
}

// handlePeerMessage applies a message of another limiter.
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
	ctl.decideWaiting()
	ctl.customers.ledger.ReturnUnusedSlots(ctl.now)
	for _, o := range m.Observations {
		ctl.mergeObservation(o)
	}
}

// receiveMessage decodes a message and records the epoch of its sender. ok is false if the message is malformed, or not
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
		ctl.queueMessage(p, 0) // the message carries the peer's epoch, so the peer learns that it is known here
	}
	p.known, p.epoch, p.lastReceivedSeq = true, m.Epoch, m.Seq
	return m, p, true
}

// mergeObservation records another limiter's observation of a backend if it is newer than any known one, and forwards
// it. A wrong observation is corrected by the next, newer one.
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

// gossipFreshness returns the weight, 0 to 1, of the newest observation of a backend, which decays with its age.
func (ctl *Controller) gossipFreshness(b *backend) float64 {
	age := (ctl.now - b.observedAt).Seconds()
	return math.Exp(-age / (observationObjectives * ctl.control.memorySeconds))
}

// announce schedules an observation of a backend, made at a clock time, for the next observationRepeats messages to
// other limiters.
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

// takeObservations returns the latest pending observations for a message, up to a limit, and counts them as sent once
// more.
func (ctl *Controller) takeObservations(limit int) []gossip.Observation {
	var taken []gossip.Observation
	for i := len(ctl.gossip.pending) - 1; i >= 0 && len(taken) < limit; i-- {
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

// encodeLoad encodes a relative load for an observation.
func encodeLoad(load float64) uint8 {
	steps := loadStepOne + loadStepsPerOctave*math.Log2(max(load, minEncodedLoad))
	return uint8(min(max(steps, 0), math.MaxUint8))
}

// sendPeerMessage sends another limiter as much of what is queued for it as fits into a message, and reports whether
// anything remains.
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

// servingAge returns the time since the first request in units of gossip.ServingAgeStep, or gossip.ShuttingDownAge during
// shutdown.
func (ctl *Controller) servingAge() uint8 {
	switch {
	case ctl.customers.shuttingDown:
		return gossip.ShuttingDownAge
	case ctl.customers.firstRequestAt == 0:
		return 0
	}
	return uint8(min((ctl.now-ctl.customers.firstRequestAt)/gossip.ServingAgeStep, gossip.ShuttingDownAge-1))
}
