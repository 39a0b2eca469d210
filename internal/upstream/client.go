// Package upstream is the HTTP client for the backends. It sends requests with http.Transport and posts the
// outcomes. It makes exactly the attempts that it is told to make: it never retries a request by itself, and
// does not compress, follow redirects or use a proxy.
//
// client.go contains the client, attempt.go an attempt from its start to its outcome, request.go and
// response.go what is sent and received, backend.go a backend, pool.go the connections to it that are not in use,
// backendconn.go a single connection, probe.go the probes, and loadreport.go the load reports in responses.
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
	// defaultConnectTimeout applies if the settings have no connect timeout.
	defaultConnectTimeout = time.Second
	// defaultResponseTimeout is the time from the first byte of a response to its last. It ends a response
	// whose length is wrong or whose header never ends.
	defaultResponseTimeout = 300 * time.Millisecond
	// defaultReuseDelay is the time from the last byte received on a connection to the first byte of the next request
	// on it. It is several times the few milliseconds by which a backend's second response to one request may be late.
	defaultReuseDelay = 20 * time.Millisecond
)

// A Request is the part of a client's request that is forwarded.
type Request struct {
	Method         string
	URI            string // path and query as received from the client
	Host           string
	CallID         string // X-Call-Id
	IdempotencyKey string // Idempotency-Key, empty for none
	ContentType    string // Content-Type, empty for none
	Body           []byte
	// ClientWaits reports whether the client still waits for the response, also where its disconnect was not noticed yet. It
	// is nil if another process has the client's connection.
	ClientWaits func() bool
}

// A Response is a backend's response to a request that the backend served.
type Response struct {
	ContentType string // Content-Type, empty for none
	Body        []byte
}

// Options configure a Client.
type Options struct {
	ConnectTimeout    time.Duration        // for a new connection; 0 for defaultConnectTimeout
	IdleClose         time.Duration        // idle time after which backends close a connection; 0 for never
	LoadReportFields  []string             // names of the fields of a load report, in the order of the settings
	MaxIdlePerBackend int                  // idle connections kept per backend; values below 1 count as 1
	MaxConns          int                  // bound on open connections to all backends together; 0 for none
	ResponseTimeout   time.Duration        // from the first byte of a response; 0 for defaultResponseTimeout
	Post              func(core.Event)     // called with each core.AttemptFinished and core.ProbeFinished
	Now               func() time.Duration // the clock of core.StartAttempt
}

// A Client makes all attempts and probes of a limiter. Its methods may be called from any goroutine; none of
// them waits for a backend.
//
// Each attempt and each probe has a goroutine of its own. The goroutine of an attempt ends with the attempt,
// and CancelAttempt makes it end at once; the goroutine of a probe ends at the probe's timeout at the latest.
type Client struct {
	options         Options
	conns           atomic.Int64  // number of open connections, including those being opened
	maxConns        atomic.Int64  // bound on open connections; 0 for none
	attemptsWritten atomic.Uint64 // number of attempts whose requests were written completely
	reuseDelay      time.Duration // see defaultReuseDelay; tests change it

	mu       sync.Mutex
	backends map[string]*backend
	attempts map[core.AttemptID]*attempt

	hooks hooks
}

// hooks let tests intervene at the moments at which events may race.
type hooks struct {
	onConnected func(core.AttemptID) // called when an attempt has a connection, before its first byte is written
	onWritten   func(n int)          // called after n bytes were written to a socket
}

// New returns a Client without connections.
func New(options Options) *Client {
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = defaultConnectTimeout
	}
	if options.ResponseTimeout <= 0 {
		options.ResponseTimeout = defaultResponseTimeout
	}
	c := &Client{
		options: options, reuseDelay: defaultReuseDelay,
		backends: map[string]*backend{}, attempts: map[core.AttemptID]*attempt{},
	}
	c.hooks = hooks{onConnected: func(core.AttemptID) {}, onWritten: func(int) {}}
	c.SetResourceFraction(1)
	return c
}

// SetResourceFraction sets the fraction of Options.MaxConns that this process may have open while the other process of
// a hot restart has the rest. Connections that are already open stay open.
func (c *Client) SetResourceFraction(fraction float64) {
	c.maxConns.Store(int64(math.Ceil(float64(c.options.MaxConns) * fraction)))
}

// Conns returns the number of open connections to backends.
func (c *Client) Conns() int { return int(c.conns.Load()) }

// AttemptsWritten returns the number of attempts whose requests were written to backends completely.
func (c *Client) AttemptsWritten() uint64 { return c.attemptsWritten.Load() }

// StartAttempt starts an attempt. Its outcome is posted as a core.AttemptFinished, unless CancelAttempt is called
// first.
func (c *Client) StartAttempt(e core.StartAttempt) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	a := &attempt{
		backend: c.backend(e.Backend, e.Addr), cancelContext: cancel, startBefore: e.StartBefore, now: c.options.Now,
		endsAt: c.options.Now() + e.Timeout, clientWaits: e.Content.(*Request).ClientWaits,
	}
	c.attempts[e.Attempt] = a
	c.mu.Unlock()
	go c.run(ctx, a, e)
}

// CancelAttempt ends an attempt without posting an outcome. It closes the attempt's connection before it returns,
// so that a later attempt of the same request does not run concurrently with this one.
func (c *Client) CancelAttempt(id core.AttemptID) {
	c.mu.Lock()
	a := c.attempts[id]
	delete(c.attempts, id)
	c.mu.Unlock()
	if a != nil {
		a.abort()
	}
}

// WithdrawAttempt ends an attempt with the result admission.NotSent if no byte of the request was written.
// Otherwise the attempt continues.
func (c *Client) WithdrawAttempt(id core.AttemptID) {
	c.mu.Lock()
	a := c.attempts[id]
	c.mu.Unlock()
	if a != nil {
		a.withdraw()
	}
}

// CloseBackendConns closes the idle connections to a backend, and ends attempts of which no byte was written with
// admission.NotSent. Other attempts continue. A later attempt at a backend with this ID opens new connections.
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
			a.cancelIfUnwritten()
		}
	}
	b.pool.close()
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
