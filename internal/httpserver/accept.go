package httpserver

import (
	"errors"
	"net"
	"os"
	"time"

	"lemongate/internal/acceptretry"
	"lemongate/internal/core"
	"lemongate/internal/rawread"
)

// This file accepts and rejects new client connections.

const (
	// newConnTimeout is the longest time that a client usually takes to send its request after it has connected. When
	// the set is full, a new connection that has sent nothing for longer is closed before connections that have
	// been idle for less than minIdleTime. It is also the time to wait for the request of a rejected connection.
	newConnTimeout = 100 * time.Millisecond
	// maxRejectedConns is the maximum number of rejected connections that wait for their requests at once.
	maxRejectedConns = 48
	// finalAcceptTimeout is the time after Close during which the server still accepts connections that the kernel
	// has already established.
	finalAcceptTimeout = 20 * time.Millisecond
	// rejectionLingerTime is how long a rejected connection stays open for the rest of its request.
	rejectionLingerTime = 500 * time.Millisecond
	// acceptErrorInterval is the time between two reports of errors of accept.
	acceptErrorInterval = time.Second
	// rejectionReadBytes is the buffer size for reading what a rejected client has sent.
	rejectionReadBytes = guaranteedMemory
)

// A deadlineListener is a listener whose Accept can be interrupted.
type deadlineListener interface{ SetDeadline(time.Time) error }

// Accept implements net.Listener. It returns the next connection that is not rejected, and may close another
// connection to make room for it. After Close it still returns the connections that the kernel has established by then.
func (s *connSet) Accept() (net.Conn, error) {
	for {
		accepted, err := acceptretry.Accept(s.Listener, s.onAcceptError)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			resumed, stopped := s.waitForResume()
			if resumed {
				continue
			}
			if s.finalAcceptStarted || stopped {
				_ = s.Listener.Close() // Accept ends even if this fails
				return nil, net.ErrClosed
			}
			s.finalAcceptStarted = true
			s.setAcceptDeadline(time.Now().Add(finalAcceptTimeout))
		case err != nil:
			return nil, err
		default:
			if conn := s.admit(accepted, stateNew); conn != nil {
				return conn, nil
			}
		}
	}
}

// onAcceptError closes a connection of no use if resources are short, and reports the error, once per acceptErrorInterval.
func (s *connSet) onAcceptError(err error) {
	s.mu.Lock()
	var evicted evictedConn
	if acceptretry.IsShortage(err) {
		evicted = s.evictFirst(uselessConns)
	}
	report := s.acceptErrorAt.IsZero() || s.now().Sub(s.acceptErrorAt) >= acceptErrorInterval
	if report {
		s.acceptErrorAt = s.now()
	}
	s.mu.Unlock()
	evicted.finish()
	if report {
		s.reportError(err)
	}
}

// waitForResume waits for resume or Close if accepting is paused, and reports which of them was called. If accepting
// is not paused, both results are false. After a Close during a pause, the other process accepts new connections.
func (s *connSet) waitForResume() (resumed, stopped bool) {
	s.mu.Lock()
	resume := s.resumed
	s.mu.Unlock()
	if resume == nil {
		return false, false
	}
	select {
	case <-resume:
		return true, false
	case <-s.stopped:
		return false, true
	}
}

// setAcceptDeadline sets the deadline of Accept. It is called only if the listener is a deadlineListener: after pause
// has checked that, or after Accept was interrupted by a deadline.
func (s *connSet) setAcceptDeadline(deadline time.Time) {
	_ = s.Listener.(deadlineListener).SetDeadline(deadline) // fails only on a closed listener
}

// admit adds a connection in the given state, and closes another connection to make room if the set is full. It
// returns nil if the connection has to show first that its client has sent a request; see awaitRequest.
func (s *connSet) admit(accepted net.Conn, state connState) *clientConn {
	s.mu.Lock()
	var evicted evictedConn
	if s.isFull() {
		evicted = s.evictFirst(uselessConns)
		if evicted.clientConn == nil { // no connection may be closed for one of which no request is known
			state = stateRejected
		}
	}
	conn := newClientConn(s, accepted, state)
	requestReceived := state == stateRejected && conn.hasInput()
	if state == stateRejected && !requestReceived && s.byState[stateRejected].Len() >= maxRejectedConns {
		evicted = s.evictLongest(stateRejected, 0)
		if evicted.clientConn == nil { // every rejected client has sent its request and is being answered
			s.mu.Unlock()
			_ = accepted.Close() // nothing was sent on it
			s.onRejected(false)
			return nil
		}
	}
	s.add(conn)
	s.mu.Unlock()
	evicted.finish()
	switch {
	case requestReceived: // awaitRequest does not have to wait
		conn.awaitRequest()
	case state == stateRejected:
		go conn.awaitRequest()
	default:
		return conn
	}
	return nil
}

