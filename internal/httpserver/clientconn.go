package httpserver

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// writeTimeout is for a client to take what is written to it.
	writeTimeout = 10 * time.Second
	// maxReadAhead is how many bytes are read beside a request in progress, up to a further read.
	maxReadAhead = 16 << 10
)

// A clientConn is a client connection, and what it is doing.
type clientConn struct {
	net.Conn
	set *connSet
	raw syscall.RawConn // nil if there is no socket

	// set.mu guards the rest.
	state        connState
	since        time.Time     // of the state
	element      *list.Element // in the list of the state
	requestStart time.Time     // when the request that is coming in began to
	requestBegun bool          // a byte was read since the request before was complete
	readAhead    []byte        // read beside a request in progress, and not yet taken by net/http
	readerWaits  bool          // net/http waits at the socket for more of a request, so none is complete
}

// newClientConn returns a connection that is not in the set yet. The caller holds set.mu.
func newClientConn(set *connSet, accepted net.Conn, state connState) *clientConn {
	now := set.now()
	c := &clientConn{Conn: accepted, set: set, state: state, since: now, requestStart: now}
	if socket, ok := accepted.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn() // nil for one that is closed already
	}
	return c
}

// enter moves the connection to a state unless it is closed, and returns the state that it was in.
func (c *clientConn) enter(state connState) (was connState) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	return c.move(state)
}

// move does the same for a caller that holds set.mu.
func (c *clientConn) move(state connState) (was connState) {
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

// startServing notes that a request is complete, and reports whether it is to be served: not on a connection
// that is closed.
func (c *clientConn) startServing() bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.requestBegun = false
	return c.move(stateBusy) != stateClosed
}

// requestDone notes that a request is answered, and that the next one may come, or has begun to.
func (c *clientConn) requestDone() {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.requestStart = c.set.now()
	c.move(stateReading)
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

// Read implements net.Conn, and notes that a request has begun to come. Both are one step with the state of
// the connection: one that is closed between requests has had no byte of the next one read, so a reset shows
// its client that it may send that one again. net/http calls a connection idle until a complete head was
// read, and would close some with a request in its buffer.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	if n = c.takeReadAhead(p); n > 0 {
		return n, nil
	}
	if c.moved() {
		return 0, io.EOF // closed here, open there
	}
	if c.raw == nil {
		return c.readWithoutSocket(p)
	}
	return c.readSocket(p)
}

// watchesForClose reports whether a read is that of net/http beside a complete request: it reads one byte, to
// see its client disconnect.
func watchesForClose(p []byte) bool { return len(p) == 1 }

// takeReadAhead notes that net/http wants more of a request, and gives it what was read ahead. If nothing of
// one came since the request before was answered, that was all there was in its buffer, and the connection
// is between requests.
func (c *clientConn) takeReadAhead(p []byte) (n int) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	switch {
	case watchesForClose(p) || c.state == stateClosed:
	case len(c.readAhead) > 0:
		c.requestBegun = true
		n = copy(p, c.readAhead)
		c.readAhead = c.readAhead[n:]
		if len(c.readAhead) == 0 {
			c.readAhead = nil // frees it
		}
	case c.state == stateReading && !c.requestBegun:
		c.move(stateIdle)
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

// readSocket waits for something to be read. The limiter may have been suspended: a deadline counts as passed
// only where nothing has come by it.
func (c *clientConn) readSocket(p []byte) (n int, err error) {
	waitErr := c.raw.Read(func(fd uintptr) (done bool) {
		n, err = c.receive(fd, p)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if errors.Is(waitErr, os.ErrDeadlineExceeded) {
		if c.moved() {
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

// receive reads what is in the socket; it fails with syscall.EAGAIN if that is nothing. Beside a request in
// progress it reads ahead, so that bytes behind that request do not hide that the client has disconnected.
func (c *clientConn) receive(fd uintptr, p []byte) (n int, err error) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.readerWaits = false
	if c.mustClose(p) {
		c.move(stateClosed)
	}
	if c.state == stateClosed {
		return 0, net.ErrClosed
	}
	if watchesForClose(p) {
		return c.receiveAhead(fd, p)
	}
	n, err = readUninterrupted(fd, p)
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
	return c.set.readEnds && !watchesForClose(p)
}

// receiveAhead reads all that is in the socket into the read-ahead, up to its bound, beyond which it returns a
// byte of that. It returns nothing with the end of the connection. The caller holds set.mu.
func (c *clientConn) receiveAhead(fd uintptr, p []byte) (n int, err error) {
	for {
		if len(c.readAhead) >= maxReadAhead {
			p[0], c.readAhead = c.readAhead[0], c.readAhead[1:]
			return 1, nil
		}
		n, err = readUninterrupted(fd, c.set.scratch[:])
		c.noteRead(n)
		if n == 0 {
			return 0, err
		}
		c.readAhead = append(c.readAhead, c.set.scratch[:n]...)
	}
}

// readUninterrupted reads from a socket that does not block.
func readUninterrupted(fd uintptr, p []byte) (n int, err error) {
	for {
		n, err = syscall.Read(int(fd), p)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}

// noteRead notes that bytes were read. The caller holds set.mu.
func (c *clientConn) noteRead(n int) {
	if n <= 0 {
		return
	}
	c.requestBegun = true
	if c.state == stateIdle {
		c.requestStart = c.set.now() // the first request counts from the start of the connection
	}
	if c.state == stateIdle || c.state == stateNew {
		c.move(stateReading)
	}
}

// Write implements net.Conn. It bounds the time that a client takes to read: one that does not would keep its
// connection and the memory of the response for good. On a connection that is closed net/http would still
// answer what it takes for a malformed request.
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

// CloseWrite ends the sending. net/http leaves the client half a second more to read its last response.
func (c *clientConn) CloseWrite() error {
	was := c.enter(stateLingering)
	if was == stateReading { // net/http could not read the request and has answered so
		c.set.onClosed(was)
	}
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. A connection without a complete request counts as closed unread.
func (c *clientConn) Close() error {
	was := c.enter(stateClosed)
	if was == stateNew || was == stateReading {
		c.set.onClosed(was)
	}
	return c.Conn.Close()
}
