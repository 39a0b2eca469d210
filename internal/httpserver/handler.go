package httpserver

import (
	"net/http"

	"lemongate/internal/core"
)

// This file serves a request, from its head to its response.

// ServeHTTP serves one request of a client connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		closeAfterwards(w)
	}
	if r.RequestURI == "/ready" && r.Method == http.MethodGet {
		if connOf(r).startServing() {
			s.serveReady(w)
		}
		return
	}
	event, fault := s.readRequest(r)
	if fault != nil {
		s.serveMalformed(w, r, fault)
		return
	}
	if !connOf(r).startServing() {
		panic(http.ErrAbortHandler) // closed already: net/http must not answer
	}
	s.serveRequest(w, r, event)
}

// closeAfterwards has the connection closed after the response.
func closeAfterwards(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// serveRequest posts a request and writes the response to it. If the client disconnects meanwhile it posts
// that as well. It writes the response even so: a client that has only closed its sending side looks the
// same.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, event *core.RequestReceived) {
	disconnected := r.Context().Done()
	event.Disconnected = r.Context().Err() != nil // it was sent behind others, and its client has gone since
	if event.Disconnected {
		disconnected = nil
	}
	responses := make(chan core.Respond, 1)
	s.mu.Lock()
	s.waiting[event.ID] = responses
	s.mu.Unlock()
	s.options.Post(event)
	for {
		select {
		case response := <-responses:
			if s.draining.Load() { // by now
				closeAfterwards(w)
			}
			writeResponse(w, response)
			return
		case <-disconnected:
			disconnected = nil
			s.options.Post(&core.ClientDisconnected{Request: event.ID})
		}
	}
}

// serveMalformed answers a malformed request at once, without waiting for its body: the client may never send
// the rest of it.
func (s *Server) serveMalformed(w http.ResponseWriter, r *http.Request, fault *malformed) {
	s.options.Post(core.RequestMalformed{Cause: fault.cause})
	conn := connOf(r)
	if !conn.startServing() {
		panic(http.ErrAbortHandler)
	}
	hasBody := r.ContentLength != 0
	// The connection ends also after a body that is left unread: in full duplex net/http would begin two
	// reads at once there, and panic.
	if fault.closesConn || hasBody {
		closeAfterwards(w)
	}
	control := http.NewResponseController(w)
	if hasBody {
		_ = conn.SetReadDeadline(conn.requestStartedAt.Add(malformedTimeout)) // fails on a closed connection alone
		_ = control.EnableFullDuplex()                                        // or net/http reads the body first
	}
	writeText(w, fault.status, fault.text)
	if hasBody {
		_ = control.Flush()      // the client may have gone
		conn.setState(stateIdle) // it is answered, and the rest of its body is not needed
	}
}

// serveReady answers GET /ready.
func (s *Server) serveReady(w http.ResponseWriter) {
	if s.ready.Load() {
		writeText(w, http.StatusOK, "ready")
		return
	}
	writeText(w, http.StatusServiceUnavailable, "not ready")
}
