package httpserver

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"lemongate/internal/rawread"
)

const (
	// writeTimeout bounds a write to a client that does not read.
	writeTimeout = 10 * time.Second
	// maxReadAhead is how many bytes are read behind a request in progress; the last read may exceed it.
	maxReadAhead = 16 << 10
)

// A clientConn is a client connection, and what it is doing.
type clientConn struct {
	net.Conn
	set *connSet
	raw syscall.RawConn // nil if there is no socket

	// set.mu guards the rest.
	state            connState
	since            time.Time     // of the state
	element          *list.Element // in the list of the state
	requestStartedAt time.Time     // from when on the time for the next request counts: connect, last response or first byte
	hasRequestBytes  bool          // some of the next request was read
	readAhead        []byte        // read behind a request in progress, for the next reads of net/http
	readerWaits      bool          // net/http waits at the socket for more bytes, so it has no complete request
}

// newClientConn returns a connection that is not in the set yet. The caller holds set.mu.
func newClientConn(set *connSet, accepted net.Conn, state connState) *clientConn {
	now := set.now()
	c := &clientConn{Conn: accepted, set: set, state: state, since: now, requestStartedAt: now}
	if socket, ok := accepted.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn() // nil for one that is closed already
	}
	return c
}

// setState sets the state of the connection unless it is closed, and returns the state that it was in.
func (c *clientConn) setState(state connState) (was connState) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	return c.setStateLocked(state)
}

// setStateLocked is setState for a caller that holds set.mu.
func (c *clientConn) setStateLocked(state connState) (was connState) {
	was = c.state
	if was == stateClosed || was == state {
		return was
	}
	c.set.byState[was].Remove(c.element)
	c.state, c.since = state, c.set.now()
	if state == stateClosed {
		c.set.open--
		return was
	}
	c.element = c.set.byState[state].PushBack(c)
	return was
}

// startServing notes that a request was read completely, and reports whether to serve it: not if the
// connection is closed.
func (c *clientConn) startServing() bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.hasRequestBytes = false
	return c.setStateLocked(stateBusy) != stateClosed
}

// requestDone notes that a request was answered. A part of the next one may have been read already.
func (c *clientConn) requestDone() {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.requestStartedAt = c.set.now()
	c.setStateLocked(stateReading)
}

// hasInput reports whether something waits to be read in the socket. Its end does not count. The caller
// holds set.mu.
func (c *clientConn) hasInput() bool {
	if c.raw == nil {
		return false
	}
	var one [1]byte
	n := 0
	_ = c.raw.Control(func(fd uintptr) { // nothing waits in a closed socket
		n, _, _ = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// Read implements net.Conn. Reading and the change of state that follows are one step: if a connection is
// closed between requests, no byte of the next one was read, so a reset shows its client that it may send that
// one again. The states of net/http do not serve for that: it calls a connection idle until a complete head
// was read, and would close some with a request in its buffer.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	if n = c.takeReadAhead(p); n > 0 {
		return n, nil
	}
	if c.tryHandOver() {
		return 0, io.EOF // closed here, open there
	}
	if c.raw == nil {
		return c.readWithoutSocket(p)
	}
	return c.readSocket(p)
}

// watchesForClose reports whether a read is the one by which net/http watches for its client to disconnect
// while a request is served: it reads a single byte.
func watchesForClose(p []byte) bool { return len(p) == 1 }

// takeReadAhead copies to net/http what was read ahead. It also detects that the connection is idle: net/http
// reads on only when its buffer is empty, so if none of the next request was read by then, it has not begun.
func (c *clientConn) takeReadAhead(p []byte) (n int) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	switch {
	case watchesForClose(p) || c.state == stateClosed:
	case len(c.readAhead) > 0:
		c.hasRequestBytes = true
		n = copy(p, c.readAhead)
		c.readAhead = c.readAhead[n:]
		if len(c.readAhead) == 0 {
			c.readAhead = nil // frees it
		}
	case c.state == stateReading && !c.hasRequestBytes:
		c.setStateLocked(stateIdle)
	}
	return n
}

