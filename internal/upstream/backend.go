package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
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
	transport *http.Transport
	closed    atomic.Bool // set by CloseBackendConns
}

// backend returns the backend with the given ID, and creates it if there is none. The caller holds c.mu.
func (c *Client) backend(id, addr string) *backend {
	if b := c.backends[id]; b != nil {
		return b
	}
	b := &backend{}
	dialer := &net.Dialer{Timeout: c.options.ConnectTimeout, KeepAlive: -1}
	b.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return c.dial(ctx, dialer, b, network, addr)
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    max(c.options.MaxIdlePerBackend, 1),
		IdleConnTimeout:        time.Duration(float64(c.options.IdleClose) * idleFraction),
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	c.backends[id] = b
	return b
}

// closeIdleIfClosed closes the idle connections of a backend that was closed during an attempt or a probe.
// Closing them once is not enough: http.Transport keeps idle connections again after its next request.
func (b *backend) closeIdleIfClosed() {
	if b.closed.Load() {
		b.transport.CloseIdleConnections()
	}
}

// dial opens a connection to a backend, unless the backend is closed or there are too many connections.
func (c *Client) dial(ctx context.Context, dialer *net.Dialer, b *backend, network, addr string) (net.Conn, error) {
	if b.closed.Load() {
		return nil, errBackendClosed
	}
	if !c.reserveConn() {
		return nil, errTooManyConns
	}
	release := func() { c.conns.Add(-1) }
	dialed, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		release()
		return nil, err
	}
	conn, err := newBackendConn(dialed.(*net.TCPConn), b, release, c.hooks.onWritten)
	if err != nil {
		release()
		_ = dialed.Close() // nothing was sent on it, so the error does not matter
		return nil, err
	}
	conn.reuseDelay = c.reuseDelay
	return conn, nil
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

// closeIdleConns closes the idle connections to all backends.
func (c *Client) closeIdleConns() {
	c.mu.Lock()
	transports := make([]*http.Transport, 0, len(c.backends))
	for _, b := range c.backends {
		transports = append(transports, b.transport)
	}
	c.mu.Unlock()
	for _, transport := range transports {
		transport.CloseIdleConnections()
	}
}
