package httpserver

import (
	"slices"
	"time"

	"lemongate/internal/core"
)

// This file evicts client connections: it closes connections to make room for new ones when the set is full, and
// idle connections when the set is crowded.

const (
	// minIdleTime is the idle time after which a connection is closed while the set is crowded, and after which it
	// is among the first to be closed when the set is full.
	minIdleTime = 2 * time.Second
	// stuckReadingTime is the time after which a connection in stateReading counts as stuck: clients send a request
	// in one piece.
	stuckReadingTime = time.Second
	// sweepInterval is the interval at which idle connections are closed while the set is crowded.
	sweepInterval = 500 * time.Millisecond
	// crowdedFraction is the fraction of the limit above which the set is crowded. It is well below 1 because idle
	// connections also cost the clients: some clients send one request and keep the connection open indefinitely, and
	// once they have no file descriptors left, they cannot send further requests.
	crowdedFraction = 0.25
)

// An evictedConn is a connection in stateClosed whose socket is open until finish closes it. Closing the socket waits
// for a read in progress, which may need the set's mu, so finish must be called without holding mu. The zero value means
// that no connection was evicted.
type evictedConn struct {
	*clientConn
	previous connState // the state before the eviction
	reason   core.CloseReason
}

// finish closes the socket and reports the connection as closed.
func (e evictedConn) finish() {
	if e.clientConn == nil {
		return
	}
	_ = e.Conn.Close()               // the connection has ended even if this fails
	if e.previous != stateRejected { // reject reports rejected connections
		e.set.onClosed(e.previous, e.reason)
	}
}

// evictionReason returns the reason for which a connection was evicted from a state.
func evictionReason(previous connState) core.CloseReason {
	switch previous {
	case stateNew:
		return core.CloseSilent
	case stateReading:
		return core.CloseIncomplete
	case stateLingering:
		return core.CloseLingering
	case statePaced:
		return core.ClosePaced
	}
	return core.CloseIdle
}

// An evictionRule names connections that may be evicted: those that have been in a state for a time.
type evictionRule struct {
	state   connState
	minTime time.Duration
}

// None of these rules names a connection with a request in progress.
var (
	// uselessConns are evicted for any new connection: lingering ones; those that have been idle for minIdleTime; new ones
	// that have sent nothing for newConnTimeout; those that are stuck in the middle of a request.
	uselessConns = []evictionRule{
		{stateLingering, 0}, {stateIdle, minIdleTime}, {stateNew, newConnTimeout}, {stateReading, stuckReadingTime},
	}
	// connsWithoutRequest are evicted for a new connection of which a complete request was received: also those that wait
	// for the rest of a request for newConnTimeout, paced ones, any idle one, because its client can resend a request that it
	// sent just before the close, and new ones that have sent nothing for minRequestWait.
	connsWithoutRequest = append(slices.Clip(uselessConns),
		evictionRule{stateReading, newConnTimeout}, evictionRule{statePaced, 0}, evictionRule{stateIdle, 0}, evictionRule{stateNew, minRequestWait})
)

// evictFirst evicts the first connection that it finds by the rules, in their order. The caller holds s.mu.
func (s *connSet) evictFirst(rules []evictionRule) evictedConn {
	for _, rule := range rules {
		if evicted := s.evictLongest(rule.state, rule.minTime); evicted.clientConn != nil {
			return evicted
		}
	}
	return evictedConn{}
}

// evictLongest evicts the connection that has been in the given state longest, of those that have been in it for at
// least minTime and may be evicted. The caller holds s.mu.
func (s *connSet) evictLongest(state connState, minTime time.Duration) evictedConn {
	for e := s.byState[state].Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		if s.now().Sub(c.since) < minTime {
			break
		}
		if !c.mayEvict() {
			continue
		}
		c.setStateLocked(stateClosed)
		return evictedConn{c, state, evictionReason(state)}
	}
	return evictedConn{}
}

// mayEvict reports whether a connection in its current state may be evicted. Except when it lingers or is paced, a connection
// with input in its socket may not: after a process was suspended, sockets hold requests that arrived in the meantime. The
// caller holds set.mu.
func (c *clientConn) mayEvict() bool {
	switch c.state {
	case stateLingering:
		return true
	case statePaced:
		return len(c.input.buffered) == 0
	case stateReading:
		return c.readerBlocked && !c.hasInput()
	}
	return !c.hasInput()
}

// sweep closes connections that have been idle for minIdleTime until the set is no longer crowded.
func (s *connSet) sweep() {
	for {
		s.mu.Lock()
		var evicted evictedConn
		if s.isCrowded() {
			evicted = s.evictLongest(stateIdle, minIdleTime)
		}
		s.mu.Unlock()
		if evicted.clientConn == nil {
			return
		}
		evicted.finish()
	}
}

// isCrowded reports whether more connections are open than crowdedFraction of the limit. The caller holds s.mu.
func (s *connSet) isCrowded() bool {
	return s.maxConns > 0 && float64(s.open) > crowdedFraction*float64(s.connLimit())
}

// sweepUntilClosed calls sweep every sweepInterval until Close.
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
