package httpserver

import (
	"context"
	"net/http"
	"runtime"
	"time"
)

// This file paces connections on which request after request is answered without a backend. Such requests cost a client
// nothing, and their goroutines would take the processor from those of other clients. A connection has a burst of them, then
// a rate. So have all connections together: beyond it the connections that have used up a small burst take turns.

const (
	// localReplyBurst is the number of local replies that a connection gets at once, and localReplyInterval the time in which
	// it gets a further one.
	localReplyBurst    = 20
	localReplyInterval = 5 * time.Millisecond
	// totalReplyBurst is the number of local replies that all connections together get at once, and turnInterval the time in
	// which they get a further one. While there are more, a connection gets crowdedReplyBurst at once.
	totalReplyBurst   = 200
	turnInterval      = time.Millisecond
	crowdedReplyBurst = 2
	// maxTurnDelay bounds the time that a connection waits for its turn: a request on it may be one that is forwarded.
	maxTurnDelay = 250 * time.Millisecond
)

// A replyPacer spaces local replies.
type replyPacer struct {
	nextAt time.Time // when the next local reply is due by the rate; in the past if part of the burst is left
}

// record records a local reply, and returns how long after it the next one is due: 0 within the burst, maxTurnDelay at most.
func (p *replyPacer) record(now time.Time, burst int, interval time.Duration) time.Duration {
	if earliest := now.Add(-time.Duration(burst) * interval); p.nextAt.Before(earliest) {
		p.nextAt = earliest
	}
	p.nextAt = p.nextAt.Add(interval)
	if latest := now.Add(maxTurnDelay); p.nextAt.After(latest) {
		p.nextAt = latest
	}
	return max(p.nextAt.Sub(now), 0)
}

// localReplyDelay records a local reply, and returns how long the connection has to wait after it.
func (c *clientConn) localReplyDelay() time.Duration {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	now := c.set.now()
	turnDelay := c.set.localReplies.record(now, totalReplyBurst, turnInterval)
	burst := localReplyBurst
	if turnDelay > 0 {
		burst = crowdedReplyBurst
	}
	delay := c.pacer.record(now, burst, localReplyInterval)
	if delay == 0 {
		return 0
	}
	return max(delay, turnDelay)
}

// pace sends a local reply that was written, and waits until the next request of the connection may be read.
func (c *clientConn) pace(ctx context.Context, w http.ResponseWriter) {
	delay := c.localReplyDelay()
	if delay == 0 {
		runtime.Gosched() // the next request may have been read already
		return
	}
	_ = http.NewResponseController(w).Flush() // the client may have disconnected
	c.setState(statePaced)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done(): // the client has left
	}
}
