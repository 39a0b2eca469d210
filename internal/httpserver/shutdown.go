package httpserver

import "time"

// This file ends accepting, and closes client connections for a shutdown.

// Close ends accepting and sweeping; open connections go on.
func (s *connSet) Close() error {
	s.stopOnce.Do(func() { close(s.stopped) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if listener, ok := s.Listener.(deadlineListener); ok {
		return listener.SetDeadline(time.Unix(1, 0)) // Accept closes the listener, once nobody waits there
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

// drain closes all connections between requests, now and as they become idle. If the next request waits in
// a socket, that is answered first.
func (s *connSet) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for {
		s.mu.Lock()
		out := s.evictLongest(stateIdle, 0)
		s.mu.Unlock()
		if out.clientConn == nil {
			return
		}
		_ = out.Conn.Close() // the connection has ended in any case
	}
}

// stopReading ends reading of requests, and closes the connections on which none is complete.
func (s *connSet) stopReading() {
	s.mu.Lock()
	s.noMoreReads = true
	var incomplete []*clientConn
	for _, c := range s.conns(stateNew, stateIdle, stateReading) {
		if c.state != stateReading || c.readerWaits {
			incomplete = append(incomplete, c)
		}
	}
	for _, c := range incomplete {
		c.setStateLocked(stateClosed)
	}
	s.mu.Unlock()
	for _, c := range incomplete {
		_ = c.Conn.Close() // the connection has ended in any case
	}
}
