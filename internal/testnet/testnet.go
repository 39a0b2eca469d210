// Package testnet opens listeners and connections on the local machine for tests.
package testnet

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"syscall"
	"testing"
)

// Open returns a TCP listener on a free port of a loopback IP that no other process listens on. On 127.0.0.1 the kernel
// reuses ports, and clients of other processes may still connect to a port on which their server listened before. Open
// is for tests that have no testing.TB and close the listener themselves.
func Open() (*net.TCPListener, error) {
	pid := os.Getpid() // at most 22 bits
	ip := net.IPv4(127, byte(128+pid>>16&63), byte(pid>>8), byte(pid))
	return net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
}

// Listen is like Open, and closes the listener at the end of the test.
func Listen(t testing.TB) *net.TCPListener {
	t.Helper()
	listener, err := Open()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test may already have closed it
	return listener
}

// Serve starts an HTTP server on a listener from Listen. The server is closed at the end of the test.
func Serve(t testing.TB, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	server := &httptest.Server{Listener: Listen(t), Config: &http.Server{Handler: handler}}
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// Dial returns a connection to an address. The connection is closed at the end of the test.
func Dial(t testing.TB, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may already have closed it
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
	t.Cleanup(func() { _ = accepted.Close() }) // the test may already have closed it
	_ = listener.Close()                       // no further connection is accepted
	return accepted, dialed
}

// RefusingAddr returns a local address that refuses connections until the end of the test. The port stays bound: if it
// were only closed, another process could listen on it immediately afterwards and would get the connection.
func RefusingAddr(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) }) // nothing was sent
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	inet, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("bound address is %T, want *syscall.SockaddrInet4", bound)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(inet.Addr), uint16(inet.Port)).String()
}
