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

// receiveAll accepts a connection and returns all that comes on it until it ends.
func receiveAll(l net.Listener) <-chan string {
	all := make(chan string, 1)
	go func() { // ends with the connection
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		data, _ := io.ReadAll(c) // a reset is an end too
		all <- string(data)
	}()
	return all
}

// An attempt that is canceled at the moment in which its connection is there sends nothing: the transport
// goes on with a connection that it has got, whatever became of the context.
func TestCancelAsConnectionComes(t *testing.T) {
	l := testnet.Listen(t)
	came := receiveAll(l)
	client := newTestClient(l.Addr().String())
	defer client.Close()
	client.hooks.connected = func(id core.AttemptID) { client.CancelAttempt(id) }
	client.start(get)
	if data := <-came; data != "" {
		t.Errorf("sent after the cancel: %q", data)
	}
	select {
	case ev := <-client.events:
		t.Errorf("posted %+v", ev)
	default:
	}
}

// Whatever the transport does with a connection that came too late, not a byte is written there.
func TestNothingWrittenAfterCancel(t *testing.T) {
	c, far := connPair(t)
	a := &attempt{cancelContext: func() {}, backend: c.backend}
	a.abort()
	a.attach(c)
	go readByte(c)
	if n, err := c.Write([]byte("GET")); n != 0 || err == nil {
		t.Errorf("wrote %d bytes, %v", n, err)
	}
	_ = c.Close()
	if data, _ := io.ReadAll(far); len(data) > 0 {
		t.Errorf("sent after the cancel: %q", data)
	}
}

// The same on a connection that was kept: nothing is sent, and it is kept no longer.
func TestCancelAsKeptConnectionComes(t *testing.T) {
	backend := startBackend(t, response("200 OK", "", ""), response("200 OK", "", ""))
	client := newTestClient(backend.listener.Addr().String())
	defer client.Close()
	client.attempt(get)
	<-backend.requests
	client.hooks.connected = func(id core.AttemptID) { client.CancelAttempt(id) }
	client.start(get)
	if conn := <-backend.ended; conn != 0 {
		t.Errorf("connection %d ended", conn)
	}
	select {
	case r := <-backend.requests:
		t.Errorf("sent after the cancel: %+v", r)
	default:
	}
}

// A retry whose connection comes up only after the time in which it may begin is not sent.
func TestStartExpiredAsConnectionComes(t *testing.T) {
	l := testnet.Listen(t)
	came := receiveAll(l)
	var now atomic.Int64
	client := newTestClient(l.Addr().String(), func(o *Options) { o.Now = func() time.Duration { return time.Duration(now.Load()) } })
	client.hooks.connected = func(core.AttemptID) { now.Store(int64(time.Second)) }
	client.StartAttempt(core.StartAttempt{Attempt: core.AttemptID{Request: 1, Number: 1}, Backend: "b", Addr: client.addr, Timeout: time.Minute, Content: get, StartBefore: time.Second})
	select {
	case ev := <-client.events:
		if got := ev.(*core.AttemptFinished); got.Result != admission.NotSent || !got.StartExpired {
			t.Errorf("%+v", got)
		}
	case <-time.After(time.Second): // it was sent, and nobody answers
	}
	client.CancelAttempt(core.AttemptID{Request: 1, Number: 1})
	client.Close()
	if data := <-came; data != "" {
		t.Errorf("sent too late: %q", data)
	}
}

// A backend that starts anew at the moment in which a connection to its earlier process is there is sent
// nothing on it, and the attempt counts as not sent.
func TestCloseBackendConnsAsConnectionComes(t *testing.T) {
	l := testnet.Listen(t)
	came := receiveAll(l)
	client := newTestClient(l.Addr().String())
	defer client.Close()
	client.hooks.connected = func(core.AttemptID) { client.CloseBackendConns("b") }
	if got := client.attempt(get); got.Result != admission.NotSent {
		t.Errorf("result %v", got.Result)
	}
	if data := <-came; data != "" {
		t.Errorf("sent after the close: %q", data)
	}
}

