package httpserver

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/upstream"
)

// startServerWithMemory serves with a limit on the memory that connections share.
func startServerWithMemory(t *testing.T, bytes int) *testServer {
	t.Helper()
	return startServer(t, func(o *Options) { o.MaxMemory = bytes })
}

// requestWithBody returns a request with a body of a size.
func requestWithBody(size int) string {
	return validHead + fmt.Sprintf("Content-Length: %d\n\n%s", size, strings.Repeat("x", size))
}

// awaitMemoryWaiters waits until n connections wait for memory.
func (s *testServer) awaitMemoryWaiters(n int) {
	conns := s.connSet()
	for have := -1; have != n; time.Sleep(time.Millisecond) {
		conns.mu.Lock()
		have = len(conns.memory.waiting)
		conns.mu.Unlock()
	}
}

// checkNoMemoryUsed checks that all memory is free again once all connections are closed.
func (s *testServer) checkNoMemoryUsed(t *testing.T) {
	t.Helper()
	conns := s.connSet()
	for end := time.Now().Add(10 * time.Second); s.Conns() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("connections are left")
		}
	}
	conns.mu.Lock()
	defer conns.mu.Unlock()
	if conns.memory.used != 0 || len(conns.memory.waiting) != 0 {
		t.Errorf("without connections %d bytes are used, and %d connections wait for memory", conns.memory.used, len(conns.memory.waiting))
	}
}

// A request that needs more memory than there is waits until another one releases it; a usual request does not wait.
func TestLargeRequestWaitsForMemory(t *testing.T) {
	server := startServerWithMemory(t, 8<<10)
	holder, waiter, usual := server.connect(t), server.connect(t), server.connect(t)
	holder.send(requestWithBody(8 << 10))
	held := (<-server.events).(*core.RequestReceived) // its memory is used until it is answered
	waiter.send(requestWithBody(9 << 10))
	server.awaitMemoryWaiters(1)
	usual.send(strings.Replace(validRequest, "9b1f", "0000", 1))
	ev := (<-server.events).(*core.RequestReceived)
	if ev.Disconnected || len(ev.Content.(*upstream.Request).Body) != 5 {
		t.Errorf("posted %+v, want the usual request", ev)
	}
	server.reject(ev.ID)
	usual.expectRejected()
	server.reject(held.ID)
	holder.expectRejected()
	ev = (<-server.events).(*core.RequestReceived)
	if n := len(ev.Content.(*upstream.Request).Body); n != 9<<10 {
		t.Errorf("posted a request with a body of %d bytes, want the one that waited", n)
	}
	server.reject(ev.ID)
	waiter.expectRejected()
	for _, client := range []*testClient{holder, waiter, usual} {
		client.close()
	}
	server.checkNoMemoryUsed(t)
}

// A request that gets no memory in the time that it may take is rejected: 503 with Retry-After, and the connection is closed.
func TestRequestWithoutMemoryIsRejected(t *testing.T) {
	for name, request := range map[string]string{
		"head": strings.Replace(validRequest, "Plan", "X: "+strings.Repeat("x", 12<<10)+"\nPlan", 1),
		"body": requestWithBody(12 << 10),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := startServerWithMemory(t, 4<<10)
			client := server.connect(t)
			client.send(request)
			resp, _ := client.response()
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "0.500" || !resp.Close {
				t.Errorf("response %+v, want status 503, Retry-After 0.500 and the connection closed", resp)
			}
			if ev := <-server.events; ev != (core.RequestRejected{Reason: core.ReplyOutOfMemory}) {
				t.Errorf("posted %+v, want RequestRejected for lack of memory", ev)
			}
			client.expectClose()
			client.close()
			server.checkNoMemoryUsed(t)
		})
	}
}

