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
	// maxStaleConns is the number of stale connections after which an attempt ends with admission.NotSent.
	maxStaleConns = 8
	// initialResponseTimeout is the initial value of the response timer, which applies until the first byte of the
	// response. The event loop decides how long an attempt may wait for that byte.
	initialResponseTimeout = time.Hour
)

// An attempt is one try of a request at a backend, from StartAttempt to its outcome. It ends with a
// response, with an error of the connection, or by one of these functions:
//
//	function           called by              context                connection      outcome
//	abort              CancelAttempt          canceled               closed          not posted
//	withdraw           WithdrawAttempt        canceled if unwritten  not written to  NotSent if unwritten
//	cancelIfUnwritten  CloseBackendConns      canceled if unwritten  not written to  NotSent if unwritten
//	expired            the first write        unchanged              not written to  NotSent
//	clientLeft         the first write        unchanged              not written to  NotSent
//	closeConn          the response timer     unchanged              closed          depends on what was written
//
// "If unwritten" means that no byte of the request was written; otherwise the attempt continues.
type attempt struct {
	backend       *backend
	cancelContext context.CancelFunc
	now           func() time.Duration
	endsAt        time.Duration // clock time at which the attempt is canceled
	clientWaits   func() bool   // see Request; may be nil
	startBefore   time.Duration // the first byte must be written before this clock time; 0 for no bound

	startExpired    atomic.Bool // startBefore passed before the first byte was written
	withdrawn       atomic.Bool // WithdrawAttempt was called, so the first byte may no longer be written
	responseStarted atomic.Bool // the first byte of a response was received
	staleConns      int         // number of connections that turned out to be stale before a byte was written

	// mu guards both the current connection and the aborted flag, because they must change together:
	// the attempt may get a connection, and http.Transport may write to it, after the attempt's context has ended.
	mu      sync.Mutex
	conn    *backendConn // current connection; nil for none
	aborted bool         // no connection may be used for the attempt any longer
}

// An outcome is the result of an attempt or a probe.
type outcome struct {
	result   admission.Result
	report   []float64    // load report, in the order and units of the settings' fields; nil for none
	response core.Content // *Response if the backend served the request, nil otherwise
}

// attach assigns a connection to the attempt. If the attempt was aborted, attach closes the connection before
// a byte is written, and returns false.
func (a *attempt) attach(conn *backendConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		_ = conn.Close() // nothing was sent on it
		return false
	}
	conn.assign(a)
	a.conn = conn
	return true
}

// detach clears the current connection, on which no byte was written.
func (a *attempt) detach() {
	a.mu.Lock()
	a.conn = nil
	a.mu.Unlock()
}

// currentConn returns the connection that is assigned to the attempt, or nil.
func (a *attempt) currentConn() *backendConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn
}

// writeStarted reports whether a byte of the request was written.
func (a *attempt) writeStarted() bool {
	conn := a.currentConn()
	if conn == nil {
		return false
	}
	started, _ := conn.progress(a)
	return started
}

// abort ends the attempt without an outcome. No byte of the request is written after abort has returned.
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

// withdraw ends the attempt unless a byte of the request was written.
func (a *attempt) withdraw() {
	a.withdrawn.Store(true)
	a.cancelIfUnwritten()
}

// cancelIfUnwritten cancels the context unless a byte of the request was written.
func (a *attempt) cancelIfUnwritten() {
	if !a.writeStarted() {
		a.cancelContext()
	}
}

// expired reports whether startBefore has passed, and if so sets startExpired. The process may have been suspended
// since the attempt was started, or the attempt may have waited for a connection.
func (a *attempt) expired() bool {
	if a.startBefore <= 0 || a.now() < a.startBefore {
		return false
	}
	a.startExpired.Store(true)
	return true
}

// clientLeft reports whether the client no longer waits, and withdraws the attempt in that case. The event loop may not have
// been told yet: the process may have been suspended, or the attempt may have waited for a connection.
func (a *attempt) clientLeft() bool {
	if a.clientWaits == nil || a.clientWaits() {
		return false
	}
	a.withdrawn.Store(true)
	return true
}

// closeConn closes the connection that is assigned to the attempt, if any.
func (a *attempt) closeConn() {
	if conn := a.currentConn(); conn != nil {
		conn.abort(a)
	}
}

// run makes an attempt and posts its outcome, unless CancelAttempt was called in the meantime. It runs in a
// goroutine of its own.
func (c *Client) run(ctx context.Context, a *attempt, e core.StartAttempt) {
	defer a.cancelContext()
	out := c.perform(ctx, a, e)
	c.mu.Lock()
	active := c.attempts[e.Attempt] == a
	delete(c.attempts, e.Attempt)
	c.mu.Unlock()
	if !active {
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

// perform makes an attempt. It switches to another connection each time that one turns out to be stale before
// a byte of the request was written.
func (c *Client) perform(ctx context.Context, a *attempt, e core.StartAttempt) outcome {
	for {
		out := c.roundTrip(ctx, a, e)
		if out.result != admission.Unreachable && out.result != admission.ConnectFailed {
			return out
		}
		if a.writeStarted() {
			return out
		}
		if a.backend.closed.Load() || a.withdrawn.Load() { // not a failure of the backend
			return outcome{result: admission.NotSent}
		}
		if a.currentConn() == nil || ctx.Err() != nil {
			return out
		}
		a.staleConns++
		if a.staleConns >= maxStaleConns {
			return outcome{result: admission.NotSent}
		}
		a.detach()
	}
}

// roundTrip makes an attempt on the connection that the backend's pool selects.
func (c *Client) roundTrip(ctx context.Context, a *attempt, e core.StartAttempt) outcome {
	conn, err := a.backend.pool.get(ctx)
	if errors.Is(err, errTooManyConns) || errors.Is(err, errBackendClosed) {
		return outcome{result: admission.NotSent}
	}
	if err != nil {
		return outcome{result: resultWithoutConn(err)}
	}
	defer a.backend.pool.put(conn)
	c.hooks.onConnected(e.Attempt)
	if !a.attach(conn.backendConn) {
		return outcome{result: admission.NotSent} // which is not posted
	}
	// A valid response is complete shortly after its first byte. The timer closes the connection of a response
	// whose header never ends or whose length is wrong, which would otherwise stay open.
	responseTimer := time.AfterFunc(initialResponseTimeout, a.closeConn)
	defer responseTimer.Stop()
	ctx = httptrace.WithClientTrace(ctx, c.trace(a, responseTimer))
	remaining := a.endsAt - a.now()
	if remaining <= 0 {
		return outcome{result: admission.NotSent}
	}
	content := e.Content.(*Request)
	body := newRequestBody(content.Body)
	response, err := conn.transport.RoundTrip(newRequest(ctx, body, content, e, remaining))
	if errors.Is(err, errBackendClosed) || a.startExpired.Load() {
		return outcome{result: admission.NotSent}
	}
	if err != nil {
		return outcome{result: resultWithoutResponse(a, body)}
	}
	return c.receive(a, body, response)
}

// trace returns callbacks that control the response timer as bytes of a response are received, and that count the
// attempts whose requests were written.
func (c *Client) trace(a *attempt, responseTimer *time.Timer) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotFirstResponseByte: func() {
			if conn := a.currentConn(); conn != nil {
				conn.responseBuffered()
			}
			a.responseStarted.Store(true)
			responseTimer.Reset(c.options.ResponseTimeout)
		},
		// The final response may come long after an informational one, so the timer is stopped.
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
