// Package link carries what two processes of one limiter say to each other at a takeover,
// and sockets with it, over a Unix socket in a folder that both share. It decides nothing.
package link

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	headSize    = 6         // length of the body (4), kind (1), sockets with it (1)
	maxFrame    = 256 << 20 // of a body: a state of some 100,000 customers
	maxSockets  = 4         // that come with one frame
	waiting     = 4096      // frames that wait to be written; a session or an answer each
	hangWithin  = 50 * time.Millisecond
	writeWithin = 10 * time.Second // far longer than the machine lets the other side be silent
)

// Path is where a limiter of some name is found in a folder.
func Path(dir, name string) string {
	return filepath.Join(dir, "lemongate-"+filepath.Base(name)+".sock")
}

// A Frame is one thing said. Sockets are the receiver's to close.
type Frame struct {
	Kind    uint8
	Body    []byte
	Sockets []*os.File
}

// A Conn is one end of the stream. Send, Hang and Kill may be called from any goroutine,
// Read from one.
type Conn struct {
	c     *net.UnixConn
	queue chan outgoing
	over  chan struct{} // closed once nothing more is written
	once  sync.Once
	pid   int

	data    []byte // read and not yet handed out
	sockets []int
}

type outgoing struct {
	kind    uint8
	body    []byte
	sockets []syscall.Conn
	done    chan<- error // where somebody waits
	last    bool
}

// Dial connects to the process that listens at a path.
func Dial(path string) (*Conn, error) {
	short, free, err := reach(path)
	if err != nil {
		return nil, err
	}
	defer free()
	c, err := net.DialTimeout("unix", short, time.Second)
	if err != nil {
		return nil, err
	}
	return newConn(c.(*net.UnixConn))
}

