package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/testnet"
)

// A refused connection proves that the request never ran.
func TestConnectionRefused(t *testing.T) {
	client := newTestClient(testnet.RefusingAddr(t))
	defer client.Close()
	if got := client.attempt(get); got.Result != admission.Unreachable {
		t.Errorf("result %v, want admission.Unreachable", got.Result)
	}
}

// Canceling an attempt closes its connection, so that the backend notices, and no further request is sent on the
// connection of a backend that does not respond.
func TestCancelClosesConnection(t *testing.T) {
	backend := startBackend(t, sendNothing, response("200 OK", "", ""))
	client := newTestClient(backend.listener.Addr().String())
	defer client.Close()
	id := client.start(get)
	<-backend.requests
	client.CancelAttempt(id)
	if conn := <-backend.closedConns; conn != 0 {
		t.Errorf("connection %d was closed, want connection 0", conn)
	}
	if got := client.attempt(get); got.Result != admission.Succeeded || got.Attempt == id {
		t.Errorf("next outcome %+v, want admission.Succeeded for the new attempt", got)
	}
	if conn := (<-backend.requests).conn; conn != 1 {
		t.Errorf("the next attempt was not sent on a new connection")
	}
}

// CloseBackendConns closes the idle connections to a backend. A later attempt opens a new one.
func TestCloseBackendConnsClosesIdle(t *testing.T) {
	backend := startBackend(t, response("200 OK", "", ""), response("200 OK", "", ""))
	client := newTestClient(backend.listener.Addr().String())
	defer client.Close()
	client.attempt(get)
	client.CloseBackendConns("b")
	if conn := <-backend.closedConns; conn != 0 {
		t.Errorf("connection %d was closed, want connection 0", conn)
	}
	client.attempt(get)
	if <-backend.requests; (<-backend.requests).conn != 1 { // skips the request of the first attempt
		t.Error("the attempt after the close was not sent on a new connection")
	}
}

// An attempt whose request was written continues when the connections to its backend are closed. Its connection is
// closed after the response.
func TestCloseBackendConnsKeepsStartedAttempt(t *testing.T) {
	signal, l := make(chan bool), testnet.Listen(t)
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		reader := bufio.NewReader(c)
		_, _ = http.ReadRequest(reader) // the result below shows whether the request was received
		signal <- true
		<-signal
		_, _ = io.WriteString(c, response("200 OK", "", "")) // the result below shows whether the response was received
		_, err = reader.ReadByte()
		ended <- err
	}()
	client := newTestClient(l.Addr().String())
	client.start(get)
	<-signal
	client.CloseBackendConns("b")
	signal <- true
	if got := (<-client.events).(*core.AttemptFinished); got.Result != admission.Succeeded {
		t.Errorf("result %v, want admission.Succeeded", got.Result)
	}
	if err := <-ended; !errors.Is(err, io.EOF) {
		t.Errorf("read at the backend: error %v, want EOF", err)
	}
}

// Connections stay within MaxConns, and no longer count once they are closed.
func TestMaxConns(t *testing.T) {
	backend := startBackend(t, sendNothing, response("200 OK", "", ""))
	client := newTestClient(backend.listener.Addr().String(), func(o *Options) { o.MaxConns = 1 })
	defer client.Close()
	id := client.start(get)
	<-backend.requests
	if got := client.attempt(get); got.Result != admission.NotSent || client.Conns() != 1 { // not a failure of the backend
		t.Errorf("result %v with %d connections, want admission.NotSent with 1", got.Result, client.Conns())
	}
	client.CancelAttempt(id)
	if got := client.attempt(get); got.Result != admission.Succeeded {
		t.Errorf("result %v after the cancel, want admission.Succeeded", got.Result)
	}
}

// The number of idle connections is bounded, and they are closed before the backend closes them: a request that is
// sent while the backend closes its connection would be lost.
func TestIdleConns(t *testing.T) {
	client := newTestClient("", func(o *Options) { o.IdleClose = 15 * time.Second })
	b := client.backend("b", "h:1")
	if got := b.pool; got.idleTimeout != 10*time.Second || got.maxIdle != 4 {
		t.Errorf("idle timeout %v, %d idle connections; want 10s and 4", got.idleTimeout, got.maxIdle)
	}
}
