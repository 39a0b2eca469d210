package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/upstream"
)

// bounded serves with a bound on sessions and a clock that stands still.
func bounded(t *testing.T, most int) (*rig, *atomic.Int64) {
	past := new(atomic.Int64)
	start := time.Now()
	return serve(t, func(o *Options) {
		o.MaxConns = most
		o.Wall = func() time.Time { return start.Add(time.Duration(past.Load())) }
	}), past
}

func (s *client) ready() {
	s.t.Helper()
	s.send("GET /ready HTTP/1.1\nHost: x\n\n")
	s.answer()
}

// ended waits for the other side to close the session.
func (s *client) ended() {
	s.t.Helper()
	s.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := s.in.ReadByte(); err == nil || strings.Contains(err.Error(), "timeout") {
		s.t.Errorf("not closed: %v", err)
	}
}

// state waits until so many sessions are in a state.
func (r *rig) state(state sessionState, n int) {
	for {
		l := r.Server.sessions.Load()
		if l != nil {
			l.mu.Lock()
			have := l.lists[state].Len()
			l.mu.Unlock()
			if have == n {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// Connections that say nothing must not shut the usual clients out: beyond the
// bound the oldest of them goes.
func TestSilentSessionsMakeRoom(t *testing.T) {
	r, past := bounded(t, 2)
	first := r.session(t)
	r.state(silent, 1)
	past.Add(int64(silentFor))
	second := r.session(t)
	r.state(silent, 2)
	usual := r.session(t)
	usual.ready()
	first.ended()
	if ev := <-r.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Unread: true}) {
		t.Errorf("posted %+v", ev)
	}
	second.ready()
	if n := r.Conns(); n != 2 {
		t.Errorf("%d sessions open", n)
	}
}

// The session that has been idle for longest is the first to go, and one with
// a req open goes for nobody: then the newcomer is turned away, and told so once its req comes.
func TestOpenReqsAreSpared(t *testing.T) {
	r, past := bounded(t, 3)
	busy, older, newer := r.session(t), r.session(t), r.session(t)
	busy.send(good)
	id := (<-r.events).(*core.RequestReceived).ID
	older.ready()
	r.state(idle, 1)
	past.Add(int64(time.Second))
	newer.ready()
	r.state(idle, 2)
	past.Add(int64(time.Second))
	for _, s := range []*client{older, newer} {
		next := r.session(t)
		next.send(strings.Replace(good, "9b1f", "0000", 1))
		s.ended()
		if ev := <-r.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{}) {
			t.Errorf("posted %+v", ev)
		}
		if _, ok := (<-r.events).(*core.RequestReceived); !ok {
			t.Error("the newcomer was not taken in")
		}
	}
	r.session(t).ended() // nothing comes of it in its time
	if ev := <-r.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Unread: true}) {
		t.Errorf("posted %+v", ev)
	}
	l := r.Server.sessions.Load()
	l.mu.Lock()
	l.patient = time.Minute
	l.mu.Unlock()
	quiet := r.session(t) // its req comes once all have been looked through for a place
	r.state(turned, 1)
	late := r.session(t)
	r.state(turned, 2)
	late.send(good)
	if resp, _ := late.answer(); resp.StatusCode != 429 || resp.Header.Get("Retry-After") != "0.500" || !resp.Close {
		t.Errorf("%+v", resp)
	}
	late.ended()
	if ev := <-r.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Full: true}) {
		t.Errorf("posted %+v", ev)
	}
	var door []*client
	for i := range doorMost + 1 { // beyond doorMost the longest there makes room
		door = append(door, r.session(t))
		r.state(turned, min(i+2, doorMost))
	}
	for _, s := range []*client{quiet, door[0]} {
		s.ended()
	}
	for range 2 { // each is told of once
		if ev := <-r.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Unread: true}) {
			t.Errorf("posted %+v", ev)
		}
	}
	r.Respond(core.Respond{Request: id, Kind: core.Rejected})
	if resp, _ := busy.answer(); resp.StatusCode != 429 {
		t.Errorf("%d", resp.StatusCode)
	}
}

// Clients that ask once and hold their connection for good use descriptors up,
// ours and theirs: past a part of the bound the idle ones are closed, but not
// before they have been so for 2 s, and not where there is room.
func TestSweep(t *testing.T) {
	r, past := bounded(t, 8)
	var held []*client
	for i := range 3 {
		s := r.session(t)
		s.ready()
		r.state(idle, i+1) // sessions become idle in the order in which they were opened
		held = append(held, s)
	}
	l := r.Server.sessions.Load()
	past.Store(int64(idleAtLeast) - 1)
	if l.sweep(); l.count() != 3 {
		t.Errorf("%d left before their time", l.count())
	}
	past.Store(int64(idleAtLeast))
	if l.sweep(); l.count() != 2 {
		t.Errorf("%d left, want those for which there is room", l.count())
	}
	held[0].ended()
	held[1].ready()
}

