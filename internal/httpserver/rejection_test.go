package httpserver

import (
	"testing"
	"time"

	"lemongate/internal/core"
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
