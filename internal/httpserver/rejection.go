package httpserver

import (
	"time"

	"lemongate/internal/core"
	"lemongate/internal/rawread"
)

// This file handles new connections for which there is no room: their requests are awaited, and displace connections of less
// use or are rejected.

const (
	// maxRejectedConns is the maximum number of rejected connections that wait for their requests at once.
	maxRejectedConns = 48
	// rejectionLingerTime is how long a rejected connection stays open for the rest of its request.
	rejectionLingerTime = 500 * time.Millisecond
	// rejectionReadBytes is the buffer size for reading what a rejected client has sent.
	rejectionReadBytes = guaranteedMemory
)

// awaitRequest waits for the request of a new connection for which there is no room. If a complete request arrives, and
// another connection may be closed for it, the connection is served. Otherwise awaitRequest answers the request with 429 and
// closes the connection. It reads what the client has sent, because closing a socket with unread input resets the connection.
// It ends within the set's rejectionTimeout plus the timeout of a write.
func (c *clientConn) awaitRequest() {
	_ = c.SetReadDeadline(time.Now().Add(c.set.rejectionTimeout)) // fails only on a closed connection
	notified := false
	if c.readRequestStart() {
		if c.displaceOther() {
			c.set.serve(c)
			return
		}
		_, err := c.Write(c.set.rejection)
		notified = err == nil // the write fails if the connection was closed for another new one
	}
	c.set.onRejected(notified)
	if notified && !c.hasWholeRequest() {
		go c.lingerRejected() // ends within rejectionLingerTime
		return
	}
	_ = c.Close() // an error has no consequence here
}

// hasWholeRequest reports whether the next request was received completely.
func (c *clientConn) hasWholeRequest() bool {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	return c.input.hasWholeRequest()
}

// lingerRejected closes a connection whose client was told that there is no room, once the client has closed it or sent the
// rest of its request: a close over unread input would reset the connection, and the client might not read the response.
func (c *clientConn) lingerRejected() {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = conn.CloseWrite() // the response was written
	}
	_ = c.SetReadDeadline(time.Now().Add(rejectionLingerTime)) // fails only on a closed connection
	var discarded [rejectionReadBytes]byte
	for err := error(nil); err == nil; {
		_, err = c.Conn.Read(discarded[:])
	}
	_ = c.Close() // an error has no consequence here
}

// displaceOther closes another connection for this one, which is beyond the limit, if a complete request was received here.
// It reports whether this connection is to be served.
func (c *clientConn) displaceOther() bool {
	c.set.mu.Lock()
	if c.state != stateRejected || !c.input.hasWholeRequest() {
		c.set.mu.Unlock()
		return false
	}
	var evicted evictedConn
	if c.set.isFull() {
		evicted = c.set.evictFirst(connsWithoutRequest)
		if evicted.clientConn == nil {
			evicted = c.set.evictStuckWriter(core.CloseUnreadResponse)
		}
		if evicted.clientConn == nil {
			c.set.mu.Unlock()
			return false
		}
	}
	c.setStateLocked(stateReading)
	c.hasRequestBytes = true
	c.charge(len(c.input.buffered))
	_ = c.setReadDeadlineLocked(time.Time{}) // fails only on a closed connection
	c.set.mu.Unlock()
	evicted.finish()
	return true
}

// readRequestStart waits for the first bytes of a request, reads all input that has arrived, and reports whether there was
// any. It buffers rejectionReadBytes of it at most.
func (c *clientConn) readRequestStart() bool {
	var buffer [rejectionReadBytes]byte
	n, _ := c.Conn.Read(buffer[:]) // an error counts as no input
	received := n > 0
	buffered := n
	if c.raw != nil {
		_ = c.raw.Control(func(fd uintptr) { // also reads input that arrived while the process was suspended
			for {
				into := buffer[:]
				if buffered < len(buffer) {
					into = buffer[buffered:]
				}
				n, _ := rawread.Nonblocking(fd, into)
				if n <= 0 {
					return
				}
				received = true
				buffered += n
			}
		})
	}
	if buffered <= len(buffer) { // otherwise some of it was overwritten
		c.set.mu.Lock()
		c.input.add(buffer[:buffered])
		c.set.mu.Unlock()
	}
	return received
}
