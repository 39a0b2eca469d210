package httpserver

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/rawread"
)

const (
	// writeTimeout is the timeout of a write to a client that does not read.
	writeTimeout = 10 * time.Second
	// maxReadAhead is the number of bytes read beyond a request in progress at which reading ahead stops; the last read
	// may exceed it.
	maxReadAhead = 16 << 10
)

// A clientConn is a client connection and its state.
type clientConn struct {
	net.Conn
	set *connSet
	raw syscall.RawConn // nil if the connection is not a socket

	// set.mu guards the fields below.
	state            connState
	since            time.Time     // when the connection entered the state
	element          *list.Element // in the list of connections in this state
	requestStartedAt time.Time     // start of the time for the next request: connect, last response or its first byte
	hasRequestBytes  bool          // part of the next request was read
	readAhead        []byte        // bytes read beyond a request in progress, for the next reads of net/http
	readErr          error         // of the last read that failed
	readerBlocked    bool          // net/http is waiting at the socket for more bytes, so it has no complete request
}

// newClientConn returns a connection that is not yet in the set. The caller holds set.mu.
func newClientConn(set *connSet, accepted net.Conn, state connState) *clientConn {
	now := set.now()
	c := &clientConn{Conn: accepted, set: set, state: state, since: now, requestStartedAt: now}
	if socket, ok := accepted.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn() // nil for a connection that is already closed
	}
	return c
}

// setState sets the state of the connection unless the connection is closed, and returns the previous state.
func (c *clientConn) setState(state connState) (previous connState) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	return c.setStateLocked(state)
}

// setStateLocked is setState for a caller that holds set.mu.
func (c *clientConn) setStateLocked(state connState) (previous connState) {
	previous = c.state
	if previous == stateClosed || previous == state {
		return previous
	}
	c.set.byState[previous].Remove(c.element)
	c.state, c.since = state, c.set.now()
	if state == stateClosed {
		c.set.open--
		return previous
	}
	c.element = c.set.byState[state].PushBack(c)
	return previous
}

// startServing records that a request was read completely, and reports whether to serve it: a request on a closed
// connection is not served.
func (c *clientConn) startServing() bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.hasRequestBytes = false
	return c.setStateLocked(stateBusy) != stateClosed
}

// requestDone records that a request was answered. Part of the next request may already have been read.
func (c *clientConn) requestDone() {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.requestStartedAt = c.set.now()
	c.setStateLocked(stateReading)
}

