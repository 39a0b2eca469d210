package httpserver

import (
	"syscall"
	"time"
)

// This file pauses accepting, and moves client connections to another process for a hot restart.

// pause stops accepting until resume. Connections that arrive in the meantime stay in the kernel's accept queue.
func (s *connSet) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.Listener.(deadlineListener); ok && s.resumed == nil {
		s.resumed = make(chan struct{})
		s.setAcceptDeadline(time.Unix(1, 0))
	}
}

// resume resumes accepting unless Close was called, and stops moving connections.
func (s *connSet) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moveConn = nil
	if s.resumed == nil {
		return
	}
	if !s.isStopped() { // after Close, Accept needs the deadline that Close set in order to end
		s.setAcceptDeadline(time.Time{})
	}
	close(s.resumed)
	s.resumed = nil
}

// startMove starts to move connections that are between requests to another process. It interrupts the reads that wait
// for a next request, and each reader then moves its connection; see tryMove.
func (s *connSet) startMove(moveConn func(syscall.Conn) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moveConn = moveConn
	for _, c := range s.conns(stateIdle, stateNew) {
		_ = c.setReadDeadlineLocked(time.Unix(1, 0)) // fails only on a closed connection
	}
}

// isMovingConns reports whether startMove was called, and resume was not called since.
func (s *connSet) isMovingConns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moveConn != nil
}

// tryMove moves the connection to the other process if connections are being moved and no byte of a next request was
// read. It blocks until moveConn returns, and reports whether the connection was moved.
func (c *clientConn) tryMove() bool {
	c.set.mu.Lock()
	moveConn := c.set.moveConn
	socket, isSocket := c.Conn.(syscall.Conn)
	betweenRequests := c.state == stateIdle || c.state == stateNew
	if moveConn == nil || !isSocket || !betweenRequests {
		c.set.mu.Unlock()
		return false
	}
	c.setStateLocked(stateBusy) // prevents eviction while the connection is moved
	c.set.mu.Unlock()
	if err := moveConn(socket); err != nil { // this process keeps the connection, and the caller continues to read
		c.setState(stateIdle)
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
		return false
	}
	c.setState(stateClosed)
	return true
}
