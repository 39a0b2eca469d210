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

// TestMain fixes the seed, so that the steps are the same every time; how they interleave is not.
func TestMain(m *testing.M) {
	os.Exit(rapidtest.Main(m, "20261202", map[string]string{"rapid.steps": "40"}))
}

// A modelBackend responds only when the model says so, and counts the requests that came completely.
type modelBackend struct {
	net.Listener
	mu       sync.Mutex
	complete map[string]int // requests, by their X-Call-Id
	conns    []*modelConn
}

type modelConn struct {
	net.Conn
	calls chan string // requests that came completely on it, to be answered
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
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err != nil {
			close(c.calls)
			return
		}
		call := r.Header.Get("X-Call-Id")
		b.mu.Lock()
		b.complete[call]++
		b.mu.Unlock()
		c.calls <- call
	}
}

// send writes to the connection, which the client may have closed.
func (c *modelConn) send(text string) { _, _ = io.WriteString(c, text) }

// Attempts are started, canceled, withdrawn and have their backend's connections closed, and the backend
// responds, sends invalid responses, closes and resets, in any order. Each attempt has one outcome or was
// canceled; it came to the backend once at most; where the outcome says that it never ran it did not come
// completely; and the response that serves it is its own.
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
		ended := map[core.AttemptID]*core.AttemptFinished{}
		client := New(Options{ConnectTimeout: time.Second, IdleClose: time.Minute, MaxIdlePerBackend: 2, ResponseTimeout: 20 * time.Millisecond, Post: func(ev core.Event) {
			e := ev.(*core.AttemptFinished)
			mu.Lock()
			defer mu.Unlock()
			if ended[e.Attempt] != nil {
				panic("two outcomes")
			}
			ended[e.Attempt] = e
		}})
		var started []core.AttemptID
		canceled := map[core.AttemptID]bool{}
		call := func(id core.AttemptID) string { return fmt.Sprint("call", id.Request) }
		recent := func(t *rapid.T) core.AttemptID {
			if len(started) == 0 {
				t.Skip("none")
			}
			return rapid.SampledFrom(started[max(0, len(started)-4):]).Draw(t, "attempt")
		}
		conn := func(t *rapid.T) *modelConn {
			backend.mu.Lock()
			defer backend.mu.Unlock()
			if len(backend.conns) == 0 {
				t.Skip("none")
			}
			return backend.conns[len(backend.conns)-1-rapid.IntRange(0, min(len(backend.conns), 3)-1).Draw(t, "connection")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				id := core.AttemptID{Request: core.RequestID(len(started) + 1)}
				started = append(started, id)
				in := &Request{Method: "POST", URI: "/x", Host: "x", CallID: call(id), Body: make([]byte, rapid.SampledFrom([]int{0, 10, 20 << 10}).Draw(t, "size"))}
				client.StartAttempt(core.StartAttempt{Attempt: id, Backend: "b", Addr: l.Addr().String(), Timeout: time.Second, Content: in})
			},
			"stop": func(t *rapid.T) {
				id := recent(t)
				canceled[id] = true
				client.CancelAttempt(id)
			},
			"withdraw":           func(t *rapid.T) { client.WithdrawAttempt(recent(t)) },
			"disconnect backend": func(*rapid.T) { client.CloseBackendConns("b") },
			"answer": func(t *rapid.T) {
				c := conn(t)
				select {
				case body, more := <-c.calls:
					if !more {
						return
					}
					c.send("HTTP/1.1 " + rapid.SampledFrom([]string{"200 OK", "500 Oops", "503 Full\r\nX-Rejected: 1"}).Draw(t, "status") +
						fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", len(body), body) + rapid.SampledFrom([]string{"", "", "noise"}).Draw(t, "behind"))
				case <-time.After(time.Millisecond):
				}
			},
			"invalid": func(t *rapid.T) {
				conn(t).send(rapid.SampledFrom([]string{"HT", "HTTP/1.1 200 OK\r\n\r\nno length", "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nhalf", "\x00\r\n\r\n"}).Draw(t, "text"))
			},
			"close": func(t *rapid.T) {
				c := conn(t)
				if rapid.Bool().Draw(t, "reset") {
					_ = c.Conn.(*net.TCPConn).SetLinger(0) // it may be closed already
				}
				_ = c.Close()
			},
		})
		client.Close()
		_ = l.Close()
		for _, id := range started {
			for over := false; !over; time.Sleep(100 * time.Microsecond) {
				backend.mu.Lock()
				for _, c := range backend.conns { // also those that were accepted just now
					_ = c.Close()
				}
				backend.mu.Unlock()
				mu.Lock()
				over = ended[id] != nil || canceled[id]
				mu.Unlock()
			}
		}
		mu.Lock()
		defer mu.Unlock()
		backend.mu.Lock()
		defer backend.mu.Unlock()
		for _, id := range started {
			e, came := ended[id], backend.complete[call(id)]
			if came > 1 {
				t.Fatalf("%s came %d times", call(id), came)
			}
			if e == nil {
				continue
			}
			if never := e.Result != admission.Rejected && e.Result.NeverRan(); never && came > 0 {
				t.Fatalf("%s came completely, and its outcome is %v", call(id), e.Result)
			}
			if e.Result == admission.Succeeded && string(e.Response.(*Response).Body) != call(id) {
				t.Fatalf("%s was served %q", call(id), e.Response.(*Response).Body)
			}
			if !slices.Contains([]admission.Result{admission.Succeeded, admission.Errored, admission.Rejected, admission.Unreachable, admission.ConnectionLost, admission.NotSent, admission.ConnectFailed}, e.Result) {
				t.Fatalf("%s ended as %v", call(id), e.Result)
			}
		}
	})
}
