package upstream

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// A pooledConn is a connection to a backend, and the http.Transport that sends requests on this connection alone.
type pooledConn struct {
	*backendConn
	transport *http.Transport

	// The pool sets these for a connection that is not in use.
	idleSince   time.Time
	availableAt time.Time // end of its reuseDelay
}

// newPooledConn returns a connection that has sent no request yet.
func newPooledConn(conn *backendConn) *pooledConn {
	var once sync.Once
	transport := &http.Transport{
		DialContext: func(context.Context, string, string) (dialed net.Conn, err error) {
			err = errStale // the connection has ended, and the transport would open another one
			once.Do(func() { dialed, err = conn, nil })
			return dialed, err
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return &pooledConn{backendConn: conn, transport: transport}
}

// isAvailable reports whether a request may start on the connection.
func (c *pooledConn) isAvailable(now time.Time) bool { return !c.availableAt.After(now) }

// A connPool holds the connections to one backend that no attempt or probe uses. It differs from the pool of
// http.Transport in one point: a connection that was used is not available until reuseDelay has passed since its last
// response. If there is no other one, a request for a connection waits for that: unlike opening one, it costs the backend
// nothing.
type connPool struct {
	dial        func() (*pooledConn, error)
	maxIdle     int           // number of available connections kept
	idleTimeout time.Duration // after which a connection that is not in use is closed; 0 for never

	mu      sync.Mutex
	closed  bool
	idle    []*pooledConn  // not in use, the one that was used last at the end
	waiting []*connRequest // the one that waits longest first
	timer   *time.Timer    // calls settle; nil until it is needed first
	timerAt time.Time      // when it does; zero for never
}

// A connRequest is a call of get that waits for a connection.
type connRequest struct {
	result  chan connResult // has room for one result
	dialing bool            // a connection is being opened for it
}

type connResult struct {
	conn *pooledConn
	err  error
}

// get returns the connection that was used last of those that are available. If there is none it waits for one that
// becomes available after its reuseDelay. If others wait for all of these it opens one, and returns that one or another
// that becomes available before. The caller calls put when it no longer uses the connection. If the context ends, the dial
// goes on for the benefit of others.
func (p *connPool) get(ctx context.Context) (*pooledConn, error) {
	p.mu.Lock()
	now := time.Now()
	if conn := p.takeAvailable(now); conn != nil {
		p.mu.Unlock()
		return conn, nil
	}
	request := &connRequest{result: make(chan connResult, 1)}
	p.waiting = append(p.waiting, request)
	p.startDials()
	p.schedule(now)
	p.mu.Unlock()
	select {
	case result := <-request.result:
		return result.conn, result.err
	case <-ctx.Done():
		p.cancel(request)
		return nil, ctx.Err()
	}
}

// takeAvailable removes the available connection that was used last, and returns nil if there is none. The caller holds
// p.mu.
func (p *connPool) takeAvailable(now time.Time) *pooledConn {
	for i, conn := range slices.Backward(p.idle) {
		if conn.isAvailable(now) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return conn
		}
	}
	return nil
}

// startDials opens connections for the requests that no connection in the pool will become available for. The caller holds
// p.mu, and has given all available connections to those that waited.
func (p *connPool) startDials() {
	for _, request := range p.waiting[min(len(p.idle), len(p.waiting)):] {
		if !request.dialing {
			request.dialing = true
			go p.dialFor(request)
		}
	}
}

// dialFor opens a connection for a request. If the request has got another one by then, the new one is for others.
func (p *connPool) dialFor(request *connRequest) {
	conn, err := p.dial()
	p.mu.Lock()
	waits := p.stopWaiting(request)
	if waits {
		request.result <- connResult{conn, err} // does not block: a request that waited has no result yet
	}
	p.mu.Unlock()
	if err == nil && !waits {
		p.add(conn, 0)
	}
}

// cancel ends a request whose result is no longer wanted.
func (p *connPool) cancel(request *connRequest) {
	p.mu.Lock()
	waited := p.stopWaiting(request)
	p.mu.Unlock()
	if waited {
		return
	}
	if result := <-request.result; result.err == nil {
		p.put(result.conn)
	}
}

// stopWaiting removes a request from the waiting ones, and reports whether it was among them. The caller holds p.mu.
func (p *connPool) stopWaiting(request *connRequest) bool {
	i := slices.Index(p.waiting, request)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// put returns a connection that is no longer used. It becomes available when reuseDelay has passed, unless it ends before.
func (p *connPool) put(conn *pooledConn) {
	remaining, ended := conn.endRequest()
	if !ended {
		p.add(conn, remaining)
	}
}

// add adds a connection that becomes available after a time.
func (p *connPool) add(conn *pooledConn, availableAfter time.Duration) {
	p.mu.Lock()
	now := time.Now()
	conn.idleSince, conn.availableAt = now, now.Add(availableAfter)
	p.idle = append(p.idle, conn)
	unneeded := p.settle(now)
	p.mu.Unlock()
	closeConns(unneeded)
}

// settle gives available connections to the requests that wait, and sets the timer for its next call. It removes
// connections that are not to be kept, and returns them; the caller closes them after it has released p.mu.
func (p *connPool) settle(now time.Time) (unneeded []*pooledConn) {
	for len(p.waiting) > 0 {
		conn := p.takeAvailable(now)
		if conn == nil {
			break
		}
		p.waiting[0].result <- connResult{conn: conn} // does not block: a request that waits has no result yet
		p.waiting = p.waiting[1:]
	}
	for len(p.idle) > 0 && !p.keepsFirst(now) {
		unneeded = append(unneeded, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.startDials()
	p.schedule(now)
	return unneeded
}

// keepsFirst reports whether the connection is kept that has not been used for longest. The caller holds p.mu.
func (p *connPool) keepsFirst(now time.Time) bool {
	first := p.idle[0]
	expired := p.idleTimeout > 0 && now.Sub(first.idleSince) >= p.idleTimeout
	if p.closed || expired {
		return false
	}
	return len(p.idle) <= p.maxIdle || !first.isAvailable(now) || p.countAvailable(now) <= p.maxIdle
}

// countAvailable returns the number of available connections. The caller holds p.mu.
func (p *connPool) countAvailable(now time.Time) (count int) {
	for _, conn := range p.idle {
		if conn.isAvailable(now) {
			count++
		}
	}
	return count
}

// schedule sets the timer for the next moment at which settle has something to do. The caller holds p.mu.
func (p *connPool) schedule(now time.Time) {
	next := p.nextChange(now)
	if next.IsZero() || !p.timerAt.IsZero() && !next.Before(p.timerAt) {
		return
	}
	p.timerAt = next
	if p.timer == nil {
		p.timer = time.AfterFunc(next.Sub(now), p.onTimer)
		return
	}
	p.timer.Reset(next.Sub(now))
}

// nextChange returns the next moment at which settle has something to do; zero for never. The caller holds p.mu.
func (p *connPool) nextChange(now time.Time) (next time.Time) {
	if len(p.idle) > 0 && p.idleTimeout > 0 {
		next = p.idle[0].idleSince.Add(p.idleTimeout)
	}
	if len(p.waiting) == 0 && len(p.idle) <= p.maxIdle {
		return next
	}
	for _, conn := range p.idle {
		if !conn.isAvailable(now) && (next.IsZero() || conn.availableAt.Before(next)) {
			next = conn.availableAt
		}
	}
	return next
}

func (p *connPool) onTimer() {
	p.mu.Lock()
	p.timerAt = time.Time{}
	unneeded := p.settle(time.Now())
	p.mu.Unlock()
	closeConns(unneeded)
}

// remove forgets a connection that has ended.
func (p *connPool) remove(conn *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.idle, conn); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
		p.startDials()
	}
}

// closeUnused closes all connections that are not in use.
func (p *connPool) closeUnused() {
	p.mu.Lock()
	unused := p.idle
	p.idle = nil
	p.startDials()
	p.mu.Unlock()
	closeConns(unused)
}

// close closes the connections that are not in use, and each other one when it is no longer used.
func (p *connPool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeUnused()
}

// closeConns closes connections on which no request is in progress.
func closeConns(conns []*pooledConn) {
	for _, conn := range conns {
		_ = conn.Close() // nothing more is sent on it, so the error does not matter
	}
}
