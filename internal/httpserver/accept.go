package httpserver

import (
	"errors"
	"net"
	"os"
	"time"

	"lemongate/internal/acceptretry"
)

// This file accepts new client connections, and makes room for them.

const (
	// newConnTimeout is the longest time that a client usually takes to send its request after it has connected. When
	// the set is full, a new connection that has sent nothing for longer is closed before connections that have
	// been idle for less than minIdleTime.
	newConnTimeout = 100 * time.Millisecond
	// finalAcceptTimeout is the time after Close during which the server still accepts connections that the kernel
	// has already established.
	finalAcceptTimeout = 20 * time.Millisecond
	// acceptErrorInterval is the time between two reports of errors of accept.
	acceptErrorInterval = time.Second
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
			conn := newClientConn(s, accepted, stateRejected)
			s.mu.Unlock()
			s.admitRejected(conn)
			return nil
		}
	}
	conn := newClientConn(s, accepted, state)
	s.add(conn)
	s.mu.Unlock()
	evicted.finish()
	return conn
}

// isFull reports whether a further connection would exceed the limit. Rejected connections do not count. The
// caller holds s.mu.
func (s *connSet) isFull() bool {
	return s.maxConns > 0 && s.open-s.byState[stateRejected].Len() >= s.connLimit()
}
