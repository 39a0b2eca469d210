package eventloop

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lemongate/internal/config"
	"lemongate/internal/core"
	"lemongate/internal/hotrestart"
	"lemongate/internal/hotrestart/link"
)

// Any frame from the other process, except a client connection, decodes to either an event or an error.
func FuzzDecode(f *testing.F) {
	for k := range uint8(frameClientConn + 2) {
		f.Add(k, []byte(`{"ID":7,"Class":"read","Budget":5,"Content":{"Method":"GET","Body":"eA=="},"Reply":{"Type":"t"},"Kind":0}`))
	}
	f.Add(uint8(hotrestart.Transfer), []byte(`{"Now":1,"Entries":[{"ID":"b","Addr":"h:1"}],"Out":[{"Attempt":1}]}`))
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		ev, err := decode(link.Frame{Kind: kind, Body: body})
		if (ev == nil) == (err == nil) && kind != frameClientConn {
			t.Errorf("decoded as event %v with error %v, want exactly one of them", ev, err)
		}
	})
}

// A process still accepts successors after Accept has failed, here for lack of a file descriptor. An error of Accept
// must not disable hot restarts.
func TestSuccessorIsAcceptedAfterAcceptError(t *testing.T) {
	observed, lines := observer.New(zap.WarnLevel)
	l := &Loop{
		config: &config.Config{Name: "n0", HotRestart: &config.HotRestart{Dir: t.TempDir()}},
		log:    zap.New(observed),
		events: make(chan core.Event, maxQueuedEvents),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	defer l.cancel()
	l.listenForSuccessors()
	defer l.otherProcess.close()

	socket, err := syscall.Socket(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(socket) }() // nothing is sent
	withoutDescriptors(t, func() {
		if err := syscall.Connect(socket, &syscall.SockaddrUnix{Name: l.successorPath()}); err != nil {
			t.Fatal(err)
		}
		for wait := 0; lines.Len() == 0 && wait < 100; wait++ {
			time.Sleep(10 * time.Millisecond)
		}
	})
	if lines.Len() == 0 {
		t.Error("the error of Accept was not logged")
	}

	successor, err := link.Dial(l.successorPath())
	if err != nil {
		t.Fatal(err)
	}
	defer successor.Close()
	successor.Send(uint8(hotrestart.Hello), []byte("{}"))
	select {
	case ev := <-l.events:
		if _, ok := ev.(*core.SuccessorConnected); !ok {
			t.Errorf("got event %T, want *core.SuccessorConnected", ev)
		}
	case <-time.After(5 * time.Second):
		t.Error("the successor was not accepted within 5 s")
	}
}

// withoutDescriptors calls a function while this process cannot open a file descriptor.
func withoutDescriptors(t *testing.T, call func()) {
	t.Helper()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	none := limit
	none.Cur = 0
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			t.Error(err)
		}
	}()
	call()
}

// A frame for a client connection that comes without its socket gives the core no event, and sockets that come with
// a frame that must have none are closed. Otherwise they would stay open until the garbage collector runs.
func TestFramesWithWrongSockets(t *testing.T) {
	l := &Loop{log: zap.NewNop(), events: make(chan core.Event, maxQueuedEvents)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	defer l.cancel()
	path := link.Path(t.TempDir(), "n0")
	listener, err := link.Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		if c, err := listener.Accept(); err == nil {
			l.readLink(c)
		}
	}()
	other, err := link.Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	other.Send(frameClientConn, nil)
	if err := other.SendSync(uint8(hotrestart.Heartbeat), nil, socket.(*net.TCPListener)); err != nil {
		t.Fatal(err)
	}
	_ = socket.Close() // the other process now has the only copy
	other.Send(uint8(hotrestart.Heartbeat), nil)
	for range 2 {
		received, _ := (<-l.events).(linkEvent)
		if message, ok := received.Event.(*core.LinkMessageReceived); !ok || message.Kind != hotrestart.Heartbeat {
			t.Errorf("got %+v, want only heartbeats", received)
		}
	}
	if c, err := net.Dial("tcp", socket.Addr().String()); err == nil {
		_ = c.Close() // the test only checks whether it connects
		t.Error("the socket that was sent with a heartbeat is still open")
	}
}
