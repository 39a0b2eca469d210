// Package rawread reads from sockets without blocking.
package rawread

import (
	"errors"
	"syscall"
)

// Peek returns 1 if a non-blocking socket has input, without reading it. Without input it returns what Nonblocking returns.
func Peek(fd uintptr) (n int, err error) {
	var first [1]byte
	return PeekInto(fd, first[:])
}

// PeekInto copies the available input of a socket, as much as p has room for, without reading it. Without input it returns
// what Nonblocking returns.
func PeekInto(fd uintptr, p []byte) (n int, err error) {
	for {
		n, _, err = syscall.Recvfrom(int(fd), p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}

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
