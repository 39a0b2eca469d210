package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/testnet"
)

// A fakeBackend answers each request by a script, and records which requests came completely and on which
// connection.
type fakeBackend struct {
	listener net.Listener
	requests chan received
	ended    chan int // connections that the client closed
}

// A received request came completely.
type received struct {
	conn    int // its number, in the order of accepting
	request *http.Request
	body    string
}

const (
	closeInstead  = ""       // in place of a response: the connection is closed
	silentInstead = "silent" // nothing is sent
	cutOff        = "cut off"
)

// startBackend starts a backend that answers the nth request with the nth text, or as closeInstead and
// silentInstead say. After a text that ends in cutOff it closes the connection.
func startBackend(t *testing.T, responses ...string) *fakeBackend {
	t.Helper()
	l := testnet.Listen(t)
	b := &fakeBackend{listener: l, requests: make(chan received, 16), ended: make(chan int, 16)}
	next := make(chan string, len(responses))
	for _, text := range responses {
		next <- text
	}
	go func() { // ends with the listener
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c, n, next)
		}
	}()
	return b
}

// serve answers the requests of a connection, until it ends.
func (b *fakeBackend) serve(c net.Conn, n int, next chan string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			b.ended <- n
			return
		}
		body, _ := io.ReadAll(r.Body) // tests compare it
		// The response is taken before the test learns of the request: it may send the next one at once, on
		// another connection, which must not get this response.
		text, taken := "", false
		select {
		case text = <-next:
			taken = true
		default: // no response is left
		}
		b.requests <- received{n, r, string(body)}
		if !taken {
			text = <-next
		}
		switch text {
		case closeInstead:
			return
		case silentInstead:
			continue
		}
		_, _ = io.WriteString(c, text) // the client may have canceled the attempt
		if strings.HasSuffix(text, cutOff) {
			return
		}
	}
}

// response returns the text of a complete response.
func response(status, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

// A testClient makes attempts at one backend.
type testClient struct {
	*Client
	events  chan core.Event
	addr    string
	started core.RequestID // the number of the last attempt
}

func newTestClient(addr string, change ...func(*Options)) *testClient {
	events := make(chan core.Event, 16)
	options := Options{
		ConnectTimeout: time.Second, IdleClose: time.Minute, LoadReportFields: []string{"latency_ms", "util"},
		MaxIdlePerBackend: 4, Post: func(ev core.Event) { events <- ev },
	}
	for _, c := range change {
		c(&options)
	}
	return &testClient{Client: New(options), events: events, addr: addr}
}

// start starts an attempt.
func (c *testClient) start(in *Request) core.AttemptID {
	c.started++
	id := core.AttemptID{Request: c.started}
	c.StartAttempt(core.StartAttempt{Attempt: id, Backend: "b", Addr: c.addr, Timeout: 1234 * time.Millisecond, Content: in})
	return id
}

// attempt makes an attempt and returns its outcome.
func (c *testClient) attempt(in *Request) *core.AttemptFinished {
	c.start(in)
	return (<-c.events).(*core.AttemptFinished)
}

var get = &Request{Method: "GET", URI: "/read/00000000b4d65521", Host: "backend.local", CallID: "id1"}
