package httpserver

import (
	"container/list"
	"net"
	"sync"
	"syscall"
	"time"

	"lemongate/internal/core"
)

// A connState is the state of a client connection.
type connState uint8

const (
	stateNew connState = iota // no byte was received yet
	// In stateReading part of a request was read; or a request was just answered, and it is not known yet whether
	// net/http has read part of the next one.
	stateReading
	stateBusy      // a request is being decided or answered
	statePaced     // between requests: the next one waits unread, as the connection gets local replies too fast
	stateIdle      // between requests: the server waits for the next one
	stateLingering // the last response was sent; the connection is open so that the client can read it
	stateRejected  // new and beyond the limit; its client is notified once its request arrives
	stateClosed
	numStates
)

// String returns the name of the state, which is the same as in release 0.8.0.
func (s connState) String() string {
	return [...]string{"silent", "reading", "busy", "paced", "idle", "ending", "turned", "closed"}[s]
}

// A connSet holds the client connections of a server and their states. As a listener it accepts connections beyond
// its limit: if it stopped accepting there, connections that send nothing would keep regular clients out. Instead it
// closes the least useful connection, and never one with a request in progress.
//
// Choosing a connection and closing it is one step under mu, and so is reading from a connection and changing its
// state. So when a connection is closed to make room for another, either no byte of its next request was read, or it is
// stuck in the middle of a request. A client whose connection is reset can conclude that the limiter has not read a
// complete request that it may have sent last.
type connSet struct {
	net.Listener
	maxConns int // 0 for no limit
	now      func() time.Time
	// onClosed is called for each evicted connection, and for each other connection that is closed in stateNew or
	// stateReading, even if its client has closed it. It is not called for idle connections that net/http's idle
	// timeout or their clients close, nor for connections that drain, stopReading, mustClose or tryMove close.
	onClosed         func(previous connState, reason core.CloseReason)
	serve            func(*clientConn)   // serves a connection that Accept has not returned
	onRejected       func(notified bool) // called for each rejected new connection: whether its client was notified
	reportError      func(error)         // called with errors of accept after which accepting goes on
	rejection        []byte              // the response to the request of a rejected connection
	rejectionTimeout time.Duration       // time to wait for that request
	stopped          chan struct{}       // closed by Close
	stopOnce         sync.Once

	// finalAcceptStarted is set once Accept has set the deadline finalAcceptTimeout after Close. No lock guards it: only
	// Accept uses it, and only net/http's accept loop calls Accept. It keeps its value between the calls; otherwise each
	// connection that arrives within finalAcceptTimeout would restart that time.
	finalAcceptStarted bool

	mu            sync.Mutex
	acceptErrorAt time.Time            // when an error of accept was reported last
	byState       [numStates]list.List // of *clientConn, longest in the state first
	open          int                  // number of connections in byState, rejected ones included
	// resourceFraction is the fraction of maxConns that may be open while another process has the rest. It is copied from
	// Server.resourceFraction.
	resourceFraction float64
	resumed          chan struct{} // closed by resume; nil while accepting is not paused
	scratch          [4 << 10]byte // buffer for reading ahead
	memory           sharedMemory
	localReplies     replyPacer // of all connections
	draining         bool       // a connection that becomes idle is closed
	readsStopped     bool       // incomplete requests are not read any further

	// moveConn moves an idle connection to another process; nil while no connections are being moved.
	moveConn func(syscall.Conn) error
}

func newConnSet(listener net.Listener, maxConns int, now func() time.Time) *connSet {
	return &connSet{
		Listener: listener, maxConns: maxConns, now: now,
		rejectionTimeout: maxRequestWait, stopped: make(chan struct{}), resourceFraction: 1,
		memory: sharedMemory{waiting: map[*clientConn]chan struct{}{}},
	}
}

// connLimit returns the number of connections that may be open now. The caller holds s.mu.
func (s *connSet) connLimit() int { return max(int(float64(s.maxConns)*s.resourceFraction), 1) }

// setResourceFraction sets the fraction of maxConns that may be open.
func (s *connSet) setResourceFraction(fraction float64) {
	s.mu.Lock()
	s.resourceFraction = fraction
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
