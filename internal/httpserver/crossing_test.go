package httpserver

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/testnet"
	"lemongate/internal/upstream"
)

// After a limiter was suspended, connections may have been idle for long and have a request in the socket. None of them
// is evicted or closed at a shutdown: the request is read and answered.
func TestConnWithRequestInSocketIsNotClosed(t *testing.T) {
	for name, choose := range map[string]func(*connSet) evictedConn{
		"sweep": func(conns *connSet) evictedConn { return conns.evictLongest(stateIdle, minIdleTime) },
		"room":  evictAny,
		"drain": func(conns *connSet) evictedConn { return conns.evictLongest(stateIdle, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			server, elapsed := startServerWithMaxConns(t, 8)
			client := server.connect(t)
			client.requestReady()
			server.awaitState(stateIdle, 1)
			elapsed.Add(int64(time.Minute))
			server.evict(func(conns *connSet) evictedConn { // holds conns.mu, so the reader cannot read the request yet
				idle := conns.byState[stateIdle].Front().Value.(*clientConn)
				client.send(validRequest)
				for !idle.hasInput() {
					time.Sleep(time.Millisecond)
				}
				return choose(conns)
			})
			ev, ok := (<-server.events).(*core.RequestReceived)
			if !ok {
				t.Fatal("closed a connection with a request in its socket")
			}
			server.reject(ev.ID)
			client.expectRejected()
		})
	}
}

// A connection whose request was read completely but is not posted yet is not closed, however long posting takes.
func TestConnWithCompleteRequestIsNotEvicted(t *testing.T) {
	nowCalled, proceed := make(chan bool), make(chan bool)
	elapsed := time.Duration(0)
	start := time.Now()
	server := startServer(t, func(o *Options) {
		o.MaxConns = 1
		o.WallClock = func() time.Time { return start.Add(elapsed) }
		o.Now = func() time.Duration { nowCalled <- true; <-proceed; return 42 }
	})
	client := server.connect(t)
	client.send(validRequest)
	<-nowCalled
	server.evict(func(conns *connSet) evictedConn {
		elapsed = time.Minute
		return evictAny(conns)
	})
	proceed <- true
	ev, ok := (<-server.events).(*core.RequestReceived)
	if !ok {
		t.Fatal("closed a connection with a complete request")
	}
	server.reject(ev.ID)
	client.expectRejected()
}

// A connection that is stuck in the middle of a request is closed to make room for another.
func TestHalfRequestIsEvicted(t *testing.T) {
	server, elapsed := startServerWithMaxConns(t, 1)
	client := server.connect(t)
	client.send(validHead)
	server.awaitState(stateReading, 1)
	server.awaitReaderBlocked()
	elapsed.Add(int64(stuckReadingTime))
	regular := server.connect(t)
	regular.requestReady()
	client.expectClose()
}

// A client that closes its sending side counts as disconnected, because the server cannot distinguish the two: its
// request is canceled. The client still reads, so it gets the only response to such a request, a local reply.
func TestHalfClosedConnIsAnswered(t *testing.T) {
	server := startServer(t)
	client := server.connect(t)
	client.send(validRequest)
	id := (<-server.events).(*core.RequestReceived).ID
	client.closeWrite()
	if ev := (<-server.events).(*core.ClientDisconnected); ev.Request != id {
		t.Errorf("posted %+v, want the disconnect of the request", ev)
	}
	server.reject(id)
	client.expectRejected()
	client.expectClose()
}

// A response is written even if the client closes its sending side at the same time.
func TestResponseCrossesHalfClose(t *testing.T) {
	var server *testServer
	server = startServer(t, func(o *Options) {
		post := o.Post
		o.Post = func(ev core.Event) {
			if disconnected, ok := ev.(*core.ClientDisconnected); ok { // respond after the server has seen the disconnect
				server.Respond(core.Respond{Request: disconnected.Request, Kind: core.Served, Response: &upstream.Response{Body: []byte("yes")}})
				return
			}
			post(ev)
		}
	})
	client := server.connect(t)
	client.send(validRequest)
	<-server.events
	client.closeWrite()
	if resp, body := client.response(); resp.StatusCode != 200 || body != "yes" {
		t.Errorf("status %d, body %q, want 200 and \"yes\"", resp.StatusCode, body)
	}
}