func newConn(c *net.UnixConn) (*Conn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		c.Close()
		return nil, err
	}
	var cred *syscall.Ucred
	ctl := raw.Control(func(fd uintptr) {
		cred, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	if err = errors.Join(ctl, err); err != nil {
		c.Close()
		return nil, fmt.Errorf("who is there: %w", err)
	}
	x := &Conn{c: c, pid: int(cred.Pid), queue: make(chan outgoing, waiting), over: make(chan struct{})}
	go x.write()
	return x, nil
}

// PID is the process at the other end.
func (x *Conn) PID() int { return x.pid }

// Kill ends the process at the other end, stopped or not. The stream's end tells when it is
// gone.
func (x *Conn) Kill() { syscall.Kill(x.pid, syscall.SIGKILL) }

// Send queues a frame and tells whether it could be. It does not wait.
func (x *Conn) Send(kind uint8, body []byte, sockets ...syscall.Conn) bool {
	select {
	case <-x.over:
		return false
	case x.queue <- outgoing{kind: kind, body: body, sockets: sockets}:
		return true
	default:
		x.end() // the other side has read nothing for long: what would be left out could not be told
		return false
	}
}

// SendSync sends a frame and returns once it is written, so that the sockets may be closed here.
func (x *Conn) SendSync(kind uint8, body []byte, sockets ...syscall.Conn) error {
	done := make(chan error, 1)
	select {
	case <-x.over:
		return net.ErrClosed
	case x.queue <- outgoing{kind: kind, body: body, sockets: sockets, done: done}:
	}
	select {
	case err := <-done:
		return err
	case <-x.over:
		return net.ErrClosed
	}
}

// CloseAfterFlush closes the stream after what was sent before. If that cannot be written at once, the
// other side may never learn of it, and is ended.
func (x *Conn) CloseAfterFlush() {
	late := time.AfterFunc(hangWithin, func() {
		x.Kill()
		x.end()
	})
	go func() {
		select {
		case x.queue <- outgoing{last: true}:
		case <-x.over:
		}
		<-x.over
		late.Stop()
	}()
}

func (x *Conn) end() {
	x.once.Do(func() {
		close(x.over)
		x.c.Close()
	})
}

func (x *Conn) write() {
	defer x.end()
	for {
		select {
		case <-x.over:
			return
		case o := <-x.queue:
			if o.last {
				return
			}
			err := x.put(o)
			if o.done != nil {
				o.done <- err
			}
			if err != nil {
				return
			}
		}
	}
}

func (x *Conn) put(o outgoing) error {
	data := binary.BigEndian.AppendUint32(make([]byte, 0, headSize+len(o.body)), uint32(len(o.body)))
	data = append(append(data, o.kind, uint8(len(o.sockets))), o.body...)
	x.c.SetWriteDeadline(time.Now().Add(writeWithin))
	if len(o.sockets) > 0 {
		n, err := x.putWith(data, o.sockets, nil)
		if err != nil {
			return err
		}
		data = data[n:]
	}
	_, err := x.c.Write(data)
	return err
}

// putWith writes the first bytes, and sockets with them. Each is held open meanwhile by
// those that use it.
func (x *Conn) putWith(data []byte, left []syscall.Conn, fds []int) (n int, err error) {
	if len(left) == 0 {
		n, _, err = x.c.WriteMsgUnix(data, syscall.UnixRights(fds...), nil)
		return n, err
	}
	raw, err := left[0].SyscallConn()
	if err != nil {
		return 0, err
	}
	ctl := raw.Control(func(fd uintptr) { n, err = x.putWith(data, left[1:], append(fds, int(fd))) })
	return n, errors.Join(ctl, err)
}

// Read gives the next frame, or an error once the stream has ended.
func (x *Conn) Read() (f Frame, err error) {
	if f, err = x.read(); err != nil {
		for _, fd := range x.sockets { // of a frame that did not come whole
			syscall.Close(fd)
		}
		x.sockets = nil
	}
	return f, err
}

func (x *Conn) read() (Frame, error) {
	for len(x.data) < headSize {
		if err := x.more(headSize); err != nil {
			return Frame{}, err
		}
	}
	size, kind, n := int(binary.BigEndian.Uint32(x.data)), x.data[4], int(x.data[5])
	if size > maxFrame || n > maxSockets {
		return Frame{}, fmt.Errorf("frame of %d bytes with %d sockets", size, n)
	}
	for len(x.data) < headSize+size {
		if err := x.more(headSize + size); err != nil {
			return Frame{}, err
		}
	}
	if len(x.sockets) < n {
		return Frame{}, errors.New("sockets are missing")
	}
	f := Frame{Kind: kind, Body: append([]byte(nil), x.data[headSize:headSize+size]...)}
	for _, fd := range x.sockets[:n] {
		f.Sockets = append(f.Sockets, os.NewFile(uintptr(fd), "handed over"))
	}
	x.data, x.sockets = x.data[headSize+size:], x.sockets[n:]
	return f, nil
}

// more reads what there is, with what came beside it; want bytes are waited for in all.
func (x *Conn) more(want int) error {
	buf := make([]byte, min(max(want-len(x.data), 4<<10), 64<<10))
	oob := make([]byte, syscall.CmsgSpace(4*maxSockets))
	n, oobn, _, _, err := x.c.ReadMsgUnix(buf, oob)
	if err == nil && n == 0 {
		err = io.EOF
	}
	if err != nil {
		return err
	}
	x.data = append(x.data, buf[:n]...)
	messages, err := syscall.ParseSocketControlMessage(oob[:oobn])
	if err != nil {
		return err
	}
	for _, m := range messages {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			return err
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
		}
		x.sockets = append(x.sockets, fds...)
	}
	return nil
}

// Close ends the stream at once.
func (x *Conn) Close() { x.end() }

// A Listener is where a successor finds this process.
type Listener struct {
	l    *net.UnixListener
	path string
	mine os.FileInfo
}

// Listen takes the path, in place of whoever had it: a process that was killed leaves its
// file behind, and one that was taken over from still listens at its own.
func Listen(path string) (*Listener, error) {
	short, free, err := reach(path)
	if err != nil {
		return nil, err
	}
	defer free()
	fresh := fmt.Sprintf("%s.%d", short, os.Getpid())
	os.Remove(fresh)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false)
	if err = os.Chmod(fresh, 0o600); err == nil {
		err = os.Rename(fresh, short)
	}
	if err != nil {
		l.Close()
		os.Remove(fresh)
		return nil, err
	}
	x := &Listener{l: l, path: path}
	x.mine, _ = os.Stat(path)
	return x, nil
}

// Accept waits for a successor.
func (l *Listener) Accept() (*Conn, error) {
	for {
		c, err := l.l.AcceptUnix()
		if err != nil {
			return nil, err
		}
		if x, err := newConn(c); err == nil {
			return x, nil // else it has left already
		}
	}
}

// Close ends listening, and takes the file away unless it is another's by now.
func (l *Listener) Close() {
	l.l.Close()
	if now, err := os.Stat(l.path); err == nil && os.SameFile(now, l.mine) {
		os.Remove(l.path)
	}
}

// reach gives a path to the same place that is short enough for a socket's address.
func reach(path string) (short string, free func(), err error) {
	const most = 90 // of 107, with room for what Listen adds
	if len(path) <= most {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }, nil
}
