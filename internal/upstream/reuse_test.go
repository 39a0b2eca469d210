package upstream

import (
	"bufio"
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/testnet"
)

// lateCopy is how late serveLateCopy sends a response for the second time.
const lateCopy = 5 * time.Millisecond

// serveLateCopy accepts connections. On the first one it answers a request, sends a copy of that response late, whether or
// not the next request has come, and answers that one 50 ms after it has come. On each later connection it answers one
// request. The responses differ in their bodies and load reports: "first" and 0.1, "second" and 0.2. The first one, and
// its copy, has the given status.
func serveLateCopy(l net.Listener, status string) {
	first := response(status, "X-Load-Report: TEXT latency_ms=1, util=0.1\r\n", "first")
	second := response("200 OK", "X-Load-Report: TEXT latency_ms=1, util=0.2\r\n", "second")
	serve := func(c net.Conn, isFirst bool) {
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		if isFirst {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(c, first) // the outcome shows whether it was received
			time.Sleep(lateCopy)
			_, _ = io.WriteString(c, first) // the client may have closed the connection
		}
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		time.Sleep(10 * lateCopy)
		_, _ = io.WriteString(c, second)   // as above
		_, _ = io.Copy(io.Discard, reader) // until the client closes the connection
	}
	go func() { // ends with the listener
		for isFirst := true; ; isFirst = false {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, isFirst)
		}
	}()
}

// A second response to one request that arrives some milliseconds late, as the next request crosses it, must not be
// served as the response to that next request (review case 1). Probes and attempts share connections.
func TestLateSecondResponseDoesNotAnswerNextRequest(t *testing.T) {
	attemptAt := func(t *testing.T, client *testClient, want string) {
		got := client.attempt(get)
		if got.Result != admission.Succeeded {
			t.Fatalf("result %v, want admission.Succeeded with the body %q", got.Result, want)
		}
		if body := string(got.Response.(*Response).Body); body != want {
			t.Errorf("attempt got the body %q, want %q", body, want)
		}
	}
	probeAt := func(t *testing.T, client *testClient, want string) {
		client.Probe(core.ProbeBackend{Backend: "b", Addr: client.addr})
		got := (<-client.events).(*core.ProbeFinished)
		report := map[string][]float64{"first": {1, 0.1}, "second": {1, 0.2}}[want]
		if got.Result != admission.Succeeded || !reflect.DeepEqual(got.Report, report) {
			t.Errorf("probe got result %v and report %v, want admission.Succeeded and %v", got.Result, got.Report, report)
		}
	}
	type request func(*testing.T, *testClient, string)
	for name, requests := range map[string][2]request{
		"attempts":            {attemptAt, attemptAt},
		"probe after attempt": {attemptAt, probeAt},
		"attempt after probe": {probeAt, attemptAt},
		"probe after a probe": {probeAt, probeAt},
	} {
		t.Run(name, func(t *testing.T) {
			l := testnet.Listen(t)
			serveLateCopy(l, "200 OK")
			client := newTestClient(l.Addr().String())
			defer client.Close()
			client.reuseDelay = time.Hour // so that the copy arrives within it, however busy the machine is
			requests[0](t, client, "first")
			requests[1](t, client, "second")
		})
	}
}

// A late second response that says that its request never ran must not say so of the next request, which may run and
// would be sent again.
func TestLateSecondRejectionDoesNotRejectNextAttempt(t *testing.T) {
	l := testnet.Listen(t)
	serveLateCopy(l, "503 Full\r\nX-Rejected: 1")
	client := newTestClient(l.Addr().String())
	defer client.Close()
	client.reuseDelay = time.Hour
	for i, want := range []admission.Result{admission.Rejected, admission.Succeeded} {
		if got := client.attempt(get); got.Result != want {
			t.Errorf("attempt %d: result %v, want %v", i, got.Result, want)
		}
	}
}

// A late second response ends its connection without a line in the log, which http.Transport would write with the body
// of the response.
func TestLateSecondResponseIsNotLogged(t *testing.T) {
	var logged bytes.Buffer
	log.SetOutput(&logged)
	defer log.SetOutput(os.Stderr)
	l, answered := testnet.Listen(t), make(chan struct{})
	go func() { // ends with the connection
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(c)) // the outcome shows whether it was received
		_, _ = io.WriteString(c, response("200 OK", "", "first"))
		<-answered
		_, _ = io.WriteString(c, response("200 OK", "", "first"))
		_, _ = io.Copy(io.Discard, c)
	}()
	client := newTestClient(l.Addr().String())
	defer client.Close()
	client.reuseDelay = time.Hour
	client.attempt(get)
	close(answered)
	waitFor(t, "the end of the connection", func() bool { return client.Conns() == 0 })
	if logged.Len() > 0 {
		t.Errorf("logged %q, want nothing", logged.String())
	}
}

