package fetch

import (
	"errors"
	"net"
	"sync"
)

// errDropped ends a fetch that would begin on a connection to a backend that
// drains, is gone or has started anew.
var errDropped = errors.New("backend dropped")

// A conn is a connection to a backend. It knows whose req is on it and how far
// that was written: http.Transport tells neither for sure, as its hooks fire
// when a req is in a buffer and not when it is on the socket.
type conn struct {
	net.Conn
	backend *backend
	closed  func() // once

	mu    sync.Mutex
	owner *fetch // or nil for a probe
	began bool   // a byte of the owner's req was written
	broke bool   // a write of it failed
	over  sync.Once
}

// begin hands the connection to a fetch.
func (c *conn) begin(f *fetch) {
	c.mu.Lock()
	c.owner, c.began, c.broke = f, false, false
	c.mu.Unlock()
}

// Write guards the rule on drains: the first byte of a req goes to no backend
// that was dropped, however long its fetch was dialling or queued.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if !c.began && c.backend.dropped.Load() {
		c.broke = true
		c.mu.Unlock()
		return 0, errDropped
	}
	c.began = true
	c.mu.Unlock()
	n, err := c.Conn.Write(data)
	if err != nil {
		c.mu.Lock()
		c.broke = true
		c.mu.Unlock()
	}
	return n, err
}

// Close closes the connection and counts it out.
func (c *conn) Close() error {
	c.over.Do(c.closed)
	return c.Conn.Close()
}

// giveUp closes the connection if it still carries the fetch.
func (c *conn) giveUp(f *fetch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner == f {
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
