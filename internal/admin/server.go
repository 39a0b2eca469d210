// Package admin is the administration server. It reports whether this process accepts clients, and shows the
// process's metrics, its leases and its restart slots. It makes no decisions. A call is an HTTP request to this
// server. Calls are answered from the core.Metrics that were published last, so no caller can delay a client's
// request.
//
// server.go contains the server, routes.go its calls, collector.go the metrics, and listener.go the bound on
// connections. docs/operators/console.md describes the calls for operators.
package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lemongate/internal/core"
)

const (
	// callTimeout bounds the time in which a caller must send a call, and the time in which it must read the response.
	callTimeout = time.Second
	// maxConns bounds the number of open connections; see boundedListener.
	maxConns = 32
	// maxHeaderBytes bounds the header of a call.
	maxHeaderBytes = 4 << 10
	// listenRetryInterval is the time to wait before listening again after a failure.
	listenRetryInterval = time.Second
)

// A Server answers the calls that are sent to one address. Its methods may be called from any goroutine.
type Server struct {
	log       *zap.Logger
	server    *http.Server
	ready     atomic.Bool
	published atomic.Pointer[core.Metrics] // metrics, leases and restart slots that were published last
	post      func(core.Event)
	ctx       context.Context // canceled by Close
	cancel    context.CancelFunc
}

// Sources are the sources of the metrics that do not come from Publish. They are called for each scrape, and must not block.
type Sources struct {
	AttemptsWritten func() uint64               // attempts whose requests were written to backends completely
	Resources       func() []core.ResourceUsage // of the server for clients
}

// New returns a Server that does not listen yet. Post is called with the events of operators' calls. It may wait for the
// event loop, which delays only that call.
func New(sources Sources, post func(core.Event), log *zap.Logger) *Server {
	s := &Server{log: log, post: post}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.published.Store(&core.Metrics{})
	s.server = &http.Server{
		Handler:        s.routes(sources),
		ReadTimeout:    callTimeout,
		WriteTimeout:   callTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       zap.NewStdLog(log.Named("console")),
	}
	s.server.SetKeepAlivesEnabled(false) // one call per connection
	return s
}

// ListenAndServe answers calls at an address, host:port, until Close. It retries if it cannot listen on the address:
// a limiter that serves its clients does not exit because its administration server failed.
func (s *Server) ListenAndServe(address string) {
	for s.ctx.Err() == nil {
		if err := s.listenAndServe(address); err != nil && s.ctx.Err() == nil {
			s.log.Error("administration server failed to listen or serve", zap.String("at", address), zap.Error(err))
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(listenRetryInterval):
		}
	}
}

func (s *Server) listenAndServe(address string) error {
	listener, err := (&net.ListenConfig{}).Listen(s.ctx, "tcp", address)
	if err != nil {
		return err
	}
	return s.Serve(listener)
}

// Serve answers the calls on a listener until Close, and closes the listener. It returns nil after Close, and
// otherwise the error of the listener.
func (s *Server) Serve(listener net.Listener) error {
	err := s.server.Serve(&boundedListener{Listener: listener})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close ends ListenAndServe, Serve and all calls.
func (s *Server) Close() {
	s.cancel()
	_ = s.server.Close() // it fails only if the listener cannot be closed, which needs no further handling
}

// SetReady sets whether this process accepts clients.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Publish sets the metrics that are shown from now on. They count what this process did, not what earlier processes
// of the limiter did. Package core publishes at most every 100 ms.
func (s *Server) Publish(metrics core.Metrics) { s.published.Store(&metrics) }
