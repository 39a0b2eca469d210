// Package httpserver is the HTTP/1.1 server for clients. It validates requests, posts them as events, and
// writes the responses that it is given; it decides nothing else. It tracks the state of each client
// connection, so that none is closed over a request that its client could not repeat.
//
// The server: server.go has the server itself, handler.go a request from its head to its response, request.go
// validates, parse.go parses, response.go writes. Client connections: connset.go has all of them, accept.go
// admits new ones, evict.go evicts connections, shutdown.go and handover.go end them, and
// clientconn.go has a single one.
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
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 16 << 10
	// allowedHeadTime is how long a client may spend on a head and is still served.
	allowedHeadTime = 2 * time.Second
	// malformedResponseTime is within how long a client that stops in the middle of a request gets an error
	// response or a close, by the platform's rules.
	malformedResponseTime = 3 * time.Second
	// headTimeout is how long a head may take, from its first byte or the start of the connection. It lies
	// between these two times.
	headTimeout = (allowedHeadTime + malformedResponseTime) / 2
	// idleTimeout is after how long net/http closes an idle connection, however few are open.
	idleTimeout = 90 * time.Second
	// closePollInterval is how often Close looks for connections that are still open.
	closePollInterval = 5 * time.Millisecond
	// defaultFinalReadMargin is how long before the end of Close the reading of requests ends, so that the
	// last request read has this time to be answered.
	defaultFinalReadMargin = 200 * time.Millisecond
)

// Options set up a Server.
type Options struct {
	Settings    admission.Settings
	MaxUnits    float64              // of one request; 0 for no bound
	MaxConns    int                  // client connections open at once; 0 for no bound
	LastRequest uint64               // greatest number that an earlier process gave a request
	Now         func() time.Duration // clock of core.RequestReceived.ReceivedAt
	Wall        func() time.Time     // overrides the time by which client connections are closed
	Post        func(core.Event)
	Log         *zap.Logger
}

// A Server serves the clients. Its methods may be called from any goroutine.
//
// Serve runs until Close, with a goroutine of net/http for each connection, one that closes idle
// connections, and one for each new connection that is rejected; all end with their connections or with
// Close.
type Server struct {
	options  Options
	classes  map[string]*admission.Class
	plans    map[string]bool
	server   *http.Server
	ready    atomic.Bool
	closing  atomic.Bool   // nothing more is accepted
	draining atomic.Bool   // each response is the last of its connection
	lastID   atomic.Uint64 // number of the request received last

	conns          atomic.Pointer[connSet] // nil until it serves
	serving        chan struct{}           // closed once it serves
	acceptingEnded chan struct{}           // closed once no connection will be added to conns by Serve
	share          float64                 // fraction of MaxConns that may be open; guarded by mu. Kept for Serve, as it may be set before conns exists

	finalReadMargin time.Duration

	mu      sync.Mutex
	waiting map[core.RequestID]chan core.Respond // requests without a response
}

