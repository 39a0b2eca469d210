// Package peertransport carries datagrams between limiters. It tells them apart by
// their source addresses and reads nothing of what they say.
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
	maxSize = 256 // of a datagram; a longer one breaks the platform's rule
	waiting = 256 // datagrams that may wait to be written; more are lost, as on the way
)

// flushWithin bounds how long Close waits for what is queued.
const flushWithin = 100 * time.Millisecond

// A Transport is this limiter's end of the way to its peers.
type Transport struct {
	conn    *net.UDPConn
	peers   []netip.AddrPort
	all     netip.AddrPort
	numbers map[netip.AddrPort]int
	queue   chan datagram
	written chan struct{} // closed when Write has ended
	post    func(core.Event)
	log     *zap.Logger

	mu     sync.Mutex
	paused chan struct{} // closed when reading goes on; nil while it does
	closed chan struct{}
}

type datagram struct {
	to   netip.AddrPort
	data []byte
}

// Listen opens the socket. Peers stand in the order of their numbers.
func Listen(at netip.AddrPort, peers []netip.AddrPort, all netip.AddrPort, post func(core.Event), log *zap.Logger) (*Transport, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return NewTransport(conn, peers, all, post, log), nil
}

// NewTransport goes on with a socket that is open.
func NewTransport(conn *net.UDPConn, peers []netip.AddrPort, all netip.AddrPort, post func(core.Event), log *zap.Logger) *Transport {
	l := &Transport{
		conn: conn, peers: peers, all: all, numbers: map[netip.AddrPort]int{},
		queue: make(chan datagram, waiting), written: make(chan struct{}), closed: make(chan struct{}), post: post, log: log,
	}
	for i, p := range peers {
		l.numbers[plain(p)] = i
	}
	return l
}

// Socket is the socket, for another process to go on with.
func (l *Transport) Socket() *net.UDPConn { return l.conn }

// Pause ends reading until Resume: what comes meanwhile is for who reads next, here or in
// another process.
func (l *Transport) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused == nil {
		l.paused = make(chan struct{})
		l.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Resume goes on reading.
func (l *Transport) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused != nil {
		l.conn.SetReadDeadline(time.Time{})
		close(l.paused)
		l.paused = nil
	}
}

// rest waits for Resume, or for the link's end.
func (l *Transport) rest() {
	l.mu.Lock()
	paused := l.paused
	l.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-l.closed:
		}
	}
}

// plain makes an IPv4 address equal to itself, however the system writes it.
func plain(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Read posts what comes in until the link is closed.
func (l *Transport) Read() {
	// One byte more than allowed, so that a longer datagram shows.
	buf := make([]byte, maxSize+1)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			l.rest()
			continue
		}
		if err != nil { // such as a refusal that an earlier datagram met: the next read may do
			l.log.Debug("peer datagram", zap.Error(err))
			continue
		}
		number, known := l.numbers[plain(from)]
		if !known || n > maxSize {
			number = -1
		}
		l.post(&core.PeerMessageReceived{From: number, Data: append([]byte(nil), buf[:n]...)})
	}
}

// Write sends what Tell has queued until the link is closed.
func (l *Transport) Write() {
	defer close(l.written)
	for d := range l.queue {
		if _, err := l.conn.WriteToUDPAddrPort(d.data, d.to); err != nil {
			l.log.Debug("peer datagram", zap.Error(err))
		}
	}
}

// Send queues a datagram for a limiter, or for all with a number below 0. It
// never waits: datagrams may be lost anyway.
func (l *Transport) Send(number int, data []byte) {
	var to netip.AddrPort
	switch {
	case number < 0:
		to = l.all
	case number < len(l.peers):
		to = l.peers[number]
	}
	if !to.IsValid() || len(data) > maxSize {
		l.log.Warn("datagram not sent", zap.Int("to", number), zap.Int("bytes", len(data)))
		return
	}
	select {
	case l.queue <- datagram{to, data}:
	default:
	}
}

// Close ends Read and Write. Tell must not be called after it.
func (l *Transport) Close() error {
	close(l.queue)
	close(l.closed)
	select { // what was told last, such as that this limiter leaves, still goes out
	case <-l.written:
	case <-time.After(flushWithin):
	}
	return l.conn.Close()
}
