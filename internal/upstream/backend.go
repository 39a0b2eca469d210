package upstream

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

const (
	// idleFraction is the fraction of Options.IdleClose for which an idle connection is kept. It is below 1, because
	// a request may be lost if the backend closes the connection while that request is being sent on it.
	idleFraction = 2.0 / 3
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 16 << 10
)

var (
	// errTooManyConns means that the client's own limit on connections was reached. It is not a failure of
	// the backend.
	errTooManyConns = errors.New("too many open connections to backends")
	// errBackendClosed ends an attempt that would be sent on a connection to a backend that is draining, was
	// removed or has restarted.
	errBackendClosed = errors.New("connections to the backend are closed")
)

// A backend holds the connections to one backend at one address, from the first attempt or probe until
// CloseBackendConns.
type backend struct {
	pool   *connPool
	closed atomic.Bool // set by CloseBackendConns
}

// backend returns the backend with the given ID, and creates it if there is none. The caller holds c.mu.
func (c *Client) backend(id, addr string) *backend {
	if b := c.backends[id]; b != nil {
		return b
	}
	b := &backend{}
	dialer := &net.Dialer{Timeout: c.options.ConnectTimeout, KeepAlive: -1}
	b.pool = &connPool{
		dial:        func() (*pooledConn, error) { return c.dial(dialer, b, addr) },
		maxIdle:     max(c.options.MaxIdlePerBackend, 1),
		idleTimeout: time.Duration(float64(c.options.IdleClose) * idleFraction),
	}
	c.backends[id] = b
	return b
}

// dial opens a connection to a backend, unless the backend is closed or there are too many connections.
func (c *Client) dial(dialer *net.Dialer, b *backend, addr string) (*pooledConn, error) {
	if b.closed.Load() {
		return nil, errBackendClosed
	}
	if !c.reserveConn() {
		return nil, errTooManyConns
	}
	dialed, err := dialer.Dial("tcp", addr)
	if err != nil {
		c.conns.Add(-1)
		return nil, err
	}
	var pooled *pooledConn
	onClose := func() {
		c.conns.Add(-1)
		b.pool.remove(pooled)
	}
	conn, err := newBackendConn(dialed.(*net.TCPConn), b, onClose, c.hooks.onWritten)
	if err != nil {
		c.conns.Add(-1)
		_ = dialed.Close() // nothing was sent on it, so the error does not matter
		return nil, err
	}
	conn.reuseDelay = c.reuseDelay
	pooled = newPooledConn(conn)
	return pooled, nil
}

// reserveConn counts a connection that is to be opened, and reports whether it may be opened. At the limit it
// closes all idle connections to make room, because an attempt cannot wait.
func (c *Client) reserveConn() bool {
	maxConns := c.maxConns.Load()
	open := c.conns.Add(1)
	if maxConns <= 0 || open <= maxConns {
		return true
	}
	c.closeIdleConns()
	if c.conns.Load() <= maxConns {
		return true
	}
	c.conns.Add(-1)
	return false
}

// closeIdleConns closes the connections to all backends that are not in use.
func (c *Client) closeIdleConns() {
	c.mu.Lock()
	pools := make([]*connPool, 0, len(c.backends))
	for _, b := range c.backends {
		pools = append(pools, b.pool)
	}
	c.mu.Unlock()
	for _, pool := range pools {
		pool.closeUnused()
	}
}
