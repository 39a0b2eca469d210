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

// serveRequests answers each request with its ID, but with every behaviour of a limiter that a name stands for:
// "closes" ends each connection with its first response, "silent" never responds. It sends what it read of each
// connection, by the errors that ended it.
func serveRequests(t *testing.T, behaviour string) (addr string, ended <-chan error) {
	t.Helper()
	listener := testnet.Listen(t) // its close ends the goroutine
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
	defer func() { _ = conn.Close() }() // the test has what it needs
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

// sendOne sends the first request of a load, and returns all results.
func sendOne(t *testing.T, addr string, request Request) []Result {
	t.Helper()
	l := &Load{tier: &Tier{Limiters: []*Limiter{{Addr: addr}}}, idle: make([][]*clientConn, 1)}
	l.makeRequest = func(int) Request { return request }
	l.stop = make(chan struct{})
	l.Resend()
	l.sendNumber(7)
	return l.End()
}

// A client that leaves closes its connection once it has waited; one that ends its sending reads its response.
func TestLeavingAndHalfClosingClients(t *testing.T) {
	const wait = 30 * time.Millisecond
	addr, ended := serveRequests(t, "silent")
	results := sendOne(t, addr, Request{Class: ClassIdempotent, Manner: Leaving, LeaveAfter: wait})
	if len(results) != 1 || results[0].Left.Sub(results[0].At) < wait || results[0].Status != 0 {
		t.Errorf("leaving: %+v", results)
	}
	if err := <-ended; err == nil {
		t.Error("leaving: the connection is open")
	}
	for _, manner := range []Manner{Leaving, HalfClosing} {
		addr, ended = serveRequests(t, "answers")
		results = sendOne(t, addr, Request{Class: ClassIdempotent, Manner: manner, LeaveAfter: time.Second})
		if len(results) != 1 || results[0].Body != results[0].ID || !results[0].Left.IsZero() {
			t.Errorf("manner %d: %+v", manner, results)
		}
		if err := <-ended; err == nil {
			t.Errorf("manner %d: the connection is open", manner)
		}
	}
}

// Of two requests sent at once each gets its own response, the second one on a new connection if the limiter closes
// the first between them.
func TestPipeliningClient(t *testing.T) {
	for _, behaviour := range []string{"answers", "closes"} {
		addr, _ := serveRequests(t, behaviour)
		results := sendOne(t, addr, Request{Class: ClassKeyed, Key: "00", Body: 3, Manner: Pipelining})
		if len(results) != 2 || results[0].ID == results[1].ID || results[0].Key == results[1].Key {
			t.Fatalf("%s: %+v", behaviour, results)
		}
		for _, r := range results {
			if r.Status != http.StatusOK || r.Body != r.ID {
				t.Errorf("%s: %+v", behaviour, r)
			}
		}
	}
}
