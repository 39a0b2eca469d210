package httpserver

import (
	"syscall"
	"time"
)

// This file pauses accepting, and hands client connections over to another process for a hot restart.

// pause stops accepting until resume. Connections that arrive in the meantime stay in the kernel's accept queue.
func (s *connSet) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.Listener.(deadlineListener); ok && s.resumed == nil {
		s.resumed = make(chan struct{})
		s.setAcceptDeadline(time.Unix(1, 0))
	}
}

// resume resumes accepting unless Close was called, and ends the handover of connections.
func (s *connSet) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver = nil
	if s.resumed == nil {
		return
	}
	if !s.isStopped() { // after Close, Accept needs the deadline that Close set in order to end
		s.setAcceptDeadline(time.Time{})
	}
	close(s.resumed)
	s.resumed = nil
}

// startHandover starts to hand connections that are between requests over to another process. It interrupts the
// reads that wait for a next request, and each reader then hands its connection over; see tryHandOver.
func (s *connSet) startHandover(handOver func(syscall.Conn) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver = handOver
	for _, c := range s.conns(stateIdle, stateNew) {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

// isHandingOver reports whether startHandover was called, and resume was not called since.
func (s *connSet) isHandingOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handOver != nil
}

// tryHandOver hands the connection over if a handover is in progress and no byte of a next request was read. It blocks
// until handOver returns, and reports whether the connection was handed over.
func (c *clientConn) tryHandOver() bool {
	c.set.mu.Lock()
	handOver := c.set.handOver
	socket, isSocket := c.Conn.(syscall.Conn)
	betweenRequests := c.state == stateIdle || c.state == stateNew
	if handOver == nil || !isSocket || !betweenRequests {
		c.set.mu.Unlock()
		return false
	}
	c.setStateLocked(stateBusy) // prevents eviction during the handover
	c.set.mu.Unlock()
	if err := handOver(socket); err != nil { // this process keeps the connection, and the caller continues to read
		c.setState(stateIdle)
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
		return false
	}
	c.setState(stateClosed)
	return true
}
