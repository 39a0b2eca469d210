// Package admin is the administration server, which reports whether this process accepts clients, its
// metrics, its leases and its restart slots. It decides nothing. Calls are answered from the snapshot that
// was published last, so no caller can delay a request of a client.
//
// server.go has the server itself, routes.go its calls, collector.go the metrics, listener.go the
// bound on connections. docs/operators/console.md describes the calls for operators.
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
	// callTimeout bounds how long a caller may take to send a call, and to read the response.
	callTimeout = time.Second
	// maxConns is how many callers may be connected at once; see boundedListener.
	maxConns = 32
	// maxHeaderBytes bounds the head of a call.
	maxHeaderBytes = 4 << 10
	// listenRetryInterval is the pause before an address that could not be listened on is tried again.
	listenRetryInterval = time.Second
)

// A Server answers calls at one address. Its methods may be called from any goroutine.
type Server struct {
	log      *zap.Logger
	server   *http.Server
	ready    atomic.Bool
	snapshot atomic.Pointer[core.Metrics] // of metrics, leases and restart slots, as published last
	post     func(core.Event)
	done     context.Context // ends with Close
	end      context.CancelFunc
}

// New returns a Server that does not listen yet. AttemptsWritten returns how many attempts were written
// to backends completely; it is called for each scrape, so this one metric is not from the snapshot, and
// must not wait. Post is called with the events of operators' calls; it may wait for the event loop, which
// delays only that call.
func New(attemptsWritten func() uint64, post func(core.Event), log *zap.Logger) *Server {
	s := &Server{log: log, post: post}
	s.done, s.end = context.WithCancel(context.Background())
	s.snapshot.Store(&core.Metrics{})
	s.server = &http.Server{
		Handler:        s.routes(attemptsWritten),
		ReadTimeout:    callTimeout,
		WriteTimeout:   callTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       zap.NewStdLog(log.Named("console")),
	}
	s.server.SetKeepAlivesEnabled(false) // one call per connection
	return s
}

// ListenAndServe answers calls at an address, host:port, until Close. An address that cannot be listened on is
// tried again: a limiter that serves its clients does not end for its administration server.
func (s *Server) ListenAndServe(address string) {
	for s.done.Err() == nil {
		if err := s.listenAndServe(address); err != nil && s.done.Err() == nil {
			s.log.Error("administration server cannot listen", zap.String("at", address), zap.Error(err))
		}
		select {
		case <-s.done.Done():
		case <-time.After(listenRetryInterval):
		}
	}
}

func (s *Server) listenAndServe(address string) error {
	listener, err := (&net.ListenConfig{}).Listen(s.done, "tcp", address)
	if err != nil {
		return err
	}
	return s.Serve(listener)
}

// Serve answers calls that come to a listener, which it closes, until Close. It returns nil then, and
// else the error of the listener.
func (s *Server) Serve(listener net.Listener) error {
	err := s.server.Serve(&boundedListener{Listener: listener})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close ends ListenAndServe, Serve and all calls.
func (s *Server) Close() {
	s.end()
	_ = s.server.Close() // nothing is left to do for a listener that does not close
}

// SetReady sets whether this process accepts clients.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Publish sets the snapshot that is shown from now on. Its counts are those of this process alone, not of an
// earlier one of the limiter. Package core publishes at most every 100 ms.
func (s *Server) Publish(snapshot core.Metrics) { s.snapshot.Store(&snapshot) }
