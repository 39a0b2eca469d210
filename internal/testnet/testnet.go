// Package testnet opens listeners and connections on this machine for tests.
package testnet

import (
	"net"
	"testing"
)

// Listen returns a TCP listener on a free port, which is closed at the end of the test.
func Listen(t testing.TB) *net.TCPListener {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test may have closed it
	return listener
}

// Dial returns a connection to an address, which is closed at the end of the test.
func Dial(t testing.TB, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return conn.(*net.TCPConn)
}

// Pair returns both ends of a connection, the accepted one first. They are closed at the end of the test.
func Pair(t testing.TB) (accepted, dialed *net.TCPConn) {
	t.Helper()
	listener := Listen(t)
	dialed = Dial(t, listener.Addr().String())
	accepted, err := listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() }) // the test may have closed it
	_ = listener.Close()                       // nobody else comes
	return accepted, dialed
}
