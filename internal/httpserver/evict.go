package httpserver

import "time"

// This file evicts client connections: it closes some for new ones where the set is full, and idle ones
// where it is crowded.

const (
	// minIdleTime is after how long an idle connection is closed while the set is crowded, and after how
	// long it is among the first to be closed when the set is full.
	minIdleTime = 2 * time.Second
	// stuckReadingTime is after how long a connection in stateReading counts as stuck, as clients send a
	// request in one piece.
	stuckReadingTime = time.Second
	// sweepInterval is how often idle connections are closed while the set is crowded.
	sweepInterval = 500 * time.Millisecond
	// crowdedFraction is the fraction of the bound above which the set is crowded. Some clients send one
	// request and keep their connection for good, and clients that have no descriptor left cannot send any.
	crowdedFraction = 0.25
)

// An evicted connection is in stateClosed, but its socket is open until finish closes it, which waits for the
// reader and so is called without the set's mu. The zero value means that none was evicted.
type evicted struct {
	*clientConn
	was connState // the state from which it was evicted
}

// finish closes the socket and reports the connection as closed.
func (e evicted) finish() {
	if e.clientConn == nil {
		return
	}
	_ = e.Conn.Close()          // the connection has ended in any case
	if e.was != stateRejected { // reject reports those
		e.set.onClosed(e.was)
	}
}

// evictLeastUseful closes the first connection that it finds, in this order: one that lingers; one idle for
// minIdleTime; a new one that has sent nothing for newConnPatience; one stuck in the middle of a request; any
// idle one, as its client repeats a request that crosses the close; any new one that has sent nothing. A
// connection with a request in progress is never closed, nor one with a request of which a part was read, if
// that is not stuck. The caller holds s.mu.
func (s *connSet) evictLeastUseful() evicted {
	for _, candidates := range []struct {
		state   connState
		minTime time.Duration
	}{
		{stateLingering, 0},
		{stateIdle, minIdleTime},
		{stateNew, newConnPatience},
		{stateReading, stuckReadingTime},
		{stateIdle, 0},
		{stateNew, 0},
	} {
		if out := s.evictLongest(candidates.state, candidates.minTime); out.clientConn != nil {
			return out
		}
	}
	return evicted{}
}

// evictLongest evicts, of the connections that have been in a state for minTime at least, the one that has
// been in it for longest and may be evicted. The caller holds s.mu.
func (s *connSet) evictLongest(state connState, minTime time.Duration) evicted {
	for e := s.byState[state].Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		if s.now().Sub(c.since) < minTime {
			break
		}
		if !c.mayEvict() {
			continue
		}
		c.setStateLocked(stateClosed)
		return evicted{c, state}
	}
	return evicted{}
}

// mayEvict reports whether a connection may be evicted from its state. If a part of a request waits in its
// socket it may not: a limiter that was suspended finds requests there that came meanwhile. The caller holds
// set.mu.
func (c *clientConn) mayEvict() bool {
	switch c.state {
	case stateLingering:
		return true
	case stateReading:
		return c.readerWaits && !c.hasInput()
	}
	return !c.hasInput()
}

// sweep closes connections that have been idle for minIdleTime until the set is no longer crowded.
func (s *connSet) sweep() {
	for {
		s.mu.Lock()
		var out evicted
		if s.isCrowded() {
			out = s.evictLongest(stateIdle, minIdleTime)
		}
		s.mu.Unlock()
		if out.clientConn == nil {
			return
		}
		out.finish()
	}
}

// isCrowded reports whether more than crowdedFraction of the bound is open. The caller holds s.mu.
func (s *connSet) isCrowded() bool {
	return s.maxConns > 0 && float64(s.open) > crowdedFraction*float64(s.bound())
}

// sweepUntilClosed sweeps until Close.
func (s *connSet) sweepUntilClosed() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-ticker.C:
			s.sweep()
		}
	}
}
