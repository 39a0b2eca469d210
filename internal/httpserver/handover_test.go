package httpserver

import (
	"testing"
	"time"

	"lemongate/internal/testnet"
)

// An observedListener is a blockingListener that sends each deadline that is set to the test.
type observedListener struct {
	blockingListener
	deadlines chan time.Time
}

func (l *observedListener) SetDeadline(deadline time.Time) error {
	err := l.blockingListener.SetDeadline(deadline)
	l.deadlines <- deadline
	return err
}

// Accepting ends after Close even if Resume is called before the accept loop runs again: both while Close waits for
// connections, and when it waits only for the accept loop.
func TestResumeDoesNotUndoClose(t *testing.T) {
	const closeTimeout = 5 * time.Second
	for name, c := range map[string]struct {
		timeout   time.Duration
		deadlines int // number of deadlines that Close has set when Resume is called
	}{
		"before the timeout": {2 * closeTimeout, 1},
		"after the timeout":  {time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			l := &observedListener{blockingListener{testnet.Listen(t), make(chan bool), make(chan bool)}, make(chan time.Time, 16)}
			server := startServerOn(t, l)
			client := server.connect(t)
			<-l.accepted // the accept loop is blocked until the release
			client.close()
			server.Pause()
			<-l.deadlines
			closed := make(chan bool)
			go func() { server.Close(c.timeout); close(closed) }()
			for range c.deadlines {
				<-l.deadlines
			}
			server.Resume()
			l.release <- true
			select {
			case <-closed:
			case <-time.After(closeTimeout):
				t.Error("Close still waits for the accept loop")
				_ = l.Close() // otherwise the cleanup of the test waits for the accept loop too
			}
		})
	}
}
