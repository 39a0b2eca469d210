package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lemongate/internal/core"
	"lemongate/internal/rapidtest"
	"lemongate/internal/testnet"
	"lemongate/internal/upstream"
)

// TestMain fixes the seed, so that every run has the same steps; how the goroutines interleave differs.
func TestMain(m *testing.M) {
	os.Exit(rapidtest.Main(m, "20261202", map[string]string{"rapid.steps": "40"}))
}

// A model has a server and its clients, and replaces the event loop.
type model struct {
	t        *rapid.T
	server   *testServer
	clients  []*modelClient
	requests int // number of requests sent, at least in part

	mu           sync.Mutex
	openRequests map[string]core.RequestID // posted and not answered, by X-Call-Id
	posted       map[string]bool           // all requests ever posted, by X-Call-Id
}

// A modelClient is a client with its connection and the requests that it has sent.
type modelClient struct {
	*testClient
	callIDs      []string // X-Call-Ids of its requests, in order
	unsentPart   string   // rest of a request of which the first part was sent
	writeClosed  bool     // it has closed its sending side
	disconnected bool
	responses    chan []string // receives all responses once the connection has ended
}

// maySend reports whether the client may start a new request.
func (c *modelClient) maySend() bool { return !c.writeClosed && !c.disconnected && c.unsentPart == "" }

// handle handles an event of the server. It rejects the request of a client that has disconnected, and goes on with that of
// a client of which this cannot be seen.
func (m *model) handle(ev core.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch ev := ev.(type) {
	case *core.RequestReceived:
		if m.posted[ev.CallID] {
			panic("request posted twice: X-Call-Id " + ev.CallID)
		}
		m.posted[ev.CallID], m.openRequests[ev.CallID] = true, ev.ID
	case *core.ClientDisconnected:
		for callID, id := range m.openRequests {
			if id == ev.Request && ev.Reason == core.DisconnectClosed {
				delete(m.openRequests, callID)
				m.server.reject(id)
			}
		}
	}
}

// answer responds to an open request, which is drawn from t, or is the first one if t is nil. The body of the response
// is the X-Call-Id of the request.
func (m *model) answer(t *rapid.T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var callIDs []string
	for i := range m.requests {
		if callID := fmt.Sprint("call", i); m.openRequests[callID] != 0 {
			callIDs = append(callIDs, callID)
		}
	}
	if len(callIDs) == 0 {
		return
	}
	callID := callIDs[0]
	if t != nil {
		callID = rapid.SampledFrom(callIDs).Draw(t, "answered")
	}
	m.server.Respond(core.Respond{Request: m.openRequests[callID], Kind: core.Served, Response: &upstream.Response{Body: []byte(callID)}})
	delete(m.openRequests, callID)
}

// readResponses reads responses until the connection ends.
func (c *modelClient) readResponses() {
	var responses []string
	defer func() { c.responses <- responses }()
	for {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		responses = append(responses, fmt.Sprint(resp.StatusCode, " ", string(body)))
	}
}

// newRequest returns a request with a unique X-Call-Id.
func (m *model) newRequest() (callID, text string) {
	callID = fmt.Sprint("call", m.requests)
	m.requests++
	return callID, strings.Replace(validRequest, "9b1f03aa5c7e2d41", callID, 1)
}

// draw draws one of the clients for which fits returns true, and skips the step if there is none.
func (m *model) draw(t *rapid.T, fits func(*modelClient) bool) *modelClient {
	var fitting []*modelClient
	for _, c := range m.clients {
		if fits(c) {
			fitting = append(fitting, c)
		}
	}
	if len(fitting) == 0 {
		t.Skip("none")
	}
	return fitting[rapid.IntRange(0, len(fitting)-1).Draw(t, "client")]
}

// connect adds a client.
func (m *model) connect(t *rapid.T) {
	conn, err := net.Dial("tcp", m.server.addr)
	if len(m.clients) >= 8 || err != nil {
		t.Skip("maximum number of clients reached, or connect failed")
	}
	c := &modelClient{
		testClient: &testClient{conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}, responses: make(chan []string, 1),
	}
	m.clients = append(m.clients, c)
	go c.readResponses() // returns when the connection ends
}

func (m *model) send(t *rapid.T) {
	c := m.draw(t, (*modelClient).maySend)
	callID, text := m.newRequest()
	c.callIDs = append(c.callIDs, callID)
	c.send(text)
}

// pipeline sends several requests at once.
func (m *model) pipeline(t *rapid.T) {
	c := m.draw(t, (*modelClient).maySend)
	var requests strings.Builder
	for range rapid.IntRange(2, 4).Draw(t, "requests") {
		callID, text := m.newRequest()
		size := rapid.SampledFrom([]int{5, 3000, 9000}).Draw(t, "size")
		c.callIDs = append(c.callIDs, callID)
		body := fmt.Sprintf("Length: %d\n\n%s", size, strings.Repeat("x", size))
		requests.WriteString(strings.Replace(text, "Length: 5\n\n12345", body, 1))
	}
	c.send(requests.String())
}

