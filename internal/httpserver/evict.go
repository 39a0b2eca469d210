package httpserver

import "time"

// This file closes client connections for want of room or of use.

const (
	// minIdleTime is how long a connection may be idle in any case.
	minIdleTime = 2 * time.Second
	// stuckReadingTime is after how long half a request counts as stuck: clients send it in one piece.
	stuckReadingTime = time.Second
	// sweepInterval is how often idle connections are looked through.
	sweepInterval = 500 * time.Millisecond
	// crowdedFraction is the fraction of the bound above which idle connections are closed: some clients
	// send one request and keep their connection for good, and clients that have no descriptor left cannot
	// send any.
	crowdedFraction = 0.25
)

// An evicted connection is closed already for all who hold mu. Its socket is still to be closed by finish,
// which waits for its reader. The zero value is none.
type evicted struct {
	*clientConn
	was connState // before
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

// evictLeastUseful closes the connection of least use: one that only lingers, then one idle for so long that
// it may be closed, one that sent nothing for longer than a usual client, or one stuck in the middle of a
// request. Failing these, an idle one, as its client sends a request that crosses the close once more; then
// the oldest that has sent nothing yet. One with a request that is coming in or in progress is not closed
// for another. The caller holds s.mu.
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

// evictLongest closes the connection that has been in a state for longest, if for minTime at least and if no
// part of a request waits in its socket: a limiter that was suspended finds requests there that came
// meanwhile. The caller holds s.mu.
func (s *connSet) evictLongest(state connState, minTime time.Duration) evicted {
	for e := s.byState[state].Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		if s.now().Sub(c.since) < minTime {
			break
		}
		if !c.mayEvict() {
			continue
		}
		c.move(stateClosed)
		return evicted{c, state}
	}
	return evicted{}
}

// mayEvict reports whether a connection may be closed in its state. The caller holds set.mu.
func (c *clientConn) mayEvict() bool {
	switch c.state {
	case stateLingering:
		return true
	case stateReading:
		return c.readerWaits && !c.hasInput()
	}
	return !c.hasInput()
}

// sweep closes connections that are idle for long while many are open.
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

// isCrowded reports whether so many connections are open that idle ones are closed. The caller holds s.mu.
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
