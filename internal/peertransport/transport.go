// Package peertransport sends and receives datagrams between limiters. It identifies limiters by their source
// addresses, and does not decode the messages.
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
	// maxDatagramBytes is the platform's limit on the size of datagrams between limiters.
	maxDatagramBytes = 256
	// sendQueueLength is the number of datagrams that may be queued for Write. Further datagrams are dropped, because
	// the network may lose datagrams as well.
	sendQueueLength = 256
	// flushTimeout is the time for which Close waits for the queue to be written.
	flushTimeout = 100 * time.Millisecond
	// readRetryInterval is the time from a failed read to the next one.
	readRetryInterval = time.Millisecond
	// unknownLimiter is the sender number of a datagram that is from none of the peers.
	unknownLimiter = -1
)

// A Transport sends and receives the datagrams of one limiter. The owner runs Read and Write, each in its own
// goroutine; both end with Close. The other methods may be called from any goroutine.
type Transport struct {
	conn       *net.UDPConn
	peers      []netip.AddrPort       // indexed by limiter number
	broadcast  netip.AddrPort         // reaches all limiters
	numbers    map[netip.AddrPort]int // limiter number of each peer's address
	queue      chan datagram
	writeEnded chan struct{}    // closed when Write returns
	closed     chan struct{}    // closed by Close
	post       func(core.Event) // called with each datagram received
	log        *zap.Logger

	mu      sync.Mutex
	resumed chan struct{} // closed by Resume; nil while reading is not paused
}

// A datagram is an entry of the send queue.
type datagram struct {
	to   netip.AddrPort
	data []byte
}

// Listen opens a socket and returns a Transport on it. peers has the addresses of the limiters, indexed by limiter
// number; broadcast is an address that reaches all of them. post is called with each datagram received.
func Listen(local netip.AddrPort, peers []netip.AddrPort, broadcast netip.AddrPort, post func(core.Event), log *zap.Logger) (*Transport, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams of peers: %w", err)
	}
	return NewTransport(conn, peers, broadcast, post, log), nil
}

// NewTransport returns a Transport on a socket that is already open; see Listen.
func NewTransport(conn *net.UDPConn, peers []netip.AddrPort, broadcast netip.AddrPort, post func(core.Event), log *zap.Logger) *Transport {
	t := &Transport{
		conn:       conn,
		peers:      peers,
		broadcast:  broadcast,
		numbers:    map[netip.AddrPort]int{},
		queue:      make(chan datagram, sendQueueLength),
		writeEnded: make(chan struct{}),
		closed:     make(chan struct{}),
		post:       post,
		log:        log,
	}
	for number, peer := range peers {
		t.numbers[unmapped(peer)] = number
	}
	return t
}

// unmapped converts an IPv4-mapped IPv6 address to IPv4, so that equal addresses compare equal.
func unmapped(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Socket returns the socket, so that it can be handed over to another process.
func (t *Transport) Socket() *net.UDPConn { return t.conn }

// Pause stops reading until Resume. Datagrams that arrive in the meantime stay in the socket, for the process that
// reads from it next.
func (t *Transport) Pause() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resumed != nil {
		return
	}
	t.resumed = make(chan struct{})
	t.setReadDeadline(time.Unix(1, 0)) // ends a read that is blocked
}

// Resume resumes reading after Pause.
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
	_ = t.conn.SetReadDeadline(deadline) // fails only on a closed socket, on which Read ends
}

// waitForResume waits for Resume or Close if reading is paused.
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
	buffer := make([]byte, maxDatagramBytes+1) // one byte more than allowed, to detect longer datagrams
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			t.waitForResume()
		case err != nil: // for example, an earlier datagram was refused: the next read may succeed
			t.log.Debug("failed to receive a datagram from a peer", zap.Error(err))
			time.Sleep(readRetryInterval) // the error may last for a moment
		default:
			t.post(&core.PeerMessageReceived{From: t.sender(from, n), Data: append([]byte(nil), buffer[:n]...)})
		}
	}
}

// sender returns the number of the limiter that sent a datagram of n bytes. It returns unknownLimiter for any other
// address, and for a datagram that is longer than a limiter's may be.
func (t *Transport) sender(from netip.AddrPort, n int) int {
	number, known := t.numbers[unmapped(from)]
	if !known || n > maxDatagramBytes {
		return unknownLimiter
	}
	return number
}

// Write writes the datagrams that Send has queued, until Close.
func (t *Transport) Write() {
	defer close(t.writeEnded)
	for d := range t.queue {
		if _, err := t.conn.WriteToUDPAddrPort(d.data, d.to); err != nil {
			t.log.Debug("failed to send a datagram to a peer", zap.Error(err))
		}
	}
}

// Send queues a datagram for a limiter, or for all limiters if number is below 0. It does not block: it drops the
// datagram if the queue is full. It must not be called after Close.
func (t *Transport) Send(number int, data []byte) {
	to := t.address(number)
	if !to.IsValid() || len(data) > maxDatagramBytes {
		t.log.Warn("dropped a datagram that is too long or has no valid address", zap.Int("to", number), zap.Int("bytes", len(data)))
		return
	}
	select {
	case t.queue <- datagram{to, data}:
	default:
	}
}

// address returns the destination address for Send; it is invalid if there is none.
func (t *Transport) address(number int) netip.AddrPort {
	switch {
	case number < 0:
		return t.broadcast
	case number < len(t.peers):
		return t.peers[number]
	}
	return netip.AddrPort{}
}

// Close ends Read and Write. Before it closes the socket, it waits up to flushTimeout for the queue to be written: the
// queue may contain the message that this limiter is leaving.
func (t *Transport) Close() error {
	close(t.queue)
	close(t.closed)
	select {
	case <-t.writeEnded:
	case <-time.After(flushTimeout):
	}
	return t.conn.Close()
}