// hasInput reports whether the socket has bytes to read. The end of the stream does not count. The caller holds
// set.mu.
func (c *clientConn) hasInput() bool {
	if c.raw == nil {
		return false
	}
	var one [1]byte
	n := 0
	_ = c.raw.Control(func(fd uintptr) { // fails on a closed socket, which has no input
		n, _, _ = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// Read implements net.Conn. Reading and the state change that follows are one step under set.mu. So if a connection
// is closed between requests, no byte of the next request was read, and a reset tells the client that it may resend
// that request. The connection states of net/http are not sufficient for this: net/http considers a connection idle
// until it has read a complete head, and would close some connections with a request in its buffer.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	if n = c.takeReadAhead(p); n > 0 {
		return n, nil
	}
	if c.tryMove() {
		return 0, io.EOF // closed in this process, open in the other one
	}
	if c.raw == nil {
		return c.readWithoutSocket(p)
	}
	if n, err = c.readSocket(p); err != nil {
		c.set.mu.Lock()
		c.readErr = err
		c.set.mu.Unlock()
	}
	return n, err
}

// isBackgroundRead reports whether a read is the one with which net/http detects that the client disconnects while
// a request is served: it reads a single byte.
func isBackgroundRead(p []byte) bool { return len(p) == 1 }

// takeReadAhead copies bytes that were read ahead to p. It also detects that the connection is idle: net/http reads
// again only when its buffer is empty, so if no byte of the next request was read by then, that request has not begun.
func (c *clientConn) takeReadAhead(p []byte) (n int) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	switch {
	case isBackgroundRead(p) || c.state == stateClosed:
	case len(c.readAhead) > 0:
		c.hasRequestBytes = true
		n = copy(p, c.readAhead)
		c.readAhead = c.readAhead[n:]
		if len(c.readAhead) == 0 {
			c.readAhead = nil // frees the memory
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
	c.recordRead(n)
	return n, err
}

// readSocket waits for input and reads it. If the deadline has passed it reads once more without waiting: the
// process may have been suspended, and the input may have arrived before the deadline.
func (c *clientConn) readSocket(p []byte) (n int, err error) {
	waitErr := c.raw.Read(func(fd uintptr) (done bool) {
		n, err = c.receive(fd, p)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if errors.Is(waitErr, os.ErrDeadlineExceeded) {
		if c.tryMove() {
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
		c.readerBlocked = false
		c.set.mu.Unlock()
		return 0, waitErr
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// receive reads what is in the socket, and fails with syscall.EAGAIN if the socket is empty. While a request is in
// progress it reads ahead, because unread bytes after that request would hide that the client has disconnected.
func (c *clientConn) receive(fd uintptr, p []byte) (n int, err error) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.readerBlocked = false
	if c.mustClose(p) {
		c.setStateLocked(stateClosed)
	}
	if c.state == stateClosed {
		return 0, net.ErrClosed
	}
	if isBackgroundRead(p) {
		return c.receiveAhead(fd, p)
	}
	n, err = rawread.Nonblocking(fd, p)
	c.recordRead(n)
	c.readerBlocked = errors.Is(err, syscall.EAGAIN)
	return n, err
}

// mustClose reports whether a shutdown requires the connection to be closed instead of read. The caller holds set.mu.
func (c *clientConn) mustClose(p []byte) bool {
	if c.set.draining && c.state == stateIdle && !c.hasInput() {
		return true
	}
	return c.set.readsStopped && !isBackgroundRead(p)
}

// receiveAhead reads all bytes in the socket into readAhead. Once readAhead has maxReadAhead bytes, receiveAhead
// returns the first of them, which ends net/http's background read. Until then it returns no byte but the error of the
// last read, which is nil at the end of the stream. The caller holds set.mu.
func (c *clientConn) receiveAhead(fd uintptr, p []byte) (n int, err error) {
	for {
		if len(c.readAhead) >= maxReadAhead {
			p[0], c.readAhead = c.readAhead[0], c.readAhead[1:]
			return 1, nil
		}
		n, err = rawread.Nonblocking(fd, c.set.scratch[:])
		c.recordRead(n)
		if n == 0 {
			return 0, err
		}
		c.readAhead = append(c.readAhead, c.set.scratch[:n]...)
	}
}

// recordRead updates the state after n bytes were read. The caller holds set.mu.
func (c *clientConn) recordRead(n int) {
	if n <= 0 {
		return
	}
	c.hasRequestBytes = true
	if c.state == stateIdle {
		c.requestStartedAt = c.set.now() // the time for the first request counts from the connect instead
	}
	if c.state == stateIdle || c.state == stateNew {
		c.setStateLocked(stateReading)
	}
}

// Write implements net.Conn. It sets a timeout: a client that does not read would otherwise keep its connection and
// the memory of the response indefinitely. In stateClosed it fails, because net/http treats a read that was interrupted
// as a malformed request and would answer it.
func (c *clientConn) Write(p []byte) (int, error) {
	c.set.mu.Lock()
	state := c.state
	c.set.mu.Unlock()
	if state == stateClosed {
		return 0, net.ErrClosed
	}
	_ = c.SetWriteDeadline(c.set.now().Add(writeTimeout)) // if this fails, the write fails too
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side. net/http calls it half a second before Close, so that the client can read its
// last response.
func (c *clientConn) CloseWrite() error {
	previous := c.setState(stateLingering)
	if previous == stateReading { // net/http has answered a request that it could not parse
		c.set.onClosed(previous, core.CloseUnparsable)
	}
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// endReason returns the reason for which the connection ends before a complete request was read.
func (c *clientConn) endReason() core.CloseReason {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	switch {
	case c.readErr == nil:
		return core.CloseUnparsable
	case errors.Is(c.readErr, os.ErrDeadlineExceeded):
		return core.CloseTimeout
	}
	return core.CloseByClient
}

// Close implements net.Conn. It reports a connection that is closed before a complete request was read.
func (c *clientConn) Close() error {
	previous := c.setState(stateClosed)
	if previous == stateNew || previous == stateReading {
		c.set.onClosed(previous, c.endReason())
	}
	return c.Conn.Close()
}
