package admin

import (
	"container/list"
	"net"
	"sync"
)

// A boundedListener accepts connections up to maxConns, each with a slot. At the bound a new connection
// takes the slot of the oldest, which is closed, so that callers that hang do not keep others out.
type boundedListener struct {
	net.Listener

	mu    sync.Mutex
	slots list.List // of *slotConn, the oldest first
}

// A slotConn is a connection with a slot.
type slotConn struct {
	net.Conn
	listener *boundedListener
	slot     *list.Element // nil once it is released; listener.mu guards it
}

// Accept waits for the next connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &slotConn{Conn: accepted, listener: l}
	if displaced := l.add(conn); displaced != nil {
		_ = displaced.Conn.Close() // its handler closes it too
	}
	return conn, nil
}

// add gives a connection a slot, and returns the one that lost it for that, if any.
func (l *boundedListener) add(conn *slotConn) (displaced *slotConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slots.Len() >= maxConns {
		displaced = l.slots.Front().Value.(*slotConn)
		displaced.release()
	}
	conn.slot = l.slots.PushBack(conn)
	return displaced
}

// release gives the slot back. The caller holds listener.mu.
func (c *slotConn) release() {
	if c.slot != nil {
		c.listener.slots.Remove(c.slot)
		c.slot = nil
	}
}

// Close releases the slot and closes the connection.
func (c *slotConn) Close() error {
	c.listener.mu.Lock()
	c.release()
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
