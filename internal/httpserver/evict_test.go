package httpserver

import (
	"strings"
	"testing"
	"time"

	"lemongate/internal/core"
)

// Connections that send nothing must not keep regular clients out: beyond the limit the oldest of them is closed.
func TestSilentConnsAreEvicted(t *testing.T) {
	server, elapsed := startServerWithMaxConns(t, 2)
	first := server.connect(t)
	server.awaitState(stateNew, 1)
	elapsed.Add(int64(newConnTimeout))
	second := server.connect(t)
	server.awaitState(stateNew, 2)
	regular := server.connect(t)
	regular.requestReady()
	first.expectClose()
	if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Unread: true, Reason: core.CloseSilent}) {
		t.Errorf("posted %+v, want ClientConnClosed with Unread", ev)
	}
	second.requestReady()
	if n := server.Conns(); n != 2 {
		t.Errorf("%d connections open, want 2", n)
	}
}

// The connection that has been idle longest is closed first. A connection with a request in progress is never closed for
// another: then the new connection is rejected, and its client is notified once its request arrives.
func TestConnsInUseAreNotEvicted(t *testing.T) {
	server, elapsed := startServerWithMaxConns(t, 3)
	busy, older, newer := server.connect(t), server.connect(t), server.connect(t)
	busy.send(validRequest)
	id := (<-server.events).(*core.RequestReceived).ID
	older.requestReady()
	server.awaitState(stateIdle, 1)
	elapsed.Add(int64(time.Second))
	newer.requestReady()
	server.awaitState(stateIdle, 2)
	elapsed.Add(int64(time.Second))
	for _, client := range []*testClient{older, newer} {
		next := server.connect(t)
		next.send(strings.Replace(validRequest, "9b1f", "0000", 1))
		client.expectClose()
		if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Reason: core.CloseIdle}) {
			t.Errorf("posted %+v, want ClientConnClosed of an idle connection", ev)
		}
		if _, ok := (<-server.events).(*core.RequestReceived); !ok {
			t.Error("the request on the new connection was not posted, want RequestReceived")
		}
	}
	server.connect(t).expectClose() // sends nothing within the rejection timeout
	if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Unread: true, Reason: core.CloseRejectedUnread}) {
		t.Errorf("posted %+v, want ClientConnClosed with Unread", ev)
	}
	server.setRejectionTimeout(time.Minute)
	silent := server.connect(t) // sends nothing
	server.awaitState(stateRejected, 1)
	late := server.connect(t)
	server.awaitState(stateRejected, 2)
	late.send(validRequest)
	if resp, _ := late.response(); resp.StatusCode != 429 || resp.Header.Get("Retry-After") != "0.500" || !resp.Close {
		t.Errorf("response %+v, want status 429, Retry-After 0.500 and the connection closed", resp)
	}
	late.expectClose()
	if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{OverLimit: true, Reason: core.CloseRejected}) {
		t.Errorf("posted %+v, want ClientConnClosed with OverLimit", ev)
	}
	var rejected []*testClient
	for i := range maxRejectedConns + 1 { // beyond maxRejectedConns the oldest one is closed
		rejected = append(rejected, server.connect(t))
		server.awaitState(stateRejected, min(i+2, maxRejectedConns))
	}
	for _, client := range []*testClient{silent, rejected[0]} {
		client.expectClose()
	}
	for range 2 { // each connection is reported once
		if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Unread: true, Reason: core.CloseRejectedUnread}) {
			t.Errorf("posted %+v, want ClientConnClosed with Unread", ev)
		}
	}
	server.reject(id)
	busy.expectRejected()
}

// Clients that send one request and keep their connection open indefinitely use up file descriptors on both sides.
// While more than a fraction of the limit is open, connections that have been idle for 2 s are closed, until that
// fraction is reached.
func TestSweep(t *testing.T) {
	server, elapsed := startServerWithMaxConns(t, 8)
	var idle []*testClient
	for i := range 3 {
		client := server.connect(t)
		client.requestReady()
		server.awaitState(stateIdle, i+1) // connections become idle in the order in which they were opened
		idle = append(idle, client)
	}
	conns := server.connSet()
	elapsed.Store(int64(minIdleTime) - 1)
	conns.sweep()
	if n := conns.count(); n != 3 {
		t.Errorf("%d connections left before minIdleTime, want 3", n)
	}
	elapsed.Store(int64(minIdleTime))
	conns.sweep()
	if n := conns.count(); n != 2 {
		t.Errorf("%d connections left, want 2, at which the set is not crowded", n)
	}
	idle[0].expectClose()
	idle[1].requestReady()
}

// Where the set is full of connections that wait for the rest of a request, a new connection displaces one of them only once
// its own request has come completely. Half a request is rejected.
func TestCompleteRequestDisplacesIncompleteOne(t *testing.T) {
	server, elapsed := startServerWithMaxConns(t, 2)
	server.setRejectionTimeout(20 * time.Second)
	var stuck []*testClient
	for range 2 {
		client := server.connect(t)
		client.send(validHead)
		stuck = append(stuck, client)
	}
	server.awaitState(stateReading, 2)
	server.awaitReaderBlocked()
	elapsed.Add(int64(newConnTimeout))
	half := server.connect(t)
	half.send(validHead)
	half.expectRejected()
	if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{OverLimit: true, Reason: core.CloseRejected}) {
		t.Errorf("posted %+v, want ClientConnClosed with OverLimit", ev)
	}
	whole := server.connect(t)
	whole.send(validRequest)
	closed, received := <-server.events, <-server.events
	if _, ok := closed.(*core.RequestReceived); ok { // the close is reported concurrently
		closed, received = received, closed
	}
	if *closed.(*core.ClientConnClosed) != (core.ClientConnClosed{Unread: true, Reason: core.CloseIncomplete}) {
		t.Errorf("posted %+v, want ClientConnClosed of an incomplete request", closed)
	}
	server.reject(received.(*core.RequestReceived).ID)
	whole.expectRejected()
	whole.requestReady() // it is a connection like any other
	stuck[0].expectClose()
}
