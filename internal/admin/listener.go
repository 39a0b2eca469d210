package admin

import (
	"container/list"
	"net"
	"sync"

	"lemongate/internal/acceptretry"
)

// A boundedListener keeps at most maxConns connections open. At that limit it closes the oldest connection to accept
// a new one, so that callers that neither send nor read do not block other callers.
type boundedListener struct {
	net.Listener

	mu    sync.Mutex
	conns list.List // of *boundedConn, oldest first
}

// A boundedConn is a connection that counts towards the limit of its listener.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	element  *list.Element // in listener.conns; nil once removed; guarded by listener.mu
}

// Accept waits for the next connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	accepted, err := acceptretry.Accept(l.Listener, func(error) {}) // the server for clients reports the same errors
	if err != nil {
		return nil, err
	}
	conn := &boundedConn{Conn: accepted, listener: l}
	if displaced := l.add(conn); displaced != nil {
		_ = displaced.Conn.Close() // the HTTP server closes it too
	}
	return conn, nil
}

// add adds a connection to the list. It returns the oldest connection if that was removed to make room.
func (l *boundedListener) add(conn *boundedConn) (displaced *boundedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns.Len() >= maxConns {
		displaced = l.conns.Front().Value.(*boundedConn)
		displaced.remove()
	}
	conn.element = l.conns.PushBack(conn)
	return displaced
}

// remove removes the connection from the list. The caller holds listener.mu.
func (c *boundedConn) remove() {
	if c.element != nil {
		c.listener.conns.Remove(c.element)
		c.element = nil
	}
}

// Close removes the connection from the list and closes it.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	c.remove()
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
