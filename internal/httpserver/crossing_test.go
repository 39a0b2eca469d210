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

// A limiter that was suspended finds connections idle for long with a request in the socket. None of these
// is evicted or closed at a shutdown: the request is read and answered.
func TestNotClosedOverRequestInSocket(t *testing.T) {
	for name, selected := range map[string]func(*connSet) evicted{
		"sweep": func(conns *connSet) evicted { return conns.evictLongest(stateIdle, minIdleTime) },
		"room":  (*connSet).evictLeastUseful,
		"drain": func(conns *connSet) evicted { return conns.evictLongest(stateIdle, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			server, past := startBoundedServer(t, 8)
			client := server.connect(t)
			client.requestReady()
			server.awaitState(stateIdle, 1)
			past.Add(int64(time.Minute))
			server.evict(func(conns *connSet) evicted { // the reader cannot get to what comes meanwhile
				idle := conns.byState[stateIdle].Front().Value.(*clientConn)
				client.send(good)
				for !idle.hasInput() {
					time.Sleep(time.Millisecond)
				}
				return selected(conns)
			})
			ev, ok := (<-server.events).(*core.RequestReceived)
			if !ok {
				t.Fatal("closed over a request")
			}
			server.reject(ev.ID)
			client.expectRejected()
		})
	}
}

// A connection whose request was read completely, but is not posted yet, is not closed however long that
// takes.
func TestNotEvictedWithCompleteRequest(t *testing.T) {
	read, post := make(chan bool), make(chan bool)
	past := time.Duration(0)
	start := time.Now()
	server := startServer(t, func(o *Options) {
		o.MaxConns = 1
		o.Wall = func() time.Time { return start.Add(past) }
		o.Now = func() time.Duration { read <- true; <-post; return 42 }
	})
	client := server.connect(t)
	client.send(good)
	<-read
	server.evict(func(conns *connSet) evicted {
		past = time.Minute
		return conns.evictLeastUseful()
	})
	post <- true
	ev, ok := (<-server.events).(*core.RequestReceived)
	if !ok {
		t.Fatal("closed with a complete request")
	}
	server.reject(ev.ID)
	client.expectRejected()
}

// A connection that is stuck in the middle of a request is closed for another.
func TestHalfRequestIsEvicted(t *testing.T) {
	server, past := startBoundedServer(t, 1)
	client := server.connect(t)
	client.send(goodHead)
	server.awaitState(stateReading, 1)
	server.awaitReaderWaits()
	past.Add(int64(stuckReadingTime))
	usual := server.connect(t)
	usual.requestReady()
	client.expectClose()
}

// A client that ends its sending counts as disconnected, which looks the same: its request is withdrawn. It
// reads on, so it gets the one response there is to such a request, a local reply.
func TestHalfClosedConnIsAnswered(t *testing.T) {
	server := startServer(t)
	client := server.connect(t)
	client.send(good)
	id := (<-server.events).(*core.RequestReceived).ID
	client.closeWrite()
	if ev := (<-server.events).(*core.ClientDisconnected); ev.Request != id {
		t.Errorf("%+v", ev)
	}
	server.reject(id)
	client.expectRejected()
	client.expectClose()
}

