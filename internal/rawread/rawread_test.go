package rawread

import (
	"errors"
	"syscall"
	"testing"

	"lemongate/internal/testnet"
)

// A read without input returns EAGAIN immediately, a read with input returns it, and the end of the stream is no error.
func TestNonblocking(t *testing.T) {
	accepted, dialed := testnet.Pair(t)
	raw, err := accepted.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 8)
	read := func(done func(n int, err error) bool) (n int, err error) {
		waitErr := raw.Read(func(fd uintptr) bool {
			n, err = Nonblocking(fd, buffer)
			return done(n, err)
		})
		if waitErr != nil {
			t.Fatal(waitErr)
		}
		return n, err
	}
	anyResult := func(int, error) bool { return true }
	notEAGAIN := func(_ int, err error) bool { return !errors.Is(err, syscall.EAGAIN) }
	if n, err := read(anyResult); n != 0 || !errors.Is(err, syscall.EAGAIN) {
		t.Errorf("without input: read %d bytes, error %v, want 0 and EAGAIN", n, err)
	}
	if _, err := dialed.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	if n, err := read(notEAGAIN); n != 3 || err != nil || string(buffer[:n]) != "abc" {
		t.Errorf("with input: read %q, error %v, want \"abc\"", buffer[:n], err)
	}
	if err := dialed.Close(); err != nil {
		t.Fatal(err)
	}
	if n, err := read(notEAGAIN); n != 0 || err != nil {
		t.Errorf("at the end of the stream: read %d bytes, error %v, want 0 and nil", n, err)
	}
}
