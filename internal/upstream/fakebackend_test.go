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

// A fakeBackend answers requests from a list of responses. It records each request that was received completely and
// the connection on which it was received.
type fakeBackend struct {
	listener    net.Listener
	requests    chan receivedRequest
	closedConns chan int // connections that the client closed
}

// A receivedRequest is a request that was received completely.
type receivedRequest struct {
	conn    int // number of the connection, in the order of accepting
	request *http.Request
	body    string
}

const (
	closeWithoutResponse = ""        // no response is sent, and the connection is closed
	sendNothing          = "silent"  // no response is sent, and the connection stays open
	cutOff               = "cut off" // at the end of a response: the connection is closed after it
)

// startBackend starts a backend that answers the nth request with the nth text. For closeWithoutResponse and
// sendNothing it sends no response. After a text that ends in cutOff it closes the connection.
func startBackend(t *testing.T, responses ...string) *fakeBackend {
	t.Helper()
	l := testnet.Listen(t)
	b := &fakeBackend{listener: l, requests: make(chan receivedRequest, 16), closedConns: make(chan int, 16)}
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

// serve answers the requests on a connection until the connection ends. Next holds the responses not sent yet.
func (b *fakeBackend) serve(c net.Conn, connNumber int, next chan string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			b.closedConns <- connNumber
			return
		}
		body, _ := io.ReadAll(r.Body) // tests compare the body, so the error does not matter
		// The response is selected before the test is notified of the request: the test may send the next request
		// at once on another connection, and that request must not get this response.
		text, taken := "", false
		select {
		case text = <-next:
			taken = true
		default: // no response is left
		}
		b.requests <- receivedRequest{connNumber, r, string(body)}
		if !taken {
			text = <-next
		}
		switch text {
		case closeWithoutResponse:
			return
		case sendNothing:
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
	events      chan core.Event
	addr        string
	lastRequest core.RequestID // request number of the last attempt
}

// newTestClient returns a client of the backend at addr. The functions in configure change its options.
func newTestClient(addr string, configure ...func(*Options)) *testClient {
	events := make(chan core.Event, 16)
	options := Options{
		ConnectTimeout: time.Second, IdleClose: time.Minute, LoadReportFields: []string{"latency_ms", "util"},
		MaxIdlePerBackend: 4, Post: func(ev core.Event) { events <- ev }, Now: func() time.Duration { return 0 },
	}
	for _, c := range configure {
		c(&options)
	}
	return &testClient{Client: New(options), events: events, addr: addr}
}

// start starts an attempt, the first of a new request, and returns its ID.
func (c *testClient) start(request *Request) core.AttemptID {
	c.lastRequest++
	id := core.AttemptID{Request: c.lastRequest}
	c.StartAttempt(core.StartAttempt{Attempt: id, Backend: "b", Addr: c.addr, Timeout: 1234 * time.Millisecond, Content: request})
	return id
}

// attempt makes an attempt, waits for its outcome and returns it.
func (c *testClient) attempt(request *Request) *core.AttemptFinished {
	c.start(request)
	return (<-c.events).(*core.AttemptFinished)
}

var get = &Request{Method: "GET", URI: "/read/00000000b4d65521", Host: "backend.local", CallID: "id1"}