// New returns a Server that does not listen yet.
func New(options Options) *Server {
	if options.Wall == nil {
		options.Wall = time.Now
	}
	s := &Server{
		options:         options,
		classes:         map[string]*admission.Class{},
		plans:           map[string]bool{},
		waiting:         map[core.RequestID]chan core.Respond{},
		serving:         make(chan struct{}),
		acceptingEnded:  make(chan struct{}),
		share:           1,
		finalReadMargin: defaultFinalReadMargin,
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

// newHTTPServer returns net/http's server. It has no ServeMux, which would redirect unclean paths, and no
// ReadTimeout, which would run on while a request waits for its response and end in what looks like a client
// that disconnected.
func (s *Server) newHTTPServer() *http.Server {
	return &http.Server{
		Handler:                      s,
		DisableGeneralOptionsHandler: true, // it would answer 200 to an invalid request
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

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection of a request.
func connOf(r *http.Request) *clientConn { return r.Context().Value(connKey{}).(*clientConn) }

// Serve accepts clients from a listener, which it closes, until Close.
func (s *Server) Serve(listener net.Listener) error {
	conns := newConnSet(listener, s.options.MaxConns, s.options.Wall)
	conns.onClosed = func(was connState) {
		s.options.Post(&core.ClientConnClosed{Unread: was == stateNew || was == stateReading})
	}
	conns.onRejected = func(notified bool) {
		s.options.Post(&core.ClientConnClosed{Unread: !notified, OverLimit: notified})
	}
	conns.rejection = s.connRejection()
	s.mu.Lock()
	conns.setShare(s.share)
	s.conns.Store(conns)
	s.mu.Unlock()
	close(s.serving)
	go conns.sweepUntilClosed()
	defer close(s.acceptingEnded)
	defer func() { _ = listener.Close() }() // it may be closed already
	defer func() { _ = conns.Close() }()    // nothing is accepted any more
	err := s.server.Serve(conns)
	if errors.Is(err, http.ErrServerClosed) || s.closing.Load() {
		return nil
	}
	return fmt.Errorf("http server: %w", err)
}

// connRejection is the response to a new connection beyond the bound.
func (s *Server) connRejection() []byte {
	retryAfter := ""
	if d := s.options.Settings.MaxRetryAfter; d > 0 {
		retryAfter = fmt.Sprintf("Retry-After: %.3f\r\n", d.Seconds())
	}
	return fmt.Appendf(nil, "HTTP/1.1 429 Too Many Requests\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", retryAfter)
}

// AdoptConn serves an idle client connection that another process handed over. It waits for Serve.
func (s *Server) AdoptConn(adopted net.Conn) {
	<-s.serving
	conns := s.conns.Load()
	conn := conns.admit(adopted, stateIdle)
	if conn == nil {
		return
	}
	listener := &singleConnListener{conn: conn, addr: conns.Addr()}
	_ = s.server.Serve(listener) // it ends once the connection was taken, or after Close
	listener.once.Do(func() { _ = conn.Close() })
}

// A singleConnListener is a listener to which one connection comes.
type singleConnListener struct {
	conn net.Conn
	addr net.Addr
	once sync.Once // of the return or the close of conn
}

// Accept returns the connection once.
func (l *singleConnListener) Accept() (conn net.Conn, err error) {
	err = net.ErrClosed
	l.once.Do(func() { conn, err = l.conn, nil })
	return conn, err
}

// Close does nothing: the connection goes on.
func (l *singleConnListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *singleConnListener) Addr() net.Addr { return l.addr }

// Pause stops accepting until Resume. New connections wait in the system's queue meanwhile.
func (s *Server) Pause() {
	<-s.serving
	s.conns.Load().pause()
}

// Resume goes on accepting, unless Close was called, and ends MoveConns.
func (s *Server) Resume() {
	<-s.serving
	s.conns.Load().resume()
}

// MoveConns hands idle client connections over to another process, now and as they become idle, until
// Resume. HandOver returns once the connection may be closed here; if it fails, the connection stays.
func (s *Server) MoveConns(handOver func(syscall.Conn) error) {
	<-s.serving
	s.conns.Load().startHandover(handOver)
}

// SetResourceShare sets which fraction of Options.MaxConns may be open, while another process has the
// rest.
func (s *Server) SetResourceShare(fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = fraction
	if conns := s.conns.Load(); conns != nil {
		conns.setShare(fraction)
	}
}

// Conns returns how many client connections are open.
func (s *Server) Conns() int {
	if conns := s.conns.Load(); conns != nil {
		return conns.count()
	}
	return 0
}

// SetReady sets whether GET /ready is answered with 200.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// DrainConns closes client connections between requests: idle ones now, the others with their responses.
// SetKeepAlivesEnabled of net/http would close some over a request; see clientConn.Read.
func (s *Server) DrainConns() {
	s.draining.Store(true)
	if conns := s.conns.Load(); conns != nil {
		conns.drain()
	}
}

// Close stops accepting, and waits for all connections to be closed or handed over, but no longer than a
// timeout. Shortly before that it stops reading requests.
func (s *Server) Close(timeout time.Duration) {
	s.closing.Store(true)
	if conns := s.conns.Load(); conns != nil {
		s.closeConns(conns, timeout)
	}
	_ = s.server.Close() // all connections are closed, or the time is over
}

// closeConns waits for the connections to end.
func (s *Server) closeConns(conns *connSet, timeout time.Duration) {
	timedOut, finalRead := time.After(timeout), time.After(timeout-s.finalReadMargin)
	_ = conns.Close() // Accept reports an error of the listener
	acceptingEnded := s.acceptingEnded
	poll := time.NewTicker(closePollInterval)
	defer poll.Stop()
	// Until accepting has ended, a connection may come that is not counted yet.
	for acceptingEnded != nil || conns.count() > 0 {
		select {
		case <-acceptingEnded:
			acceptingEnded = nil
			if !conns.isHandingOver() { // the other process gets the idle connections
				conns.drain()
			}
		case <-poll.C:
		case <-finalRead:
			conns.stopReading()
		case <-timedOut:
			s.options.Log.Warn("client connections left open", zap.Int("connections", conns.count()))
			return
		}
	}
}

// Respond sets the response to a request, which the request's goroutine writes. It never waits; a second
// response to a request is dropped.
func (s *Server) Respond(response core.Respond) {
	s.mu.Lock()
	waiting := s.waiting[response.Request]
	delete(s.waiting, response.Request)
	s.mu.Unlock()
	if waiting != nil {
		waiting <- response // has room for one, and there is no second one
	}
}
