package httpserver

import (
	"strings"
	"testing"
	"time"

	"lemongate/internal/core"
)

// Connections that send nothing must not keep the usual clients out: beyond the bound the oldest of them is
// closed.
func TestSilentConnsAreEvicted(t *testing.T) {
	server, past := startBoundedServer(t, 2)
	first := server.connect(t)
	server.awaitState(stateNew, 1)
	past.Add(int64(newConnPatience))
	second := server.connect(t)
	server.awaitState(stateNew, 2)
	usual := server.connect(t)
	usual.requestReady()
	first.expectClose()
	if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Unread: true}) {
		t.Errorf("posted %+v", ev)
	}
	second.requestReady()
	if n := server.Conns(); n != 2 {
		t.Errorf("%d connections open", n)
	}
}

// The connection that has been idle for longest is closed first, and one with a request in progress for no
// other: then the new connection is rejected, and its client notified once its request comes.
func TestConnsInUseAreNotEvicted(t *testing.T) {
	server, past := startBoundedServer(t, 3)
	busy, older, newer := server.connect(t), server.connect(t), server.connect(t)
	busy.send(good)
	id := (<-server.events).(*core.RequestReceived).ID
	older.requestReady()
	server.awaitState(stateIdle, 1)
	past.Add(int64(time.Second))
	newer.requestReady()
	server.awaitState(stateIdle, 2)
	past.Add(int64(time.Second))
	for _, client := range []*testClient{older, newer} {
		next := server.connect(t)
		next.send(strings.Replace(good, "9b1f", "0000", 1))
		client.expectClose()
		if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{}) {
			t.Errorf("posted %+v", ev)
		}
		if _, ok := (<-server.events).(*core.RequestReceived); !ok {
			t.Error("the new connection was not admitted")
		}
	}
	server.connect(t).expectClose() // it sends nothing in its time
	if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Unread: true}) {
		t.Errorf("posted %+v", ev)
	}
	server.setPatience(time.Minute)
	quiet := server.connect(t) // it sends nothing
	server.awaitState(stateRejected, 1)
	late := server.connect(t)
	server.awaitState(stateRejected, 2)
	late.send(good)
	if resp, _ := late.response(); resp.StatusCode != 429 || resp.Header.Get("Retry-After") != "0.500" || !resp.Close {
		t.Errorf("%+v", resp)
	}
	late.expectClose()
	if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{OverLimit: true}) {
		t.Errorf("posted %+v", ev)
	}
	var rejected []*testClient
	for i := range maxRejected + 1 { // beyond maxRejected the oldest is closed
		rejected = append(rejected, server.connect(t))
		server.awaitState(stateRejected, min(i+2, maxRejected))
	}
	for _, client := range []*testClient{quiet, rejected[0]} {
		client.expectClose()
	}
	for range 2 { // each is reported once
		if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Unread: true}) {
			t.Errorf("posted %+v", ev)
		}
	}
	server.reject(id)
	busy.expectRejected()
}

// Clients that send one request and keep their connection for good use up descriptors of both sides: beyond a
// fraction of the bound the idle ones are closed, but not before they have been idle for 2 s, and not below
// that fraction.
func TestSweep(t *testing.T) {
	server, past := startBoundedServer(t, 8)
	var idle []*testClient
	for i := range 3 {
		client := server.connect(t)
		client.requestReady()
		server.awaitState(stateIdle, i+1) // connections become idle in the order in which they were opened
		idle = append(idle, client)
	}
	conns := server.connSet()
	past.Store(int64(minIdleTime) - 1)
	conns.sweep()
	if n := conns.count(); n != 3 {
		t.Errorf("%d left before their time", n)
	}
	past.Store(int64(minIdleTime))
	conns.sweep()
	if n := conns.count(); n != 2 {
		t.Errorf("%d left, want those for which there is room", n)
	}
	idle[0].expectClose()
	idle[1].requestReady()
}
