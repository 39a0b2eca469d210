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
		t.Errorf("result %v", got.Result)
	}
}

// A canceled attempt closes its connection: the backend sees that, and one that has gone silent gets no
// further request on it.
func TestCancelClosesConnection(t *testing.T) {
	backend := startBackend(t, silentInstead, response("200 OK", "", ""))
	client := newTestClient(backend.listener.Addr().String())
	defer client.Close()
	id := client.start(get)
	<-backend.requests
	client.CancelAttempt(id)
	if conn := <-backend.ended; conn != 0 {
		t.Errorf("connection %d ended", conn)
	}
	if got := client.attempt(get); got.Result != admission.Succeeded || got.Attempt == id {
		t.Errorf("next outcome %+v", got)
	}
	if conn := (<-backend.requests).conn; conn != 1 {
		t.Errorf("the canceled connection was used again")
	}
}

// A backend whose connections are closed keeps no idle one, and gets new ones later.
func TestCloseBackendConnsClosesIdle(t *testing.T) {
	backend := startBackend(t, response("200 OK", "", ""), response("200 OK", "", ""))
	client := newTestClient(backend.listener.Addr().String())
	defer client.Close()
	client.attempt(get)
	client.CloseBackendConns("b")
	if conn := <-backend.ended; conn != 0 {
		t.Errorf("connection %d ended", conn)
	}
	client.attempt(get)
	if <-backend.requests; (<-backend.requests).conn != 1 {
		t.Error("sent on a connection of before the close")
	}
}

// An attempt that has begun goes on as the connections to its backend are closed, and its connection is
// closed afterwards.
func TestCloseBackendConnsLetsFinish(t *testing.T) {
	hold, l := make(chan bool), testnet.Listen(t)
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		in := bufio.NewReader(c)
		_, _ = http.ReadRequest(in) // the result shows whether it came
		hold <- true
		<-hold
		_, _ = io.WriteString(c, response("200 OK", "", "")) // the result shows whether it came
		_, err = in.ReadByte()
		ended <- err
	}()
	client := newTestClient(l.Addr().String())
	client.start(get)
	<-hold
	client.CloseBackendConns("b")
	hold <- true
	if got := (<-client.events).(*core.AttemptFinished); got.Result != admission.Succeeded {
		t.Errorf("result %v", got.Result)
	}
	if err := <-ended; !errors.Is(err, io.EOF) {
		t.Errorf("connection ended with %v", err)
	}
}

// Connections stay within the bound, and are not counted any more once they end.
func TestMaxConns(t *testing.T) {
	backend := startBackend(t, silentInstead, response("200 OK", "", ""))
	client := newTestClient(backend.listener.Addr().String(), func(o *Options) { o.MaxConns = 1 })
	defer client.Close()
	id := client.start(get)
	<-backend.requests
	if got := client.attempt(get); got.Result != admission.NotSent || client.Conns() != 1 { // not the backend's failure
		t.Errorf("result %v with %d connections", got.Result, client.Conns())
	}
	client.CancelAttempt(id)
	if got := client.attempt(get); got.Result != admission.Succeeded {
		t.Errorf("result %v", got.Result)
	}
}

// Idle connections are few, and closed before the backend does it: a request that crosses that close would
// be lost.
func TestIdleConns(t *testing.T) {
	client := newTestClient("", func(o *Options) { o.IdleClose = 15 * time.Second })
	b := client.backend("b", "h:1")
	if got := b.transport; got.IdleConnTimeout != 10*time.Second || got.MaxIdleConnsPerHost != 4 {
		t.Errorf("kept for %v, %d of them", got.IdleConnTimeout, got.MaxIdleConnsPerHost)
	}
}
