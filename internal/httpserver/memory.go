package httpserver

import (
	"os"
	"time"

	"lemongate/internal/core"
)

// This file bounds the memory that clients occupy: what was received of requests, until these are answered, and responses
// that are being written. Each connection may occupy guaranteedMemory; what is beyond comes out of a shared amount. A request
// that needs more than there is waits, unread, and is rejected if it gets none in time. The connection that occupies least
// gets freed memory first.

const (
	// guaranteedMemory is the number of bytes that each connection may occupy, enough for a usual request.
	guaranteedMemory = 2 << 10
	// maxMemoryWait is the longest time for which a request waits for memory.
	maxMemoryWait = 300 * time.Millisecond
	// stuckWritingTime is the time after which a response that its client does not read counts as stuck.
	stuckWritingTime = time.Second
)

// sharedMemory is the memory that connections share beyond guaranteedMemory. The set's mu guards it.
type sharedMemory struct {
	limit   int // bytes; 0 for no limit
	used    int
	waiting map[*clientConn]chan struct{} // closed once the connection may try again
}

// free returns the number of bytes that are not used.
func (m *sharedMemory) free() int { return max(m.limit-m.used, 0) }

// allowance returns the number of bytes, wanted at most, that a connection may be charged now. The caller holds set.mu.
func (c *clientConn) allowance(wanted int) int {
	memory := &c.set.memory
	if memory.limit <= 0 {
		return wanted
	}
	return min(max(guaranteedMemory-c.charged, 0)+memory.free(), wanted)
}

// charge charges a connection for n bytes, or refunds them if n is negative. A closed connection is not charged. The caller
// holds set.mu.
func (c *clientConn) charge(n int) {
	if c.state == stateClosed {
		return
	}
	before := max(c.charged-guaranteedMemory, 0)
	c.charged += n
	c.set.memory.used += max(c.charged-guaranteedMemory, 0) - before
	c.set.wakeMemoryWaiter()
}

// refundRequest refunds what the request in progress was charged for. What is buffered of the next one stays. The caller
// holds set.mu.
func (c *clientConn) refundRequest() { c.charge(len(c.input.buffered) - c.charged) }

// wakeMemoryWaiter lets the connection that occupies least of those that wait for memory try again, if there is any memory.
// The caller holds s.mu.
func (s *connSet) wakeMemoryWaiter() {
	if len(s.memory.waiting) == 0 || s.memory.free() == 0 {
		return
	}
	var least *clientConn
	for c := range s.memory.waiting {
		if least == nil || c.charged < least.charged {
			least = c
		}
	}
	least.stopWaitingForMemory()
}

// stopWaitingForMemory ends a wait for memory, if there is one. The caller holds set.mu.
func (c *clientConn) stopWaitingForMemory() {
	if woken := c.set.memory.waiting[c]; woken != nil {
		delete(c.set.memory.waiting, c)
		close(woken)
	}
}

// waitForMemory waits until the connection may try again to read, and fails with os.ErrDeadlineExceeded after maxMemoryWait, or
// at the deadline of the read.
func (c *clientConn) waitForMemory() error {
	woken := make(chan struct{})
	c.set.mu.Lock()
	if c.state == stateClosed || c.allowance(1) > 0 {
		c.set.mu.Unlock()
		return nil // the next read finds out
	}
	c.set.memory.waiting[c] = woken
	c.readerBlocked = true
	timeout := maxMemoryWait
	if !c.readDeadline.IsZero() {
		timeout = min(timeout, c.readDeadline.Sub(c.set.now()))
	}
	c.set.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-woken:
		return nil
	case <-timer.C:
	}
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.stopWaitingForMemory()
	return os.ErrDeadlineExceeded
}

// chargeResponse charges a connection for a response, after it has closed connections with stuck responses if there is no
// room. The response is in memory already, so it is written in any case.
func (c *clientConn) chargeResponse(n int) {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	for c.allowance(n) < n {
		evicted := c.set.evictStuckWriter(core.CloseMemory)
		if evicted.clientConn == nil {
			break
		}
		go evicted.finish() // ends once the socket is closed and the close reported
	}
	c.charge(n)
}

// evictStuckWriter evicts the connection whose client has not read a response for longest, and for stuckWritingTime at least.
// The caller holds s.mu.
func (s *connSet) evictStuckWriter(reason core.CloseReason) evictedConn {
	var longest *clientConn
	stuckSince := s.now().Add(-stuckWritingTime)
	for e := s.byState[stateBusy].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*clientConn); !c.writingSince.IsZero() && !c.writingSince.After(stuckSince) {
			longest, stuckSince = c, c.writingSince
		}
	}
	if longest == nil {
		return evictedConn{}
	}
	longest.setStateLocked(stateClosed)
	return evictedConn{longest, stateBusy, reason}
}
