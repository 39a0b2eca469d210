// Package link carries messages, with sockets, between the two processes of a hot restart: over a Unix
// socket in a directory that both processes use. It makes no decisions about the hot restart.
package link

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// maxQueuedFrames is how many frames may wait to be written. If there are more, Send closes the link, and
	// SendSync waits for room.
	maxQueuedFrames = 4096
	// dialTimeout bounds the time to connect to the other process.
	dialTimeout = time.Second
	// flushTimeout bounds the time to write the queued frames when the link is closed.
	flushTimeout = 50 * time.Millisecond
	// writeTimeout bounds the time to write one frame. It is far longer than the timeouts of package hotrestart
	// for a process that hangs, so those decide what is done about that process.
	writeTimeout = 10 * time.Second
)

// Conn is one end of a link. Send, SendSync, CloseAfterFlush, Close and Kill may be called from any
// goroutine, Read from one.
//
// A Conn owns one goroutine, which writes the queued frames and ends when the Conn is closed.
type Conn struct {
	socket    *net.UnixConn
	pid       int
	queue     chan queuedFrame
	done      chan struct{} // closed once nothing more is written
	closeOnce sync.Once
	reader    frameReader
}

// queuedFrame is a frame that waits to be written.
type queuedFrame struct {
	kind        uint8
	body        []byte
	sockets     []syscall.Conn
	written     chan<- error // nil if no caller waits for it
	closeMarker bool         // not a frame: closes the link after the frames queued before it
}

// Dial connects to the process that listens at a path. It returns an error of net or os, for example if no
// process listens there, or an error if the process at the other end cannot be determined.
func Dial(path string) (*Conn, error) {
	short, release, err := shortPath(path)
	if err != nil {
		return nil, err
	}
	defer release()
	c, err := net.DialTimeout("unix", short, dialTimeout)
	if err != nil {
		return nil, err
	}
	return newConn(c.(*net.UnixConn))
}

// newConn returns the Conn of a connected socket, and closes the socket if it returns an error.
func newConn(socket *net.UnixConn) (*Conn, error) {
	pid, err := peerPID(socket)
	if err != nil {
		_ = socket.Close() // nothing was written
		return nil, fmt.Errorf("process ID of the other end of the link is unknown: %w", err)
	}
	c := &Conn{
		socket: socket,
		pid:    pid,
		queue:  make(chan queuedFrame, maxQueuedFrames),
		done:   make(chan struct{}),
		reader: frameReader{socket: socket},
	}
	go c.writeQueued()
	return c, nil
}

// peerPID returns the ID of the process at the other end, as the kernel recorded it.
func peerPID(socket *net.UnixConn) (int, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var credentials *syscall.Ucred
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		credentials, optionErr = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	if err := errors.Join(err, optionErr); err != nil {
		return 0, err
	}
	return int(credentials.Pid), nil
}

// PID returns the ID of the process at the other end.
func (c *Conn) PID() int { return c.pid }

// Kill kills the process at the other end, even a stopped one. The end of the link confirms it.
func (c *Conn) Kill() {
	_ = syscall.Kill(c.pid, syscall.SIGKILL) // the process may have ended already
}

// Send queues a frame without waiting, and reports whether it was queued. If the queue is full, the other
// process has not read for long, and the link is closed, because no frame may be dropped silently.
func (c *Conn) Send(kind uint8, body []byte, sockets ...syscall.Conn) bool {
	select {
	case <-c.done:
		return false
	case c.queue <- queuedFrame{kind: kind, body: body, sockets: sockets}:
		return true
	default:
		c.Close()
		return false
	}
}

// SendSync sends a frame and returns once it is written, so that the caller may close the sockets. The
// error is net.ErrClosed if the link is closed.
func (c *Conn) SendSync(kind uint8, body []byte, sockets ...syscall.Conn) error {
	written := make(chan error, 1)
	select {
	case <-c.done:
		return net.ErrClosed
	case c.queue <- queuedFrame{kind: kind, body: body, sockets: sockets, written: written}:
	}
	select {
	case err := <-written:
		return err
	case <-c.done:
		return net.ErrClosed
	}
}

// CloseAfterFlush closes the link after the frames that were queued before, without waiting. If these cannot be
// written within flushTimeout, the other process may never read them: it is killed, and the link is closed.
//
// The goroutine that it starts ends when the link is closed, after flushTimeout at the latest.
func (c *Conn) CloseAfterFlush() {
	timeout := time.AfterFunc(flushTimeout, func() {
		c.Kill()
		c.Close()
	})
	go func() {
		select {
		case c.queue <- queuedFrame{closeMarker: true}:
		case <-c.done:
		}
		<-c.done
		timeout.Stop()
	}()
}

// Close closes the link at once.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.socket.Close() // queued frames are lost in any case
	})
}

// writeQueued writes queued frames until the link is closed.
func (c *Conn) writeQueued() {
	defer c.Close()
	for {
		select {
		case <-c.done:
			return
		case f := <-c.queue:
			if f.closeMarker {
				return
			}
			err := c.write(f)
			if f.written != nil {
				f.written <- err
			}
			if err != nil {
				return
			}
		}
	}
}

// write writes a frame. The sockets are sent with the first bytes.
func (c *Conn) write(f queuedFrame) error {
	if err := c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	data := encodeFrame(f.kind, len(f.sockets), f.body)
	if len(f.sockets) > 0 {
		n, err := c.writeWithSockets(data, f.sockets, nil)
		if err != nil {
			return err
		}
		data = data[n:]
	}
	_, err := c.socket.Write(data)
	return err
}

// writeWithSockets writes the first bytes of data, with the descriptors of sockets. It calls itself inside
// the Control of each socket in turn, which keeps the sockets open until the bytes are written.
func (c *Conn) writeWithSockets(data []byte, sockets []syscall.Conn, descriptors []int) (n int, err error) {
	if len(sockets) == 0 {
		n, _, err = c.socket.WriteMsgUnix(data, syscall.UnixRights(descriptors...), nil)
		return n, err
	}
	raw, err := sockets[0].SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		n, err = c.writeWithSockets(data, sockets[1:], append(descriptors, int(fd)))
	})
	return n, errors.Join(controlErr, err)
}

// Read returns the next frame, or an error once the link has ended.
func (c *Conn) Read() (Frame, error) { return c.reader.read() }
