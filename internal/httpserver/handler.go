package httpserver

import (
	"net/http"

	"lemongate/internal/core"
	"lemongate/internal/upstream"
)

// This file serves a request, from reading its head to writing its response.

// ServeHTTP serves one request of a client connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() || !connOf(r).knowsRequestEnd() {
		closeAfterResponse(w)
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
		panic(http.ErrAbortHandler) // already closed: net/http must not respond
	}
	s.serveRequest(w, r, event)
}

// closeAfterResponse makes net/http close the connection after the response.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// serveRequest posts a request and writes the response to it. If the client disconnects in the meantime, or it can no longer
// be seen whether it does, serveRequest posts that as well. It writes the response even then: a client that has only closed
// its sending side looks the same.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, event *core.RequestReceived) {
	conn := connOf(r)
	disconnected, unseen := r.Context().Done(), conn.unseen
	event.Disconnected, event.Reason = conn.observeClient()
	if r.Context().Err() != nil {
		event.Disconnected, event.Reason = true, core.DisconnectClosed
	}
	if event.Disconnected {
		disconnected, unseen = nil, nil
	}
	responses := make(chan core.Respond, 1)
	s.mu.Lock()
	s.pendingResponses[event.ID] = responses
	s.mu.Unlock()
	s.options.Post(event)
	for {
		select {
		case response := <-responses:
			if s.draining.Load() { // draining may have begun since ServeHTTP
				closeAfterResponse(w)
			}
			conn.stopObserving(response.Kind == core.Served)
			if response.Kind == core.Served { // other responses may have a Response that is a nil pointer
				conn.chargeResponse(len(response.Response.(*upstream.Response).Body))
			}
			writeResponse(w, response)
			if response.Kind != core.Served {
				conn.pace(r.Context(), w)
			}
			return
		case <-disconnected:
			disconnected, unseen = nil, nil
			s.options.Post(&core.ClientDisconnected{Request: event.ID, Reason: core.DisconnectClosed})
		case <-unseen:
			disconnected, unseen = nil, nil
			s.options.Post(&core.ClientDisconnected{Request: event.ID, Reason: core.DisconnectUnseen})
		}
	}
}

// serveMalformed answers a malformed request immediately, without waiting for its body: the client may never send the
// rest of it.
func (s *Server) serveMalformed(w http.ResponseWriter, r *http.Request, fault *requestFault) {
	s.postFault(fault)
	conn := connOf(r)
	if !conn.startServing() {
		panic(http.ErrAbortHandler)
	}
	hasBody := r.ContentLength != 0
	// The connection is also closed if a body is left unread: in full duplex mode net/http would start two concurrent
	// reads on it, and panic.
	if fault.closesConn || hasBody {
		closeAfterResponse(w)
	}
	controller := http.NewResponseController(w)
	if hasBody {
		_ = conn.SetReadDeadline(conn.requestStartedAt.Add(malformedTimeout)) // fails only on a closed connection
		_ = controller.EnableFullDuplex()                                     // otherwise net/http reads the body first
	}
	if retryAfter := s.options.Settings.MaxRetryAfter; fault.isOverload && retryAfter > 0 {
		w.Header()["Retry-After"] = []string{formatSeconds(retryAfter)}
	}
	conn.stopObserving(false)
	writeText(w, fault.status, fault.text)
	if hasBody {
		_ = controller.Flush()   // the client may have disconnected
		conn.setState(stateIdle) // the request is answered, and the rest of its body is not needed
	}
	conn.pace(r.Context(), w)
}

// postFault posts the event that counts a request with a fault.
func (s *Server) postFault(fault *requestFault) {
	if fault.isOverload {
		s.options.Post(core.RequestRejected{Reason: core.ReplyOutOfMemory})
		return
	}
	s.options.Post(core.RequestMalformed{Cause: fault.cause})
}

// serveReady answers GET /ready.
func (s *Server) serveReady(w http.ResponseWriter) {
	if s.ready.Load() {
		writeText(w, http.StatusOK, "ready")
		return
	}
	writeText(w, http.StatusServiceUnavailable, "not ready")
}
