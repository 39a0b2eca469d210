package simulation

import (
	"slices"
	"time"

	"lemongate/internal/core"
)

const (
	// maxDatagramSize is the largest allowed size of a datagram, in bytes.
	maxDatagramSize = 256
	// receiveBurst bounds the burst of datagrams that a limiter can receive: as many as arrive in this time at its
	// maximum rate.
	receiveBurst = 500 * time.Millisecond
)

// sendDatagram sends a datagram to one limiter, or to all others.
func (w *world) sendDatagram(from *limiter, e core.SendToPeer) {
	w.result.Messages++
	w.result.Bytes += len(e.Data)
	w.leases.recordDatagram(e)
	if len(e.Data) > maxDatagramSize {
		w.breach("a datagram of %d bytes exceeds maxDatagramSize", len(e.Data))
	}
	for to := range w.limiters {
		if to != from.number && (e.Peer < 0 || e.Peer == to) {
			w.transmit(from, to, e.Data)
		}
	}
}

// transmit sends a datagram over the network, which may lose, delay or duplicate it. Whether limiters are separated does
// not change which random numbers are drawn.
func (w *world) transmit(from *limiter, to int, data []byte) {
	network := w.scenario.Network
	if w.networkRandom.Float64() < network.Loss || from.dropsOutgoing {
		return
	}
	copies := 1
	if w.networkRandom.Float64() < network.Duplicated {
		copies = 2
	}
	data = slices.Clone(data)
	for range copies {
		delay := milliseconds(network.DelayMin + w.networkRandom.Float64()*(network.DelayMax-network.DelayMin))
		if w.networkRandom.Float64() < network.Delayed {
			delay += seconds(network.DelayedFor) // crosses partitions, as if it was sent before them
		} else if w.separated(from, to) {
			continue
		}
		w.after(delay, func() { w.receive(from.number, to, data) })
	}
}

// separated reports whether a partition or a lost direction separates a sender from a receiver.
func (w *world) separated(from *limiter, to int) bool {
	return from.partition != w.limiters[to].partition || w.lostDirections[[2]int{from.number, to}]
}

// receive delivers a datagram to a limiter. Datagrams beyond the limiter's maximum rate are dropped.
func (w *world) receive(from, number int, data []byte) {
	to := w.limiters[number]
	if to.dropsIncoming || to.machine == nil {
		return
	}
	if rate := w.scenario.Network.MaxReceivedPerSecond; rate > 0 {
		to.nextReceiveAt = max(to.nextReceiveAt, w.now-receiveBurst)
		if to.nextReceiveAt > w.now {
			w.result.Dropped++
			return
		}
		to.nextReceiveAt += seconds(1 / rate)
	}
	deliver := func() { w.limiters[number].post(&core.PeerMessageReceived{From: from, Data: data}) }
	if to.link.paused {
		to.link.queuedDeliveries = append(to.link.queuedDeliveries, deliver)
		return
	}
	deliver()
}
