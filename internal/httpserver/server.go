// Package httpserver is the HTTP/1.1 server for clients. It validates requests, posts them as events, and writes the
// responses that it is given; it makes no other decisions. It tracks the state of each client connection, so that it
// does not close a connection on which its client may have sent a request that the client could not resend.
//
// Files: server.go has the server itself, handler.go serves a request from its head to its response, request.go
// validates requests, parse.go parses paths and header values, response.go writes responses. Client connections:
// connset.go has the set of all connections, accept.go accepts and rejects new ones, evict.go evicts connections,
// shutdown.go closes them for a shutdown, handover.go moves them to another process, memory.go bounds the memory that they
// occupy, clientconn.go has the type of a single connection, input.go reads from it, and framing.go finds the boundaries of
// requests in what was read.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

const (
	// maxHeaderBytes is the maximum size of the head of a request.
	maxHeaderBytes = 16 << 10
	// allowedHeadTime is the time a client may take to send a head and still be served.
	allowedHeadTime = 2 * time.Second
	// malformedResponseTime is the time within which a client that stops in the middle of a request gets an error
	// response or a close, as the platform's rules require.
	malformedResponseTime = 3 * time.Second
	// headTimeout is the timeout for receiving a head, from its first byte or the connect. It lies between the two
	// times above.
	headTimeout = (allowedHeadTime + malformedResponseTime) / 2
	// idleTimeout is the time after which net/http closes an idle connection, however few connections are open.
	idleTimeout = 90 * time.Second
	// closePollInterval is the interval at which Close checks for open connections.
	closePollInterval = 5 * time.Millisecond
	// defaultFinalReadMargin is the time before the end of Close at which the server stops reading requests, so that
	// the last request read has this time to be answered.
	defaultFinalReadMargin = 200 * time.Millisecond
	// defaultFinalResponsePolls is the number of closePollIntervals, at least, for which Close waits beyond its timeout for
	// the responses to requests that it has read. They are counted, not measured: the process may have been suspended as
	// the timeout passed, and the responses that were due meanwhile are written once it continues.
	defaultFinalResponsePolls = 10
)

// Options are the options of a Server.
type Options struct {
	Settings    admission.Settings
	MaxUnits    float64              // of one request; 0 for no limit
	MaxConns    int                  // client connections open at once; 0 for no limit
	MaxMemory   int                  // bytes of requests and responses beyond guaranteedMemory of each connection; 0 for no limit
	LastRequest uint64               // greatest request number that an earlier process assigned
	Now         func() time.Duration // clock for core.RequestReceived.ReceivedAt
	WallClock   func() time.Time     // clock for the timeouts of client connections; time.Now if nil
	Post        func(core.Event)     // is called with each event
	Log         *zap.Logger
}

// A Server serves clients. Its methods may be called from any goroutine.
//
// Serve runs until Close. It uses a net/http goroutine for each connection, one goroutine that closes idle
// connections, and one for each new connection that is rejected; all end with their connections or with Close.
type Server struct {
	options  Options
	classes  map[string]*admission.Class
	plans    map[string]bool
	server   *http.Server
	ready    atomic.Bool
	closing  atomic.Bool   // Close was called
	draining atomic.Bool   // each response is the last on its connection
	lastID   atomic.Uint64 // number of the last request received

	conns          atomic.Pointer[connSet] // nil until Serve is called
	serving        chan struct{}           // closed once conns is set
	acceptingEnded chan struct{}           // closed once Serve adds no more connections to conns
	// resourceFraction is the fraction of MaxConns that may be open; guarded by mu. Server has it because it may be set
	// before conns exists.
	resourceFraction float64

	finalReadMargin    time.Duration // see defaultFinalReadMargin; tests change it
	finalResponsePolls int           // see defaultFinalResponsePolls; tests change it

	mu               sync.Mutex
	pendingResponses map[core.RequestID]chan core.Respond // of requests without a response; each channel holds one
}

// New returns a Server that does not listen yet.
func New(options Options) *Server {
	if options.WallClock == nil {
		options.WallClock = time.Now
	}
	s := &Server{
		options:          options,
		classes:          map[string]*admission.Class{},
		plans:            map[string]bool{},
		pendingResponses: map[core.RequestID]chan core.Respond{},
		serving:          make(chan struct{}),
		acceptingEnded:   make(chan struct{}),
		resourceFraction: 1,
		finalReadMargin:  defaultFinalReadMargin,

		finalResponsePolls: defaultFinalResponsePolls,
	}
	for i, class := range options.Settings.Classes {
		s.classes[class.Name] = &options.Settings.Classes[i]
	}
	for _, plan := range options.Settings.Plans {
		s.plans[plan.Name] = true
	}
	s.lastID.Store(options.LastRequest)
	s.server = s.newHTTPServer()
	return s
}