// Half a req is owed an answer or a close soon: its body has until shortly
// after the session's start, or the req's where it is not the first.
func TestHalfBody(t *testing.T) {
	r, past := bounded(t, 0)
	s := r.session(t)
	s.send(good)
	r.Respond(core.Respond{Request: (<-r.events).(*core.RequestReceived).ID, Kind: core.Rejected})
	s.answer()
	r.state(idle, 1)
	past.Store(-int64(wholeWithin)) // so that the time is up at once
	s.send(goodHead + "Content-Length: 5\n\n123")
	if resp, _ := s.answer(); resp.StatusCode != 408 || !resp.Close {
		t.Errorf("%d, closes %v", resp.StatusCode, resp.Close)
	}
	if ev := <-r.events; ev != (core.RequestMalformed{Cause: core.BadFraming}) {
		t.Errorf("posted %+v", ev)
	}
	if _, err := s.in.ReadByte(); err != io.EOF {
		t.Errorf("%v", err)
	}
}

// A client may spend 2 s on a head and a second on a body of 64 KiB: it is served. The body's
// time counts from the head's end, by its length.
func TestSlowClient(t *testing.T) {
	t.Parallel()
	r := serve(t)
	s := r.session(t)
	const size = 60 << 10
	head := goodHead + fmt.Sprintf("Content-Length: %d\n\n", size)
	piece := len(head)/8 + 1
	for i := 0; i < len(head); i += piece {
		s.send(head[i:min(i+piece, len(head))])
		time.Sleep(240 * time.Millisecond)
	}
	for range 10 {
		s.send(strings.Repeat("x", size/10))
		time.Sleep(90 * time.Millisecond)
	}
	first := <-r.events
	ev, ok := first.(*core.RequestReceived)
	if !ok {
		t.Fatalf("a slow client was cut off: %+v", first)
	}
	if n := len(ev.Content.(*upstream.Request).Body); n != size {
		t.Errorf("%d bytes", n)
	}
	r.Respond(core.Respond{Request: ev.ID, Kind: core.Rejected})
	s.answer()
}

// A limiter that stood still finds more newcomers at once than may wait at the door. All whose reqs have
// come are told, in turn and past those that have sent nothing.
func TestCrowdIsTold(t *testing.T) {
	r, _ := bounded(t, 1)
	s := r.session(t)
	s.send(good)
	id := (<-r.events).(*core.RequestReceived).ID
	l := r.Server.sessions.Load()
	l.mu.Lock()
	l.patient = time.Minute
	l.mu.Unlock()
	for range doorMost {
		r.session(t)
	}
	r.state(turned, doorMost)
	for range 3 * doorMost {
		near, far := pair(t)
		late := &client{t, far, bufio.NewReader(far)}
		late.send(good)
		raw, _ := near.SyscallConn()
		for there := (&session{raw: raw}); !there.waits(); time.Sleep(time.Millisecond) {
		}
		if l.admit(near, silent) != nil {
			t.Error("taken in beyond the bound")
		}
		if ev := <-r.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Full: true}) {
			t.Errorf("posted %+v", ev)
		}
		if resp, _ := late.answer(); resp.StatusCode != 429 || !resp.Close {
			t.Errorf("%+v", resp)
		}
	}
	r.state(turned, doorMost)
	r.Respond(core.Respond{Request: id, Kind: core.Rejected})
	s.answer()
}

// crossed is a connection on which something happens behind each read.
type crossed struct {
	net.Conn
	then func()
}

func (c *crossed) Read(p []byte) (int, error) {
	defer c.then()
	return c.Conn.Read(p)
}

// A newcomer that makes room for another as its req comes is not told, and does not count as told.
func TestDisplacedAsItsReqComes(t *testing.T) {
	r, _ := bounded(t, 1)
	s := r.session(t)
	s.send(good)
	id := (<-r.events).(*core.RequestReceived).ID
	l := r.Server.sessions.Load()
	near, far := pair(t)
	if l.admit(&crossed{near, func() {
		l.mu.Lock()
		l.oldest(turned, 0)
		l.mu.Unlock()
	}}, silent) != nil {
		t.Error("taken in beyond the bound")
	}
	late := &client{t, far, bufio.NewReader(far)}
	late.send(good)
	late.ended()
	if ev := <-r.events; *ev.(*core.ClientConnClosed) != (core.ClientConnClosed{Unread: true}) {
		t.Errorf("posted %+v", ev)
	}
	r.Respond(core.Respond{Request: id, Kind: core.Rejected})
	s.answer()
}