// While a request is in progress, less is read ahead than memory is left; the client counts as disconnected where this hides
// whether it has left.
func TestReadAheadWithoutMemory(t *testing.T) {
	server := startServerWithMemory(t, 1<<10)
	client := server.connect(t)
	client.send(strings.Repeat(validRequest, 8<<10/len(validRequest)))
	first := (<-server.events).(*core.RequestReceived)
	if !first.Disconnected {
		if ev, ok := (<-server.events).(*core.ClientDisconnected); !ok || ev.Reason != core.DisconnectUnseen {
			t.Errorf("posted %+v, want the client to count as disconnected", ev)
		}
	}
	conns := server.connSet()
	conns.mu.Lock()
	if used := conns.memory.used; used > conns.memory.limit {
		t.Errorf("%d bytes of memory used, want at most %d", used, conns.memory.limit)
	}
	conns.mu.Unlock()
	server.reject(first.ID)
	client.expectRejected()
	client.close()
}

// A response that its client does not read is cut off when another response needs its memory.
func TestStuckResponseIsClosedForMemory(t *testing.T) {
	body := make([]byte, 64<<10)
	server, elapsed := startServerWithMaxConns(t, 0)
	conns := server.connSet()
	conns.mu.Lock()
	conns.memory.limit = len(body)
	conns.mu.Unlock()
	stuck := server.connect(t)
	isWriting := func() bool {
		conns.mu.Lock()
		defer conns.mu.Unlock()
		e := conns.byState[stateBusy].Front()
		return e != nil && !e.Value.(*clientConn).writingSince.IsZero()
	}
	for range 200 { // until the buffers of the system are full
		stuck.send(validRequest)
		select {
		case ev := <-server.events:
			server.Respond(core.Respond{Request: ev.(*core.RequestReceived).ID, Kind: core.Served, Response: &upstream.Response{Body: body}})
		case <-time.After(200 * time.Millisecond):
		}
		if isWriting() {
			time.Sleep(100 * time.Millisecond)
			if isWriting() {
				break
			}
		}
	}
	elapsed.Add(int64(stuckWritingTime))
	reader := server.connect(t)
	reader.send(strings.Replace(validRequest, "9b1f", "0000", 1))
	ev := (<-server.events).(*core.RequestReceived)
	server.Respond(core.Respond{Request: ev.ID, Kind: core.Served, Response: &upstream.Response{Body: body}})
	if resp, got := reader.response(); resp.StatusCode != 200 || len(got) != len(body) {
		t.Errorf("status %d with %d bytes, want the whole response", resp.StatusCode, len(got))
	}
	for {
		if ev, ok := (<-server.events).(*core.ClientConnClosed); ok {
			if ev.Reason != core.CloseMemory {
				t.Errorf("posted %+v, want a close for memory", ev)
			}
			break
		}
	}
	reader.close()
	server.checkNoMemoryUsed(t)
}

// Where all connections have responses that are not read, a complete request on a new connection displaces the one that has
// been stuck for longest.
func TestCompleteRequestDisplacesUnreadResponse(t *testing.T) {
	server, elapsed := startServerWithMaxConns(t, 1)
	server.setRejectionTimeout(20 * time.Second)
	stuck := server.connect(t)
	go func() { // ends when the connection is closed
		for {
			if _, err := stuck.conn.Write([]byte("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
				return
			}
		}
	}()
	conns := server.connSet()
	stuckSince := func() (since time.Time) {
		conns.mu.Lock()
		defer conns.mu.Unlock()
		if e := conns.byState[stateBusy].Front(); e != nil {
			since = e.Value.(*clientConn).writingSince
		}
		return since
	}
	for writes := 0; writes < 20; time.Sleep(10 * time.Millisecond) { // until a write is blocked
		if writes++; stuckSince().IsZero() {
			writes = 0
		}
	}
	elapsed.Add(int64(stuckWritingTime))
	regular := server.connect(t)
	regular.send(validRequest)
	for {
		switch ev := (<-server.events).(type) {
		case *core.ClientConnClosed:
			if ev.Reason != core.CloseUnreadResponse {
				t.Errorf("posted %+v, want a close for an unread response", ev)
			}
		case *core.RequestReceived:
			server.reject(ev.ID)
			regular.expectRejected()
			return
		}
	}
}