// newHTTPServer returns the net/http server. It has no ServeMux, which would redirect unclean paths, and no
// ReadTimeout, which would keep running while a request waits for its response, and whose end would look like a client
// that disconnects.
func (s *Server) newHTTPServer() *http.Server {
	return &http.Server{
		Handler:                      s,
		DisableGeneralOptionsHandler: true, // it would answer "OPTIONS *", which is malformed here, with 200
		ReadHeaderTimeout:            headTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		ErrorLog:                     zap.NewStdLog(s.options.Log.Named("http")),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*clientConn).requestDone()
			}
		},
	}
}

// connKey is the context key under which a request's connection is stored.
type connKey struct{}

func connOf(r *http.Request) *clientConn { return r.Context().Value(connKey{}).(*clientConn) }

// Serve accepts clients from a listener until Close, and closes the listener.
func (s *Server) Serve(listener net.Listener) error {
	conns := newConnSet(listener, s.options.MaxConns, s.options.WallClock)
	conns.onClosed = func(previous connState, reason core.CloseReason) {
		s.options.Post(&core.ClientConnClosed{Unread: previous == stateNew || previous == stateReading, Reason: reason})
	}
	conns.onRejected = func(notified bool) {
		reason := core.CloseRejectedUnread
		if notified {
			reason = core.CloseRejected
		}
		s.options.Post(&core.ClientConnClosed{Unread: !notified, OverLimit: notified, Reason: reason})
	}
	conns.serve = func(c *clientConn) { s.serveConn(conns, c) }
	conns.reportError = func(err error) { s.options.Log.Warn("accept failed, trying again", zap.Error(err)) }
	conns.rejection = s.connRejection()
	conns.memory.limit = s.options.MaxMemory
	s.mu.Lock()
	conns.setResourceFraction(s.resourceFraction)
	s.conns.Store(conns)
	s.mu.Unlock()
	close(s.serving)
	go conns.sweepUntilClosed()
	defer close(s.acceptingEnded)
	defer func() { _ = listener.Close() }() // it may already be closed
	defer func() { _ = conns.Close() }()    // no more connections are accepted
	err := s.server.Serve(conns)
	if errors.Is(err, http.ErrServerClosed) || s.closing.Load() {
		return nil
	}
	return fmt.Errorf("http server: %w", err)
}

// connRejection returns the response to a new connection beyond the limit.
func (s *Server) connRejection() []byte {
	retryAfter := ""
	if d := s.options.Settings.MaxRetryAfter; d > 0 {
		retryAfter = fmt.Sprintf("Retry-After: %.3f\r\n", d.Seconds())
	}
	return fmt.Appendf(nil, "HTTP/1.1 429 Too Many Requests\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", retryAfter)
}

// AdoptConn serves an idle client connection that another process has moved here. It blocks until Serve is called.
func (s *Server) AdoptConn(adopted net.Conn) {
	<-s.serving
	conns := s.conns.Load()
	conn := conns.admit(adopted, stateIdle)
	if conn == nil {
		return
	}
	s.serveConn(conns, conn)
}

// serveConn serves a connection that net/http did not accept from conns.
func (s *Server) serveConn(conns *connSet, conn *clientConn) {
	listener := &singleConnListener{conn: conn, addr: conns.Addr()}
	_ = s.server.Serve(listener) // returns once the connection was accepted, or after Close
	listener.once.Do(func() { _ = conn.Close() })
}

// A singleConnListener is a listener that accepts a single connection.
type singleConnListener struct {
	conn net.Conn
	addr net.Addr
	once sync.Once // for returning or closing conn
}

// Accept returns the connection on its first call, and net.ErrClosed after that.
func (l *singleConnListener) Accept() (conn net.Conn, err error) {
	err = net.ErrClosed
	l.once.Do(func() { conn, err = l.conn, nil })
	return conn, err
}

// Close does nothing, because the connection stays open.
func (l *singleConnListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *singleConnListener) Addr() net.Addr { return l.addr }

// Pause stops accepting until Resume. New connections stay in the kernel's accept queue in the meantime.
func (s *Server) Pause() {
	<-s.serving
	s.conns.Load().pause()
}

