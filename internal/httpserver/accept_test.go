package httpserver

import (
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/testnet"
)

// After a limiter was suspended, more new connections may arrive at once than may wait to be rejected. All clients
// whose requests have arrived are notified, in order and before clients that have sent nothing.
func TestAllRejectedClientsAreNotified(t *testing.T) {
	server, _ := startServerWithMaxConns(t, 1)
	client := server.connect(t)
	client.send(validRequest)
	id := (<-server.events).(*core.RequestReceived).ID
	server.setRejectionTimeout(time.Minute)
	for range maxRejectedConns {
		server.connect(t)
	}
	server.awaitState(stateRejected, maxRejectedConns)
	for range 3 * maxRejectedConns {
		accepted, dialed := testnet.Pair(t)
		late := newTestClient(t, dialed)
		late.send(validRequest)
		raw, err := accepted.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		for socket := (&clientConn{raw: raw}); !socket.hasInput(); time.Sleep(time.Millisecond) {
		}
		if server.connSet().admit(accepted, stateNew) != nil {
			t.Error("admitted a connection beyond the limit")
		}
		if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{OverLimit: true, Reason: core.CloseRejected}) {
			t.Errorf("posted %+v, want ClientConnClosed with OverLimit", ev)
		}
		if resp, _ := late.response(); resp.StatusCode != 429 || !resp.Close {
			t.Errorf("response %+v, want status 429 and the connection closed", resp)
		}
	}
	server.awaitState(stateRejected, maxRejectedConns)
	server.reject(id)
	client.response()
}

// A readHookConn is a connection that calls afterRead after each read.
type readHookConn struct {
	net.Conn
	afterRead func()
}

func (c *readHookConn) Read(p []byte) (int, error) {
	defer c.afterRead()
	return c.Conn.Read(p)
}

// If a rejected connection is evicted while its request arrives, its client is not notified, and the connection is not
// reported as notified.
func TestRejectedConnEvictedDuringRead(t *testing.T) {
	server, _ := startServerWithMaxConns(t, 1)
	client := server.connect(t)
	client.send(validRequest)
	id := (<-server.events).(*core.RequestReceived).ID
	conns := server.connSet()
	accepted, dialed := testnet.Pair(t)
	evictRejected := func() {
		conns.mu.Lock()
		conns.evictLongest(stateRejected, 0)
		conns.mu.Unlock()
	}
	if conns.admit(&readHookConn{accepted, evictRejected}, stateNew) != nil {
		t.Error("admitted a connection beyond the limit")
	}
	late := newTestClient(t, dialed)
	late.send(validRequest)
	late.expectClose()
	if ev := <-server.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Unread: true, Reason: core.CloseRejectedUnread}) {
		t.Errorf("posted %+v, want ClientConnClosed with Unread", ev)
	}
	server.reject(id)
	client.response()
}

// A failingListener is a listener whose first call of Accept fails.
type failingListener struct {
	net.Listener
	err  error
	once sync.Once
}

func (l *failingListener) Accept() (conn net.Conn, err error) {
	l.once.Do(func() { err = l.err })
	if err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// An error of accept that passes does not end the server: the next connection is served.
func TestAcceptingGoesOnAfterError(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENETUNREACH} {
		err := &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
		server := startServerOn(t, &failingListener{Listener: testnet.Listen(t), err: err})
		server.connect(t).requestReady()
	}
}
