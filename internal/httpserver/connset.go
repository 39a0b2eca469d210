package httpserver

import (
	"container/list"
	"net"
	"sync"
	"syscall"
	"time"
)

// A connState is a stage in the life of a client connection.
type connState uint8

const (
	stateNew       connState = iota // no byte came yet
	stateReading                    // a part of a request was read; or one was just answered, and what net/http may have read behind it was not looked at yet
	stateBusy                       // a request is being decided or answered
	stateIdle                       // between requests: the next one is waited for
	stateLingering                  // answered for the last time, and open so that the client can read it
	stateRejected                   // new and beyond the bound; its client is notified once its request comes
	stateClosed
	numStates
)

// String returns the state in the words of release 0.8.0.
func (s connState) String() string {
	return [...]string{"silent", "reading", "busy", "idle", "ending", "turned", "closed"}[s]
}

// A connSet has the client connections of a server, and knows what each is doing. As a listener it accepts
// beyond its bound: one that stops there would let connections that send nothing keep the usual clients
// out. Instead it closes the connection of least use, and never one with a request in progress.
//
// Choosing a connection and closing it is one step under mu, and so is reading from one and changing its
// state. So a connection that is closed for another has had no byte of the next request read, or is stuck in
// the middle of one. A reset shows its client that the limiter has not read what it may have sent.
type connSet struct {
	net.Listener
	maxConns int // 0 for no bound
	now      func() time.Time
	// onClosed is called for each evicted connection, and for each other one that is closed in stateNew or
	// stateReading, also if its client has closed it. It is not called for idle connections that net/http's
	// idle timeout or their clients end, nor for those that drain, stopReading, mustClose or tryHandOver ends.
	onClosed   func(was connState)
	onRejected func(notified bool) // a new connection was rejected, and its client notified or not
	rejection  []byte              // the response to the request of a rejected connection
	patience   time.Duration       // how long that request is waited for
	stopped    chan struct{}       // closed by Close
	stopOnce   sync.Once

	// finalAccepts: Close was called, and finalAcceptTimeout runs. Of Accept alone, which net/http's one loop calls:
	// it holds over its calls, or each connection that came in that time would begin it again.
	finalAccepts bool

	mu          sync.Mutex
	byState     [numStates]list.List // of *clientConn, the longest in the state first
	open        int
	share       float64       // fraction of maxConns that may be open, while another process has the rest; Server.share, once there is a connSet
	resumed     chan struct{} // closed by resume; nil while accepting is not paused
	scratch     [4 << 10]byte // to read ahead into
	draining    bool          // a connection that becomes idle is closed
	noMoreReads bool          // nothing more is read of any request that is not complete

	// handOver hands an idle connection over to another process; nil while they stay.
	handOver func(syscall.Conn) error
}

func newConnSet(listener net.Listener, maxConns int, now func() time.Time) *connSet {
	return &connSet{
		Listener: listener, maxConns: maxConns, now: now,
		patience: newConnPatience, stopped: make(chan struct{}), share: 1,
	}
}

// bound returns how many connections may be open now. The caller holds s.mu.
func (s *connSet) bound() int { return max(int(float64(s.maxConns)*s.share), 1) }

// setShare sets which fraction of the bound may be used.
func (s *connSet) setShare(fraction float64) {
	s.mu.Lock()
	s.share = fraction
	s.mu.Unlock()
}

// count returns how many connections are open.
func (s *connSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// add counts a connection in its state. The caller holds s.mu.
func (s *connSet) add(c *clientConn) {
	c.element = s.byState[c.state].PushBack(c)
	s.open++
}

// conns returns the connections in some states. The caller holds s.mu.
func (s *connSet) conns(states ...connState) []*clientConn {
	var conns []*clientConn
	for _, state := range states {
		for e := s.byState[state].Front(); e != nil; e = e.Next() {
			conns = append(conns, e.Value.(*clientConn))
		}
	}
	return conns
}