// A request that arrived together with the one before it is in net/http's buffer, not in the socket. Its connection is
// not between requests, so it is neither evicted nor closed by drain.
func TestConnWithBufferedRequestIsNotClosed(t *testing.T) {
	l := testnet.Listen(t)
	start := time.Now() // the clock stands still, otherwise a sweep would close the connection
	server := newTestServer(l, func(o *Options) { o.MaxConns, o.WallClock = 1, func() time.Time { return start } })
	answered, proceed := make(chan bool), make(chan bool)
	connState := server.server.ConnState
	server.server.ConnState = func(c net.Conn, state http.ConnState) {
		connState(c, state)
		if state == http.StateIdle {
			answered <- true
			<-proceed
		}
	}
	server.run(t, l)
	client := server.connect(t)
	client.send(validRequest + strings.Replace(validRequest, "9b1f", "0000", 1))
	server.reject((<-server.events).(*core.RequestReceived).ID)
	client.response()
	<-answered
	server.evict(evictAny)
	server.connSet().drain()
	proceed <- true
	ev, ok := (<-server.events).(*core.RequestReceived)
	if !ok {
		t.Fatal("closed a connection with a request in net/http's buffer")
	}
	server.reject(ev.ID)
	client.expectRejected()
	<-answered
	proceed <- true
	client.expectClose() // the server closes it when it becomes idle
}

// A client that pipelines many requests and disconnects counts as disconnected, whatever it sent after the first
// request: the first request is canceled immediately, and the others are posted as requests of a disconnected client, or
// not at all.
func TestPipelinesAndDisconnects(t *testing.T) {
	for name, n := range map[string]int{"in the buffer of net/http": 3, "read ahead": 30} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t)
			client := server.connect(t)
			var requests strings.Builder
			for i := range n {
				requests.WriteString(strings.Replace(validRequest, "9b1f", fmt.Sprintf("%04x", i), 1))
			}
			client.send(requests.String())
			first := (<-server.events).(*core.RequestReceived)
			client.close()
			if ev, ok := (<-server.events).(*core.ClientDisconnected); !ok || ev.Request != first.ID {
				t.Fatalf("posted %+v, want the disconnect of the first request", ev)
			}
			server.reject(first.ID)
			for server.Conns() > 0 {
				select {
				case ev := <-server.events:
					next, ok := ev.(*core.RequestReceived)
					if !ok || !next.Disconnected {
						t.Fatalf("posted %+v, want a request of a disconnected client", ev)
					}
					server.reject(next.ID)
				case <-time.After(time.Millisecond):
				}
			}
		})
	}
}

// Reading ahead stops at a limit, so that a client that pipelines many requests uses no more memory than that, and the
// requests are answered in order.
func TestReadAheadOfPipelinedRequests(t *testing.T) {
	server := startServer(t)
	client := server.connect(t)
	const n = 400
	go func() {
		for i := range n {
			client.send(strings.Replace(validRequest, "9b1f", fmt.Sprintf("%04x", i), 1))
		}
	}()
	unseen := 0
	receive := func() *core.RequestReceived {
		for {
			switch ev := (<-server.events).(type) {
			case *core.ClientDisconnected:
				if ev.Reason != core.DisconnectUnseen {
					t.Fatalf("posted %+v, want the client to count as disconnected for its unread input alone", ev)
				}
				unseen++
			case *core.RequestReceived:
				if ev.Disconnected {
					unseen++
				}
				return ev
			}
		}
	}
	for i := range n {
		ev := receive()
		if want := fmt.Sprintf("%04x03aa5c7e2d41", i); ev.CallID != want {
			t.Fatalf("received request %s, want %s", ev.CallID, want)
		}
		conns := server.connSet()
		conns.mu.Lock()
		if got := len(conns.byState[stateBusy].Front().Value.(*clientConn).input.buffered); got >= maxReadAhead+4<<10 {
			t.Errorf("%d bytes read ahead, want less than maxReadAhead and one read of 4 KiB", got)
		}
		conns.mu.Unlock()
		server.reject(ev.ID)
		client.response()
	}
	if unseen == 0 {
		t.Error("the client never counted as disconnected, want this while more than maxReadAhead is unread")
	}
}

