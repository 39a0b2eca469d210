// Package rawread reads from sockets without blocking.
package rawread

import (
	"errors"
	"syscall"
)

// Nonblocking reads what a socket that does not block has at hand, and repeats a read that a signal has
// interrupted. Without input the error is syscall.EAGAIN; at the end of the stream n is 0 without an error.
func Nonblocking(fd uintptr, p []byte) (n int, err error) {
	for {
		n, err = syscall.Read(int(fd), p)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}