// A response that crosses the end of a client's sending is written.
func TestResponseCrossesHalfClose(t *testing.T) {
	var server *testServer
	server = startServer(t, func(o *Options) {
		post := o.Post
		o.Post = func(ev core.Event) {
			if disconnected, ok := ev.(*core.ClientDisconnected); ok { // it was answered by then
				server.Respond(core.Respond{Request: disconnected.Request, Kind: core.Served, Response: &upstream.Response{Body: []byte("yes")}})
				return
			}
			post(ev)
		}
	})
	client := server.connect(t)
	client.send(good)
	<-server.events
	client.closeWrite()
	if resp, body := client.response(); resp.StatusCode != 200 || body != "yes" {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
}

// A request that came together with the one before is in the buffer of net/http, not in the socket. Its
// connection is not between requests, and is not closed for another.
func TestNotClosedOverRequestInBuffer(t *testing.T) {
	l := testnet.Listen(t)
	start := time.Now() // the time does not go on, or a sweep would close it
	server := newTestServer(l, func(o *Options) { o.MaxConns, o.Wall = 1, func() time.Time { return start } })
	answered, goOn := make(chan bool), make(chan bool)
	connState := server.server.ConnState
	server.server.ConnState = func(c net.Conn, state http.ConnState) {
		connState(c, state)
		if state == http.StateIdle {
			answered <- true
			<-goOn
		}
	}
	server.run(t, l)
	client := server.connect(t)
	client.send(good + strings.Replace(good, "9b1f", "0000", 1))
	server.reject((<-server.events).(*core.RequestReceived).ID)
	client.response()
	<-answered
	server.evict((*connSet).evictLeastUseful)
	server.connSet().drain()
	goOn <- true
	ev, ok := (<-server.events).(*core.RequestReceived)
	if !ok {
		t.Fatal("closed over a request in the buffer")
	}
	server.reject(ev.ID)
	client.expectRejected()
	<-answered
	goOn <- true
	client.expectClose() // as it becomes idle
}

// A client that sends many requests at once and disconnects has gone, whatever it sent behind the first: that
// one is withdrawn at once, and the others come as those of a client that has disconnected, or not at all.
func TestPipelinesAndDisconnects(t *testing.T) {
	for name, n := range map[string]int{"in the buffer of net/http": 3, "read ahead": 30} {
		t.Run(name, func(t *testing.T) {
			server := startServer(t)
			client := server.connect(t)
			var requests strings.Builder
			for i := range n {
				requests.WriteString(strings.Replace(good, "9b1f", fmt.Sprintf("%04x", i), 1))
			}
			client.send(requests.String())
			first := (<-server.events).(*core.RequestReceived)
			client.close()
			if ev, ok := (<-server.events).(*core.ClientDisconnected); !ok || ev.Request != first.ID {
				t.Fatalf("posted %+v", ev)
			}
			server.reject(first.ID)
			for server.Conns() > 0 {
				select {
				case ev := <-server.events:
					next, ok := ev.(*core.RequestReceived)
					if !ok || !next.Disconnected {
						t.Fatalf("posted %+v", ev)
					}
					server.reject(next.ID)
				case <-time.After(time.Millisecond):
				}
			}
		})
	}
}

// Beyond a bound nothing is read ahead: a client that pipelines many requests costs no memory, and they are
// answered in turn.
func TestReadAheadOfPipelinedRequests(t *testing.T) {
	server := startServer(t)
	client := server.connect(t)
	const n = 400
	go func() {
		for i := range n {
			client.send(strings.Replace(good, "9b1f", fmt.Sprintf("%04x", i), 1))
		}
	}()
	for i := range n {
		ev := (<-server.events).(*core.RequestReceived)
		if want := fmt.Sprintf("%04x03aa5c7e2d41", i); ev.CallID != want {
			t.Fatalf("%s came where %s is due", ev.CallID, want)
		}
		conns := server.connSet()
		conns.mu.Lock()
		if got := len(conns.byState[stateBusy].Front().Value.(*clientConn).readAhead); got >= maxReadAhead+4<<10 {
			t.Errorf("%d bytes read ahead", got)
		}
		conns.mu.Unlock()
		server.reject(ev.ID)
		client.response()
	}
}

// A limiter that was suspended finds the deadline of a read passed and what was to be read in the socket. It
// reads that.
func TestDeadlinePassesOnlyWithoutInput(t *testing.T) {
	server := startServer(t)
	accepted, dialed := testnet.Pair(t)
	conns := server.connSet()
	conn := conns.admit(accepted, stateNew)
	newTestClient(t, dialed).send("GET")
	for hasInput := false; !hasInput; time.Sleep(time.Millisecond) {
		conns.mu.Lock()
		hasInput = conn.hasInput()
		conns.mu.Unlock()
	}
	if err := conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	p := make([]byte, 8)
	if n, err := conn.Read(p); string(p[:n]) != "GET" || err != nil {
		t.Errorf("read %q, %v", p[:n], err)
	}
	if n, err := conn.Read(p); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %q, %v where there is nothing", p[:n], err)
	}
	_ = dialed.Close()
	for eof := false; !eof; time.Sleep(time.Millisecond) {
		_, err := conn.Read(p)
		eof = errors.Is(err, io.EOF)
	}
}