// The last byte of a request goes to the socket before the transport reports that it was written. A response
// that breaks off in between is no proof that the request never ran, whatever its length.
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
					t.Errorf("no request: %v", err)
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					t.Errorf("body: %v", err)
				}
				write(t, c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\ncut off")
			}()
			client := newTestClient(l.Addr().String())
			defer client.Close()
			head, sent, ended := 0, 0, make(chan bool)
			client.hooks.written = func(n int) {
				if head == 0 {
					head = n // which goes alone
				}
				if sent += n; sent == head+size {
					<-ended // so the transport reports it only after the attempt has ended
				}
			}
			client.start(&Request{Method: "POST", URI: "/x", Host: "x", CallID: "1", Body: []byte(strings.Repeat("x", size))})
			got := (<-client.events).(*core.AttemptFinished)
			close(ended)
			if got.Result != admission.ConnectionLost || !got.ResponseInvalid {
				t.Errorf("result %v, response invalid %v of a request that came completely, want one that may have run", got.Result, got.ResponseInvalid)
			}
		})
	}
}

// An attempt that is withdrawn as its connection comes is not sent, and that is no failure of its backend.
func TestWithdrawAsConnectionComes(t *testing.T) {
	l := testnet.Listen(t)
	came := receiveAll(l)
	client := newTestClient(l.Addr().String())
	defer client.Close()
	client.hooks.connected = func(id core.AttemptID) { client.WithdrawAttempt(id) }
	if got := client.attempt(get); got.Result != admission.NotSent {
		t.Errorf("result %v", got.Result)
	}
	if data := <-came; data != "" {
		t.Errorf("sent after the withdrawal: %q", data)
	}
}

// Likewise before there is a connection: a backend that does not answer a dial keeps nothing of it.
func TestWithdrawBeforeConnection(t *testing.T) {
	l := testnet.Listen(t)
	client := newTestClient(l.Addr().String())
	defer client.Close()
	canceled := false
	a := &attempt{backend: &backend{}, now: client.options.Now, cancelContext: func() { canceled = true }}
	a.withdraw()
	if !canceled {
		t.Error("goes on to dial")
	}
	c, far := connPair(t)
	a.attach(c)
	go readByte(c)
	if n, err := c.Write([]byte("GET")); n != 0 || err == nil {
		t.Errorf("wrote %d bytes, %v", n, err)
	}
	_ = c.Close()
	if data, _ := io.ReadAll(far); len(data) > 0 {
		t.Errorf("sent after the withdrawal: %q", data)
	}
}

// One that has begun goes on to its response.
func TestWithdrawOnceBegun(t *testing.T) {
	backend := startBackend(t, response("200 OK", "", "yes"))
	client := newTestClient(backend.listener.Addr().String())
	defer client.Close()
	id := core.AttemptID{}
	client.hooks.connected = func(i core.AttemptID) { id = i }
	client.hooks.written = func(int) { client.WithdrawAttempt(id) }
	if got := client.attempt(get); got.Result != admission.Succeeded {
		t.Errorf("result %v", got.Result)
	}
}

// A connect that times out says less of a backend than one that is refused: some take long while others to
// the same backend do not.
func TestLateConnectionIsNotRefused(t *testing.T) {
	l := testnet.Listen(t)
	client := newTestClient(l.Addr().String(), func(o *Options) { o.ConnectTimeout = time.Nanosecond })
	defer client.Close()
	if got := client.attempt(get); got.Result != admission.ConnectFailed {
		t.Errorf("late: %v", got.Result)
	}
	client = newTestClient(testnet.RefusingAddr(t))
	defer client.Close()
	if got := client.attempt(get); got.Result != admission.Unreachable {
		t.Errorf("refused: %v", got.Result)
	}
}
