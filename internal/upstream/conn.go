package upstream

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

var (
	// errDropped ends a fetch that would begin on a connection to a backend that
	// drains, is gone or has started anew.
	errDropped = errors.New("backend dropped")
	// errStale ends a fetch that would begin on a kept connection that has ended
	// or brought something nobody asked for. Not a byte of the fetch was written.
	errStale = errors.New("connection no longer fit")
	// errLate ends a fetch whose time had ended before its first byte.
	errLate = errors.New("too late to begin")
	// errUnwanted ends a fetch that was withdrawn before its first byte.
	errUnwanted = errors.New("withdrawn")
)

// A conn is a connection to a backend. It knows whose req is on it and how far
// that was written: http.Transport tells neither for sure, as its hooks fire
// when a req is in a buffer and not when it is on the socket.
//
// It also sees to it that no byte read before a fetch's first write can answer
// that fetch. http.Transport puts a connection back into its pool before it
// looks for what may have come behind the answer (a second copy, noise), and
// the next fetch that takes the connection would be served it. So the first
// byte of a req is written only when the transport's reader waits at the socket
// with an empty buffer and the socket is empty as well; a first byte of an
// answer that the transport has in its buffer before that ends the connection.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	backend *backend
	closed  func()      // once
	wrote   func(n int) // so many bytes went to the socket

	mu      sync.Mutex
	turn    sync.Cond // the reader has come to wait, or the connection ended
	owner   *fetch    // or nil for a probe
	began   bool      // a byte of the owner's req was written: what comes in answers it
	broke   bool      // a write of it failed or was held back
	ended   bool      // nothing more may be written or read
	waiting bool      // the reader waits at the socket; its buffer is empty unless an answer is half read
	over    sync.Once
}

// newConn wraps a connection of the system.
func newConn(c *net.TCPConn, b *backend, closed func(), wrote func(int)) (*conn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	n := &conn{Conn: c, raw: raw, backend: b, closed: closed, wrote: wrote}
	n.turn.L = &n.mu
	return n, nil
}

// begin hands the connection to a fetch, or to a probe with nil.
func (c *conn) begin(f *fetch) {
	c.mu.Lock()
	c.owner, c.began, c.broke = f, false, false
	c.mu.Unlock()
}

// answerBegins is told when the transport has the first byte of an answer in
// its buffer. Where no byte of the req was written yet, that is left over from
// before: the connection is closed at once, and nothing of it is served.
func (c *conn) answerBegins() {
	c.mu.Lock()
	early := !c.began
	c.mu.Unlock()
	if early {
		c.Close()
	}
}

// Read takes what has come. The read and what it means are one step, so that a
// write cannot begin between the two.
func (c *conn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	ioErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = receive(fd, p)
		if c.waiting = err == syscall.EAGAIN; c.waiting {
			c.turn.Broadcast()
			return false
		}
		if !c.began && err == nil { // nobody asked for it
			n, err, c.ended = 0, errStale, true
			c.turn.Broadcast()
		}
		return true
	})
	switch {
	case ioErr != nil:
		return 0, ioErr
	case err != nil: // closed here, as a close waits for the reader to let go of the socket
		c.Close()
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// receive reads from a socket that does not block.
func receive(fd uintptr, p []byte) (n int, err error) {
	for {
		if n, err = syscall.Read(int(fd), p); err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}

// Write guards the rule on drains: the first byte of a req goes to no backend
// that was dropped, however long its fetch was dialling or queued. It also
// guards against answers from before, see conn.
func (c *conn) Write(data []byte) (int, error) {
	if err := c.start(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	c.wrote(n)
	if err != nil {
		c.mu.Lock()
		c.broke = true
		c.mu.Unlock()
	}
	return n, err
}

// start sees to it that a req may begin here, or goes on if it has.
func (c *conn) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.began && !c.ended {
		return nil
	}
	for !c.ended && !c.waiting {
		c.turn.Wait() // for the reader, which is on its way
	}
	switch {
	case c.ended || !c.empty():
		c.ended, c.broke = true, true // the transport closes it
		return errStale
	case c.backend.dropped.Load():
		c.broke = true
		return errDropped
	case c.owner != nil && c.owner.unwant.Load():
		c.broke = true
		return errUnwanted
	case c.owner.tooLate():
		c.broke = true
		return errLate
	}
	c.began = true
	return nil
}

// tooLate tells whether the time in which a fetch may begin has ended. The program may have stood
// still since it was asked for, or waited for a connection.
func (f *fetch) tooLate() bool {
	if f == nil || f.before <= 0 || f.now() < f.before {
		return false
	}
	f.late.Store(true)
	return true
}

// empty tells whether nothing waits at the socket, not even its end. c.mu is held.
func (c *conn) empty() bool {
	var one [1]byte
	var err error
	if ctl := c.raw.Control(func(fd uintptr) { _, err = receive(fd, one[:]) }); ctl != nil {
		return false
	}
	return err == syscall.EAGAIN
}

// Close closes the connection and counts it out.
func (c *conn) Close() error {
	c.mu.Lock()
	c.ended = true
	c.turn.Broadcast()
	c.mu.Unlock()
	c.over.Do(c.closed)
	return c.Conn.Close() // without c.mu: it waits for the reader, which may want that
}

// giveUp closes the connection if it still carries the fetch.
func (c *conn) giveUp(f *fetch) {
	c.mu.Lock()
	carries := c.owner == f
	if carries {
		c.ended = true // no other fetch begins here from now on
	}
	c.mu.Unlock()
	if carries {
		c.Close()
	}
}

// carried tells whether any byte of the fetch's req was written here, and
// whether all of it may have been.
func (c *conn) carried(f *fetch) (any, all bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner != f || c.began, c.owner != f || c.began && !c.broke
}