// Resume resumes accepting unless Close was called, and ends MoveConns.
func (s *Server) Resume() {
	<-s.serving
	s.conns.Load().resume()
}

// MoveConns moves idle client connections to another process, now and as they become idle, until Resume. moveConn
// returns once the connection may be closed in this process; if it fails, this process keeps the connection.
func (s *Server) MoveConns(moveConn func(syscall.Conn) error) {
	<-s.serving
	s.conns.Load().startMove(moveConn)
}

// SetResourceFraction sets the fraction of Options.MaxConns that may be open while another process has the rest.
func (s *Server) SetResourceFraction(fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resourceFraction = fraction
	if conns := s.conns.Load(); conns != nil {
		conns.setResourceFraction(fraction)
	}
}

// Conns returns the number of open client connections.
func (s *Server) Conns() int {
	if conns := s.conns.Load(); conns != nil {
		return conns.count()
	}
	return 0
}

// Resources returns how much of what is bounded the clients use.
func (s *Server) Resources() []core.ResourceUsage {
	conns := s.conns.Load()
	if conns == nil {
		return nil
	}
	conns.mu.Lock()
	defer conns.mu.Unlock()
	usage := []core.ResourceUsage{
		{Resource: "client_connections", Used: conns.open - conns.byState[stateRejected].Len()},
		{Resource: "client_connections_awaited", Used: conns.byState[stateRejected].Len(), Limit: maxRejectedConns},
		{Resource: "client_memory_bytes", Used: conns.memory.used, Limit: conns.memory.limit},
		{Resource: "client_memory_waiting", Used: len(conns.memory.waiting)},
	}
	if conns.maxConns > 0 {
		usage[0].Limit = conns.connLimit()
	}
	return usage
}

// SetReady sets whether GET /ready is answered with 200.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// DrainConns closes client connections that are between requests: idle ones immediately, the others after their
// responses. SetKeepAlivesEnabled of net/http would close some connections with a request in its buffer; see
// clientConn.Read.
func (s *Server) DrainConns() {
	s.draining.Store(true)
	if conns := s.conns.Load(); conns != nil {
		conns.drain()
	}
}

// Close stops accepting, and waits until all connections are closed or moved, but no longer than the timeout.
// Shortly before the timeout it stops reading requests. After the timeout it still waits for the responses to requests
// that it has read, for a short time in which the process runs.
func (s *Server) Close(timeout time.Duration) {
	s.closing.Store(true)
	if conns := s.conns.Load(); conns != nil {
		s.closeConns(conns, timeout)
	}
	_ = s.server.Close() // all connections are closed, or the timeout has passed
}

// closeConns waits until all connections are closed or moved.
func (s *Server) closeConns(conns *connSet, timeout time.Duration) {
	timedOut, stopReading := time.After(timeout), time.After(timeout-s.finalReadMargin)
	_ = conns.Close() // Accept reports errors of the listener
	acceptingEnded := s.acceptingEnded
	poll := time.NewTicker(closePollInterval)
	defer poll.Stop()
	// Until accepting has ended, there may be an accepted connection that is not counted yet.
	for acceptingEnded != nil || conns.count() > 0 {
		select {
		case <-acceptingEnded:
			acceptingEnded = nil
			if !conns.isMovingConns() { // otherwise the other process receives the idle connections
				conns.drain()
			}
		case <-poll.C:
		case <-stopReading:
			conns.stopReading()
		case <-timedOut:
			s.awaitFinalResponses(conns, poll)
			s.options.Log.Warn("server close timed out with client connections still open", zap.Int("connections", conns.count()))
			return
		}
	}
}

// awaitFinalResponses waits until no request is in progress, but no longer than finalResponsePolls. No more requests are
// read.
func (s *Server) awaitFinalResponses(conns *connSet, poll *time.Ticker) {
	conns.stopReading() // both times of Close may have passed while the process was suspended
	for range s.finalResponsePolls {
		if conns.requestsInProgress() == 0 {
			return
		}
		<-poll.C
	}
}

// Respond passes the response to the goroutine that serves the request, which writes it. Respond does not block. It
// drops a second response to the same request.
func (s *Server) Respond(response core.Respond) {
	s.mu.Lock()
	pending := s.pendingResponses[response.Request]
	delete(s.pendingResponses, response.Request)
	s.mu.Unlock()
	if pending != nil {
		pending <- response // does not block: the channel has room for one response, and there is no second one
	}
}
