// Package peertransport carries datagrams between limiters. It identifies limiters by their source
// addresses, and does not read the messages.
package peertransport

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"lemongate/internal/core"
)

const (
	// maxDatagramBytes is the platform's bound on datagrams between limiters.
	maxDatagramBytes = 256
	// sendQueueLength is how many datagrams may wait to be written. Further ones are dropped: they may
	// be lost on the way as well.
	sendQueueLength = 256
	// flushTimeout bounds how long Close waits for the queue to be written.
	flushTimeout = 100 * time.Millisecond
	// unknownLimiter is the number of a limiter that is not among the peers.
	unknownLimiter = -1
)

// A Transport sends and receives the datagrams of one limiter. The owner runs Read and Write, each in a
// goroutine; both end with Close. The other methods may be called from any goroutine.
type Transport struct {
	conn      *net.UDPConn
	peers     []netip.AddrPort // by the limiters' numbers
	broadcast netip.AddrPort   // reaches all limiters
	numbers   map[netip.AddrPort]int
	queue     chan datagram
	written   chan struct{} // closed when Write has ended
	closed    chan struct{} // closed by Close
	post      func(core.Event)
	log       *zap.Logger

	mu      sync.Mutex
	resumed chan struct{} // closed by Resume; nil while reading is not paused
}

// A datagram waits to be written.
type datagram struct {
	to   netip.AddrPort
	data []byte
}

// Listen opens a socket and returns a Transport on it. Peers are in the order of the limiters' numbers;
// broadcast is an address that reaches all of them. Post is called with each datagram received.
func Listen(at netip.AddrPort, peers []netip.AddrPort, broadcast netip.AddrPort, post func(core.Event), log *zap.Logger) (*Transport, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return NewTransport(conn, peers, broadcast, post, log), nil
}

// NewTransport returns a Transport on a socket that is open already; see Listen.
func NewTransport(conn *net.UDPConn, peers []netip.AddrPort, broadcast netip.AddrPort, post func(core.Event), log *zap.Logger) *Transport {
	t := &Transport{
		conn:      conn,
		peers:     peers,
		broadcast: broadcast,
		numbers:   map[netip.AddrPort]int{},
		queue:     make(chan datagram, sendQueueLength),
		written:   make(chan struct{}),
		closed:    make(chan struct{}),
		post:      post,
		log:       log,
	}
	for number, peer := range peers {
		t.numbers[unmapped(peer)] = number
	}
	return t
}

// unmapped returns an IPv4 address in the one form that compares equal.
func unmapped(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Socket returns the socket, to be handed to another process.
func (t *Transport) Socket() *net.UDPConn { return t.conn }

// Pause stops reading until Resume. Datagrams that arrive meanwhile stay in the socket, for the process that
// reads next.
func (t *Transport) Pause() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resumed != nil {
		return
	}
	t.resumed = make(chan struct{})
	t.setReadDeadline(time.Unix(1, 0)) // ends a read that waits
}

// Resume goes on reading after Pause.
func (t *Transport) Resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resumed == nil {
		return
	}
	t.setReadDeadline(time.Time{})
	close(t.resumed)
	t.resumed = nil
}

func (t *Transport) setReadDeadline(deadline time.Time) {
	_ = t.conn.SetReadDeadline(deadline) // fails on a closed socket alone, where Read ends
}

// waitForResume waits until reading is not paused, or for Close.
func (t *Transport) waitForResume() {
	t.mu.Lock()
	resumed := t.resumed
	t.mu.Unlock()
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
	case <-t.closed:
	}
}

// Read posts a core.PeerMessageReceived for each datagram, until Close.
func (t *Transport) Read() {
	buffer := make([]byte, maxDatagramBytes+1) // one more than allowed, so that a longer datagram shows
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			t.waitForResume()
		case err != nil: // such as a refusal of an earlier datagram: the next read may succeed
			t.log.Debug("datagram not received", zap.Error(err))
		default:
			t.post(&core.PeerMessageReceived{From: t.sender(from, n), Data: append([]byte(nil), buffer[:n]...)})
		}
	}
}

// sender returns the number of the limiter that sent a datagram of n bytes; unknownLimiter for another
// address, and for a datagram that is too long to be a limiter's.
func (t *Transport) sender(from netip.AddrPort, n int) int {
	number, known := t.numbers[unmapped(from)]
	if !known || n > maxDatagramBytes {
		return unknownLimiter
	}
	return number
}

// Write sends what Send has queued, until Close.
func (t *Transport) Write() {
	defer close(t.written)
	for d := range t.queue {
		if _, err := t.conn.WriteToUDPAddrPort(d.data, d.to); err != nil {
			t.log.Debug("datagram not sent", zap.Error(err))
		}
	}
}

// Send queues a datagram for a limiter, or for all limiters if number is below 0. It never waits: it drops
// the datagram if the queue is full. It must not be called after Close.
func (t *Transport) Send(number int, data []byte) {
	to := t.address(number)
	if !to.IsValid() || len(data) > maxDatagramBytes {
		t.log.Warn("datagram not sent", zap.Int("to", number), zap.Int("bytes", len(data)))
		return
	}
	select {
	case t.queue <- datagram{to, data}:
	default:
	}
}

// address returns the address for Send; it is invalid if there is none.
func (t *Transport) address(number int) netip.AddrPort {
	switch {
	case number < 0:
		return t.broadcast
	case number < len(t.peers):
		return t.peers[number]
	}
	return netip.AddrPort{}
}

// Close waits up to flushTimeout for the queue to be written, which may have the message that this limiter
// leaves, and ends Read and Write.
func (t *Transport) Close() error {
	close(t.queue)
	close(t.closed)
	select {
	case <-t.written:
	case <-time.After(flushTimeout):
	}
	return t.conn.Close()
}
