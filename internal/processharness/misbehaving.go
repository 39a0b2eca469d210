package processharness

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Misbehavior is a way in which clients use up the resources of a limiter.
type Misbehavior int

// The misbehaviors. The clients of the first four connect again when the limiter closes their connections.
const (
	StopInHead     Misbehavior = iota // stop in the middle of a long head
	StopInBody                        // stop at the end of a long body, but for its last byte
	WriteSlowly                       // take seconds for a long body
	StopInFields                      // stop in a head of very many short fields
	FloodMalformed                    // pipeline small requests of an unknown class
	FloodFields                       // pipeline requests of an unknown class with very many short fields
	FloodCustomers                    // pipeline requests of ever new customers, with very short budgets
)

const (
	// longHeadBytes is the length of a head that is within the usual limits of HTTP servers.
	longHeadBytes = 15 << 10
	// longBodyBytes is the greatest length of a body that the platform allows.
	longBodyBytes = 64 << 10
	// shortFields is the number of fields of a head with very many short fields.
	shortFields = 2000
	// slowPiece and slowPause are what a slow client writes at once, and its pause after that.
	slowPiece, slowPause = 2 << 10, 50 * time.Millisecond
	// floodBatch is the number of requests that a flooding client writes at once.
	floodBatch = 50
	// shortBudget is the budget of the requests of FloodCustomers, which expires before they are read.
	shortBudget = time.Microsecond
	// misbehavingTimeout limits the writes and reads of a misbehaving client.
	misbehavingTimeout = 10 * time.Second
	// reconnectPause is the pause of a misbehaving client between two connections.
	reconnectPause = 10 * time.Millisecond
)

// padding is what long heads and bodies consist of.
var padding = bytes.Repeat([]byte("x"), longBodyBytes)

// Misbehaving is a group of misbehaving clients.
type Misbehaving struct {
	Sent atomic.Int64 // requests that the flooding clients have written

	addr    string
	kind    Misbehavior
	clients sync.WaitGroup
	stop    chan struct{} // closed by End
	lastID  atomic.Uint64 // of requests and of customers

	mu    sync.Mutex
	conns map[net.Conn]bool // open connections
}

// StartMisbehaving starts clients that misbehave towards a limiter until End is called.
func (tier *Tier) StartMisbehaving(limiter, clients int, kind Misbehavior) *Misbehaving {
	m := &Misbehaving{addr: tier.Limiters[limiter].Addr, kind: kind, stop: make(chan struct{}), conns: map[net.Conn]bool{}}
	for range clients {
		m.clients.Go(m.run)
	}
	return m
}

// End closes the connections of the clients, and waits until the clients have ended.
func (m *Misbehaving) End() {
	close(m.stop)
	m.mu.Lock()
	for conn := range m.conns {
		_ = conn.Close() // nothing more is expected of it
	}
	m.mu.Unlock()
	m.clients.Wait()
}

// hasEnded reports whether End was called.
func (m *Misbehaving) hasEnded() bool {
	select {
	case <-m.stop:
		return true
	default:
		return false
	}
}

// run uses one connection after another, until End.
func (m *Misbehaving) run() {
	for !m.hasEnded() {
		conn, err := net.DialTimeout("tcp", m.addr, dialTimeout)
		if err == nil {
			m.track(conn, true)
			m.use(conn)
			m.track(conn, false)
			_ = conn.Close() // the limiter may have closed it
		}
		time.Sleep(reconnectPause)
	}
}

// track records that a connection is open, or that it is closed.
func (m *Misbehaving) track(conn net.Conn, open bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if open {
		m.conns[conn] = true
		return
	}
	delete(m.conns, conn)
}

// use misbehaves on a connection until it ends.
func (m *Misbehaving) use(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(misbehavingTimeout)) // the next write fails if the connection is closed
	switch m.kind {
	case StopInHead:
		head := m.head(ClassIdempotent, usualBudget)
		writeAndWait(conn, head+"X-Padding: ", padding[:longHeadBytes-len(head)])
	case StopInBody:
		writeAndWait(conn, m.longRequest(), padding[:longBodyBytes-1])
	case WriteSlowly:
		m.writeSlowly(conn, m.longRequest())
	case StopInFields:
		writeAndWait(conn, m.head(ClassIdempotent, usualBudget), manyFields())
	case FloodMalformed, FloodFields, FloodCustomers:
		m.flood(conn)
	}
}

// writeAndWait writes the two parts of a text, and waits until the connection ends.
func writeAndWait(conn net.Conn, start string, rest []byte) {
	parts := net.Buffers{[]byte(start), rest}
	if _, err := parts.WriteTo(conn); err == nil {
		_, _ = io.Copy(io.Discard, conn) // ends with the connection
	}
}

// writeSlowly writes a head and a body of longBodyBytes in pieces, and reads the response.
func (m *Misbehaving) writeSlowly(conn net.Conn, head string) {
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	for rest := padding; len(rest) > 0 && !m.hasEnded(); time.Sleep(slowPause) {
		piece := min(slowPiece, len(rest))
		if _, err := conn.Write(rest[:piece]); err != nil {
			return
		}
		rest = rest[piece:]
	}
	_, _ = conn.Read(make([]byte, 1)) // ends with the response or the connection
}

// flood writes requests as fast as the limiter reads them, and discards the responses.
func (m *Misbehaving) flood(conn net.Conn) {
	go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	batch := m.floodRequests()
	for !m.hasEnded() {
		_ = conn.SetDeadline(time.Now().Add(misbehavingTimeout)) // the next write fails if the connection is closed
		if _, err := conn.Write(batch); err != nil {
			return
		}
		m.Sent.Add(floodBatch)
		if m.kind == FloodCustomers {
			batch = m.floodRequests()
		}
	}
}

// floodRequests returns the next floodBatch requests of a flooding client.
func (m *Misbehaving) floodRequests() []byte {
	var batch bytes.Buffer
	for range floodBatch {
		batch.WriteString(m.floodRequest())
	}
	return batch.Bytes()
}

// floodRequest returns the next request of a flooding client.
func (m *Misbehaving) floodRequest() string {
	switch m.kind {
	case FloodMalformed:
		return "GET /unknown/1 HTTP/1.1\r\nHost: backend.local\r\n\r\n"
	case FloodFields:
		return "GET /unknown/1 HTTP/1.1\r\nHost: backend.local\r\n" + string(manyFields()) + "\r\n"
	}
	return m.head(ClassIdempotent, shortBudget) + "\r\n"
}

// longRequest returns the head of a request with a body of longBodyBytes.
func (m *Misbehaving) longRequest() string {
	head := m.head(ClassKeyed, keyedBudget)
	return fmt.Sprintf("%sIdempotency-Key: long%d\r\nContent-Length: %d\r\n\r\n", head, m.lastID.Load(), longBodyBytes)
}

// head returns the head of a request of a new customer, without its end.
func (m *Misbehaving) head(class string, budget time.Duration) string {
	id := m.lastID.Add(1)
	method := http.MethodPost
	if class == ClassIdempotent {
		method = http.MethodGet
	}
	return fmt.Sprintf("%s /%s/%016x HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: m%d-%p\r\nPlan: free\r\n"+
		"X-Budget: %du\r\nQuota-Info: units=1,spread=1,first=0\r\n", method, class, 1<<32+id, id, m, budget.Microseconds())
}

// manyFields returns shortFields short header fields.
var manyFields = sync.OnceValue(func() []byte {
	var b bytes.Buffer
	for i := range shortFields {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.Bytes()
})
