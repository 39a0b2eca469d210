// Package acceptretry accepts connections despite errors of the system that pass: a listener whose accept fails for a moment
// is still listening.
package acceptretry

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

// retryInterval is the time from an error to the next try.
const retryInterval = 5 * time.Millisecond

// lastingErrors are the errors of accept after which the listener cannot be used. All others pass: the connection was aborted
// before it was accepted, resources are short, or an error of the network is reported by accept.
var lastingErrors = []error{syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK}

// Accept returns the next connection of a listener. It repeats accept after an error that passes, and calls onError with that.
// It returns the error if the listener was closed, its deadline has passed or it cannot be used any more.
func Accept(listener net.Listener, onError func(error)) (net.Conn, error) {
	for {
		conn, err := listener.Accept()
		if err == nil || !passes(err) {
			return conn, err
		}
		onError(err)
		time.Sleep(retryInterval)
	}
}

// shortages are the errors of socket, bind, listen and accept that say that a resource of the system is short.
var shortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// IsShortage reports whether an error says that a resource of the system is short, which may pass.
func IsShortage(err error) bool {
	return slices.ContainsFunc(shortages, func(shortage error) bool { return errors.Is(err, shortage) })
}

// passes reports whether accept may succeed after an error.
func passes(err error) bool {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	var errno syscall.Errno
	isLasting := func(lasting error) bool { return errors.Is(err, lasting) }
	return errors.As(err, &errno) && !slices.ContainsFunc(lastingErrors, isLasting)
}
