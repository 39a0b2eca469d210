package httpserver

import (
	"strings"
	"testing"
	"time"

	"lemongate/internal/core"
)

// The local replies on a connection come in a burst, then at a rate. All connections that have used up their bursts take
// turns, none of which is further away than maxTurnDelay.
func TestLocalRepliesArePaced(t *testing.T) {
	conns := newConnSet(nil, 0, nil)
	now := time.Unix(1000, 0)
	conns.now = func() time.Time { return now }
	conn := &clientConn{set: conns}
	for i := range localReplyBurst {
		if delay := conn.localReplyDelay(); delay > 0 {
			t.Fatalf("delay of %v after reply %d, want none within the burst", delay, i)
		}
	}
	for i := range 3 {
		if delay, want := conn.localReplyDelay(), time.Duration(i+1)*localReplyInterval; delay != want {
			t.Errorf("delay of %v after %d replies beyond the burst, want %v", delay, i+1, want)
		}
	}
	now = now.Add(localReplyInterval * (localReplyBurst + 3))
	if delay := conn.localReplyDelay(); delay > 0 {
		t.Errorf("delay of %v after a pause, want none", delay)
	}
	longest := time.Duration(0)
	for range 2 * maxTurnDelay / turnInterval {
		other := &clientConn{set: conns}
		for range localReplyBurst + 1 {
			longest = max(longest, other.localReplyDelay())
		}
	}
	if longest != maxTurnDelay {
		t.Errorf("longest delay of many connections is %v, want %v", longest, maxTurnDelay)
	}
}

// While many connections get local replies, those that get a few of them do not wait, and no connection gets a long burst.
func TestBurstsOfManyConnectionsAreShort(t *testing.T) {
	conns := newConnSet(nil, 0, nil)
	now := time.Unix(1000, 0)
	conns.now = func() time.Time { return now }
	atOnce := 0
	for range totalReplyBurst {
		conn := &clientConn{set: conns}
		for range localReplyBurst {
			if conn.localReplyDelay() > 0 {
				break
			}
			atOnce++
		}
	}
	if want := totalReplyBurst * (crowdedReplyBurst + 1); atOnce > want {
		t.Errorf("%d connections got %d replies at once, want %d at most", totalReplyBurst, atOnce, want)
	}
	regular := &clientConn{set: conns}
	for range 100 {
		if delay := regular.localReplyDelay(); delay > 0 {
			t.Fatalf("delay of %v, want none for a reply every %v", delay, localReplyInterval)
		}
		now = now.Add(localReplyInterval)
	}
}

// A client that pipelines malformed requests gets all responses, the burst at once, and no faster than the rate after that.
func TestMalformedRequestsArePaced(t *testing.T) {
	server := startServer(t)
	go func() { // ends with the test process: the channel is never closed
		for range server.events {
		}
	}()
	client := server.connect(t)
	const requests = localReplyBurst + 20
	begin := time.Now()
	client.send(strings.Repeat("GET /unknown/1 HTTP/1.1\nHost: x\n\n", requests))
	for i := range requests {
		if resp, _ := client.response(); resp.StatusCode != 404 {
			t.Fatalf("response %d has status %d, want 404", i, resp.StatusCode)
		}
	}
	if took := time.Since(begin); took < 19*localReplyInterval {
		t.Errorf("20 responses beyond the burst took %v, want an interval between them", took)
	}
}

// Behind malformed requests, whose responses wait for no backend, no more is read than net/http asks for.
func TestNothingIsReadAheadOfMalformedRequests(t *testing.T) {
	const (
		request      = "GET /unknown/1 HTTP/1.1\nHost: x\n\n"
		netHTTPReads = 4 << 10
	)
	server := startServer(t)
	go func() { // ends with the test process: the channel is never closed
		for range server.events {
		}
	}()
	client := server.connect(t)
	client.send(strings.Repeat(request, 4*maxReadAhead/len(request)))
	conns := server.connSet()
	for range 2 * localReplyBurst {
		client.response()
		conns.mu.Lock()
		for _, conn := range conns.conns(stateReading, stateBusy) {
			if n := len(conn.input.buffered); n > netHTTPReads {
				t.Errorf("%d bytes are buffered, want at most %d", n, netHTTPReads)
			}
		}
		conns.mu.Unlock()
	}
}

// A request takes the place of a connection on which requests are answered faster than the rate; that connection has been sent
// the responses to all requests that were read.
func TestRequestDisplacesPacedConnection(t *testing.T) {
	const floods = 4
	server, _ := startServerWithMaxConns(t, floods)
	server.setRejectionTimeout(time.Minute) // long enough, however late the client is scheduled
	requests := make(chan *core.RequestReceived, 1)
	reasons := make(chan core.CloseReason, floods)
	go func() { // ends with the test process: the channel is never closed
		for ev := range server.events {
			switch ev := ev.(type) {
			case *core.RequestReceived:
				requests <- ev
			case *core.ClientConnClosed:
				reasons <- ev.Reason
			}
		}
	}()
	for range floods {
		client := server.connect(t)
		client.send(strings.Repeat("GET /unknown/1 HTTP/1.1\nHost: x\n\n", 2000))
		for range localReplyBurst + 1 {
			client.response()
		}
	}
	regular := server.connect(t)
	regular.send(validRequest)
	select {
	case request := <-requests:
		server.reject(request.ID)
	case <-time.After(5 * time.Second):
		t.Fatal("the request was not read")
	}
	regular.expectRejected()
	if reason := <-reasons; reason != core.ClosePaced {
		t.Errorf("a connection was closed for the reason %v, want %v", reason, core.ClosePaced)
	}
	conns := server.connSet()
	conns.mu.Lock()
	defer conns.mu.Unlock()
	for _, conn := range conns.conns(statePaced) {
		if n := len(conn.input.buffered); n > 0 {
			t.Errorf("%d bytes behind the last request were read of a paced connection", n)
		}
	}
}
