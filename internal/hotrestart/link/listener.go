package link

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
)

// socketMode allows only processes of the same user to connect.
const socketMode = 0o600

// maxPathBytes is the maximum length of a path that is used as the address of a socket. The address has room for 107 bytes,
// and Listen adds a suffix.
const maxPathBytes = 90

// Path returns the path of the socket file, in a directory, of the limiter with the given name.
func Path(dir, name string) string {
	return filepath.Join(dir, "lemongate-"+filepath.Base(name)+".sock")
}

// Listener accepts connections of successors.
type Listener struct {
	listener *net.UnixListener
	path     string
	file     os.FileInfo // of the socket file that Listen created; nil if it is not known
}

// Listen listens at a path and replaces the file of any earlier process: a process that was killed leaves its
// file behind, and a predecessor still listens. It returns errors of net or os, for example if the directory
// does not exist or cannot be written.
func Listen(path string) (*Listener, error) {
	short, release, err := shortPath(path)
	if err != nil {
		return nil, err
	}
	defer release()
	temporary := fmt.Sprintf("%s.%d", short, os.Getpid())
	_ = os.Remove(temporary) // may have been left by an earlier process with the same ID
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false)
	if err := publish(temporary, short); err != nil {
		_ = listener.Close()     // no process has connected
		_ = os.Remove(temporary) // the error of publish is returned
		return nil, err
	}
	l := &Listener{listener: listener, path: path}
	l.file, _ = os.Stat(path) // without it, Close leaves the file
	return l, nil
}

// publish sets the permissions of a socket file, and moves it to its path.
func publish(temporary, path string) error {
	if err := os.Chmod(temporary, socketMode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// Accept waits for a successor. The error wraps net.ErrClosed once the Listener is closed.
func (l *Listener) Accept() (*Conn, error) {
	for {
		socket, err := l.listener.AcceptUnix()
		if err != nil {
			return nil, err
		}
		c, err := newConn(socket)
		if err == nil {
			return c, nil
		}
		// The process ID of the other end is unknown, for example because that process has ended: wait for the next one.
	}
}

// Close stops listening, and removes the file unless another process has replaced it.
func (l *Listener) Close() {
	_ = l.listener.Close() // nothing is written
	file, err := os.Stat(l.path)
	if err == nil && os.SameFile(file, l.file) {
		_ = os.Remove(l.path) // a file that stays is replaced by the next process
	}
}

// shortPath returns a path to the same file that is short enough for the address of a socket. It is
// valid until release is called.
func shortPath(path string) (short string, release func(), err error) {
	if len(path) <= maxPathBytes {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	short = fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	return short, func() { _ = dir.Close() }, nil // only its descriptor was used
}
