package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/testnet"
)

// receiveAll accepts a connection and returns all data received on it until it ends.
func receiveAll(l net.Listener) <-chan string {
	received := make(chan string, 1)
	go func() { // ends with the connection
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		data, _ := io.ReadAll(c) // a reset also ends the data
		received <- string(data)
	}()
	return received
}

// An attempt that is canceled at the moment its connection is established sends nothing. The transport uses a
// connection that it has obtained even if the context has ended.
func TestCancelAsConnectionIsEstablished(t *testing.T) {
	l := testnet.Listen(t)
	received := receiveAll(l)
	client := newTestClient(l.Addr().String())
	defer client.Close()
	client.hooks.onConnected = func(id core.AttemptID) { client.CancelAttempt(id) }
	client.start(get)
	if data := <-received; data != "" {
		t.Errorf("sent after the cancel: %q, want nothing", data)
	}
	select {
	case ev := <-client.events:
		t.Errorf("posted %+v, want no outcome", ev)
	default:
	}
}

// An attempt that was canceled writes no byte to a connection that it gets later, whatever the transport does with it.
func TestNothingWrittenAfterCancel(t *testing.T) {
	c, remote := connPair(t)
	a := &attempt{cancelContext: func() {}, backend: c.backend}
	a.abort()
	a.attach(c)
	go readByte(c)
	if n, err := c.Write([]byte("GET")); n != 0 || err == nil {
		t.Errorf("wrote %d bytes, error %v; want 0 and an error", n, err)
	}
	_ = c.Close()
	if data, _ := io.ReadAll(remote); len(data) > 0 {
		t.Errorf("sent after the cancel: %q, want nothing", data)
	}
}

// If the attempt is canceled when it gets an idle connection, nothing is sent and the connection is closed.
func TestCancelAsIdleConnectionIsReused(t *testing.T) {
	backend := startBackend(t, response("200 OK", "", ""), response("200 OK", "", ""))
	client := newTestClient(backend.listener.Addr().String())
	defer client.Close()
	client.reuseDelay = 0 // so that the second attempt gets the idle connection
	client.attempt(get)
	<-backend.requests
	client.hooks.onConnected = func(id core.AttemptID) { client.CancelAttempt(id) }
	client.start(get)
	if conn := <-backend.closedConns; conn != 0 {
		t.Errorf("connection %d was closed, want connection 0", conn)
	}
	select {
	case r := <-backend.requests:
		t.Errorf("sent after the cancel: %+v, want no request", r)
	default:
	}
}

// A retry whose connection is established only when StartBefore has passed is not sent.
func TestStartExpiredAsConnectionIsEstablished(t *testing.T) {
	l := testnet.Listen(t)
	received := receiveAll(l)
	var now atomic.Int64
	client := newTestClient(l.Addr().String(), func(o *Options) { o.Now = func() time.Duration { return time.Duration(now.Load()) } })
	client.hooks.onConnected = func(core.AttemptID) { now.Store(int64(time.Second)) }
	client.StartAttempt(core.StartAttempt{Attempt: core.AttemptID{Request: 1, Number: 1}, Backend: "b", Addr: client.addr, Timeout: time.Minute, Content: get, StartBefore: time.Second})
	select {
	case ev := <-client.events:
		if got := ev.(*core.AttemptFinished); got.Result != admission.NotSent || !got.StartExpired {
			t.Errorf("outcome %+v, want admission.NotSent with StartExpired", got)
		}
	case <-time.After(time.Second): // the request was sent, and no response is received; checked below
	}
	client.CancelAttempt(core.AttemptID{Request: 1, Number: 1})
	client.Close()
	if data := <-received; data != "" {
		t.Errorf("sent after StartBefore: %q, want nothing", data)
	}
}

// A backend restarts at the moment a connection to its earlier process is established. Nothing is sent on that
// connection, and the result of the attempt is NotSent.
func TestCloseBackendConnsAsConnectionIsEstablished(t *testing.T) {
	l := testnet.Listen(t)
	received := receiveAll(l)
	client := newTestClient(l.Addr().String())
	defer client.Close()
	client.hooks.onConnected = func(core.AttemptID) { client.CloseBackendConns("b") }
	if got := client.attempt(get); got.Result != admission.NotSent {
		t.Errorf("result %v, want admission.NotSent", got.Result)
	}
	if data := <-received; data != "" {
		t.Errorf("sent after the close: %q, want nothing", data)
	}
}

