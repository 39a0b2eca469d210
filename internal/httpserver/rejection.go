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
	// maxRejectedBytes is the number of bytes that are read of a rejected connection, as many as the longest request has. A
	// client that goes on sending has its connection reset.
	maxRejectedBytes = maxHeaderBytes + maxBodyBytes
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
	received := c.readRequestStart()
	if received > 0 {
		if c.displaceOther() {
			c.set.serve(c)
			return
		}
		_, err := c.Write(c.set.rejection)
		notified = err == nil // the write fails if the connection was closed for another new one
	}
	c.set.onRejected(notified)
	if notified && !c.hasWholeRequest() {
		go c.lingerRejected(maxRejectedBytes - received) // ends within rejectionLingerTime
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
// rest of its request: a close over unread input would reset the connection, and the client might not read the response. It
// reads no more than a number of bytes.
func (c *clientConn) lingerRejected(maxBytes int) {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = conn.CloseWrite() // the response was written
	}
	_ = c.SetReadDeadline(time.Now().Add(rejectionLingerTime)) // fails only on a closed connection
	var discarded [rejectionReadBytes]byte
	for err := error(nil); err == nil && maxBytes > 0; {
		var n int
		n, err = c.Conn.Read(discarded[:])
		maxBytes -= n
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

// readRequestStart waits for the first bytes of a request, reads the input that has arrived, maxRejectedBytes of it or a little
// more at most, and returns the number of bytes read. It buffers rejectionReadBytes of it at most.
func (c *clientConn) readRequestStart() (received int) {
	var buffer [rejectionReadBytes]byte
	received, _ = c.Conn.Read(buffer[:]) // an error counts as no input
	if c.raw != nil {
		// Also reads input that arrived while the process was suspended. Fails on a closed socket.
		_ = c.raw.Control(func(fd uintptr) { received += readAvailable(fd, buffer[:], received) })
	}
	if received <= len(buffer) { // otherwise some of it was overwritten
		c.set.mu.Lock()
		c.input.add(buffer[:received])
		c.set.mu.Unlock()
	}
	return received
}

// readAvailable reads the available input of a socket, of which a number of bytes were received before, and returns the number
// of bytes read. It reads to the free part of the buffer; once that is full it overwrites the buffer.
func readAvailable(fd uintptr, buffer []byte, before int) (received int) {
	for before+received < maxRejectedBytes {
		into := buffer
		if used := before + received; used < len(buffer) {
			into = buffer[used:]
		}
		n, _ := rawread.Nonblocking(fd, into)
		if n <= 0 {
			break
		}
		received += n
	}
	return received
}