func (c *clientConn) readWithoutSocket(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.noteRead(n)
	return n, err
}

// readSocket waits for something to read. If the deadline has passed it looks once more, as the limiter may
// have been suspended and the bytes have come in time.
func (c *clientConn) readSocket(p []byte) (n int, err error) {
	waitErr := c.raw.Read(func(fd uintptr) (done bool) {
		n, err = c.receive(fd, p)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if errors.Is(waitErr, os.ErrDeadlineExceeded) {
		if c.tryHandOver() {
			return 0, io.EOF
		}
		controlErr := c.raw.Control(func(fd uintptr) { n, err = c.receive(fd, p) })
		if controlErr == nil && !errors.Is(err, syscall.EAGAIN) {
			waitErr = nil
		}
	}
	switch {
	case waitErr != nil:
		c.set.mu.Lock()
		c.readerWaits = false
		c.set.mu.Unlock()
		return 0, waitErr
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// receive reads what is in the socket, and fails with syscall.EAGAIN if it is empty. During a request in
// progress it reads ahead, so that bytes behind that request do not hide that the client has disconnected.
func (c *clientConn) receive(fd uintptr, p []byte) (n int, err error) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.readerWaits = false
	if c.mustClose(p) {
		c.setStateLocked(stateClosed)
	}
	if c.state == stateClosed {
		return 0, net.ErrClosed
	}
	if watchesForClose(p) {
		return c.receiveAhead(fd, p)
	}
	n, err = rawread.Nonblocking(fd, p)
	c.noteRead(n)
	c.readerWaits = errors.Is(err, syscall.EAGAIN)
	return n, err
}

// mustClose reports whether the connection is closed instead of read from, for a shutdown. The caller holds
// set.mu.
func (c *clientConn) mustClose(p []byte) bool {
	if c.set.draining && c.state == stateIdle && !c.hasInput() {
		return true
	}
	return c.set.noMoreReads && !watchesForClose(p)
}

// receiveAhead reads all that is in the socket into readAhead. Once that has maxReadAhead bytes, it returns
// the first of them, which ends net/http's watch for a close. Otherwise it returns no byte but the error of
// the last read, nil at the end of the connection. The caller holds set.mu.
func (c *clientConn) receiveAhead(fd uintptr, p []byte) (n int, err error) {
	for {
		if len(c.readAhead) >= maxReadAhead {
			p[0], c.readAhead = c.readAhead[0], c.readAhead[1:]
			return 1, nil
		}
		n, err = rawread.Nonblocking(fd, c.set.scratch[:])
		c.noteRead(n)
		if n == 0 {
			return 0, err
		}
		c.readAhead = append(c.readAhead, c.set.scratch[:n]...)
	}
}

// noteRead notes that bytes were read. The caller holds set.mu.
func (c *clientConn) noteRead(n int) {
	if n <= 0 {
		return
	}
	c.hasRequestBytes = true
	if c.state == stateIdle {
		c.requestStartedAt = c.set.now() // the first request counts from the start of the connection
	}
	if c.state == stateIdle || c.state == stateNew {
		c.setStateLocked(stateReading)
	}
}

// Write implements net.Conn. It sets a timeout: a client that does not read would keep its connection and the
// memory of the response for good. In stateClosed it fails, as net/http takes a read that was cut off for a
// malformed request and would answer that.
func (c *clientConn) Write(p []byte) (int, error) {
	c.set.mu.Lock()
	state := c.state
	c.set.mu.Unlock()
	if state == stateClosed {
		return 0, net.ErrClosed
	}
	_ = c.SetWriteDeadline(c.set.now().Add(writeTimeout)) // the write fails too
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side. net/http calls it half a second before Close, so that the client can
// read its last response.
func (c *clientConn) CloseWrite() error {
	was := c.setState(stateLingering)
	if was == stateReading { // net/http has answered a request that it could not read
		c.set.onClosed(was)
	}
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It reports a connection that is closed before a complete request was read.
func (c *clientConn) Close() error {
	was := c.setState(stateClosed)
	if was == stateNew || was == stateReading {
		c.set.onClosed(was)
	}
	return c.Conn.Close()
}
