package httpserver

import (
	"container/list"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/rawread"
)

// writeTimeout is the timeout of a write to a client that does not read.
const writeTimeout = 10 * time.Second

// A clientConn is a client connection and its state.
type clientConn struct {
	net.Conn
	set *connSet
	raw syscall.RawConn // nil if the connection is not a socket

	unseen chan struct{} // receives when isUnseen is set; has room for one

	// set.mu guards the fields below.
	state            connState
	since            time.Time     // when the connection entered the state
	element          *list.Element // in the list of connections in this state
	requestStartedAt time.Time     // start of the time for the next request: connect, last response or its first byte
	rejectionSent    bool          // a response to a rejected connection was written
	hasRequestBytes  bool          // part of the next request was read
	input            inputBuffer   // for the next reads of net/http
	inputFault       *requestFault // fault of the present request that was found before net/http had its head; nil for none
	charged          int           // bytes of requests and responses that count as memory of this connection
	writingSince     time.Time     // start of the write in progress; zero for none
	readDeadline     time.Time     // of reads; zero for none
	pacer            replyPacer
	readsMore        bool  // more than one request may be read at once, as the last response came from a backend
	isWatched        bool  // input behind the request in progress is read ahead, to see its client disconnect
	isUnseen         bool  // not all input behind the request in progress is read ahead, and a close would not be seen
	readErr          error // of the last read that failed
	readerBlocked    bool  // net/http is waiting at the socket for more bytes, so it has no complete request
}

// newClientConn returns a connection that is not yet in the set. The caller holds set.mu.
func newClientConn(set *connSet, accepted net.Conn, state connState) *clientConn {
	now := set.now()
	c := &clientConn{Conn: accepted, set: set, state: state, since: now, requestStartedAt: now, unseen: make(chan struct{}, 1)}
	if socket, ok := accepted.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn() // nil for a connection that is already closed
	}
	return c
}

// setState sets the state of the connection unless the connection is closed, and returns the previous state.
func (c *clientConn) setState(state connState) (previous connState) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	return c.setStateLocked(state)
}

// setStateLocked is setState for a caller that holds set.mu.
func (c *clientConn) setStateLocked(state connState) (previous connState) {
	previous = c.state
	if previous == stateClosed || previous == state {
		return previous
	}
	c.set.byState[previous].Remove(c.element)
	if state == stateClosed {
		c.charge(-c.charged)
		c.stopWaitingForMemory()
	}
	c.state, c.since = state, c.set.now()
	if state == stateClosed {
		c.set.open--
		return previous
	}
	c.element = c.set.byState[state].PushBack(c)
	return previous
}

// SetReadDeadline implements net.Conn.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	return c.setReadDeadlineLocked(deadline)
}

// setReadDeadlineLocked is SetReadDeadline for a caller that holds set.mu.
func (c *clientConn) setReadDeadlineLocked(deadline time.Time) error {
	c.readDeadline = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// startServing records that a request was read completely, and reports whether to serve it: a request on a closed
// connection is not served.
func (c *clientConn) startServing() bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.hasRequestBytes = false
	return c.setStateLocked(stateBusy) != stateClosed
}

// requestDone records that a request was answered. Part of the next request may already have been read.
func (c *clientConn) requestDone() {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.requestStartedAt = c.set.now()
	c.isWatched, c.isUnseen = false, false
	c.refundRequest()
	select {
	case <-c.unseen:
	default:
	}
	c.setStateLocked(stateReading)
}

// hasInput reports whether the socket has bytes to read. The end of the stream does not count. The caller holds
// set.mu.
func (c *clientConn) hasInput() bool {
	if c.raw == nil {
		return false
	}
	n := 0
	_ = c.raw.Control(func(fd uintptr) { n, _ = rawread.Peek(fd) }) // fails on a closed socket, which has no input
	return n > 0
}

// Write implements net.Conn. It sets a timeout: a client that does not read would otherwise keep its connection and
// the memory of the response indefinitely. In stateClosed it fails, because net/http treats a read that was interrupted
// as a malformed request and would answer it.
func (c *clientConn) Write(p []byte) (int, error) {
	now := c.set.now()
	if !c.startWriting(now) {
		return 0, net.ErrClosed
	}
	_ = c.SetWriteDeadline(now.Add(writeTimeout)) // if this fails, the write fails too
	n, err := c.Conn.Write(p)
	c.set.mu.Lock()
	c.writingSince = time.Time{}
	c.set.mu.Unlock()
	return n, err
}

// startWriting records the start of a write, and reports whether the connection is open.
func (c *clientConn) startWriting(now time.Time) bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.writingSince = now
	return c.state != stateClosed
}

// CloseWrite closes the sending side. net/http calls it half a second before Close, so that the client can read its
// last response.
func (c *clientConn) CloseWrite() error {
	previous := c.setState(stateLingering)
	if previous == stateReading { // net/http has answered a request that it could not parse
		c.set.onClosed(previous, core.CloseUnparsable)
	}
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// endReason returns the reason for which the connection ends before a complete request was read.
func (c *clientConn) endReason() core.CloseReason {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	switch {
	case c.readErr == nil:
		return core.CloseUnparsable
	case errors.Is(c.readErr, os.ErrDeadlineExceeded):
		return core.CloseTimeout
	}
	return core.CloseByClient
}

// Close implements net.Conn. It reports a connection that is closed before a complete request was read.
func (c *clientConn) Close() error {
	previous := c.setState(stateClosed)
	if previous == stateNew || previous == stateReading {
		c.set.onClosed(previous, c.endReason())
	}
	return c.Conn.Close()
}
