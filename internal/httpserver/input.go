package httpserver

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"lemongate/internal/core"
	"lemongate/internal/rawread"
)

// This file reads from client connections.

const (
	// maxReadAhead is the number of bytes read beyond a request in progress at which reading ahead stops; the last read
	// may exceed it.
	maxReadAhead = 16 << 10
	// standInRequest takes the place of a request with an inputFault: net/http reads this one, and ServeHTTP answers it with
	// the fault.
	standInRequest = "GET / HTTP/1.1\r\nHost: fault\r\n\r\n"
)

var (
	// errInputDiscarded means that nothing more of a connection is read, as the start of the next request is not known.
	errInputDiscarded = errors.New("input is discarded")
	// errReadAheadFull means that no more of a connection is read ahead.
	errReadAheadFull = errors.New("read ahead is full")
	// errOutOfMemory means that the memory for clients has no room for further input.
	errOutOfMemory = errors.New("no memory for further input")
)

// Read implements net.Conn. Reading and the state change that follows are one step under set.mu. So if a connection
// is closed between requests, no byte of the next request was read, and a reset tells the client that it may resend
// that request. The connection states of net/http are not sufficient for this: net/http considers a connection idle
// until it has read a complete head, and would close some connections with a request in its buffer.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	if n = c.takeBuffered(p); n > 0 {
		return n, nil
	}
	if c.tryMove() {
		return 0, io.EOF // closed in this process, open in the other one
	}
	if c.raw == nil {
		return c.readWithoutSocket(p)
	}
	n, err = c.readSocket(p)
	for errors.Is(err, errOutOfMemory) {
		if err = c.waitForMemory(); err != nil {
			return c.failForMemory(p)
		}
		n, err = c.readSocket(p)
	}
	if err != nil {
		c.set.mu.Lock()
		c.readErr = err
		c.set.mu.Unlock()
	}
	return n, err
}

// failForMemory ends the wait of a request for memory: net/http reads the request that takes its place, or fails to read the
// rest of it.
func (c *clientConn) failForMemory(p []byte) (n int, err error) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.input.passable == 0 {
		return c.passFault(p, faultOutOfMemory), nil
	}
	c.inputFault = faultOutOfMemory
	return 0, errOutOfMemory
}

// isBackgroundRead reports whether a read is the one with which net/http detects that the client disconnects while
// a request is served: it reads a single byte.
func isBackgroundRead(p []byte) bool { return len(p) == 1 }

// takeBuffered copies buffered bytes that net/http may have to p. It also detects that the connection is idle: net/http
// reads again only when its buffer is empty, so if no byte of the next request was read by then, that request has not begun.
func (c *clientConn) takeBuffered(p []byte) (n int) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	switch {
	case isBackgroundRead(p) || c.state == stateClosed:
	case len(c.input.buffered) > 0:
		c.hasRequestBytes = true
		if n = c.passInput(p, c.input.take(p)); n == 0 {
			c.startHeadTimeout()
		}
	case c.state == stateReading && !c.hasRequestBytes:
		c.setStateLocked(stateIdle)
	}
	return n
}

// passInput returns the number of bytes at p that net/http gets: n, or those of the request that takes the place of one whose
// head exceeds the limits. The caller holds set.mu.
func (c *clientConn) passInput(p []byte, n int) int {
	if n == 0 && c.input.tooLarge {
		n = c.passFault(p, faultHeadTooLarge)
	}
	return n
}

// passFault records a fault of a request whose head was not passed on, and passes on the request that takes its place. The
// caller holds set.mu.
func (c *clientConn) passFault(p []byte, fault *requestFault) int {
	c.inputFault = fault
	c.input.replace(standInRequest)
	return c.input.take(p)
}

func (c *clientConn) readWithoutSocket(p []byte) (n int, err error) {
	for n == 0 && err == nil {
		n, err = c.Conn.Read(p)
		c.set.mu.Lock()
		c.recordRead(n)
		if !isBackgroundRead(p) {
			n = c.passReceived(p, p[:n])
		}
		c.set.mu.Unlock()
	}
	return n, err
}

