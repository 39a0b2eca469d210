package httpserver

import (
	"context"
	"net/http"
	"runtime"
	"time"
)

// This file paces connections on which request after request is answered without a backend. Such requests cost a client
// nothing, and their goroutines would take the processor from those of other clients. A connection has a burst of them, then
// a rate; beyond the burst all connections take turns.

const (
	// localReplyBurst is the number of local replies that a connection gets at once, and localReplyInterval the time in which
	// it gets a further one.
	localReplyBurst    = 20
	localReplyInterval = 5 * time.Millisecond
	// turnInterval is the time between two local replies on connections that have used up their bursts, and maxTurnDelay
	// bounds the time that such a connection waits for its turn: a request on it may be one that is forwarded.
	turnInterval = 500 * time.Microsecond
	maxTurnDelay = 100 * time.Millisecond
)

// A replyPacer spaces the local replies on one connection. Its time lies up to localReplyBurst intervals in the past.
type replyPacer struct {
	nextAt time.Time // when the next local reply is due by the rate
}

// delay records a local reply, and returns how long the connection has to wait after it.
func (p *replyPacer) delay(now time.Time) time.Duration {
	if earliest := now.Add(-localReplyBurst * localReplyInterval); p.nextAt.Before(earliest) {
		p.nextAt = earliest
	}
	p.nextAt = p.nextAt.Add(localReplyInterval)
	return max(p.nextAt.Sub(now), 0)
}

// turnDelay gives the connection the next turn of those that have used up their bursts, and returns how long that is away. The
// caller holds s.mu.
func (s *connSet) turnDelay(now time.Time) time.Duration {
	if s.nextTurnAt.Before(now) {
		s.nextTurnAt = now
	}
	s.nextTurnAt = s.nextTurnAt.Add(turnInterval)
	return s.nextTurnAt.Sub(now)
}

// localReplyDelay records a local reply, and returns how long the connection has to wait after it.
func (c *clientConn) localReplyDelay() (delay time.Duration) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	now := c.set.now()
	delay = c.pacer.delay(now)
	if delay == 0 {
		return 0
	}
	return min(max(delay, c.set.turnDelay(now)), maxTurnDelay)
}

// pace sends a local reply that was written, and waits until the next request of the connection may be read.
func (c *clientConn) pace(ctx context.Context, w http.ResponseWriter) {
	delay := c.localReplyDelay()
	if delay == 0 {
		runtime.Gosched() // the next request may have been read already
		return
	}
	_ = http.NewResponseController(w).Flush() // the client may have disconnected
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done(): // the client has left
	}
}
