package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/rapidtest"
	"lemongate/internal/testnet"
)

// TestMain fixes the seed, so that each run takes the same steps; their interleaving varies.
func TestMain(m *testing.M) {
	os.Exit(rapidtest.Main(m, "20261202", map[string]string{"rapid.steps": "40"}))
}

// A modelBackend responds only when the model tells it to, and counts the requests that were received completely.
type modelBackend struct {
	net.Listener
	mu       sync.Mutex
	complete map[string]int // number of complete requests by X-Call-Id
	conns    []*modelConn
}

// A modelConn is the backend's end of a connection.
type modelConn struct {
	net.Conn
	callIDs chan string // of complete requests on this connection that are not answered yet
}

// serve accepts connections until the listener is closed.
func (b *modelBackend) serve() {
	for {
		accepted, err := b.Accept()
		if err != nil {
			return
		}
		c := &modelConn{accepted, make(chan string, 64)}
		b.mu.Lock()
		b.conns = append(b.conns, c)
		b.mu.Unlock()
		go b.read(c)
	}
}

// read reads requests until the connection ends.
func (b *modelBackend) read(c *modelConn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err != nil {
			close(c.callIDs)
			return
		}
		callID := r.Header.Get("X-Call-Id")
		b.mu.Lock()
		b.complete[callID]++
		b.mu.Unlock()
		c.callIDs <- callID
	}
}

// send writes to the connection. It ignores errors, because the client may have closed the connection.
func (c *modelConn) send(text string) { _, _ = io.WriteString(c, text) }

// Attempts are started, canceled and withdrawn, the client closes its connections to the backend, and the backend
// responds, sends invalid responses, closes connections and resets them, in any order. Each attempt that was not
// canceled has exactly one outcome; the backend receives each request at most once; it does not receive a request
// completely if the outcome says that the attempt never ran; and an attempt that succeeded got its own response.
func TestAttemptModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, err := testnet.Open()
		if err != nil {
			t.Fatal(err)
		}
		backend := &modelBackend{Listener: l, complete: map[string]int{}}
		go backend.serve()
		defer func() { _ = l.Close() }()
		var mu sync.Mutex
		outcomes := map[core.AttemptID]*core.AttemptFinished{}
		client := New(Options{ConnectTimeout: time.Second, IdleClose: time.Minute, MaxIdlePerBackend: 2, ResponseTimeout: 20 * time.Millisecond, Now: func() time.Duration { return 0 }, Post: func(ev core.Event) {
			e := ev.(*core.AttemptFinished)
			mu.Lock()
			defer mu.Unlock()
			if outcomes[e.Attempt] != nil {
				panic("two outcomes for one attempt")
			}
			outcomes[e.Attempt] = e
		}})
		client.reuseDelay = rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond}).Draw(t, "reuse delay") // short, so that connections are used again
		var started []core.AttemptID
		canceled := map[core.AttemptID]bool{}
		callID := func(id core.AttemptID) string { return fmt.Sprint("call", id.Request) }
		drawAttempt := func(t *rapid.T) core.AttemptID {
			if len(started) == 0 {
				t.Skip("no attempt started yet")
			}
			return rapid.SampledFrom(started[max(0, len(started)-4):]).Draw(t, "attempt")
		}
		drawConn := func(t *rapid.T) *modelConn {
			backend.mu.Lock()
			defer backend.mu.Unlock()
			if len(backend.conns) == 0 {
				t.Skip("no connection accepted yet")
			}
			return backend.conns[len(backend.conns)-1-rapid.IntRange(0, min(len(backend.conns), 3)-1).Draw(t, "connection")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				id := core.AttemptID{Request: core.RequestID(len(started) + 1)}
				started = append(started, id)
				request := &Request{Method: "POST", URI: "/x", Host: "x", CallID: callID(id), Body: make([]byte, rapid.SampledFrom([]int{0, 10, 20 << 10}).Draw(t, "size"))}
				client.StartAttempt(core.StartAttempt{Attempt: id, Backend: "b", Addr: l.Addr().String(), Timeout: time.Second, Content: request})
			},
			"stop": func(t *rapid.T) {
				id := drawAttempt(t)
				canceled[id] = true
				client.CancelAttempt(id)
			},
			"withdraw":           func(t *rapid.T) { client.WithdrawAttempt(drawAttempt(t)) },
			"disconnect backend": func(*rapid.T) { client.CloseBackendConns("b") },
			"answer": func(t *rapid.T) {
				c := drawConn(t)
				select {
				case receivedCallID, ok := <-c.callIDs:
					if !ok {
						return
					}
					c.send("HTTP/1.1 " + rapid.SampledFrom([]string{"200 OK", "500 Oops", "503 Full\r\nX-Rejected: 1"}).Draw(t, "status") +
						fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", len(receivedCallID), receivedCallID) + rapid.SampledFrom([]string{"", "", "noise"}).Draw(t, "behind"))
				case <-time.After(time.Millisecond):
				}
			},
			"invalid": func(t *rapid.T) {
				drawConn(t).send(rapid.SampledFrom([]string{"HT", "HTTP/1.1 200 OK\r\n\r\nno length", "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nhalf", "\x00\r\n\r\n"}).Draw(t, "text"))
			},
			"close": func(t *rapid.T) {
				c := drawConn(t)
				if rapid.Bool().Draw(t, "reset") {
					_ = c.Conn.(*net.TCPConn).SetLinger(0) // it may be closed already
				}
				_ = c.Close()
			},
		})
		client.Close()
		_ = l.Close()
		for _, id := range started {
			for done := false; !done; time.Sleep(100 * time.Microsecond) {
				backend.mu.Lock()
				for _, c := range backend.conns { // including those accepted since the last pass
					_ = c.Close()
				}
				backend.mu.Unlock()
				mu.Lock()
				done = outcomes[id] != nil || canceled[id]
				mu.Unlock()
			}
		}
		mu.Lock()
		defer mu.Unlock()
		backend.mu.Lock()
		defer backend.mu.Unlock()
		for _, id := range started {
			e, received := outcomes[id], backend.complete[callID(id)]
			if received > 1 {
				t.Fatalf("%s was received %d times, want at most once", callID(id), received)
			}
			if e == nil {
				continue
			}
			if neverRan := e.Result != admission.Rejected && e.Result.NeverRan(); neverRan && received > 0 {
				t.Fatalf("%s was received completely, but its result %v says that it never ran", callID(id), e.Result)
			}
			if e.Result == admission.Succeeded && string(e.Response.(*Response).Body) != callID(id) {
				t.Fatalf("%s got the response of another request: %q", callID(id), e.Response.(*Response).Body)
			}
			if !slices.Contains([]admission.Result{admission.Succeeded, admission.Errored, admission.Rejected, admission.Unreachable, admission.ConnectionLost, admission.NotSent, admission.ConnectFailed}, e.Result) {
				t.Fatalf("%s ended with unexpected result %v", callID(id), e.Result)
			}
		}
	})
}
