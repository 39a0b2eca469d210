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

// Canceling an attempt whose connection carries another one by now must not end that one.
func TestCancelSparesNextAttempt(t *testing.T) {
	c, far := connPair(t)
	old, next := &attempt{}, &attempt{}
	c.assign(old)
	c.assign(next)
	c.abort(old)
	go readByte(c)
	go func() { _, _ = c.Write([]byte("x")) }() // the other end shows whether it came
	if _, err := io.ReadFull(far, make([]byte, 1)); err != nil {
		t.Errorf("the next attempt was cut off: %v", err)
	}
}

// connPair returns a connection as a Client has it, and its other end.
func connPair(t *testing.T) (*backendConn, *net.TCPConn) {
	t.Helper()
	far, near := testnet.Pair(t)
	c, err := newBackendConn(near, &backend{}, func() {}, func(int) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, far
}

// readByte reads from a connection, as http.Transport does all the time.
func readByte(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }

// write writes a text to a connection.
func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}

// An attempt that is still dialing or queued when the connections to its backend are closed writes no byte,
// and counts as one that never ran.
func TestCloseBackendConnsBeforeFirstByte(t *testing.T) {
	c, _ := connPair(t)
	a := &attempt{}
	a.attach(c)
	c.backend.closed.Store(true)
	go readByte(c)
	if n, err := c.Write([]byte("GET")); n != 0 || !errors.Is(err, errBackendClosed) {
		t.Errorf("wrote %d bytes, %v", n, err)
	}
	if got := resultWithoutResponse(a, newRequestBody(nil), errBackendClosed); got != admission.ConnectFailed {
		t.Errorf("result %v", got)
	}
}

// A connection lost before the last byte proves that the request never ran, though http.Transport reports
// it as written once it is in the buffer.
func TestConnectionLostWhileWriting(t *testing.T) {
	c, far := connPair(t)
	a := &attempt{}
	a.attach(c)
	go readByte(c)
	if _, err := c.Write([]byte("G")); err != nil {
		t.Fatal(err)
	}
	if err := far.SetLinger(0); err != nil { // the close is a reset
		t.Fatal(err)
	}
	_ = far.Close()
	for { // until the reset has come
		if _, err := c.Write([]byte("ET")); err != nil {
			break
		}
	}
	if got := resultWithoutResponse(a, newRequestBody(nil), io.EOF); got != admission.ConnectFailed {
		t.Errorf("result %v", got)
	}
}

// The same, step by step: what the reader brings before the first byte of a request was written ends the
// connection, whichever comes first.
func TestReadBeforeWrite(t *testing.T) {
	c, far := connPair(t)
	c.assign(&attempt{})
	write(t, far, "HTTP/1.1 200 OK\r\n")
	if n, err := c.Read(make([]byte, 99)); n != 0 || !errors.Is(err, errStale) {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if n, err := c.Write([]byte("GET")); n != 0 || !errors.Is(err, errStale) {
		t.Errorf("wrote %d bytes, %v", n, err)
	}

	c, far = connPair(t)
	c.assign(&attempt{})
	wrote := make(chan error)
	go func() {
		_, err := c.Write([]byte("GET"))
		wrote <- err
	}()
	c.responseBuffered() // found in the transport's buffer; no reader ever waits
	if err := <-wrote; !errors.Is(err, errStale) {
		t.Errorf("wrote, %v", err)
	}
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("%v", err)
	}

	c, far = connPair(t)
	c.assign(&attempt{})
	c.readerWaits = true // as if the reader had not seen yet what is at the socket
	write(t, far, "x")
	for start := time.Now(); time.Since(start) < 10*time.Second; {
		if err := c.begin(); errors.Is(err, errStale) {
			return
		}
		c.begun = false // the byte is still on its way
	}
	t.Error("a request began on a connection with bytes left over")
}
