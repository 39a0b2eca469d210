package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/testnet"
)

const validHead = `POST /post/x/00000000b4d65521?q=%41 HTTP/1.1
Host: backend.local
X-Call-Id: 9b1f03aa5c7e2d41
Plan: team
X-Budget: 480m
Idempotency-Key: 5c0f
Quota-Info: units=2,spread=3,first=1
X-Again: 1
Content-Type: text/x
`

const validRequest = validHead + "Content-Length: 5\n\n12345"

// A testServer is a server that sends its events to the test.
type testServer struct {
	*Server
	addr   string
	events chan core.Event
}

// newTestServer returns a server that does not serve yet.
func newTestServer(l net.Listener, change ...func(*Options)) *testServer {
	s := &testServer{addr: l.Addr().String(), events: make(chan core.Event, 16)}
	options := Options{
		Settings: admission.Settings{
			Limiters: 3,
			Classes: []admission.Class{
				{Name: "read", Idempotency: admission.Idempotent, Deadline: time.Second},
				{Name: "post", Idempotency: admission.IdempotentByKey, Deadline: 50 * time.Second},
			},
			Plans: []admission.Plan{{Name: "team"}}, MaxRetryAfter: 500 * time.Millisecond,
		},
		MaxUnits: 4,
		Now:      func() time.Duration { return 42 },
		Post:     func(ev core.Event) { s.events <- ev },
		Log:      zap.NewNop(),
	}
	for _, c := range change {
		c(&options)
	}
	s.Server = New(options)
	return s
}

// run serves until the end of the test.
func (s *testServer) run(t *testing.T, l net.Listener) {
	go func() { _ = s.Serve(l) }()             // a client that is not accepted fails its test
	t.Cleanup(func() { _ = s.server.Close() }) // the test may already have closed it
	<-s.serving
}

// startServerOn serves on a listener until the end of the test.
func startServerOn(t *testing.T, l net.Listener, change ...func(*Options)) *testServer {
	t.Helper()
	s := newTestServer(l, change...)
	s.run(t, l)
	return s
}

func startServer(t *testing.T, change ...func(*Options)) *testServer {
	t.Helper()
	return startServerOn(t, testnet.Listen(t), change...)
}

// startServerWithMaxConns serves with a limit on connections and a clock that only the test advances.
func startServerWithMaxConns(t *testing.T, maxConns int) (server *testServer, elapsed *atomic.Int64) {
	elapsed = new(atomic.Int64)
	start := time.Now()
	return startServer(t, func(o *Options) {
		o.MaxConns = maxConns
		o.WallClock = func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
	}), elapsed
}

func (s *testServer) connSet() *connSet { return s.conns.Load() }

// awaitState waits until n connections are in the given state.
func (s *testServer) awaitState(state connState, n int) {
	<-s.serving
	conns := s.connSet()
	for have := -1; have != n; time.Sleep(time.Millisecond) {
		conns.mu.Lock()
		have = conns.byState[state].Len()
		conns.mu.Unlock()
	}
}

// awaitReaderBlocked waits until net/http waits at the socket for the rest of a request.
func (s *testServer) awaitReaderBlocked() {
	conns := s.connSet()
	for blocked := false; !blocked; time.Sleep(time.Millisecond) {
		conns.mu.Lock()
		if e := conns.byState[stateReading].Front(); e != nil {
			blocked = e.Value.(*clientConn).readerBlocked
		}
		conns.mu.Unlock()
	}
}

// evict closes the connection that choose evicts, if any.
func (s *testServer) evict(choose func(*connSet) evictedConn) {
	conns := s.connSet()
	conns.mu.Lock()
	evicted := choose(conns)
	conns.mu.Unlock()
	evicted.finish()
}

// evictAny evicts a connection by any of the rules.
func evictAny(conns *connSet) evictedConn { return conns.evictFirst(connsWithoutRequest) }

// reject answers a request with 429.
func (s *testServer) reject(id core.RequestID) {
	s.Respond(core.Respond{Request: id, Kind: core.Rejected})
}

// setRejectionTimeout sets the time to wait for the requests of rejected connections.
func (s *testServer) setRejectionTimeout(timeout time.Duration) {
	conns := s.connSet()
	conns.mu.Lock()
	conns.rejectionTimeout = timeout
	conns.mu.Unlock()
}

// A testClient is a client with one connection.
type testClient struct {
	t      *testing.T
	conn   *net.TCPConn
	reader *bufio.Reader
}

func (s *testServer) connect(t *testing.T) *testClient {
	t.Helper()
	return newTestClient(t, testnet.Dial(t, s.addr))
}

func newTestClient(t *testing.T, conn *net.TCPConn) *testClient {
	return &testClient{t, conn, bufio.NewReader(conn)}
}

// send sends a text with the line endings of HTTP. The server may have closed the connection.
func (c *testClient) send(text string) {
	_, _ = io.WriteString(c.conn, strings.ReplaceAll(text, "\n", "\r\n"))
}

func (c *testClient) response() (*http.Response, string) {
	c.t.Helper()
	c.setReadDeadline()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp, string(body)
}

// expectRejected reads a response, whose status must be 429.
func (c *testClient) expectRejected() {
	c.t.Helper()
	if resp, _ := c.response(); resp.StatusCode != http.StatusTooManyRequests {
		c.t.Errorf("status %d, want 429", resp.StatusCode)
	}
}

// setReadDeadline sets a deadline for reads, so that a test does not hang.
func (c *testClient) setReadDeadline() {
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // if this fails, the read fails too
}

// requestReady requests /ready, which leaves the connection idle.
func (c *testClient) requestReady() {
	c.t.Helper()
	c.send("GET /ready HTTP/1.1\nHost: x\n\n")
	c.response()
}

// expectClose waits for the server to close the connection.
func (c *testClient) expectClose() {
	c.t.Helper()
	c.setReadDeadline()
	if _, err := c.reader.ReadByte(); err == nil || strings.Contains(err.Error(), "timeout") {
		c.t.Errorf("connection was not closed, read error: %v", err)
	}
}

// closeWrite closes the sending side of the client.
func (c *testClient) closeWrite() {
	if err := c.conn.CloseWrite(); err != nil {
		c.t.Error(err)
	}
}

func (c *testClient) close() { _ = c.conn.Close() }

// closeWithReset closes the connection with a reset.
func (c *testClient) closeWithReset() {
	_ = c.conn.SetLinger(0) // it may already be closed
	c.close()
}