// blockDials makes further dials to the backend block until the end of the test.
func (c *testClient) blockDials(t *testing.T) *connPool {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	pool, ended := c.backend("b", c.addr).pool, make(chan struct{})
	t.Cleanup(func() { close(ended) })
	pool.dial = func() (*pooledConn, error) {
		<-ended
		return nil, errBackendClosed
	}
	return pool
}

// A connection is used again, but not before defaultReuseDelay has passed: a second response that is late by less is
// then found while no request waits for a response.
func TestReuseDelay(t *testing.T) {
	backend := startBackend(t, response("200 OK", "", "first"), response("200 OK", "", "second"))
	client := newTestClient(backend.listener.Addr().String())
	defer client.Close()
	written := make(chan time.Time, 4) // each request is written at once
	client.hooks.onWritten = func(int) { written <- time.Now() }
	client.attempt(get)
	client.blockDials(t)
	if got := client.attempt(get); got.Result != admission.Succeeded {
		t.Errorf("result %v, want admission.Succeeded", got.Result)
	}
	first, second := <-written, <-written
	if gap := second.Sub(first); gap < defaultReuseDelay {
		t.Errorf("the second request was written %v after the first one, want at least %v", gap, defaultReuseDelay)
	}
	if <-backend.requests; (<-backend.requests).conn != 0 {
		t.Error("the second request was sent on another connection")
	}
}

// An attempt that waits for a connection ends at once, and writes no byte, when it is withdrawn or canceled, or when the
// connections to its backend are closed.
func TestWaitForConnIsInterrupted(t *testing.T) {
	for name, c := range map[string]struct {
		interrupt func(*Client, core.AttemptID)
		posted    bool // an outcome is posted
	}{
		"cancel":              {(*Client).CancelAttempt, false},
		"withdraw":            {(*Client).WithdrawAttempt, true},
		"close backend conns": {func(c *Client, _ core.AttemptID) { c.CloseBackendConns("b") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			backend := startBackend(t, response("200 OK", "", "yes"), response("200 OK", "", "no"))
			client := newTestClient(backend.listener.Addr().String())
			defer client.Close()
			client.reuseDelay = time.Hour
			client.attempt(get)
			<-backend.requests
			pool := client.blockDials(t)
			id := client.start(get)
			waitFor(t, "a waiting request", func() bool { return pool.waitingCount() == 1 })
			c.interrupt(client.Client, id)
			waitFor(t, "no waiting request", func() bool { return pool.waitingCount() == 0 })
			if c.posted {
				if got := (<-client.events).(*core.AttemptFinished); got.Result != admission.NotSent {
					t.Errorf("result %v, want admission.NotSent", got.Result)
				}
			}
			if len(backend.requests) > 0 {
				t.Error("the request was sent")
			}
		})
	}
}

// An attempt whose StartBefore passes while it waits for a connection is not sent.
func TestStartExpiresWhileWaitingForConn(t *testing.T) {
	backend := startBackend(t, response("200 OK", "", "yes"), response("200 OK", "", "no"))
	var now atomic.Int64
	client := newTestClient(backend.listener.Addr().String(), func(o *Options) {
		o.Now = func() time.Duration { return time.Duration(now.Load()) }
	})
	defer client.Close()
	client.attempt(get)
	<-backend.requests
	client.blockDials(t)
	client.hooks.onConnected = func(core.AttemptID) { now.Store(int64(time.Second)) }
	id := core.AttemptID{Request: 2, Number: 1}
	client.StartAttempt(core.StartAttempt{Attempt: id, Backend: "b", Addr: client.addr, Timeout: time.Minute, Content: get, StartBefore: time.Second})
	if got := (<-client.events).(*core.AttemptFinished); got.Result != admission.NotSent || !got.StartExpired {
		t.Errorf("outcome %+v, want admission.NotSent with StartExpired", got)
	}
	if len(backend.requests) > 0 {
		t.Error("the request was sent")
	}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for start := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatalf("did not come within 10 s: %s", what)
		}
	}
}

// waitingCount returns the number of requests that wait for a connection.
func (p *connPool) waitingCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting)
}
