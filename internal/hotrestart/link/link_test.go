package link

import (
	"bytes"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// pair returns the two ends of a link: a has connected, b has accepted.
func pair(t testing.TB) (a, b *Conn) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan *Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- c
	}()
	if a, err = Dial(path); err != nil {
		t.Fatal(err)
	}
	b = <-accepted
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b
}

// Frames arrive complete and in order, even large ones, and each socket arrives with its own frame.
func TestFrames(t *testing.T) {
	a, b := pair(t)
	if a.PID() != os.Getpid() {
		t.Errorf("the process at the other end is %d, want this process", a.PID())
	}
	var listeners []*net.TCPListener
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() }) // nothing connects
		listeners = append(listeners, l.(*net.TCPListener))
	}
	large := bytes.Repeat([]byte("0123456789"), 300_000)
	a.Send(1, nil)
	a.Send(2, large, listeners[0], listeners[1])
	a.Send(3, []byte("x"))
	go func() {
		if err := a.SendSync(4, nil, listeners[2]); err != nil {
			t.Error(err)
		}
		a.CloseAfterFlush()
	}()
	for _, want := range []struct {
		kind    uint8
		size    int
		sockets []*net.TCPListener
	}{{1, 0, nil}, {2, len(large), listeners[:2]}, {3, 1, nil}, {4, 0, listeners[2:]}} {
		f, err := b.Read()
		if err != nil || f.Kind != want.kind || len(f.Body) != want.size || len(f.Sockets) != len(want.sockets) {
			t.Fatalf("received kind %d, %d bytes, %d sockets, error %v, want the next frame sent", f.Kind, len(f.Body), len(f.Sockets), err)
		}
		for i, s := range f.Sockets {
			l, err := net.FileListener(s)
			if err != nil {
				t.Fatal(err)
			}
			if l.Addr().String() != want.sockets[i].Addr().String() {
				t.Errorf("received the socket of %v, want that of %v", l.Addr(), want.sockets[i].Addr())
			}
			if err := errors.Join(l.Close(), s.Close()); err != nil {
				t.Error(err)
			}
		}
	}
	if _, err := b.Read(); err == nil {
		t.Error("read after the end of the link returned no error")
	}
	b.Send(1, nil)
	first, second := b.SendSync(1, nil), b.SendSync(1, nil) // the first frame may be written before the end is noticed
	if first == nil && second == nil {
		t.Error("two frames sent after the other end closed the link gave no error, want an error for one of them")
	}
}

// A process replaces the socket file of a live process, and removes only its own file. Paths longer than the address
// of a socket work as well. A connection fails if no process listens or the file is not a socket.
func TestPath(t *testing.T) {
	path := Path(filepath.Join(t.TempDir(), strings.Repeat("x", 120)), "../odd/n1")
	if filepath.Base(path) != "lemongate-n1.sock" {
		t.Error(path)
	}
	if err := os.Mkdir(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	first, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	first.Close()
	accepted := make(chan error, 1)
	go func() {
		_, err := second.Accept()
		accepted <- err
	}()
	c, err := Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := <-accepted; err != nil {
		t.Error(err)
	}
	second.Close()
	if _, err := Dial(path); err == nil {
		t.Error("Dial returned no error although no process listens")
	}
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Dial(path); err == nil {
		t.Error("Dial of a plain file returned no error")
	}
}

// Any bytes on the stream are read as frames or end the link.
func FuzzRead(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x02\x01\x00{}"))
	f.Add([]byte("\xff\xff\xff\xff\x01\x00"))
	f.Add([]byte("\x00\x00\x00\x00\x01\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := pair(t)
		if err := a.socket.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		_, _ = a.socket.Write(data) // all of it or a part: the reader has to handle both
		a.Close()
		for range len(data) + 1 {
			if _, err := b.Read(); err != nil {
				return
			}
		}
		t.Error("more frames read than bytes sent")
	})
}
