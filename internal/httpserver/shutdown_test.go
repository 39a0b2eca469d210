package httpserver

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/testnet"
)

// unexpectedConnTimeout is the time after which Accept panics if the test does not wait for the accepted connection.
const unexpectedConnTimeout = time.Minute

// A blockingListener holds each connection that it has accepted until the test releases it.
type blockingListener struct {
	*net.TCPListener
	accepted, release chan bool
}

func (l *blockingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case l.accepted <- true:
	case <-time.After(unexpectedConnTimeout): // otherwise the test would hang without showing who connected
		panic(fmt.Sprintf("the test does not wait for a connection from %v", c.RemoteAddr()))
	}
	<-l.release
	return c, nil
}

// At a shutdown, idle connections are closed, new connections are still accepted, received requests are answered, and
// each connection is closed after its response.
func TestDrainAndClose(t *testing.T) {
	server := startServer(t)
	busy, idle := server.connect(t), server.connect(t)
	idle.requestReady()
	busy.send(validRequest)
	first := (<-server.events).(*core.RequestReceived).ID
	server.DrainConns()
	if _, err := idle.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: read returned error %v, want EOF", err)
	}
	late := server.connect(t)
	late.send(validRequest)
	second := (<-server.events).(*core.RequestReceived).ID
	closed := make(chan bool)
	go func() {
		server.Close(time.Minute)
		close(closed)
	}()
	for id, client := range map[core.RequestID]*testClient{first: busy, second: late} {
		server.reject(id)
		if resp, _ := client.response(); !resp.Close {
			t.Error("the connection stays open after a response, want it closed")
		}
	}
	<-closed
	if c, err := net.Dial("tcp", server.addr); err == nil {
		_ = c.Close() // the connect should have failed
		t.Error("server still accepts connections after Close")
	}
}

// Clients that are connected when the server closes are accepted, however many wait in the kernel's accept queue:
// closing the listener with connections in the queue would reset them.
func TestQueuedConnsAreAcceptedAtClose(t *testing.T) {
	l := &blockingListener{testnet.Listen(t), make(chan bool, 4), make(chan bool)}
	server := startServerOn(t, l)
	var queue []*testClient
	for range 4 { // the first is accepted and held, the others stay in the accept queue
		client := server.connect(t)
		client.send(validRequest)
		queue = append(queue, client)
	}
	<-l.accepted
	closed := make(chan bool)
	go func() { server.Close(10 * time.Second); close(closed) }()
	<-server.connSet().stopped
	close(l.release)
	for range queue {
		server.reject((<-server.events).(*core.RequestReceived).ID)
	}
	for _, client := range queue {
		client.expectRejected()
		client.close()
	}
	<-closed
	if c, err := net.Dial("tcp", server.addr); err == nil {
		_ = c.Close() // the connect should have failed
		t.Error("server still accepts connections after Close")
	}
}

// A connection that the kernel has returned, but that is not in the set yet when the server closes, is treated like any
// other: its request is answered before Close returns.
func TestAcceptedDuringClose(t *testing.T) {
	l := &blockingListener{testnet.Listen(t), make(chan bool), make(chan bool)}
	server := startServerOn(t, l)
	client := server.connect(t)
	client.send(strings.Replace(validRequest, "480m", "400m", 1))
	<-l.accepted
	closed := make(chan bool)
	go func() { server.Close(10 * time.Second); close(closed) }()
	select {
	case <-closed:
		t.Error("Close returned while an accepted connection was not counted yet")
	case <-time.After(50 * time.Millisecond):
	}
	l.release <- true
	server.reject((<-server.events).(*core.RequestReceived).ID)
	client.expectRejected()
	client.close()
	<-closed
}

// Accepting ends soon after Close even if clients continue to connect. Accepted clients are answered.
func TestAcceptingEndsWhileClientsConnect(t *testing.T) {
	server := startServer(t)
	go func() { // runs until the test process exits: the channel is never closed
		for ev := range server.events {
			if ev, ok := ev.(*core.RequestReceived); ok {
				server.reject(ev.ID)
			}
		}
	}()
	server.DrainConns()
	closed := make(chan bool)
	go func() { server.Close(10 * time.Second); close(closed) }()
	for end := time.Now().Add(20 * finalAcceptTimeout); time.Now().Before(end); time.Sleep(finalAcceptTimeout / 10) {
		conn, err := net.Dial("tcp", server.addr)
		if err != nil {
			<-closed
			return
		}
		_, _ = io.WriteString(conn, validRequest) // may fail: the client connected after Close
		_ = conn.Close()                          // this test does not check the response
	}
	t.Error("server still accepts connections after Close")
}

