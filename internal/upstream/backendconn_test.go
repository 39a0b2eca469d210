package upstream

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/testnet"
)

// Canceling an attempt must not close a connection that has since been assigned to the next attempt.
func TestCancelDoesNotCloseNextAttempt(t *testing.T) {
	c, remote := connPair(t)
	previous, next := &attempt{}, &attempt{}
	c.assign(previous)
	c.assign(next)
	c.abort(previous)
	go readByte(c)
	go func() { _, _ = c.Write([]byte("x")) }() // the read below shows whether the byte was received
	if _, err := io.ReadFull(remote, make([]byte, 1)); err != nil {
		t.Errorf("canceling the previous attempt broke the connection of the next one: %v", err)
	}
}

// connPair returns a connection as a Client uses it, and the backend's end of it.
func connPair(t *testing.T) (*backendConn, *net.TCPConn) {
	t.Helper()
	remote, local := testnet.Pair(t)
	c, err := newBackendConn(local, &backend{}, func() {}, func(int) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, remote
}

// readByte blocks in Read, as the reader of http.Transport does.
func readByte(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}

// The connections to a backend are closed while an attempt is still dialing or queued. The attempt writes no byte,
// and its result says that it never ran.
func TestCloseBackendConnsBeforeFirstByte(t *testing.T) {
	c, _ := connPair(t)
	a := &attempt{}
	a.attach(c)
	c.backend.closed.Store(true)
	go readByte(c)
	if n, err := c.Write([]byte("GET")); n != 0 || !errors.Is(err, errBackendClosed) {
		t.Errorf("wrote %d bytes, error %v; want 0 and errBackendClosed", n, err)
	}
	if got := resultWithoutResponse(a, newRequestBody(nil)); got != admission.ConnectFailed {
		t.Errorf("result %v, want admission.ConnectFailed", got)
	}
}

// A connection that breaks before the last byte of a request is written proves that the request never ran, although
// http.Transport reports the request as written once it is in the buffer.
func TestConnectionLostWhileWriting(t *testing.T) {
	c, remote := connPair(t)
	a := &attempt{}
	a.attach(c)
	go readByte(c)
	if _, err := c.Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	if err := remote.SetLinger(0); err != nil { // so that Close sends a reset
		t.Fatal(err)
	}
	_ = remote.Close()
	for { // until the reset is received
		if _, err := c.Write([]byte("ET")); err != nil {
			break
		}
	}
	if got := resultWithoutResponse(a, newRequestBody(nil)); got != admission.ConnectFailed {
		t.Errorf("result %v, want admission.ConnectFailed", got)
	}
}

// Data that is received before the first byte of a request was written makes the connection stale. The test covers
// data that Read returns, data in the transport's buffer, and data still on the socket; see TestNoLeftOverResponse.
func TestReadBeforeWrite(t *testing.T) {
	c, remote := connPair(t)
	c.assign(&attempt{})
	write(t, remote, "HTTP/1.1 200 OK\r\n")
	if n, err := c.Read(make([]byte, 99)); n != 0 || !errors.Is(err, errStale) {
		t.Errorf("read %d bytes, error %v; want 0 and errStale", n, err)
	}
	if n, err := c.Write([]byte("GET")); n != 0 || !errors.Is(err, errStale) {
		t.Errorf("wrote %d bytes, error %v; want 0 and errStale", n, err)
	}

	c, remote = connPair(t)
	c.assign(&attempt{})
	writeErr := make(chan error)
	go func() {
		_, err := c.Write([]byte("GET"))
		writeErr <- err
	}()
	c.responseBuffered() // as if the data were in the transport's buffer; no reader ever blocks on the socket
	if err := <-writeErr; !errors.Is(err, errStale) {
		t.Errorf("write error %v, want errStale", err)
	}
	if _, err := remote.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read at the backend's end: error %v, want EOF", err)
	}

	c, remote = connPair(t)
	c.assign(&attempt{})
	c.readerBlocked = true // as if the reader had not yet read the data on the socket
	write(t, remote, "x")
	for start := time.Now(); time.Since(start) < 10*time.Second; {
		if err := c.startWrite(); errors.Is(err, errStale) {
			return
		}
		c.writeStarted = false // startWrite found no data, because the byte was not received yet
	}
	t.Error("startWrite did not fail with errStale within 10 s on a connection with unread data")
}
