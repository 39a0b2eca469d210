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

const goodHead = `POST /post/x/00000000b4d65521?q=%41 HTTP/1.1
Host: backend.local
X-Call-Id: 9b1f03aa5c7e2d41
Plan: team
X-Budget: 480m
Idempotency-Key: 5c0f
Quota-Info: units=2,spread=3,first=1
X-Again: 1
Content-Type: text/x
`

// good is a valid request.
const good = goodHead + "Content-Length: 5\n\n12345"

// A testServer is a server whose events are given to the test.
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
	go func() { _ = s.Serve(l) }()             // a client that it does not accept fails its test
	t.Cleanup(func() { _ = s.server.Close() }) // the test may have closed it
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

// startBoundedServer serves with a bound on connections and a clock that only the test moves on.
func startBoundedServer(t *testing.T, maxConns int) (server *testServer, past *atomic.Int64) {
	past = new(atomic.Int64)
	start := time.Now()
	return startServer(t, func(o *Options) {
		o.MaxConns = maxConns
		o.Wall = func() time.Time { return start.Add(time.Duration(past.Load())) }
	}), past
}

// connSet returns the connections of the server.
func (s *testServer) connSet() *connSet { return s.conns.Load() }

// awaitState waits until so many connections are in a state.
func (s *testServer) awaitState(state connState, n int) {
	<-s.serving
	conns := s.connSet()
	for have := -1; have != n; time.Sleep(time.Millisecond) {
		conns.mu.Lock()
		have = conns.byState[state].Len()
		conns.mu.Unlock()
	}
}

// awaitReaderWaits waits until net/http waits for more of the request that is half read.
func (s *testServer) awaitReaderWaits() {
	conns := s.connSet()
	for waits := false; !waits; time.Sleep(time.Millisecond) {
		conns.mu.Lock()
		if e := conns.byState[stateReading].Front(); e != nil {
			waits = e.Value.(*clientConn).readerWaits
		}
		conns.mu.Unlock()
	}
}

// evict closes the connection that a rule selects, if any.
func (s *testServer) evict(selected func(*connSet) evicted) {
	conns := s.connSet()
	conns.mu.Lock()
	out := selected(conns)
	conns.mu.Unlock()
	out.finish()
}

// reject answers a request with 429.
func (s *testServer) reject(id core.RequestID) {
	s.Respond(core.Respond{Request: id, Kind: core.Rejected})
}

// setPatience sets how long rejected connections are waited for.
func (s *testServer) setPatience(patience time.Duration) {
	conns := s.connSet()
	conns.mu.Lock()
	conns.patience = patience
	conns.mu.Unlock()
}

// A testClient is a client with one connection.
type testClient struct {
	t    *testing.T
	conn *net.TCPConn
	in   *bufio.Reader
}

// connect opens a connection to the server.
func (s *testServer) connect(t *testing.T) *testClient {
	t.Helper()
	return newTestClient(t, testnet.Dial(t, s.addr))
}

func newTestClient(t *testing.T, conn *net.TCPConn) *testClient {
	return &testClient{t, conn, bufio.NewReader(conn)}
}

// send sends a text, with the line ends of HTTP. The server may have closed the connection.
func (c *testClient) send(text string) {
	_, _ = io.WriteString(c.conn, strings.ReplaceAll(text, "\n", "\r\n"))
}

// response reads a response.
func (c *testClient) response() (*http.Response, string) {
	c.t.Helper()
	c.setReadDeadline()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp, string(body)
}

// expectRejected reads a response, which has to be 429.
func (c *testClient) expectRejected() {
	c.t.Helper()
	if resp, _ := c.response(); resp.StatusCode != http.StatusTooManyRequests {
		c.t.Errorf("status %d", resp.StatusCode)
	}
}

// setReadDeadline bounds the time for reads, so that a test does not hang.
func (c *testClient) setReadDeadline() {
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // a read would fail too
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
	if _, err := c.in.ReadByte(); err == nil || strings.Contains(err.Error(), "timeout") {
		c.t.Errorf("not closed: %v", err)
	}
}

// closeWrite ends the sending of the client.
func (c *testClient) closeWrite() {
	if err := c.conn.CloseWrite(); err != nil {
		c.t.Error(err)
	}
}

// close ends the connection.
func (c *testClient) close() { _ = c.conn.Close() }

// closeWithReset ends the connection by a reset.
func (c *testClient) closeWithReset() {
	_ = c.conn.SetLinger(0) // it may be closed already
	c.close()
}
