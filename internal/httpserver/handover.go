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

// resume goes on accepting, unless Close was called, and ends handing over.
func (s *connSet) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver = nil
	if s.resumed == nil {
		return
	}
	if !s.isStopped() { // else Accept needs the deadline of Close to end
		s.setAcceptDeadline(time.Time{})
	}
	close(s.resumed)
	s.resumed = nil
}

// startHandover begins to hand connections between requests over to another process. It interrupts the reads
// that wait for a next request, and each reader hands its connection over, see tryHandOver.
func (s *connSet) startHandover(handOver func(syscall.Conn) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver = handOver
	for _, c := range s.conns(stateIdle, stateNew) {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails on a closed connection alone
	}
}

// isHandingOver reports whether connections are handed over between startHandover and resume.
func (s *connSet) isHandingOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handOver != nil
}

// tryHandOver hands the connection over if connections are handed over and nothing of a next request was read,
// and reports whether it did. It waits for the other process.
func (c *clientConn) tryHandOver() bool {
	c.set.mu.Lock()
	handOver := c.set.handOver
	socket, isSocket := c.Conn.(syscall.Conn)
	between := c.state == stateIdle || c.state == stateNew
	if handOver == nil || !isSocket || !between {
		c.set.mu.Unlock()
		return false
	}
	c.setStateLocked(stateBusy) // it is not closed for another meanwhile
	c.set.mu.Unlock()
	if err := handOver(socket); err != nil { // it stays; the caller's reads go on
		c.setState(stateIdle)
		_ = c.SetReadDeadline(time.Time{}) // fails on a closed connection alone
		return false
	}
	c.setState(stateClosed)
	return true
}