// isFull reports whether a further connection would exceed the limit. Rejected connections do not count. The
// caller holds s.mu.
func (s *connSet) isFull() bool {
	return s.maxConns > 0 && s.open-s.byState[stateRejected].Len() >= s.connLimit()
}

// awaitRequest waits for the request of a new connection for which there is no room. If a complete request arrives, and
// another connection may be closed for it, the connection is served. Otherwise awaitRequest answers the request with 429 and
// closes the connection. It reads what the client has sent, because closing a socket with unread input resets the connection.
// It ends within the set's rejectionTimeout plus the timeout of a write.
func (c *clientConn) awaitRequest() {
	_ = c.SetReadDeadline(time.Now().Add(c.set.rejectionTimeout)) // fails only on a closed connection
	notified := false
	if c.readRequestStart() {
		if c.displaceOther() {
			c.set.serve(c)
			return
		}
		_, err := c.Write(c.set.rejection)
		notified = err == nil // the write fails if the connection was closed for another new one
	}
	c.set.onRejected(notified)
	if notified && !c.hasWholeRequest() {
		go c.lingerRejected() // ends within rejectionLingerTime
		return
	}
	_ = c.Close() // an error has no consequence here
}

// hasWholeRequest reports whether the next request was received completely.
func (c *clientConn) hasWholeRequest() bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	return c.input.hasWholeRequest()
}

// lingerRejected closes a connection whose client was told that there is no room, once the client has closed it or sent the
// rest of its request: a close over unread input would reset the connection, and the client might not read the response.
func (c *clientConn) lingerRejected() {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = conn.CloseWrite() // the response was written
	}
	_ = c.SetReadDeadline(time.Now().Add(rejectionLingerTime)) // fails only on a closed connection
	var discarded [rejectionReadBytes]byte
	for err := error(nil); err == nil; {
		_, err = c.Conn.Read(discarded[:])
	}
	_ = c.Close() // an error has no consequence here
}

// displaceOther closes another connection for this one, which is beyond the limit, if a complete request was received here.
// It reports whether this connection is to be served.
func (c *clientConn) displaceOther() bool {
	c.set.mu.Lock()
	if c.state != stateRejected || !c.input.hasWholeRequest() {
		c.set.mu.Unlock()
		return false
	}
	var evicted evictedConn
	if c.set.isFull() {
		evicted = c.set.evictFirst(connsWithoutRequest)
		if evicted.clientConn == nil {
			evicted = c.set.evictStuckWriter(core.CloseUnreadResponse)
		}
		if evicted.clientConn == nil {
			c.set.mu.Unlock()
			return false
		}
	}
	c.setStateLocked(stateReading)
	c.hasRequestBytes = true
	c.charge(len(c.input.buffered))
	_ = c.setReadDeadlineLocked(time.Time{}) // fails only on a closed connection
	c.set.mu.Unlock()
	evicted.finish()
	return true
}

// readRequestStart waits for the first bytes of a request, reads all input that has arrived, and reports whether there was
// any. It buffers rejectionReadBytes of it at most.
func (c *clientConn) readRequestStart() bool {
	var buffer [rejectionReadBytes]byte
	n, _ := c.Conn.Read(buffer[:]) // an error counts as no input
	received := n > 0
	buffered := n
	if c.raw != nil {
		_ = c.raw.Control(func(fd uintptr) { // also reads input that arrived while the process was suspended
			for {
				into := buffer[:]
				if buffered < len(buffer) {
					into = buffer[buffered:]
				}
				n, _ := rawread.Nonblocking(fd, into)
				if n <= 0 {
					return
				}
				received = true
				buffered += n
			}
		})
	}
	if buffered <= len(buffer) { // otherwise some of it was overwritten
		c.set.mu.Lock()
		c.input.add(buffer[:buffered])
		c.set.mu.Unlock()
	}
	return received
}