// sendHalf sends the first part of a request.
func (m *model) sendHalf(t *rapid.T) {
	c := m.draw(t, (*modelClient).maySend)
	callID, text := m.newRequest()
	at := rapid.IntRange(1, len(text)-1).Draw(t, "at")
	c.unsentPart = text[at:]
	c.callIDs = append(c.callIDs, callID)
	c.send(text[:at])
}

// sendRest sends the unsent part of a request.
func (m *model) sendRest(t *rapid.T) {
	c := m.draw(t, func(c *modelClient) bool { return c.unsentPart != "" && !c.writeClosed && !c.disconnected })
	c.send(c.unsentPart)
	c.unsentPart = ""
}

// endSending closes the sending side of a client.
func (m *model) endSending(t *rapid.T) {
	c := m.draw(t, func(c *modelClient) bool { return !c.writeClosed && !c.disconnected })
	c.writeClosed = true
	_ = c.conn.CloseWrite() // the server may have closed the connection
}

func (m *model) disconnect(t *rapid.T) {
	c := m.draw(t, func(c *modelClient) bool { return !c.disconnected })
	c.disconnected = true
	if rapid.Bool().Draw(t, "reset") {
		c.closeWithReset()
		return
	}
	c.close()
}

// close closes the server, and answers requests until it is closed.
func (m *model) close() {
	m.server.finalReadMargin = time.Hour // longer than the timeout of Close, so reading stops immediately
	closed := make(chan bool)
	go func() {
		m.server.Close(time.Minute)
		close(closed)
	}()
	for {
		select {
		case <-closed:
			return
		case <-time.After(time.Millisecond):
			m.answer(nil)
		}
	}
}

// In any order, clients send, pipeline, send half a request, close their sending side and disconnect, requests are
// answered, connections are evicted from a full or crowded set, and the server shuts down. Each request gets exactly one
// response, its own, or its connection ends and the request was never posted.
func TestConnModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, err := testnet.Open()
		if err != nil {
			t.Fatal(err)
		}
		m := &model{t: t, openRequests: map[string]core.RequestID{}, posted: map[string]bool{}}
		m.server = newTestServer(l, func(o *Options) { o.MaxConns, o.Post = 4, m.handle })
		go func() { _ = m.server.Serve(l) }() // returns after Close; the check fails for a client that is not accepted
		<-m.server.serving
		// rapid sorts the names, so they determine the steps that a seed draws.
		t.Repeat(map[string]func(*rapid.T){
			"answer":         m.answer,
			"connect":        m.connect,
			"drain":          func(*rapid.T) { m.server.DrainConns() },
			"end sending":    m.endSending,
			"half":           m.sendHalf,
			"hang up":        m.disconnect,
			"pipeline":       m.pipeline,
			"remaining half": m.sendRest,
			"run eviction":   func(*rapid.T) { m.server.evict(evictAny) },
			"send":           m.send,
			"sweep":          func(*rapid.T) { m.server.connSet().sweep() },
		})
		m.close()
		if conns, pending := m.server.Conns(), len(m.server.pendingResponses); conns+pending > 0 {
			t.Fatalf("%d connections and %d requests left after Close, want none", conns, pending)
		}
		for i, c := range m.clients {
			got := <-c.responses
			c.close()
			if !c.disconnected {
				m.check(i, c, got)
			}
		}
	})
}

// check compares the responses that a client read with the requests that it sent.
func (m *model) check(i int, c *modelClient, got []string) {
	for _, callID := range c.callIDs {
		switch {
		case len(got) == 0 && m.posted[callID]:
			m.t.Fatalf("client %d: request %s was received and got no response", i, callID)
		case len(got) == 0:
			return // the connection ended before the request was read
		case got[0] == "429 " && !m.posted[callID] && len(got) == 1:
			return // the connection was rejected
		case got[0] != "200 "+callID && !c.mayFail(got[0]):
			m.t.Fatalf("client %d: request %s got response %q, want its own", i, callID, got[0])
		}
		got = got[1:]
	}
	if len(got) > 0 {
		m.t.Fatalf("client %d: more responses than requests, surplus: %q", i, got)
	}
}

// mayFail reports whether a client that closed its sending side may have got a response that is not a backend's.
func (c *modelClient) mayFail(response string) bool {
	return c.writeClosed && (strings.HasPrefix(response, "429") || c.unsentPart != "" && strings.HasPrefix(response, "400"))
}
