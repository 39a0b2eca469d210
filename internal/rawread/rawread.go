// Package rawread reads from sockets without blocking.
package rawread

import (
	"errors"
	"syscall"
)

// Nonblocking reads the available input of a non-blocking socket, and repeats a read that a signal has interrupted.
// Without input the error is syscall.EAGAIN; at the end of the stream n is 0 and the error is nil.
func Nonblocking(fd uintptr, p []byte) (n int, err error) {
	for {
		n, err = syscall.Read(int(fd), p)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}