// Of a client that sends more than is read ahead, it cannot be seen whether it has left: its requests are posted as those of a
// disconnected client until what is left can be read ahead. The others are posted as usual if it is still there.
func TestRequestsBeforeUnreadInputAreOfDisconnectedClient(t *testing.T) {
	server := startServer(t)
	client := server.connect(t)
	const n = 3 * maxReadAhead / len(validRequest)
	client.send(strings.Repeat(validRequest, n))
	first := (<-server.events).(*core.RequestReceived)
	if !first.Disconnected { // the rest may have arrived a moment later
		if ev, ok := (<-server.events).(*core.ClientDisconnected); !ok || ev.Request != first.ID || ev.Reason != core.DisconnectUnseen {
			t.Fatalf("posted %+v, want the first request to count as one of a disconnected client", ev)
		}
	}
	server.reject(first.ID)
	client.response()
	last := false
	for range n - 1 {
		ev := (<-server.events).(*core.RequestReceived)
		if ev.Disconnected && ev.Reason != core.DisconnectUnseen || ev.Disconnected && last {
			t.Errorf("posted %+v, want a request of a client that is there, or of which that cannot be seen", ev)
		}
		last = !ev.Disconnected
		server.reject(ev.ID)
		client.response()
	}
	if !last {
		t.Error("the last request counts as one of a disconnected client, want it to be seen that the client is there")
	}
}

// After a limiter was suspended, the deadline of a read may have passed while its input is in the socket. The input is
// read.
func TestDeadlinePassesOnlyWithoutInput(t *testing.T) {
	server := startServer(t)
	accepted, dialed := testnet.Pair(t)
	conns := server.connSet()
	conn := conns.admit(accepted, stateNew)
	const head = "GET / HTTP/1.1\r\n\r\n" // net/http gets no part of a head
	newTestClient(t, dialed).send(strings.ReplaceAll(head, "\r", ""))
	for hasInput := false; !hasInput; time.Sleep(time.Millisecond) {
		conns.mu.Lock()
		hasInput = conn.hasInput()
		conns.mu.Unlock()
	}
	if err := conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	p := make([]byte, 64)
	if n, err := conn.Read(p); string(p[:n]) != head || err != nil {
		t.Errorf("read %q, error %v, want the head", p[:n], err)
	}
	if n, err := conn.Read(p); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("without input: read %q, error %v, want the deadline exceeded", p[:n], err)
	}
	_ = dialed.Close()
	for eof := false; !eof; time.Sleep(time.Millisecond) {
		_, err := conn.Read(p)
		eof = errors.Is(err, io.EOF)
	}
}

// Small writes are sent immediately, also on connections that another process has moved here: if the kernel delayed
// them, a close with unread input would lose them.
func TestNoDelay(t *testing.T) {
	server := startServer(t)
	accepted, _ := testnet.Pair(t)
	file, err := accepted.File()
	if err != nil {
		t.Fatal(err)
	}
	adopted, err := net.FileConn(file)
	_ = file.Close() // the connection has its own descriptor
	if err != nil {
		t.Fatal(err)
	}
	go server.AdoptConn(adopted)
	server.awaitState(stateIdle, 1)
	server.connect(t)
	server.awaitState(stateNew, 1)
	conns := server.connSet()
	conns.mu.Lock()
	defer conns.mu.Unlock()
	for _, state := range []connState{stateIdle, stateNew} {
		conn := conns.byState[state].Front().Value.(*clientConn)
		noDelay := 0
		controlErr := conn.raw.Control(func(fd uintptr) {
			noDelay, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		})
		if noDelay == 0 || err != nil || controlErr != nil {
			t.Errorf("%v connection: TCP_NODELAY is %d, want it set; errors %v, %v", state, noDelay, err, controlErr)
		}
	}
}

