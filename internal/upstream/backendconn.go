package upstream

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"lemongate/internal/rawread"
)

var (
	// errStale ends an attempt that would begin on a kept connection that has ended or on which something
	// unexpected came. No byte of the attempt was written.
	errStale = errors.New("stale connection")
	// errStartExpired ends an attempt whose time to begin had ended before its first byte.
	errStartExpired = errors.New("too late to begin")
	// errWithdrawn ends an attempt that was withdrawn before its first byte.
	errWithdrawn = errors.New("withdrawn")
)

// A backendConn is a connection to a backend. It knows which attempt it carries and how far that was
// written: http.Transport reports neither for sure, as its callbacks fire when a request is in a buffer
// and not when it is on the socket.
//
// It also ensures that no byte read before the first write of an attempt can be part of the response to
// it. http.Transport puts a connection back into its pool before it looks for what may have come behind
// the response (a copy of it, noise), and the next attempt that takes the connection would get that as
// its response. So the first byte of a request is written only while the transport's reader waits at the
// socket with an empty buffer, and the socket is empty as well; a first byte of a response that the
// transport has in its buffer before that ends the connection.
type backendConn struct {
	net.Conn
	raw     syscall.RawConn
	backend *backend
	release func()      // called once, when the connection is closed
	written func(n int) // called after n bytes were written to the socket

	mu          sync.Mutex
	changed     sync.Cond // readerWaits or ended became true
	carried     *attempt  // nil for a probe
	begun       bool      // a byte of the carried request was written: what is read is the response
	writeFailed bool      // a write of it failed or was refused
	ended       bool      // nothing more may be written or read
	readerWaits bool      // at the socket; its buffer is empty unless a response is half read
	closeOnce   sync.Once
}

// newBackendConn wraps a connection. Release is called once it is closed, written after each write.
func newBackendConn(tcp *net.TCPConn, b *backend, release func(), written func(int)) (*backendConn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &backendConn{Conn: tcp, raw: raw, backend: b, release: release, written: written}
	c.changed.L = &c.mu
	return c, nil
}

// assign makes the connection carry an attempt, or a probe if a is nil.
func (c *backendConn) assign(a *attempt) {
	c.mu.Lock()
	c.carried, c.begun, c.writeFailed = a, false, false
	c.mu.Unlock()
}

// responseBuffered is called when http.Transport has the first byte of a response in its buffer. If no
// byte of the request was written yet, that byte is left over from before: the connection is closed at
// once, and nothing of it is served.
func (c *backendConn) responseBuffered() {
	c.mu.Lock()
	leftOver := !c.begun
	c.mu.Unlock()
	if leftOver {
		_ = c.Close() // the attempt fails by that
	}
}

// Read implements net.Conn. The read and what it means are one step, so that a write cannot begin between
// the two.
func (c *backendConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	waitErr := c.raw.Read(func(fd uintptr) (done bool) {
		n, err = c.receive(fd, p)
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		_ = c.Close() // here, as a close waits for the reader to let go of the socket
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// receive reads what is in the socket; it fails with syscall.EAGAIN if that is nothing.
func (c *backendConn) receive(fd uintptr, p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err = rawread.Nonblocking(fd, p)
	c.readerWaits = errors.Is(err, syscall.EAGAIN)
	switch {
	case c.readerWaits:
		c.changed.Broadcast()
	case err == nil && !c.begun: // nothing was requested
		c.ended = true
		c.changed.Broadcast()
		return 0, errStale
	}
	return n, err
}

// Write implements net.Conn. The first byte of a request goes to no backend that was closed, however long
// its attempt was dialing or queued, and to no stale connection.
func (c *backendConn) Write(data []byte) (int, error) {
	if err := c.begin(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	c.written(n)
	if err != nil {
		c.mu.Lock()
		c.writeFailed = true
		c.mu.Unlock()
	}
	return n, err
}

// begin decides whether a request may begin on the connection, or go on if it has begun.
func (c *backendConn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun && !c.ended {
		return nil
	}
	for !c.ended && !c.readerWaits {
		c.changed.Wait() // the reader is on its way to the socket
	}
	if err := c.mayBegin(); err != nil {
		c.writeFailed = true
		return err
	}
	c.begun = true
	return nil
}

// mayBegin returns why a request must not begin on the connection, nil if it may. The caller holds c.mu.
func (c *backendConn) mayBegin() error {
	switch {
	case c.ended || !c.isEmpty():
		c.ended = true // the transport closes it
		return errStale
	case c.backend.closed.Load():
		return errBackendClosed
	case c.carried == nil:
		return nil
	case c.carried.withdrawn.Load():
		return errWithdrawn
	case c.carried.expired():
		return errStartExpired
	}
	return nil
}

// isEmpty reports whether nothing waits at the socket, not even its end. The caller holds c.mu.
func (c *backendConn) isEmpty() bool {
	var one [1]byte
	var readErr error
	err := c.raw.Control(func(fd uintptr) { _, readErr = rawread.Nonblocking(fd, one[:]) })
	return err == nil && errors.Is(readErr, syscall.EAGAIN)
}

// Close implements net.Conn, and releases the connection.
func (c *backendConn) Close() error {
	c.mu.Lock()
	c.ended = true
	c.changed.Broadcast()
	c.mu.Unlock()
	c.closeOnce.Do(c.release)
	return c.Conn.Close() // without c.mu: it waits for the reader, which may want that
}

// abort closes the connection if it still carries an attempt.
func (c *backendConn) abort(a *attempt) {
	c.mu.Lock()
	carries := c.carried == a
	if carries {
		c.ended = true // no other attempt begins on it from now on
	}
	c.mu.Unlock()
	if carries {
		_ = c.Close() // nothing more is sent on it
	}
}

// progress reports whether any byte of the request of an attempt was written on the connection, and
// whether all of it may have been.
func (c *backendConn) progress(a *attempt) (begun, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.carried != a {
		return true, true // it has carried another one since
	}
	return c.begun, c.begun && !c.writeFailed
}
