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

// unexpectedConnTimeout is after how long a connection that a test does not wait for ends the tests.
const unexpectedConnTimeout = time.Minute

// A heldListener holds each connection that it has accepted until the test releases it.
type heldListener struct {
	*net.TCPListener
	accepted, release chan bool
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	select {
	case l.accepted <- true:
	case <-time.After(unexpectedConnTimeout): // else the test hangs, and nothing shows who connected
		panic(fmt.Sprintf("the test does not wait for a connection from %v", c.RemoteAddr()))
	}
	<-l.release
	return c, nil
}

// At a shutdown idle connections end, new ones are still accepted, what was received is answered, and each
// connection ends with its response.
func TestDrainAndClose(t *testing.T) {
	server := startServer(t)
	busy, idle := server.connect(t), server.connect(t)
	idle.requestReady()
	busy.send(good)
	first := (<-server.events).(*core.RequestReceived).ID
	server.DrainConns()
	if _, err := idle.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v", err)
	}
	late := server.connect(t)
	late.send(good)
	second := (<-server.events).(*core.RequestReceived).ID
	closed := make(chan bool)
	go func() {
		server.Close(time.Minute)
		close(closed)
	}()
	for id, client := range map[core.RequestID]*testClient{first: busy, second: late} {
		server.reject(id)
		if resp, _ := client.response(); !resp.Close {
			t.Error("a response does not end its connection")
		}
	}
	<-closed
	if c, err := net.Dial("tcp", server.addr); err == nil {
		_ = c.Close() // it should not be there
		t.Error("still accepts")
	}
}

// Clients that have connected as the server closes are accepted, however many wait in the system's queue: a
// close there would reset them.
func TestQueuedConnsAreAcceptedAtClose(t *testing.T) {
	l := &heldListener{testnet.Listen(t), make(chan bool, 4), make(chan bool)}
	server := startServerOn(t, l)
	var queue []*testClient
	for range 4 { // the first is accepted and held, the others wait
		client := server.connect(t)
		client.send(good)
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
		_ = c.Close() // it should not be there
		t.Error("still accepts")
	}
}

// A connection that the system has returned as the server closes is one like any other: its request is
// answered before Close returns.
func TestAcceptedDuringClose(t *testing.T) {
	l := &heldListener{testnet.Listen(t), make(chan bool), make(chan bool)}
	server := startServerOn(t, l)
	client := server.connect(t)
	client.send(strings.Replace(good, "480m", "400m", 1))
	<-l.accepted
	closed := make(chan bool)
	go func() { server.Close(10 * time.Second); close(closed) }()
	select {
	case <-closed:
		t.Error("closed with a connection not counted")
	case <-time.After(50 * time.Millisecond):
	}
	l.release <- true
	server.reject((<-server.events).(*core.RequestReceived).ID)
	client.expectRejected()
	client.close()
	<-closed
}

// Accepting ends soon after Close also where clients go on connecting. Those that it accepted are answered.
func TestAcceptingEndsWhileClientsConnect(t *testing.T) {
	server := startServer(t)
	go func() { // ends with the test program: nobody closes the channel
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
		_, _ = io.WriteString(conn, good) // it may be closed: it came after Close
		_ = conn.Close()                  // what it is answered is not tested here
	}
	t.Error("still accepts")
}

// Shortly before its end a server reads no more of any request. What is complete by then is answered, and
// what comes later was not read: it is not forwarded, and the close shows that to its client.
func TestNoReadsShortlyBeforeClose(t *testing.T) {
	l := testnet.Listen(t)
	server := newTestServer(l)
	server.finalReadMargin, server.server.ReadHeaderTimeout = time.Hour, time.Hour
	server.run(t, l)
	busy, between, never, half := server.connect(t), server.connect(t), server.connect(t), server.connect(t)
	busy.send(good)
	id := (<-server.events).(*core.RequestReceived).ID
	between.requestReady()
	half.send(goodHead)
	server.awaitState(stateIdle, 1)
	server.awaitState(stateNew, 1)
	server.awaitReaderWaits()
	closed := make(chan bool)
	go func() { server.Close(time.Minute); close(closed) }()
	for _, client := range []*testClient{between, never, half} {
		client.expectClose()
		client.send(good)
	}
	server.reject(id)
	busy.expectRejected()
	busy.close()
	<-closed
	for len(server.events) > 0 {
		if ev, ok := (<-server.events).(*core.RequestReceived); ok {
			t.Errorf("read shortly before the end: %+v", ev)
		}
	}
}