// The last byte of a request is on the socket before the transport reports that the request was written. A response
// that is cut off in between does not prove that the request never ran, whatever the size of the request's body.
func TestCutOffAfterLastByte(t *testing.T) {
	for _, size := range []int{0, 10, 48 << 10} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			l := testnet.Listen(t)
			go func() { // ends with the connection
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					t.Errorf("no request received: %v", err)
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					t.Errorf("reading the body: %v", err)
				}
				write(t, c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\ncut off")
			}()
			client := newTestClient(l.Addr().String())
			defer client.Close()
			headerBytes, sent, ended := 0, 0, make(chan bool)
			client.hooks.onWritten = func(n int) {
				if headerBytes == 0 {
					headerBytes = n // the header is written separately
				}
				if sent += n; sent == headerBytes+size {
					<-ended // so that the transport reports the write only after the attempt has ended
				}
			}
			client.start(&Request{Method: "POST", URI: "/x", Host: "x", CallID: "1", Body: []byte(strings.Repeat("x", size))})
			got := (<-client.events).(*core.AttemptFinished)
			close(ended)
			if got.Result != admission.ConnectionLost || !got.ResponseInvalid {
				t.Errorf("result %v, response invalid %v for a request that was received completely; want admission.ConnectionLost and true", got.Result, got.ResponseInvalid)
			}
		})
	}
}

// An attempt that is withdrawn when its connection is established is not sent, and is not a failure of the backend.
func TestWithdrawAsConnectionIsEstablished(t *testing.T) {
	l := testnet.Listen(t)
	received := receiveAll(l)
	client := newTestClient(l.Addr().String())
	defer client.Close()
	client.hooks.onConnected = func(id core.AttemptID) { client.WithdrawAttempt(id) }
	if got := client.attempt(get); got.Result != admission.NotSent {
		t.Errorf("result %v, want admission.NotSent", got.Result)
	}
	if data := <-received; data != "" {
		t.Errorf("sent after the withdrawal: %q, want nothing", data)
	}
}

// An attempt that is withdrawn before it has a connection stops dialing, and sends nothing on a later connection.
func TestWithdrawBeforeConnection(t *testing.T) {
	l := testnet.Listen(t)
	client := newTestClient(l.Addr().String())
	defer client.Close()
	canceled := false
	a := &attempt{backend: &backend{}, now: client.options.Now, cancelContext: func() { canceled = true }}
	a.withdraw()
	if !canceled {
		t.Error("the context was not canceled, so the dial continues")
	}
	c, remote := connPair(t)
	a.attach(c)
	go readByte(c)
	if n, err := c.Write([]byte("GET")); n != 0 || err == nil {
		t.Errorf("wrote %d bytes, error %v; want 0 and an error", n, err)
	}
	_ = c.Close()
	if data, _ := io.ReadAll(remote); len(data) > 0 {
		t.Errorf("sent after the withdrawal: %q, want nothing", data)
	}
}

// An attempt that is withdrawn after its first byte was written continues until its response.
func TestWithdrawAfterFirstByte(t *testing.T) {
	backend := startBackend(t, response("200 OK", "", "yes"))
	client := newTestClient(backend.listener.Addr().String())
	defer client.Close()
	id := core.AttemptID{}
	client.hooks.onConnected = func(i core.AttemptID) { id = i }
	client.hooks.onWritten = func(int) { client.WithdrawAttempt(id) }
	if got := client.attempt(get); got.Result != admission.Succeeded {
		t.Errorf("result %v, want admission.Succeeded", got.Result)
	}
}

// A connect timeout is weaker evidence against a backend than a refused connect: some connects take long while
// others to the same backend do not.
func TestConnectTimeoutIsNotUnreachable(t *testing.T) {
	l := testnet.Listen(t)
	client := newTestClient(l.Addr().String(), func(o *Options) { o.ConnectTimeout = time.Nanosecond })
	defer client.Close()
	if got := client.attempt(get); got.Result != admission.ConnectFailed {
		t.Errorf("connect timeout: result %v, want admission.ConnectFailed", got.Result)
	}
	client = newTestClient(testnet.RefusingAddr(t))
	defer client.Close()
	if got := client.attempt(get); got.Result != admission.Unreachable {
		t.Errorf("refused connect: result %v, want admission.Unreachable", got.Result)
	}
}