// Misbehaving clients of every kind have no more connections than the limit and do not affect regular clients, and
// once they have disconnected no connection or goroutine of theirs is left.
func TestMisbehavingClientsLeakNoConns(t *testing.T) {
	server, elapsed := startServerWithMaxConns(t, 16)
	server.setRejectionTimeout(time.Minute) // long enough, however late a regular client is scheduled
	go func() {                             // runs until the test process exits: the channel is never closed
		for ev := range server.events {
			if ev, ok := ev.(*core.RequestReceived); ok {
				server.reject(ev.ID)
			}
		}
	}()
	first := server.connect(t)
	first.requestReady()
	server.awaitState(stateIdle, 1) // by now all goroutines of the server itself are running
	before := runtime.NumGoroutine() - 1
	manyRequests := strings.Repeat(validRequest, 200)
	clients := []*testClient{first}
	for i := range 150 {
		client := server.connect(t)
		clients = append(clients, client)
		switch i % 6 {
		case 0: // sends nothing
		case 1:
			client.send(validHead[:i])
		case 2:
			client.send("\x00\xff" + strings.Repeat("x", 5000))
		case 3:
			client.send(validHead + "Content-Length: 60000\n\n123")
		case 4:
			go client.send(manyRequests) // and does not read
		case 5:
			client.send(manyRequests[:20000])
			client.closeWithReset()
		}
		elapsed.Add(int64(stuckReadingTime) / 4)
		if n := server.Conns(); n > 16+maxRejectedConns {
			t.Fatalf("%d connections open, want at most 16 and maxRejectedConns rejected ones", n)
		}
		if i%10 == 9 {
			regular := server.connect(t)
			regular.send(validRequest)
			if resp, _ := regular.response(); resp.StatusCode != 429 {
				t.Errorf("regular client: status %d, want 429", resp.StatusCode)
			}
			regular.close()
		}
	}
	for _, client := range clients {
		client.close()
	}
	for end := time.Now().Add(20 * time.Second); server.Conns() > 0 || runtime.NumGoroutine() > before; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections left, want 0; %d goroutines left, want at most %d", server.Conns(), runtime.NumGoroutine(), before)
		}
	}
}

// Whenever net/http checks whether the client of a request that was posted has disconnected, no more than the limit and one read has been read ahead.
func TestReadAheadIsBounded(t *testing.T) {
	accepted, dialed := testnet.Pair(t)
	conns := newConnSet(nil, 0, time.Now)
	conn := conns.admit(accepted, stateNew)
	sent := strings.Repeat("0123456789", maxReadAhead/2)
	newTestClient(t, dialed).send(sent)
	conn.startServing()
	conn.observeClient()
	got := ""
	for range 2 * maxReadAhead {
		var one [1]byte
		if n, err := conn.Read(one[:]); n != 1 || err != nil {
			t.Fatal(n, err)
		}
		got += string(one[:])
		if len(conn.input.buffered) >= maxReadAhead+len(conns.scratch) {
			t.Fatalf("%d bytes read ahead, want less than maxReadAhead and one read", len(conn.input.buffered))
		}
	}
	if got != sent[:len(got)] {
		t.Error("bytes were not read in the order in which they were sent")
	}
}

// Whether the client of a request has left shows at once, before the disconnect is posted.
func TestClientWaits(t *testing.T) {
	server := startServer(t)
	client := server.connect(t)
	client.send(validRequest)
	ev := (<-server.events).(*core.RequestReceived)
	waits := ev.Content.(*upstream.Request).ClientWaits
	if !waits() {
		t.Error("the client does not wait, want it to wait")
	}
	client.send(validRequest[:20]) // the start of another request does not hide the close
	client.close()
	for end := time.Now().Add(10 * time.Second); waits(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the client still waits after it has closed the connection")
		}
	}
	if _, ok := (<-server.events).(*core.ClientDisconnected); !ok {
		t.Error("the disconnect was not posted as well")
	}
	server.reject(ev.ID)
}