// passReceived returns the number of bytes at p that net/http gets after bytes were received, and buffers the others. The
// received bytes are at the start of p if nothing was buffered. The caller holds set.mu.
func (c *clientConn) passReceived(p, received []byte) int {
	if len(c.input.buffered) == 0 {
		return c.passInput(p, c.input.receive(received))
	}
	c.input.add(received)
	return c.passInput(p, c.input.take(p))
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
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// receive reads what is in the socket, and fails with syscall.EAGAIN if the socket has nothing that net/http may have.
// While a request waits for a backend it reads ahead, because unread bytes after that request would hide that the client has
// disconnected.
func (c *clientConn) receive(fd uintptr, p []byte) (n int, err error) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.readerBlocked = false
	if c.mustClose(p) {
		c.setStateLocked(stateClosed)
	}
	switch {
	case c.state == stateClosed:
		return 0, net.ErrClosed
	case c.inputFault != nil:
		return 0, errInputDiscarded
	case isBackgroundRead(p):
		return c.receiveAhead(fd, p)
	case c.input.passable > 0:
		n, err = c.readCharged(fd, p[:min(len(p), c.input.passable)])
		c.input.countPassed(n)
	default:
		n, err = c.receiveHead(fd, p)
	}
	c.readerBlocked = errors.Is(err, syscall.EAGAIN)
	return n, err
}

// receiveHead reads until the head of the next request is complete, or the socket is empty. The caller holds set.mu.
func (c *clientConn) receiveHead(fd uintptr, p []byte) (n int, err error) {
	for n == 0 {
		into := p
		if len(c.input.buffered) > 0 {
			into = c.set.scratch[:]
		}
		if !c.readsMore {
			limit, err := c.nextRequestBytes(fd, into)
			if limit == 0 {
				return 0, err
			}
			into = into[:limit]
		}
		received, err := c.readCharged(fd, into)
		if received == 0 {
			return 0, err
		}
		n = c.passReceived(p, into[:received])
	}
	return n, nil
}

// nextRequestBytes returns how many bytes, of those that a buffer has room for, a read may take without reading beyond the
// next request: a paced connection may be closed before that is read. Without input it returns 0 and what a read would return.
// It overwrites the buffer. The caller holds set.mu.
func (c *clientConn) nextRequestBytes(fd uintptr, buffer []byte) (n int, err error) {
	available, err := rawread.PeekInto(fd, buffer)
	if available == 0 {
		return 0, err
	}
	scanner := c.input.head
	n, complete := scanner.scan(buffer[:available])
	if !complete || len(c.input.buffered) > 0 {
		return n, nil
	}
	length, known := bodyLength(buffer[:n])
	if !known {
		return available, nil
	}
	return n + min(length, available-n), nil
}

// readCharged reads from the socket, and charges the connection for what it reads. It fails with errOutOfMemory, and reads
// nothing, if there is input and no memory for it. The caller holds set.mu.
func (c *clientConn) readCharged(fd uintptr, p []byte) (n int, err error) {
	allowed := c.allowance(len(p))
	if allowed == 0 {
		if n, err = rawread.Peek(fd); n > 0 {
			return 0, errOutOfMemory
		}
		return 0, err
	}
	n, err = rawread.Nonblocking(fd, p[:allowed])
	c.charge(n)
	c.recordRead(n)
	return n, err
}

// mustClose reports whether a shutdown requires the connection to be closed instead of read. The caller holds set.mu.
func (c *clientConn) mustClose(p []byte) bool {
	if c.set.draining && c.state == stateIdle && !c.hasInput() {
		return true
	}
	return c.set.readsStopped && !isBackgroundRead(p)
}

// receiveAhead reads ahead for net/http's background read. At maxReadAhead it returns the first byte that it has buffered,
// which ends that read. Until then it returns no byte but the error of the last read, which is nil at the end of the stream.
// The caller holds set.mu.
func (c *clientConn) receiveAhead(fd uintptr, p []byte) (n int, err error) {
	if !c.isWatched {
		return c.peekAhead(fd)
	}
	err = c.readAhead(fd)
	switch {
	case errors.Is(err, errReadAheadFull), errors.Is(err, errOutOfMemory) && len(c.input.buffered) > 0:
		c.setUnseen()
		p[0] = c.input.takeByteAhead()
		return 1, nil
	case errors.Is(err, errOutOfMemory):
		c.setUnseen()
		return 0, syscall.EAGAIN // net/http ends the read when the request is answered
	case errors.Is(err, io.EOF):
		return 0, nil
	}
	return 0, err
}