// openConns opens a connection with a request in progress, an idle one, and one with half a request.
func (s *testServer) openConns(t *testing.T) (busy *testClient, id core.RequestID, idle, half *testClient) {
	t.Helper()
	busy, idle, half = s.connect(t), s.connect(t), s.connect(t)
	busy.send(validRequest)
	id = (<-s.events).(*core.RequestReceived).ID
	idle.requestReady()
	half.send(validHead)
	s.awaitState(stateIdle, 1)
	s.awaitReaderBlocked()
	return busy, id, idle, half
}

// expectNoRequest checks that no request was read since the events were received last.
func (s *testServer) expectNoRequest(t *testing.T) {
	t.Helper()
	for len(s.events) > 0 {
		if ev, ok := (<-s.events).(*core.RequestReceived); ok {
			t.Errorf("request was read at the end of Close: %+v", ev)
		}
	}
}

// Shortly before the end of Close the server stops reading requests. Requests that are complete by then are answered.
// Later ones are not read or forwarded, and their clients see that the connection is closed.
func TestNoReadsShortlyBeforeClose(t *testing.T) {
	l := testnet.Listen(t)
	server := newTestServer(l)
	server.finalReadMargin, server.server.ReadHeaderTimeout = time.Hour, time.Hour
	server.run(t, l)
	silent := server.connect(t)
	server.awaitState(stateNew, 1)
	busy, id, idle, half := server.openConns(t)
	closed := make(chan bool)
	go func() { server.Close(time.Minute); close(closed) }()
	for _, client := range []*testClient{idle, silent, half} {
		client.expectClose()
		client.send(validRequest)
	}
	server.reject(id)
	busy.expectRejected()
	busy.close()
	<-closed
	server.expectNoRequest(t)
}

// A process that was suspended as the time of Close ended still writes the responses that were due meanwhile: closing
// their connections would lose requests that were received (review case 2).
func TestResponsesDueAtEndOfCloseAreWritten(t *testing.T) {
	l := testnet.Listen(t)
	server := newTestServer(l)
	server.finalResponsePolls = 1 << 30 // until the test responds, however busy the machine is
	server.run(t, l)
	client := server.connect(t)
	client.send(validRequest)
	id := (<-server.events).(*core.RequestReceived).ID
	closed := make(chan bool)
	go func() { server.Close(0); close(closed) }() // as if the process continued after the timeout
	select {
	case <-closed:
		t.Error("Close returned with a request in progress")
	case <-time.After(10 * closePollInterval):
	}
	server.reject(id)
	client.expectRejected()
	<-closed
}

// While Close waits for the responses that are due, it reads no further requests: the process may have been suspended
// across the time at which reading was to stop.
func TestNoReadsWhileFinalResponsesAreDue(t *testing.T) {
	l := testnet.Listen(t)
	server := newTestServer(l)
	server.finalResponsePolls, server.server.ReadHeaderTimeout = 1<<30, time.Hour
	server.finalReadMargin = -time.Hour // as if the timeout were handled before the end of reading
	server.run(t, l)
	busy, id, idle, half := server.openConns(t)
	closed := make(chan bool)
	go func() { server.Close(0); close(closed) }()
	for _, client := range []*testClient{idle, half} {
		client.expectClose()
		client.send(validRequest)
	}
	server.reject(id)
	busy.expectRejected()
	<-closed
	server.expectNoRequest(t)
}

// A request that never gets a response does not keep Close from returning.
func TestCloseReturnsWithoutResponse(t *testing.T) {
	server := startServer(t)
	client := server.connect(t)
	client.send(validRequest)
	<-server.events
	start := time.Now()
	server.Close(0)
	if took, least := time.Since(start), (defaultFinalResponsePolls-2)*closePollInterval; took < least {
		t.Errorf("Close returned after %v, want at least %v", took, least)
	}
	client.expectClose()
}
