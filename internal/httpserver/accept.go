package httpserver

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// This file admits new client connections.

const (
	// newConnPatience is how long a client may usually take from its connect to its request. When the set is
	// full, a new connection that has sent nothing for longer is closed before ones that are idle for less
	// than minIdleTime. It is also how long the request of a rejected connection is waited for.
	newConnPatience = 100 * time.Millisecond
	// maxRejected is how many rejected connections may wait for their requests at once.
	maxRejected = 16
	// finalAcceptTimeout is how long after Close connections are accepted that the system has let connect
	// by then.
	finalAcceptTimeout = 20 * time.Millisecond
	// rejectionReadBytes is the size of the reads of what a rejected client sent.
	rejectionReadBytes = 4 << 10
)

// A deadlineListener is a listener whose Accept can be interrupted.
type deadlineListener interface{ SetDeadline(time.Time) error }

// Accept implements net.Listener: it returns the next connection that is not rejected. It may close another
// one for it. After Close it still returns those that the system has let connect by then.
func (s *connSet) Accept() (net.Conn, error) {
	for {
		accepted, err := s.Listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			resumed, stopped := s.waitForResume()
			if resumed {
				continue
			}
			if s.finalAccepts || stopped {
				_ = s.Listener.Close() // Accept ends in any case
				return nil, net.ErrClosed
			}
			s.finalAccepts = true
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

// waitForResume waits for resume or Close if accepting is paused, and reports which of them was called. If
// accepting is not paused, both results are false. After Close in a pause, new connections are those of another process.
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

// setAcceptDeadline sets the deadline of a listener that was interrupted, and so has one.
func (s *connSet) setAcceptDeadline(deadline time.Time) {
	_ = s.Listener.(deadlineListener).SetDeadline(deadline) // fails on a closed listener alone
}

// admit adds a connection in a state, and closes another for it if need be. It returns nil if there is no
// room for it.
func (s *connSet) admit(accepted net.Conn, state connState) *clientConn {
	s.mu.Lock()
	var out evicted
	if s.isFull() {
		out = s.evictLeastUseful()
		if out.clientConn == nil { // all have requests in progress
			state = stateRejected
		}
	}
	conn := newClientConn(s, accepted, state)
	requestCame := state == stateRejected && conn.hasInput()
	if state == stateRejected && !requestCame && s.byState[stateRejected].Len() >= maxRejected {
		out = s.evictLongest(stateRejected, 0)
		if out.clientConn == nil { // the requests of all have come, and they are being notified
			s.mu.Unlock()
			_ = accepted.Close() // nothing was sent on it
			s.onRejected(false)
			return nil
		}
	}
	s.add(conn)
	s.mu.Unlock()
	out.finish()
	switch {
	case requestCame: // nothing to wait for
		conn.reject()
	case state == stateRejected:
		go conn.reject()
	default:
		return conn
	}
	return nil
}

// isFull reports whether a further connection would be beyond the bound. Rejected ones do not count. The
// caller holds s.mu.
func (s *connSet) isFull() bool {
	return s.maxConns > 0 && s.open-s.byState[stateRejected].Len() >= s.bound()
}

// reject closes a new connection for which there is no room. Once its request comes, it is answered with 429,
// and what the client sent is read, as a close over that would be a reset. It ends within the set's patience
// and the timeout of a write.
func (c *clientConn) reject() {
	_ = c.SetReadDeadline(time.Now().Add(c.set.patience)) // fails on a closed connection alone
	notified := false
	if c.readRequestStart() {
		_, err := c.Write(c.set.rejection)
		notified = err == nil // else another new connection took its place
	}
	_ = c.Close() // of no further use
	c.set.onRejected(notified)
}

// readRequestStart waits for the first bytes of a request, reads what has come, and reports whether anything
// has.
func (c *clientConn) readRequestStart() bool {
	var buffer [rejectionReadBytes]byte
	n, _ := c.Conn.Read(buffer[:]) // an error is as good as nothing
	came := n > 0
	if c.raw == nil {
		return came
	}
	_ = c.raw.Control(func(fd uintptr) { // also what came while the limiter was suspended
		for {
			n, _ := syscall.Read(int(fd), buffer[:])
			if n <= 0 {
				return
			}
			came = true
		}
	})
	return came
}
