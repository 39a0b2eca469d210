package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/testnet"
)

// serveLateCopy accepts connections. On the first one it answers a request with the body "first", sends a copy of that
// response late (none if late is 0), whether or not the next request has come, and answers that one after answerTime with
// the body "second". On each later connection it answers one request with the body "second". It reports the moments at
// which it sent the first response and received each later request.
func serveLateCopy(l net.Listener, late, answerTime time.Duration) <-chan time.Time {
	moments := make(chan time.Time, 4)
	second := response("200 OK", "", "second")
	answerSecond := func(c net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		moments <- time.Now()
		time.Sleep(answerTime)
		_, _ = io.WriteString(c, second) // the attempt's outcome shows whether it was received
	}
	serveFirst := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		moments <- time.Now()
		first := response("200 OK", "", "first")
		_, _ = io.WriteString(c, first) // as above
		if late > 0 {
			time.Sleep(late)
			_, _ = io.WriteString(c, first) // the client may have closed the connection
		}
		answerSecond(c, reader)
		_, _ = io.Copy(io.Discard, reader) // until the client closes the connection
	}
	go func() { // ends with the listener
		for serve := serveFirst; ; {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
			serve = func(c net.Conn) {
				defer func() { _ = c.Close() }()
				answerSecond(c, bufio.NewReader(c))
			}
		}
	}()
	return moments
}

// A second response to one request that arrives some milliseconds late, as the next request crosses it, must not be
// served as the response to that next request (review case 1).
func TestLateSecondResponseDoesNotAnswerNextAttempt(t *testing.T) {
	l := testnet.Listen(t)
	serveLateCopy(l, 5*time.Millisecond, 50*time.Millisecond)
	client := newTestClient(l.Addr().String())
	defer client.Close()
	client.reuseDelay = time.Hour // so that the copy arrives within it, however busy the machine is
	for _, want := range []string{"first", "second"} {
		got := client.attempt(get)
		if got.Result != admission.Succeeded {
			t.Fatalf("result %v, want admission.Succeeded with the body %q", got.Result, want)
		}
		if body := string(got.Response.(*Response).Body); body != want {
			t.Errorf("body %q, want %q", body, want)
		}
	}
}

// The load report in a late second response to a probe must not be served as the response to the next attempt, and a late
// second response to an attempt must not be taken for a load report: probes and attempts share connections.
func TestLateSecondResponseBetweenProbesAndAttempts(t *testing.T) {
	l := testnet.Listen(t)
	serveLateCopy(l, 5*time.Millisecond, 50*time.Millisecond)
	client := newTestClient(l.Addr().String())
	defer client.Close()
	client.reuseDelay = time.Hour
	client.Probe(core.ProbeBackend{Backend: "b", Addr: client.addr})
	if got := (<-client.events).(*core.ProbeFinished); got.Result != admission.Succeeded {
		t.Fatalf("result of the probe %v, want admission.Succeeded", got.Result)
	}
	got := client.attempt(get)
	if got.Result != admission.Succeeded || string(got.Response.(*Response).Body) != "second" {
		t.Errorf("outcome of the attempt after a probe %+v, want its own response", got)
	}

	l = testnet.Listen(t)
	moments := serveLateCopy(l, 5*time.Millisecond, 0)
	client = newTestClient(l.Addr().String(), func(o *Options) { o.ConnectTimeout = 10 * time.Second })
	defer client.Close()
	client.reuseDelay = time.Hour
	client.attempt(get)
	client.Probe(core.ProbeBackend{Backend: "b", Addr: client.addr})
	<-client.events
	if <-moments; len(moments) > 0 {
		t.Error("the probe was sent on the connection that has a second response")
	}
}

// A connection is used again, and not before reuseDelay has passed: a second response that is late by less is then found
// while no request waits for a response.
func TestReuseDelay(t *testing.T) {
	l := testnet.Listen(t)
	moments := serveLateCopy(l, 0, 0)
	client := newTestClient(l.Addr().String())
	defer client.Close()
	client.attempt(get)
	if got := client.attempt(get); got.Result != admission.Succeeded || client.Conns() != 1 {
		t.Errorf("result %v with %d connections, want admission.Succeeded with 1", got.Result, client.Conns())
	}
	responded, received := <-moments, <-moments
	if gap := received.Sub(responded); gap < defaultReuseDelay {
		t.Errorf("the second request came %v after the first response, want at least %v", gap, defaultReuseDelay)
	}
}

// An attempt that waits for the end of reuseDelay ends at once, and writes no byte, when it is canceled or withdrawn or
// the connections to its backend are closed.
func TestReuseDelayIsInterrupted(t *testing.T) {
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
			connected := make(chan struct{})
			client.hooks.onConnected = func(core.AttemptID) { close(connected) }
			id := client.start(get)
			<-connected
			c.interrupt(client.Client, id)
			<-backend.closedConns // before reuseDelay has passed
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

// An attempt whose startBefore passes within reuseDelay is not sent.
func TestReuseDelayOutlastsStartBefore(t *testing.T) {
	c, remote := connPair(t)
	c.reuseDelay = 10 * time.Millisecond
	start := time.Now()
	a := &attempt{startBefore: time.Millisecond, now: func() time.Duration { return time.Since(start) }}
	a.attach(c)
	c.lastRead = start
	go readByte(c)
	if n, err := c.Write([]byte("GET")); n != 0 || !errors.Is(err, errStartExpired) {
		t.Errorf("wrote %d bytes, error %v; want 0 and errStartExpired", n, err)
	}
	_ = c.Close()
	if data, _ := io.ReadAll(remote); len(data) > 0 {
		t.Errorf("sent after startBefore: %q, want nothing", data)
	}
}