// Small writes are sent at once, also on connections that another process handed over: delayed by the
// system, they would be lost at a close over unread bytes.
func TestNoDelay(t *testing.T) {
	server := startServer(t)
	accepted, _ := testnet.Pair(t)
	file, err := accepted.File()
	if err != nil {
		t.Fatal(err)
	}
	adopted, err := net.FileConn(file)
	_ = file.Close() // the connection has a descriptor of its own
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
			t.Errorf("%v connection: TCP_NODELAY %d, %v, %v", state, noDelay, err, controlErr)
		}
	}
}

// Bad clients of every kind have no more connections than the bound, cost usual clients nothing, and once they
// have gone nothing is left of them.
func TestBadClientsLeaveNothing(t *testing.T) {
	server, past := startBoundedServer(t, 16)
	server.setPatience(time.Minute) // however late a usual client gets to run
	go func() {                     // ends with the test program: nobody closes the channel
		for ev := range server.events {
			if ev, ok := ev.(*core.RequestReceived); ok {
				server.reject(ev.ID)
			}
		}
	}()
	first := server.connect(t)
	first.requestReady()
	server.awaitState(stateIdle, 1) // so all that the server itself needs runs by now
	before := runtime.NumGoroutine() - 1
	many := strings.Repeat(good, 200)
	clients := []*testClient{first}
	for i := range 150 {
		client := server.connect(t)
		clients = append(clients, client)
		switch i % 6 {
		case 0: // sends nothing
		case 1:
			client.send(goodHead[:i])
		case 2:
			client.send("\x00\xff" + strings.Repeat("x", 5000))
		case 3:
			client.send(goodHead + "Content-Length: 60000\n\n123")
		case 4:
			go client.send(many) // and reads nothing
		case 5:
			client.send(many[:20000])
			client.closeWithReset()
		}
		past.Add(int64(stuckReadingTime) / 4)
		if n := server.Conns(); n > 16+maxRejected {
			t.Fatalf("%d connections", n)
		}
		if i%10 == 9 {
			usual := server.connect(t)
			usual.send(good)
			if resp, _ := usual.response(); resp.StatusCode != 429 {
				t.Errorf("a usual client: %d", resp.StatusCode)
			}
			usual.close()
		}
	}
	for _, client := range clients {
		client.close()
	}
	for end := time.Now().Add(20 * time.Second); server.Conns() > 0 || runtime.NumGoroutine() > before; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections left, %d goroutines where %d were", server.Conns(), runtime.NumGoroutine(), before)
		}
	}
}

// Whenever net/http looks whether its client has disconnected, a connection has no more than the bound read
// ahead.
func TestReadAheadIsBounded(t *testing.T) {
	accepted, dialed := testnet.Pair(t)
	conns := newConnSet(nil, 0, time.Now)
	conn := conns.admit(accepted, stateNew)
	sent := strings.Repeat("0123456789", maxReadAhead/2)
	newTestClient(t, dialed).send(sent)
	conn.startServing()
	got := ""
	for range 2 * maxReadAhead {
		var one [1]byte
		if n, err := conn.Read(one[:]); n != 1 || err != nil {
			t.Fatal(n, err)
		}
		got += string(one[:])
		if len(conn.readAhead) >= maxReadAhead+len(conns.scratch) {
			t.Fatalf("%d bytes read ahead", len(conn.readAhead))
		}
	}
	if got != sent[:len(got)] {
		t.Error("not in turn")
	}
}
