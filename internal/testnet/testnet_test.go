package testnet

import (
	"errors"
	"net"
	"os"
	"strconv"
	"testing"
	"time"
)

// A client of another process that still connects to the port on 127.0.0.1, where it had a listener before, does not
// reach a test's listener.
func TestListenerIsApart(t *testing.T) {
	listener := Listen(t)
	port := strconv.Itoa(listener.Addr().(*net.TCPAddr).Port)
	if conn, err := net.Dial("tcp", net.JoinHostPort("127.0.0.1", port)); err == nil {
		_ = conn.Close() // it may be another process's listener
	}
	if err := listener.SetDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("accepted %v, %v", conn, err)
	}
}