// peekAhead is receiveAhead for a request that does not wait for a backend: it reads nothing. The caller holds set.mu.
func (c *clientConn) peekAhead(fd uintptr) (n int, err error) {
	if n, err = rawread.Peek(fd); n > 0 {
		return 0, syscall.EAGAIN // net/http ends the read when the request is answered
	}
	return 0, err
}

// readAhead buffers what is in the socket. It returns syscall.EAGAIN once the socket is empty, io.EOF at the end of the
// stream, errReadAheadFull once maxReadAhead bytes are buffered, errOutOfMemory if there is no room for more, and any other
// error of a read. The caller holds set.mu.
func (c *clientConn) readAhead(fd uintptr) error {
	for len(c.input.buffered) < maxReadAhead {
		n, err := c.readCharged(fd, c.set.scratch[:])
		if err != nil {
			return err
		}
		if n == 0 {
			return io.EOF
		}
		c.input.add(c.set.scratch[:n])
	}
	return errReadAheadFull
}

// setUnseen records that a close by the client would not be seen until the request in progress is answered. The caller
// holds set.mu.
func (c *clientConn) setUnseen() {
	c.isUnseen = true
	select {
	case c.unseen <- struct{}{}:
	default: // it was sent for this request already
	}
}

// clientWaits reports whether the client of the request in progress can be seen to wait for its response.
func (c *clientConn) clientWaits() bool {
	disconnected, _ := c.observeClient()
	return !disconnected
}

// observeClient reads ahead, and reports whether the client of the request in progress counts as disconnected. What the
// client sent behind the request may hide that it has left, however long ago. From then on input is read ahead as it arrives,
// until stopObserving.
func (c *clientConn) observeClient() (disconnected bool, reason core.DisconnectReason) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.isWatched = true
	if c.raw == nil || c.isUnseen {
		return c.isUnseen, core.DisconnectUnseen
	}
	err := net.ErrClosed
	_ = c.raw.Control(func(fd uintptr) { err = c.readAhead(fd) }) // fails on a closed socket
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return false, core.DisconnectClosed
	case errors.Is(err, errReadAheadFull), errors.Is(err, errOutOfMemory):
		c.setUnseen()
		return true, core.DisconnectUnseen
	}
	return true, core.DisconnectClosed
}

// stopObserving ends reading ahead, as the request in progress has its response, from a backend or not.
func (c *clientConn) stopObserving(fromBackend bool) {
	c.set.mu.Lock()
	c.isWatched = false
	c.readsMore = fromBackend
	c.set.mu.Unlock()
}

// fault returns the fault of the present request that was found as it was read; nil for none.
func (c *clientConn) fault() *requestFault {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	return c.inputFault
}

// knowsRequestEnd reports whether it is known where the present request ends and the next one begins.
func (c *clientConn) knowsRequestEnd() bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	return c.input.endKnown()
}

// startHeadTimeout bounds the time for the rest of a head. net/http does so only once it has four bytes of a further request,
// and waits for these as long as a connection may be idle. The caller holds set.mu.
func (c *clientConn) startHeadTimeout() {
	_ = c.setReadDeadlineLocked(c.requestStartedAt.Add(headTimeout)) // fails only on a closed connection
}

// recordRead updates the state after n bytes were read. The caller holds set.mu.
func (c *clientConn) recordRead(n int) {
	if n <= 0 {
		return
	}
	c.hasRequestBytes = true
	if c.state == stateIdle {
		c.requestStartedAt = c.set.now() // the time for the first request counts from the connect instead
		c.startHeadTimeout()
	}
	if c.state == stateIdle || c.state == stateNew {
		c.setStateLocked(stateReading)
	}
}
