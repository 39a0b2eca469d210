package processharness

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"lemongate/internal/testnet"
)

// serveRequests acts as a limiter. With the behaviour "answers" it responds to each request with the request's ID, with
// "closes" it also closes each connection after the first response, and with "silent" it never responds. When a
// connection ends, ended receives the error of the last read, or nil if this side closed the connection.
func serveRequests(t *testing.T, behaviour string) (addr string, ended <-chan error) {
	t.Helper()
	listener := testnet.Listen(t) // closing it ends the goroutine
	ends := make(chan error, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { ends <- serveConn(conn, behaviour) }() // ends with the connection
		}
	}()
	return listener.Addr().String(), ends
}

func serveConn(conn net.Conn, behaviour string) error {
	defer func() { _ = conn.Close() }() // an error does not matter to the test
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return err
		}
		if behaviour == "silent" {
			continue
		}
		id, last := request.Header.Get("X-Call-Id"), ""
		if behaviour == "closes" {
			last = "Connection: close\r\n"
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", last, len(id), id)
		if behaviour == "closes" {
			return nil
		}
	}
}

// sendOne sends one request with a load, and returns all results.
func sendOne(t *testing.T, addr string, request Request) []Result {
	t.Helper()
	l := &Load{tier: &Tier{Limiters: []*Limiter{{Addr: addr}}}, idle: make([][]*clientConn, 1)}
	l.makeRequest = func(int) Request { return request }
	l.stop = make(chan struct{})
	l.EnableResend()
	l.sendNumber(7)
	return l.End()
}

// A disconnecting client closes its connection after DisconnectAfter if it has no response by then. A half-closing
// client still reads its response.
func TestDisconnectingAndHalfClosingClients(t *testing.T) {
	const wait = 30 * time.Millisecond
	addr, ended := serveRequests(t, "silent")
	results := sendOne(t, addr, Request{Class: ClassIdempotent, Mode: Disconnecting, DisconnectAfter: wait})
	if len(results) != 1 || results[0].DisconnectedAt.Sub(results[0].SentAt) < wait || results[0].Status != 0 {
		t.Errorf("disconnecting: results %+v, want one without a response, disconnected after DisconnectAfter", results)
	}
	if err := <-ended; err == nil {
		t.Error("disconnecting: no read error, want one because the client closed the connection")
	}
	for _, mode := range []ClientMode{Disconnecting, HalfClosing} {
		addr, ended = serveRequests(t, "answers")
		results = sendOne(t, addr, Request{Class: ClassIdempotent, Mode: mode, DisconnectAfter: time.Second})
		if len(results) != 1 || results[0].Body != results[0].ID || !results[0].DisconnectedAt.IsZero() {
			t.Errorf("mode %d: results %+v, want one response to a client that did not disconnect", mode, results)
		}
		if err := <-ended; err == nil {
			t.Errorf("mode %d: no read error, want one because the client closed the connection", mode)
		}
	}
}

// Each of two requests sent together gets its own response, the second one on a new connection if the limiter closes
// the first connection between them.
func TestPipeliningClient(t *testing.T) {
	for _, behaviour := range []string{"answers", "closes"} {
		addr, _ := serveRequests(t, behaviour)
		results := sendOne(t, addr, Request{Class: ClassKeyed, Key: "00", Body: 3, Mode: Pipelining})
		if len(results) != 2 || results[0].ID == results[1].ID || results[0].Key == results[1].Key {
			t.Fatalf("%s: results %+v, want two of different requests", behaviour, results)
		}
		for _, r := range results {
			if r.Status != http.StatusOK || r.Body != r.ID {
				t.Errorf("%s: result %+v, want status 200 with its ID", behaviour, r)
			}
		}
	}
}
