package acceptretry

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"lemongate/internal/testnet"
)

// A failingListener is a listener whose first calls of Accept fail.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// acceptError returns an error in the form in which the net package returns it.
func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// Accept goes on after each error that accept reports for a moment, and returns the connection that follows.
func TestAcceptGoesOnAfterErrorsThatPass(t *testing.T) {
	passing := []syscall.Errno{
		syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM,
		syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
	}
	l := &failingListener{Listener: testnet.Listen(t)}
	for _, errno := range passing {
		l.errs = append(l.errs, acceptError(errno))
	}
	testnet.Dial(t, l.Addr().String())
	reported := 0
	conn, err := Accept(l, func(error) { reported++ })
	if err != nil {
		t.Fatalf("got error %v, want the connection", err)
	}
	_ = conn.Close() // nothing was sent on it
	if reported != len(passing) {
		t.Errorf("%d errors reported, want all %d", reported, len(passing))
	}
}

// Accept returns the errors after which a listener cannot be used, or was told to stop.
func TestAcceptReturnsLastingErrors(t *testing.T) {
	for _, want := range []error{
		acceptError(syscall.EBADF), acceptError(syscall.EINVAL), net.ErrClosed, os.ErrDeadlineExceeded, errors.New("another error"),
	} {
		l := &failingListener{Listener: testnet.Listen(t), errs: []error{want}}
		if _, err := Accept(l, func(err error) { t.Errorf("went on after %v", err) }); !errors.Is(err, want) {
			t.Errorf("got error %v, want %v", err, want)
		}
	}
}
