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
	// minRequestWait is how long the request of a new connection is awaited at least, even while others need its place, and
	// maxRequestWait how long that of a rejected connection is awaited at most.
	minRequestWait = 50 * time.Millisecond
	maxRequestWait = 500 * time.Millisecond
	// rejectedSlotInterval is the time between two checks whether there is room for a further rejected connection.
	rejectedSlotInterval = 2 * time.Millisecond
	// rejectionLingerTime is how long a rejected connection stays open for the rest of its request.
	rejectionLingerTime = 500 * time.Millisecond
	// maxRejectedBytes is the number of bytes that are read of a rejected connection, as many as the longest request has. A
	// client that goes on sending has its connection reset.
	maxRejectedBytes = maxHeaderBytes + maxBodyBytes
	// rejectionReadBytes is the buffer size for reading what a rejected client has sent.
	rejectionReadBytes = guaranteedMemory
)

// admitRejected adds a rejected connection, and sees to its request. If too many of them wait already, it closes one of them.
func (s *connSet) admitRejected(conn *clientConn) {
	s.mu.Lock()
	requestReceived, evicted := s.awaitRejectedSlot(conn)
	isAdded := requestReceived || !s.rejectedIsFull()
	if isAdded {
		s.add(conn)
	}
	s.mu.Unlock()
	evicted.finish()
	switch {
	case !isAdded: // every rejected client has sent its request and is being answered
		_ = conn.Conn.Close() // nothing was sent on it
		s.onRejected(false)
	case requestReceived: // awaitRequest does not have to wait
		conn.awaitRequest()
	default:
		go conn.awaitRequest()
	}
}

// awaitRejectedSlot waits until the request of a new connection has arrived, or there is room for a further rejected
// connection. It evicts one that is answered, or whose request was awaited for minRequestWait: connections that are accepted
// and closed at once would only be made again. The caller holds s.mu.
func (s *connSet) awaitRejectedSlot(conn *clientConn) (requestReceived bool, evicted evictedConn) {
	for range minRequestWait / rejectedSlotInterval {
		if conn.hasInput() {
			return true, evictedConn{}
		}
		if !s.rejectedIsFull() {
			return false, evictedConn{}
		}
		if evicted = s.evictAnswered(); evicted.clientConn == nil {
			evicted = s.evictLongest(stateRejected, minRequestWait)
		}
		if evicted.clientConn != nil {
			return false, evicted
		}
		s.mu.Unlock()
		time.Sleep(rejectedSlotInterval)
		s.mu.Lock()
	}
	return conn.hasInput(), s.evictLongest(stateRejected, 0)
}

// rejectedIsFull reports whether maxRejectedConns is reached. The caller holds s.mu.
func (s *connSet) rejectedIsFull() bool { return s.byState[stateRejected].Len() >= maxRejectedConns }

// evictAnswered evicts a rejected connection that is answered. The caller holds s.mu.
func (s *connSet) evictAnswered() evictedConn {
	for e := s.byState[stateRejected].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*clientConn); c.rejectionSent && c.mayEvict() {
			c.setStateLocked(stateClosed)
			return evictedConn{clientConn: c, previous: stateRejected}
		}
	}
	return evictedConn{}
}

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
		c.set.mu.Lock()
		c.rejectionSent = true
		c.set.mu.Unlock()
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
