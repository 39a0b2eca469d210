package upstream

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"lemongate/internal/rawread"
)

var (
	// errStale ends an attempt on a reused connection that was closed, or on which unexpected data was received,
	// before a byte of the request was written.
	errStale = errors.New("stale connection")
	// errStartExpired ends an attempt whose startBefore passed before its first byte was written.
	errStartExpired = errors.New("start deadline passed before the first byte was written")
	// errWithdrawn ends an attempt that was withdrawn before its first byte was written.
	errWithdrawn = errors.New("withdrawn")
)

// A backendConn is a connection to a backend. It records which attempt is using it and how much of the request
// was written to the socket. The callbacks of http.Transport cannot tell that: they are called when a request
// is in a buffer, not when it is on the socket.
//
// It also ensures that no byte received before the first write of an attempt is taken for part of the response
// to it. http.Transport returns a connection to its pool before it checks for data after the response (such as
// a copy of the response, or arbitrary bytes), and the next attempt on the connection would get that data as its
// response.
// Therefore the first byte of a request is written only while the transport's reader is blocked on the socket
// with an empty buffer, and the socket is empty as well. If the transport has the first byte of a response in
// its buffer before that, the connection is closed.
//
// Such data may also arrive some milliseconds after the response, and HTTP/1.1 does not say which request a response
// answers. Therefore connPool makes a connection available reuseDelay after the last byte received, at the earliest.
type backendConn struct {
	net.Conn
	raw        syscall.RawConn
	backend    *backend
	reuseDelay time.Duration // from the last byte received to the first byte of the next request, at least
	onClose    func()        // called once, when the connection is closed
	onWrite    func(n int)   // called after n bytes were written to the socket

	mu            sync.Mutex
	changed       sync.Cond // signaled when readerBlocked or ended becomes true
	attempt       *attempt  // that uses the connection; nil for a probe
	writeStarted  bool      // a byte of the current request was written, so data read belongs to its response
	writeFailed   bool      // a write of the current request failed or was refused
	ended         bool      // nothing more may be written or read
	readerBlocked bool      // http.Transport's reader waits for data; its buffer is empty or holds part of a response
	lastRead      time.Time // when the last byte was received; zero before the first one
	closeOnce     sync.Once
}

// newBackendConn wraps a connection, whose reuseDelay is 0. OnClose is called once the connection is closed, and onWrite
// after each write.
func newBackendConn(tcp *net.TCPConn, b *backend, onClose func(), onWrite func(int)) (*backendConn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &backendConn{Conn: tcp, raw: raw, backend: b, onClose: onClose, onWrite: onWrite}
	c.changed.L = &c.mu
	return c, nil
}

// assign sets the attempt that uses the connection; nil stands for a probe.
func (c *backendConn) assign(a *attempt) {
	c.mu.Lock()
	c.attempt, c.writeStarted, c.writeFailed = a, false, false
	c.mu.Unlock()
}

// responseBuffered is called when http.Transport has the first byte of a response in its buffer. If no byte of
// the request was written yet, the buffered data is not a response to it: responseBuffered closes the connection at
// once, so that no part of that data is served.
func (c *backendConn) responseBuffered() {
	c.mu.Lock()
	unrequested := !c.writeStarted
	c.mu.Unlock()
	if unrequested {
		_ = c.Close() // which makes the attempt fail
	}
}

// Read implements net.Conn. It reads from the socket and evaluates what was read in one critical section, so that
// no write can start in between.
func (c *backendConn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	waitErr := c.raw.Read(func(fd uintptr) (done bool) {
		n, err = c.readSocket(fd, p)
		return !errors.Is(err, syscall.EAGAIN)
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		_ = c.Close() // after raw.Read has returned, because Close waits until the reader has released the socket
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readSocket reads the data that is available on the socket. It fails with syscall.EAGAIN if there is none.
func (c *backendConn) readSocket(fd uintptr, p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err = rawread.Nonblocking(fd, p)
	c.readerBlocked = errors.Is(err, syscall.EAGAIN)
	switch {
	case c.readerBlocked:
		c.changed.Broadcast()
	case err == nil && !c.writeStarted: // the data answers no request
		c.ended = true
		c.changed.Broadcast()
		return 0, errStale
	case n > 0:
		c.lastRead = time.Now()
	}
	return n, err
}

// Write implements net.Conn. It does not write the first byte of a request to a backend that was closed, however
// long the attempt was dialing or queued, nor to a stale connection.
func (c *backendConn) Write(data []byte) (int, error) {
	if err := c.startWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	c.onWrite(n)
	if err != nil {
		c.mu.Lock()
		c.writeFailed = true
		c.mu.Unlock()
	}
	return n, err
}

// startWrite returns nil if a request may start on the connection, or continue if it has started.
func (c *backendConn) startWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeStarted && !c.ended {
		return nil
	}
	for !c.ended && !c.readerBlocked {
		c.changed.Wait() // until the reader is blocked on the socket
	}
	if err := c.startError(); err != nil {
		c.writeFailed = true
		return err
	}
	c.writeStarted = true
	return nil
}

// startError returns the reason why a request must not start on the connection, or nil. The caller holds c.mu.
func (c *backendConn) startError() error {
	switch {
	case c.ended || !c.socketEmpty():
		c.ended = true // http.Transport closes the connection after the error
		return errStale
	case c.backend.closed.Load():
		return errBackendClosed
	case c.attempt == nil:
		return nil
	case c.attempt.withdrawn.Load(), c.attempt.clientLeft():
		return errWithdrawn
	case c.attempt.expired():
		return errStartExpired
	}
	return nil
}

// socketEmpty reports whether the socket has neither data nor an end of stream to read. The caller holds c.mu.
func (c *backendConn) socketEmpty() bool {
	var buf [1]byte
	var readErr error
	err := c.raw.Control(func(fd uintptr) { _, readErr = rawread.Nonblocking(fd, buf[:]) })
	return err == nil && errors.Is(readErr, syscall.EAGAIN)
}

// Close implements net.Conn. The first call also calls onClose.
func (c *backendConn) Close() error {
	c.mu.Lock()
	c.ended = true
	c.changed.Broadcast()
	c.mu.Unlock()
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close() // without holding c.mu: Close waits for the reader, which may need c.mu
}

// hasEnded reports whether nothing more may be written or read.
func (c *backendConn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// endRequest records that the attempt or probe that used the connection has ended: data that is received from now on
// answers no request. It returns how long no other request may start on the connection, which is not positive if one may
// start now, and whether the connection has ended.
func (c *backendConn) endRequest() (remaining time.Duration, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStarted = false
	if !c.lastRead.IsZero() {
		remaining = c.reuseDelay - time.Since(c.lastRead)
	}
	return remaining, c.ended
}

// abort closes the connection if the given attempt still uses it.
func (c *backendConn) abort(a *attempt) {
	c.mu.Lock()
	current := c.attempt == a
	if current {
		c.ended = true // so that no other attempt starts on the connection
	}
	c.mu.Unlock()
	if current {
		_ = c.Close() // nothing more is sent on it, so the error does not matter
	}
}

// progress reports whether any byte of an attempt's request was written on the connection, and whether all of
// it may have been written.
func (c *backendConn) progress(a *attempt) (started, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempt != a {
		return true, true // another attempt has used the connection since
	}
	return c.writeStarted, c.writeStarted && !c.writeFailed
}
