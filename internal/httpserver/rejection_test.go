package httpserver

import (
	"testing"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/testnet"
)

// A client beyond the limit on connections that goes on sending is read no further than the longest request: reading on would
// take the processor from other clients.
func TestRejectedFloodIsNotReadOn(t *testing.T) {
	const (
		socketBuffers = 16 << 20 // at both ends together, more than the system allows
		writeTimeout  = 5 * time.Second
	)
	server, _ := startServerWithMaxConns(t, 1)
	client := server.connect(t)
	client.send(validRequest)
	id := (<-server.events).(*core.RequestReceived).ID
	server.setRejectionTimeout(time.Minute)
	flooding := server.connect(t)
	_ = flooding.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // the write fails if the connection is closed
	batch := make([]byte, 64<<10)
	for i := range batch {
		batch[i] = "\r\n"[i%2]
	}
	written, err := 0, error(nil)
	for err == nil && written <= maxHeaderBytes+maxBodyBytes+socketBuffers {
		var n int
		n, err = flooding.conn.Write(batch)
		written += n
	}
	if err == nil {
		t.Errorf("%d bytes were read of a client that was rejected, want %d at most", written-socketBuffers, maxHeaderBytes+maxBodyBytes)
	}
	server.reject(id)
	client.response()
}

// While more clients connect than there is room for, the request of each is awaited for a while before another client takes
// its place; a client that was answered gives way at once.
func TestRequestIsAwaitedWhileOthersConnect(t *testing.T) {
	server, elapsed := startServerWithMaxConns(t, 1)
	client := server.connect(t)
	client.send(validRequest)
	id := (<-server.events).(*core.RequestReceived).ID
	server.setRejectionTimeout(time.Minute)
	first := server.connect(t)
	server.awaitState(stateRejected, 1)
	for range maxRejectedConns - 1 {
		server.connect(t)
	}
	server.awaitState(stateRejected, maxRejectedConns)
	conns := server.connSet()
	admit := func() (took time.Duration) {
		accepted, _ := testnet.Pair(t)
		begin := time.Now()
		conns.admit(accepted, stateNew)
		return time.Since(begin)
	}
	if took := admit(); took < minRequestWait {
		t.Errorf("a client took the place of another one after %v, want %v at least", took, minRequestWait)
	}
	first.expectClose()
	<-server.events // the first client

	elapsed.Add(int64(minRequestWait))
	answered := server.connect(t)
	<-server.events // the client that gives way
	answered.send(validRequest[:20])
	answered.expectRejected()
	<-server.events // the client that was answered
	admit()
	conns.mu.Lock()
	for _, conn := range conns.conns(stateRejected) {
		if conn.rejectionSent {
			t.Error("a client that was answered did not give way to a new one")
		}
	}
	conns.mu.Unlock()
	server.reject(id)
	client.response()
}

// A request gets 429 rather than the place of a new connection whose client has had no time to send its own.
func TestNewConnectionIsNotDisplacedAtOnce(t *testing.T) {
	server, elapsed := startServerWithMaxConns(t, 1)
	fresh := server.connect(t)
	server.awaitState(stateNew, 1)
	late := server.connect(t)
	late.send(validRequest)
	late.expectRejected()
	<-server.events // the rejected client
	fresh.send(validRequest)
	server.reject((<-server.events).(*core.RequestReceived).ID)
	fresh.expectRejected()
	fresh.close()
	for server.Conns() > 0 {
		time.Sleep(time.Millisecond)
	}

	silent := server.connect(t)
	server.awaitState(stateNew, 1)
	elapsed.Add(int64(minRequestWait))
	late = server.connect(t)
	late.send(validRequest)
	silent.expectClose()
	<-server.events // the silent client
	server.reject((<-server.events).(*core.RequestReceived).ID)
	late.expectRejected()
}
