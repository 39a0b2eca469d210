package httpserver

import (
	"container/list"
	"net"
	"sync"
	"syscall"
	"time"
)

// A connState is the state of a client connection.
type connState uint8

const (
	stateNew       connState = iota // no byte was received yet
	stateReading                    // part of a request was read; or a request was just answered, and whether net/http has read beyond it is not known yet
	stateBusy                       // a request is being decided or answered
	stateIdle                       // between requests: the server waits for the next one
	stateLingering                  // the last response was sent; open so that the client can read it
	stateRejected                   // new and beyond the limit; its client is notified once its request arrives
	stateClosed
	numStates
)

// String returns the name that release 0.8.0 has for the state.
func (s connState) String() string {
	return [...]string{"silent", "reading", "busy", "idle", "ending", "turned", "closed"}[s]
}

// A connSet holds the client connections of a server and their states. As a listener it accepts connections beyond
// its limit: if it stopped accepting there, connections that send nothing would keep regular clients out. Instead it
// closes the least useful connection, and never one with a request in progress.
//
// Choosing a connection and closing it is one step under mu, and so is reading from a connection and changing its
// state. So when a connection is closed for another, either no byte of its next request was read, or it is stuck in
// the middle of a request. A reset tells its client that the limiter has not read what the client may have sent.
type connSet struct {
	net.Listener
	maxConns int // 0 for no limit
	now      func() time.Time
	// onClosed is called for each evicted connection, and for each other connection that is closed in stateNew or
	// stateReading, even if its client has closed it. It is not called for idle connections that net/http's idle
	// timeout or their clients close, nor for connections that drain, stopReading, mustClose or tryHandOver close.
	onClosed         func(previous connState)
	onRejected       func(notified bool) // called for each rejected new connection: whether its client was notified
	rejection        []byte              // the response to the request of a rejected connection
	rejectionTimeout time.Duration       // time to wait for that request
	stopped          chan struct{}       // closed by Close
	stopOnce         sync.Once

	// finalAcceptStarted is set once Accept has started finalAcceptTimeout after Close. Only Accept uses it,
	// which only net/http's accept loop calls. It keeps its value between the calls; otherwise each connection that
	// arrives within finalAcceptTimeout would restart that time.
	finalAcceptStarted bool

	mu            sync.Mutex
	byState       [numStates]list.List // of *clientConn, longest in the state first
	open          int
	resourceShare float64       // fraction of maxConns that may be open while another process has the rest; copied from Server.resourceShare
	resumed       chan struct{} // closed by resume; nil while accepting is not paused
	scratch       [4 << 10]byte // buffer for reading ahead
	draining      bool          // a connection that becomes idle is closed
	readsStopped  bool          // incomplete requests are not read any further

	// handOver hands an idle connection over to another process; nil while connections are not handed over.
	handOver func(syscall.Conn) error
}

func newConnSet(listener net.Listener, maxConns int, now func() time.Time) *connSet {
	return &connSet{
		Listener: listener, maxConns: maxConns, now: now,
		rejectionTimeout: newConnTimeout, stopped: make(chan struct{}), resourceShare: 1,
	}
}

// connLimit returns the number of connections that may be open now. The caller holds s.mu.
func (s *connSet) connLimit() int { return max(int(float64(s.maxConns)*s.resourceShare), 1) }

// setResourceShare sets the fraction of maxConns that may be open.
func (s *connSet) setResourceShare(fraction float64) {
	s.mu.Lock()
	s.resourceShare = fraction
	s.mu.Unlock()
}

func (s *connSet) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// add adds a connection to the list of its state. The caller holds s.mu.
func (s *connSet) add(c *clientConn) {
	c.element = s.byState[c.state].PushBack(c)
	s.open++
}

// conns returns the connections in the given states. The caller holds s.mu.
func (s *connSet) conns(states ...connState) []*clientConn {
	var conns []*clientConn
	for _, state := range states {
		for e := s.byState[state].Front(); e != nil; e = e.Next() {
			conns = append(conns, e.Value.(*clientConn))
		}
	}
	return conns
}
