package httpserver

import (
	"syscall"
	"time"
)

// This file pauses accepting, and hands client connections over to another process, for a hot restart.

// pause stops accepting until resume. What comes meanwhile waits in the system's queue.
func (s *connSet) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.Listener.(deadlineListener); ok && s.resumed == nil {
		s.resumed = make(chan struct{})
		s.setAcceptDeadline(time.Unix(1, 0))
	}
}

// resume goes on accepting, and keeps the connections here.
func (s *connSet) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver = nil
	if s.resumed == nil {
		return
	}
	s.setAcceptDeadline(time.Time{})
	close(s.resumed)
	s.resumed = nil
}

// startHandover has connections between requests handed over to another process from now on. The read of one that
// waits for its next request is interrupted.
func (s *connSet) startHandover(handOver func(syscall.Conn) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver = handOver
	for _, c := range s.conns(stateIdle, stateNew) {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection alone
	}
}

// isMoving reports whether connections are handed over.
func (s *connSet) isMoving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handOver != nil
}

// moved hands the connection over if connections are handed over and nothing of a request has come, and
// reports whether it has.
func (c *clientConn) moved() bool {
	c.set.mu.Lock()
	handOver := c.set.handOver
	socket, isSocket := c.Conn.(syscall.Conn)
	between := c.state == stateIdle || c.state == stateNew
	if handOver == nil || !isSocket || !between {
		c.set.mu.Unlock()
		return false
	}
	c.move(stateBusy) // it is not closed for another meanwhile
	c.set.mu.Unlock()
	if err := handOver(socket); err != nil { // it stays; the caller's reads go on
		c.enter(stateIdle)
		_ = c.SetReadDeadline(time.Time{}) // fails on a closed connection alone
		return false
	}
	c.enter(stateClosed)
	return true
}
