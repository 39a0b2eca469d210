package testnet

import (
	"errors"
	"net"
	"os"
	"strconv"
	"testing"
	"time"
)

// A client of another process may still connect to a port on 127.0.0.1 on which that process listened before. It does
// not reach a test's listener with the same port number.
func TestListenerIsNotReachedOnLocalhost(t *testing.T) {
	listener := Listen(t)
	port := strconv.Itoa(listener.Addr().(*net.TCPAddr).Port)
	if conn, err := net.Dial("tcp", net.JoinHostPort("127.0.0.1", port)); err == nil {
		_ = conn.Close() // another process may listen there
	}
	if err := listener.SetDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("Accept returned %v, error %v, want the deadline exceeded", conn, err)
	}
}
