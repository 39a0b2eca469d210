package upstream

import (
	"context"
	"errors"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

const (
	// maxStaleConns is after how many stale connections an attempt ends with admission.NotSent.
	maxStaleConns = 8
	// noResponseTimeout is what the timer for a response is set to before the first byte: the event loop
	// decides how long that may take.
	noResponseTimeout = time.Hour
)

// An attempt is one attempt of a request at a backend, from StartAttempt to its outcome. Beside a response
// or an error of the connection, these end it:
//
//	by                 called for           its context            its connection  outcome
//	abort              CancelAttempt        canceled               closed          not posted
//	withdraw           WithdrawAttempt      canceled if unwritten  not written to  NotSent if unwritten
//	cancelUnlessBegun  CloseBackendConns    canceled if unwritten  not written to  NotSent if unwritten
//	expired            the first write      kept                   not written to  NotSent
//	closeCarrier       the response timer   kept                   closed          by what was written
//
// "If unwritten" is: if no byte of it was written; otherwise the attempt goes on.
type attempt struct {
	backend       *backend
	cancelContext context.CancelFunc
	now           func() time.Duration
	startBefore   time.Duration // no first byte may be written from then on; 0 for no bound

	startExpired    atomic.Bool // startBefore had passed before the first byte
	withdrawn       atomic.Bool // no first byte may be written any longer
	responseStarted atomic.Bool // the first byte of a response was received
	staleConns      int         // connections that were stale before a byte was written

	// Which connection carries the attempt and whether it was aborted are one decision: http.Transport
	// may hand over a connection, and write to it, after its context has ended.
	mu      sync.Mutex
	conn    *backendConn // the one that carries it; nil for none
	aborted bool         // no connection may carry it any longer
}

// An outcome is how an attempt or a probe ended.
type outcome struct {
	result   admission.Result
	report   []float64    // load report, in the order and units of the settings' fields; nil for none
	response core.Content // *Response of a request that was served, nil otherwise
}

// attach makes a connection the one that carries the attempt. If the attempt was aborted, the connection is
// closed before a byte is written.
func (a *attempt) attach(conn *backendConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		_ = conn.Close() // nothing was sent on it
		return
	}
	conn.assign(a)
	a.conn = conn
}

// detach gives up a connection on which no byte was written.
func (a *attempt) detach() {
	a.mu.Lock()
	a.conn = nil
	a.mu.Unlock()
}

// carrier returns the connection that carries the attempt, nil if none does.
func (a *attempt) carrier() *backendConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn
}

// begun reports whether a byte of the attempt was written.
func (a *attempt) begun() bool {
	conn := a.carrier()
	if conn == nil {
		return false
	}
	begun, _ := conn.progress(a)
	return begun
}

// abort ends the attempt for good. No byte of it is written once abort has returned.
func (a *attempt) abort() {
	a.mu.Lock()
	a.aborted = true
	conn := a.conn
	a.mu.Unlock()
	a.cancelContext()
	if conn != nil {
		conn.abort(a)
	}
}

// withdraw ends the attempt unless a byte of it was written.
func (a *attempt) withdraw() {
	a.withdrawn.Store(true)
	a.cancelUnlessBegun()
}

// cancelUnlessBegun cancels the context unless a byte of the attempt was written.
func (a *attempt) cancelUnlessBegun() {
	if !a.begun() {
		a.cancelContext()
	}
}

// expired reports whether the time in which the attempt may begin has ended. The program may have been
// suspended since the attempt was started, or waited for a connection.
func (a *attempt) expired() bool {
	if a.startBefore <= 0 || a.now() < a.startBefore {
		return false
	}
	a.startExpired.Store(true)
	return true
}

// closeCarrier closes the connection that carries the attempt, if one does.
func (a *attempt) closeCarrier() {
	if conn := a.carrier(); conn != nil {
		conn.abort(a)
	}
}

// run is the goroutine of an attempt: it makes the attempt and posts the outcome, unless the attempt was
// canceled meanwhile.
func (c *Client) run(ctx context.Context, a *attempt, e core.StartAttempt) {
	defer a.backend.closeIdleIfClosed()
	defer a.cancelContext()
	out := c.perform(ctx, a, e)
	c.mu.Lock()
	wanted := c.attempts[e.Attempt] == a
	delete(c.attempts, e.Attempt)
	c.mu.Unlock()
	if !wanted {
		return
	}
	c.options.Post(&core.AttemptFinished{
		Attempt:         e.Attempt,
		Result:          out.result,
		Report:          out.report,
		Response:        out.response,
		ResponseInvalid: out.result == admission.ConnectionLost && a.responseStarted.Load(),
		StaleConns:      a.staleConns,
		StartExpired:    a.startExpired.Load(),
	})
}

// perform makes an attempt, with another connection each time that one turns out to be stale before a byte of
// the request was written.
func (c *Client) perform(ctx context.Context, a *attempt, e core.StartAttempt) outcome {
	for {
		out := c.try(ctx, a, e)
		if out.result != admission.Unreachable && out.result != admission.ConnectFailed {
			return out
		}
		if a.begun() {
			return out
		}
		if a.backend.closed.Load() || a.withdrawn.Load() { // no failure of the backend
			return outcome{result: admission.NotSent}
		}
		if a.carrier() == nil || ctx.Err() != nil {
			return out
		}
		a.staleConns++
		if a.staleConns >= maxStaleConns {
			return outcome{result: admission.NotSent}
		}
		a.detach()
	}
}

// try makes an attempt on the connection that http.Transport has for it.
func (c *Client) try(ctx context.Context, a *attempt, e core.StartAttempt) outcome {
	// A response that has begun is complete soon. Otherwise its head does not end or its length is wrong,
	// and the connection would stay open.
	responseTimer := time.AfterFunc(noResponseTimeout, a.closeCarrier)
	defer responseTimer.Stop()
	ctx = httptrace.WithClientTrace(ctx, c.trace(a, e.Attempt, responseTimer))
	content := e.Content.(*Request)
	body := newRequestBody(content.Body)
	response, err := a.backend.transport.RoundTrip(newRequest(ctx, body, content, e))
	if errors.Is(err, errTooManyConns) || errors.Is(err, errBackendClosed) || a.startExpired.Load() {
		return outcome{result: admission.NotSent}
	}
	if err != nil {
		return outcome{result: resultWithoutResponse(a, body, err)}
	}
	return c.receive(a, body, response)
}

// trace returns callbacks that tie a connection of http.Transport to an attempt, and start the timer for
// the response with its first byte.
func (c *Client) trace(a *attempt, id core.AttemptID, responseTimer *time.Timer) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*backendConn); ok {
				c.hooks.connected(id)
				a.attach(conn)
			}
		},
		GotFirstResponseByte: func() {
			if conn := a.carrier(); conn != nil {
				conn.responseBuffered()
			}
			a.responseStarted.Store(true)
			responseTimer.Reset(c.options.ResponseTimeout)
		},
		// An informational response is skipped, and the response may be long in coming.
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			responseTimer.Stop()
			return nil
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				c.attemptsWritten.Add(1)
			}
		},
	}
}
