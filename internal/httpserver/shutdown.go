package httpserver

import "time"

// This file stops accepting, and closes client connections for a shutdown.

// Close stops accepting and sweeping; open connections stay open.
func (s *connSet) Close() error {
	s.stopOnce.Do(func() { close(s.stopped) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if listener, ok := s.Listener.(deadlineListener); ok {
		return listener.SetDeadline(time.Unix(1, 0)) // Accept closes the listener once no connection is queued
	}
	return s.Listener.Close()
}

// isStopped reports whether Close was called.
func (s *connSet) isStopped() bool {
	select {
	case <-s.stopped:
		return true
	default:
		return false
	}
}

// drain closes all connections that are between requests, now and as they become idle. If the socket of a connection
// already has the next request, that request is answered first.
func (s *connSet) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for {
		s.mu.Lock()
		evicted := s.evictLongest(stateIdle, 0)
		s.mu.Unlock()
		if evicted.clientConn == nil {
			return
		}
		_ = evicted.Conn.Close() // the connection has ended even if this fails
	}
}

// stopReading stops reading requests, and closes the connections that have no complete request.
func (s *connSet) stopReading() {
	s.mu.Lock()
	s.readsStopped = true
	var incomplete []*clientConn
	for _, c := range s.conns(stateNew, stateIdle, stateReading) {
		if c.state != stateReading || c.readerBlocked {
			incomplete = append(incomplete, c)
		}
	}
	for _, c := range incomplete {
		c.setStateLocked(stateClosed)
	}
	s.mu.Unlock()
	for _, c := range incomplete {
		_ = c.Conn.Close() // the connection has ended even if this fails
	}
}

// requestsInProgress returns the number of connections with a request that was read, or is still being read, and whose
// response is not written yet.
func (s *connSet) requestsInProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byState[stateReading].Len() + s.byState[stateBusy].Len()
}
