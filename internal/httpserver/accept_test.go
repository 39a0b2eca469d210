package httpserver

import (
	"net"
	"testing"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/testnet"
)

// A limiter that was suspended finds more new connections at once than may wait to be rejected. All clients
// whose requests have come are notified, in turn and before those that have sent nothing.
func TestAllRejectedClientsAreNotified(t *testing.T) {
	server, _ := startBoundedServer(t, 1)
	client := server.connect(t)
	client.send(good)
	id := (<-server.events).(*core.RequestReceived).ID
	server.setPatience(time.Minute)
	for range maxRejected {
		server.connect(t)
	}
	server.awaitState(stateRejected, maxRejected)
	for range 3 * maxRejected {
		accepted, dialed := testnet.Pair(t)
		late := newTestClient(t, dialed)
		late.send(good)
		raw, err := accepted.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		for probe := (&clientConn{raw: raw}); !probe.hasInput(); time.Sleep(time.Millisecond) {
		}
		if server.connSet().admit(accepted, stateNew) != nil {
			t.Error("admitted beyond the bound")
		}
		if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{OverLimit: true}) {
			t.Errorf("posted %+v", ev)
		}
		if resp, _ := late.response(); resp.StatusCode != 429 || !resp.Close {
			t.Errorf("%+v", resp)
		}
	}
	server.awaitState(stateRejected, maxRejected)
	server.reject(id)
	client.response()
}

// A crossedConn is a connection on which something happens after each read.
type crossedConn struct {
	net.Conn
	then func()
}

func (c *crossedConn) Read(p []byte) (int, error) {
	defer c.then()
	return c.Conn.Read(p)
}

// A rejected connection that is closed for another as its request comes is not notified, and does not count as
// notified.
func TestRejectedConnDisplaced(t *testing.T) {
	server, _ := startBoundedServer(t, 1)
	client := server.connect(t)
	client.send(good)
	id := (<-server.events).(*core.RequestReceived).ID
	conns := server.connSet()
	accepted, dialed := testnet.Pair(t)
	displace := func() {
		conns.mu.Lock()
		conns.evictLongest(stateRejected, 0)
		conns.mu.Unlock()
	}
	if conns.admit(&crossedConn{accepted, displace}, stateNew) != nil {
		t.Error("admitted beyond the bound")
	}
	late := newTestClient(t, dialed)
	late.send(good)
	late.expectClose()
	if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Unread: true}) {
		t.Errorf("posted %+v", ev)
	}
	server.reject(id)
	client.response()
}
