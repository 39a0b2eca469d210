package core

import (
	"lemongate/internal/admission"
	"lemongate/internal/gossip"
	"lemongate/internal/lease"
	"lemongate/internal/rollingrestart"
	"lemongate/internal/usage"
)

// This file sends datagrams to other limiters, and passes each received datagram to the file that handles its kind.

// isLimiter reports whether a number is the number of a limiter of the tier.
func (m *Machine) isLimiter(number int) bool {
	return number >= 0 && number < m.config.Settings.Limiters
}

// isPeer reports whether a number is the number of another limiter of the tier.
func (m *Machine) isPeer(number int) bool {
	return m.isLimiter(number) && number != m.config.Settings.Self
}

// onPeerMessage passes a datagram to the handler of its kind of message. The data is not validated before: the handlers
// count and drop what is invalid.
func (m *Machine) onPeerMessage(ev *PeerMessageReceived) {
	switch {
	case lease.IsMessage(ev.Data):
		m.onLeaseMessage(ev)
	case usage.IsMessage(ev.Data):
		m.onUsageMessage(ev)
	case rollingrestart.IsMessage(ev.Data):
		m.onSlotMessage(ev)
	default:
		m.onGossip(ev)
	}
}

// onGossip passes a message about quotas and backends to the admission controller.
func (m *Machine) onGossip(ev *PeerMessageReceived) {
	_, ok := gossip.Parse(ev.Data)
	if !ok || !m.isLimiter(ev.From) {
		m.counters.PeerMessagesInvalid++
		return
	}
	m.counters.PeerMessagesReceived++
	m.stepController(&admission.PeerMessage{From: ev.From, Data: ev.Data})
}

// sendGossip sends a message of the admission controller, unless the successor sends the messages of this limiter.
func (m *Machine) sendGossip(action admission.SendToPeer) {
	if !m.hotRestart.stateSent {
		m.sendToPeer(action.Peer, action.Data)
	}
}

func (m *Machine) sendToPeer(peer int, data []byte) {
	m.counters.PeerMessagesSent++
	m.emit(SendToPeer{Peer: peer, Data: data})
}
