// Package upstream is the HTTP client of the backends. It sends requests with http.Transport and posts the
// outcomes. It makes exactly the attempts that it is given: it repeats none by itself, and does not
// compress, follow redirects or use a proxy.
//
// client.go has the client, attempt.go an attempt from its start to its outcome, request.go and
// response.go what is sent and received, backend.go the connections to a backend, backendconn.go one of
// them, probe.go the probes, and loadreport.go the load reports in responses.
package upstream

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"lemongate/internal/core"
)

const (
	// defaultConnectTimeout bounds a connect where the settings have no bound.
	defaultConnectTimeout = time.Second
	// defaultResponseTimeout is how long a response may take to be complete, from its first byte. It ends
	// one whose length is wrong or whose head never ends.
	defaultResponseTimeout = 300 * time.Millisecond
)

// A Request is the part of a client's request that is forwarded.
type Request struct {
	Method string
	URI    string // path and query as they came
	Host   string
	CallID string
	Key    string // Idempotency-Key, empty for none
	Type   string // Content-Type, empty for none
	Body   []byte
}

// A Response is a backend's response to a request that it served.
type Response struct {
	Type string // Content-Type, empty for none
	Body []byte
}

// Options set up a Client.
type Options struct {
	ConnectTimeout    time.Duration        // of a connection; 0 for defaultConnectTimeout
	IdleClose         time.Duration        // after which backends close idle connections; 0 for never
	LoadReportFields  []string             // of a load report, in the order of the settings
	MaxIdlePerBackend int                  // idle connections kept; 1 is kept where it is less
	MaxConns          int                  // to all backends together; 0 for no bound
	ResponseTimeout   time.Duration        // of a response from its first byte; 0 for defaultResponseTimeout
	Post              func(core.Event)     // called with a core.AttemptFinished or core.ProbeFinished each
	Now               func() time.Duration // clock of core.StartAttempt.StartBefore
}

// A Client carries out all attempts and probes of a limiter. Its methods may be called from any
// goroutine; none waits for a backend.
//
// Each attempt and probe has a goroutine of its own. That of an attempt ends with its outcome, which
// CancelAttempt brings about at once; that of a probe with its timeout at the latest.
type Client struct {
	options         Options
	conns           atomic.Int64  // open now
	maxConns        atomic.Int64  // open at once; 0 for no bound
	attemptsWritten atomic.Uint64 // completely

	mu       sync.Mutex
	backends map[string]*backend
	attempts map[core.AttemptID]*attempt

	hooks hooks
}

// hooks let tests act in the moments at which events may cross.
type hooks struct {
	connected func(core.AttemptID) // called when an attempt has a connection, before its first byte
	written   func(n int)          // called after n bytes were written to a socket
}

// New returns a Client without connections.
func New(options Options) *Client {
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = defaultConnectTimeout
	}
	if options.ResponseTimeout <= 0 {
		options.ResponseTimeout = defaultResponseTimeout
	}
	c := &Client{options: options, backends: map[string]*backend{}, attempts: map[core.AttemptID]*attempt{}}
	c.hooks = hooks{connected: func(core.AttemptID) {}, written: func(int) {}}
	c.SetResourceShare(1)
	return c
}

// SetResourceShare sets which fraction of Options.MaxConns may be open, while another process has the
// rest. Connections that are open stay.
func (c *Client) SetResourceShare(fraction float64) {
	c.maxConns.Store(int64(math.Ceil(float64(c.options.MaxConns) * fraction)))
}

// Conns returns how many connections to backends are open.
func (c *Client) Conns() int { return int(c.conns.Load()) }

// AttemptsWritten returns how many attempts were written to backends completely.
func (c *Client) AttemptsWritten() uint64 { return c.attemptsWritten.Load() }

// StartAttempt starts an attempt. Its outcome is posted as a core.AttemptFinished, unless CancelAttempt
// comes first.
func (c *Client) StartAttempt(e core.StartAttempt) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	a := &attempt{
		backend: c.backend(e.Backend, e.Addr), cancelContext: cancel, startBefore: e.StartBefore, now: c.options.Now,
	}
	c.attempts[e.Attempt] = a
	c.mu.Unlock()
	go c.run(ctx, a, e)
}

// CancelAttempt ends an attempt without an outcome. Its connection is closed before CancelAttempt
// returns, so that no later attempt of the request runs beside it.
func (c *Client) CancelAttempt(id core.AttemptID) {
	c.mu.Lock()
	a := c.attempts[id]
	delete(c.attempts, id)
	c.mu.Unlock()
	if a != nil {
		a.abort()
	}
}

// WithdrawAttempt ends an attempt of which no byte was written; its outcome is admission.NotSent. One
// that has begun goes on.
func (c *Client) WithdrawAttempt(id core.AttemptID) {
	c.mu.Lock()
	a := c.attempts[id]
	c.mu.Unlock()
	if a != nil {
		a.withdraw()
	}
}

// CloseBackendConns ends new attempts at a backend: idle connections are closed, and attempts of which no
// byte is written end with admission.NotSent. Attempts that have begun go on. A later attempt at a
// backend of this name gets new connections.
func (c *Client) CloseBackendConns(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.backends[id]
	if b == nil {
		return
	}
	delete(c.backends, id)
	b.closed.Store(true)
	for _, a := range c.attempts {
		if a.backend == b {
			a.cancelUnlessBegun()
		}
	}
	b.transport.CloseIdleConnections()
}

// Close calls CloseBackendConns for all backends.
func (c *Client) Close() {
	c.mu.Lock()
	ids := make([]string, 0, len(c.backends))
	for id := range c.backends {
		ids = append(ids, id)
	}
	c.mu.Unlock()
	for _, id := range ids {
		c.CloseBackendConns(id)
	}
}
