package httpserver

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Times after which a client session is no use to a client that means well.
const (
	headWithin  = 2500 * time.Millisecond // for a head to come whole, from the first byte or the start of the session; a client may spend 2 s
	wholeWithin = 2500 * time.Millisecond // for what is no req to come whole, likewise; an error or a close is owed after 3 s
	bodyPerSec  = 64 << 10                // bytes of a body that come in a second at least
	bodySlack   = time.Second             // beyond that, behind the head
	idleAtLeast = 2 * time.Second         // a session between reqs may be closed after this
	idleWithin  = 90 * time.Second        // and is closed after this, even where there is room
	sweepEvery  = 500 * time.Millisecond
	silentFor   = 100 * time.Millisecond // a usual client sends its req with the connection
	halfFor     = time.Second            // and sends it in one piece
	writeWithin = 10 * time.Second       // for what is written to be taken
	aheadMost   = 16 << 10               // bytes that are read beside an open req
	lastAccept  = 20 * time.Millisecond  // for who has connected already to be taken in, at the end
	doorMost    = 16                     // newcomers beyond the bound that wait to be told so
)

// crowdedPart is the part of the bound on client sessions above which those
// that are idle for long are closed: some clients ask once and hold their
// connection for good, and clients that have no descriptor left cannot ask.
const crowdedPart = 0.25

// A sessionState is a stage in the life of a client session.
type sessionState uint8

const (
	silent  sessionState = iota // it never sent a byte
	reading                     // a req has begun to come, or may have: what came behind the one before is not looked at yet
	busy                        // a req is being decided or answered
	idle                        // between reqs: the next one is waited for
	ending                      // answered for the last time; lingers so that the client can read it
	turned                      // a newcomer for which there is no room; it is told so once its req comes
	closed
	nStates
)

func (s sessionState) String() string {
	return [...]string{"silent", "reading", "busy", "idle", "ending", "turned", "closed"}[s]
}

// A session is a client session: one connection, and what it is doing.
type session struct {
	net.Conn
	all *sessions

	// Guarded by all.mu.
	state sessionState
	since time.Time     // of the state
	place *list.Element // in the list of its state

	raw    syscall.RawConn // nil where there is no socket
	begun  time.Time       // when the req that is coming in began to
	came   bool            // a byte of it was read since the one before was whole
	ahead  []byte          // what was read beside an open req, and the server has not taken yet
	parked bool            // the server waits at the socket for more of a req, so none is whole
}

// sessions accepts client sessions and knows what each is doing. It takes the
// place of a listener that stops accepting at its bound: there, sessions that
// say nothing shut the usual clients out. Here the one of least use is closed
// to make room, and never one that has a req open.
//
// Which session is closed and that it is, is one step under mu, as are a read and
// what it means: a session that is closed has had no byte of a req read since it
// was last between reqs, or waits for more of one. Its client is told by a reset that
// the limiter has not read what it may have sent.
type sessions struct {
	net.Listener
	most    int // sessions; 0 for no bound
	now     func() time.Time
	onClose func(was sessionState) // a session was closed from this side, with no req open
	onFull  func(told bool)        // a newcomer was turned away, and told so
	full    []byte                 // how it is told
	patient time.Duration          // how long its req is waited for

	mu     sync.Mutex
	lists  [nStates]list.List // by state, the longest in it first
	open   int
	stop   chan struct{}
	closer sync.Once
	part   float64       // of most, while another process has the rest
	paused chan struct{} // closed when accepting goes on; nil while it does
	spare  [4 << 10]byte // to read ahead into
	ends   bool          // a session that gets between reqs is closed
	shut   bool          // no more of any req is read

	// give hands a session between reqs to another process; nil while they stay.
	give func(syscall.Conn) error
}

func newSessions(l net.Listener, most int, now func() time.Time) *sessions {
	return &sessions{Listener: l, most: most, now: now, patient: silentFor, stop: make(chan struct{}), part: 1}
}

// Accept takes the next client in, and closes a session for it if need be. After Close it still
// takes those in that the system has let connect by then.
func (a *sessions) Accept() (net.Conn, error) {
	for last := false; ; {
		c, err := a.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			a.mu.Lock()
			paused := a.paused
			a.mu.Unlock()
			if paused != nil {
				select {
				case <-paused:
					continue
				case <-a.stop: // who comes now is another process's
					last = true
				}
			}
			if last {
				a.Listener.Close()
				return nil, net.ErrClosed
			}
			last = true
			a.Listener.(deadliner).SetDeadline(time.Now().Add(lastAccept))
			continue
		}
		if err != nil {
			return nil, err
		}
		if s := a.admit(c, silent); s != nil {
			return s, nil
		}
	}
}

// admit makes a connection a session, and closes another for it if need be; nil where there
// is no room for it.
func (a *sessions) admit(c net.Conn, state sessionState) *session {
	a.mu.Lock()
	var out closing
	full := a.most > 0 && a.open-a.lists[turned].Len() >= a.bound()
	if full {
		if out = a.victim(); out.session == nil { // all have reqs open
			state = turned
		}
	}
	s := &session{Conn: c, all: a, state: state, since: a.now(), begun: a.now()}
	if c, ok := c.(syscall.Conn); ok {
		s.raw, _ = c.SyscallConn()
	}
	came := state == turned && s.waits()
	if state == turned && !came && a.lists[turned].Len() >= doorMost {
		if out = a.oldest(turned, 0); out.session == nil { // the reqs of all have come, and they are being told
			a.mu.Unlock()
			c.Close()
			a.onFull(false)
			return nil
		}
	}
	s.place = a.lists[state].PushBack(s)
	a.open++
	a.mu.Unlock()
	out.finish()
	switch {
	case came: // no wait, and so no place at the door
		s.turnAway()
	case state == turned:
		go s.turnAway()
	default:
		return s
	}
	return nil
}

// turnAway closes the session of a newcomer for which there is no room. Once its req comes, it is told to
// come again, and what it sent is taken from the socket, as a close over that would be a reset.
func (s *session) turnAway() {
	var rest [4 << 10]byte
	s.Conn.SetReadDeadline(time.Now().Add(s.all.patient))
	n, _ := s.Conn.Read(rest[:])
	told := n > 0
	if s.raw != nil { // also what came while the limiter stood still
		s.raw.Control(func(fd uintptr) {
			for n = 1; n > 0; told = told || n > 0 {
				n, _ = syscall.Read(int(fd), rest[:])
			}
		})
	}
	if told {
		_, err := s.Write(s.all.full)
		told = err == nil // else another newcomer took its place
	}
	s.Close()
	s.all.onFull(told)
}

// bound is how many sessions may be open now. a.mu is held.
func (a *sessions) bound() int { return max(int(float64(a.most)*a.part), 1) }

// share sets which part of the bound may be used.
func (a *sessions) share(part float64) {
	a.mu.Lock()
	a.part = part
	a.mu.Unlock()
}

// deadliner is a listener whose Accept can be called back.
type deadliner interface{ SetDeadline(time.Time) error }

// pause ends accepting until resume. What comes meanwhile waits in the system's queue.
func (a *sessions) pause() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l, ok := a.Listener.(deadliner); ok && a.paused == nil {
		a.paused = make(chan struct{})
		l.SetDeadline(time.Unix(1, 0))
	}
}

// resume goes on accepting, and keeps the sessions here.
func (a *sessions) resume() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.give = nil
	if a.paused != nil {
		a.Listener.(deadliner).SetDeadline(time.Time{})
		close(a.paused)
		a.paused = nil
	}
}

// move has sessions between reqs given to another process from now on. One that waits for its
// next req is called back from its read.
func (a *sessions) move(give func(syscall.Conn) error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.give = give
	for _, state := range []sessionState{idle, silent} {
		for e := a.lists[state].Front(); e != nil; e = e.Next() {
			e.Value.(*session).Conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// leaves hands the session over if it is to move and nothing of a req has come, and tells
// whether it has.
func (s *session) leaves() bool {
	s.all.mu.Lock()
	give := s.all.give
	c, ok := s.Conn.(syscall.Conn)
	if give == nil || !ok || s.state != idle && s.state != silent {
		s.all.mu.Unlock()
		return false
	}
	s.move(busy) // nobody closes it for another meanwhile
	s.all.mu.Unlock()
	if err := give(c); err != nil {
		s.enter(idle)
		s.Conn.SetReadDeadline(time.Time{})
		return false
	}
	s.enter(closed)
	return true
}

// Close ends accepting and sweeping; open sessions go on.
func (a *sessions) Close() error {
	a.closer.Do(func() { close(a.stop) })
	a.mu.Lock()
	defer a.mu.Unlock()
	if l, ok := a.Listener.(deadliner); ok {
		return l.SetDeadline(time.Unix(1, 0)) // Accept closes it, once nobody waits there
	}
	return a.Listener.Close()
}

// victim picks the session of least use, and closes it: one that only lingers, then
// one idle for so long that it may be closed, silent for longer than a usual client
// is, or stuck in the middle of a req. Failing these, an idle one, as its client
// sends a req that crosses the close once more; then the oldest that has sent
// nothing yet. One whose req is coming in or open is not closed for another.
// a.mu is held.
func (a *sessions) victim() closing {
	for _, c := range []struct {
		state sessionState
		least time.Duration
	}{
		{ending, 0}, {idle, idleAtLeast}, {silent, silentFor}, {reading, halfFor}, {idle, 0}, {silent, 0},
	} {
		if out := a.oldest(c.state, c.least); out.session != nil {
			return out
		}
	}
	return closing{}
}

// A closing is a session that is closed already, for all who hold mu, and the state it was in. Its
// socket is still to be closed: that waits for its reader.
type closing struct {
	*session
	was sessionState
}

// finish closes the socket, if there is a session, and tells of it.
func (c closing) finish() {
	if c.session == nil {
		return
	}
	c.session.Conn.Close()
	if c.was != turned { // turnAway tells
		c.session.all.onClose(c.was)
	}
}

// oldest closes the session longest in a state, if for that long at least and no part of a req
// waits in its socket: a limiter that stood still finds reqs there that came meanwhile. a.mu is held.
func (a *sessions) oldest(state sessionState, least time.Duration) closing {
	for e := a.lists[state].Front(); e != nil; e = e.Next() {
		s := e.Value.(*session)
		if a.now().Sub(s.since) < least {
			break
		}
		if state == reading && !s.parked || state != ending && s.waits() {
			continue
		}
		s.move(closed)
		return closing{s, state}
	}
	return closing{}
}

// end closes all sessions between reqs, now and as they get there. One whose next req is in the
// socket answers that first.
func (a *sessions) end() {
	a.mu.Lock()
	a.ends = true
	a.mu.Unlock()
	for {
		a.mu.Lock()
		out := a.oldest(idle, 0)
		a.mu.Unlock()
		if out.session == nil {
			return
		}
		out.session.Conn.Close()
	}
}

// shutIn has no more of any req read, and closes the sessions on which none is whole.
func (a *sessions) shutIn() {
	a.mu.Lock()
	a.shut = true
	var out []*session
	for _, state := range []sessionState{silent, idle, reading} {
		for e := a.lists[state].Front(); e != nil; e = e.Next() {
			if s := e.Value.(*session); state != reading || s.parked {
				out = append(out, s)
			}
		}
	}
	for _, s := range out {
		s.move(closed)
	}
	a.mu.Unlock()
	for _, s := range out {
		s.Conn.Close()
	}
}

// moves tells whether sessions are given away.
func (a *sessions) moves() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.give != nil
}

// sweep closes what has been idle for long while many sessions are open.
func (a *sessions) sweep() {
	for {
		a.mu.Lock()
		var out closing
		if a.most > 0 && float64(a.open) > crowdedPart*float64(a.bound()) {
			out = a.oldest(idle, idleAtLeast)
		}
		a.mu.Unlock()
		if out.session == nil {
			return
		}
		out.finish()
	}
}

// keepSweeping sweeps until Close.
func (a *sessions) keepSweeping() {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-a.stop:
			return
		case <-tick.C:
			a.sweep()
		}
	}
}

// count tells how many sessions are open.
func (a *sessions) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.open
}

// enter moves a session to a state, unless it is closed, and tells the one it
// was in.
func (s *session) enter(to sessionState) (was sessionState) {
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	return s.move(to)
}

// move does so with s.all.mu held.
func (s *session) move(to sessionState) (was sessionState) {
	a, was := s.all, s.state
	if was == closed || was == to {
		return was
	}
	a.lists[was].Remove(s.place)
	s.state, s.since = to, a.now()
	if to == closed {
		a.open--
		return was
	}
	s.place = a.lists[to].PushBack(s)
	return was
}

// waits tells whether something waits to be read in the socket. Its end does not count. all.mu is held.
func (s *session) waits() bool {
	if s.raw == nil {
		return false
	}
	var one [1]byte
	n := 0
	s.raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// Read takes what has come, and notes that a req has begun to come. Both are one step with what
// the session's state is: a session that is closed between reqs has not had a byte of the next
// one read, so its client is told by a reset that it may send that one again. net/http's server
// calls a session idle until a whole head was read, and closed some with a req in its buffer.
func (s *session) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	more := len(p) > 1 // net/http's server reads one byte beside a req that is whole, to see its client leave
	if n = s.asks(p, more); n > 0 {
		return n, nil
	}
	if s.leaves() {
		return 0, io.EOF // closed here, open there
	}
	if s.raw == nil { // no socket
		n, err = s.Conn.Read(p)
		s.all.mu.Lock()
		defer s.all.mu.Unlock()
		s.took(n)
		return n, err
	}
	ioErr := s.raw.Read(func(fd uintptr) bool {
		n, err = s.receive(fd, p)
		return err != syscall.EAGAIN
	})
	if errors.Is(ioErr, os.ErrDeadlineExceeded) {
		if s.leaves() {
			return 0, io.EOF
		}
		// The limiter may have stood still: a time counts as over only where nothing has come in it.
		if s.raw.Control(func(fd uintptr) { n, err = s.receive(fd, p) }) == nil && err != syscall.EAGAIN {
			ioErr = nil
		}
	}
	switch {
	case ioErr != nil:
		s.all.mu.Lock()
		s.parked = false
		s.all.mu.Unlock()
		return 0, ioErr
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// asks tells that the server wants more of a req, and gives it what was read ahead. If nothing of one
// came since the one before was over, that one was all there was in its buffer, and the session is between
// reqs.
func (s *session) asks(p []byte, more bool) (n int) {
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	switch {
	case !more || s.state == closed:
	case len(s.ahead) > 0:
		s.came = true
		if n = copy(p, s.ahead); n == len(s.ahead) {
			s.ahead = nil
		} else {
			s.ahead = s.ahead[n:]
		}
	case s.state == reading && !s.came:
		s.move(idle)
	}
	return n
}

// receive reads what is in the socket. Beside an open req it reads ahead, so that bytes behind that do not
// hide that the client has left.
func (s *session) receive(fd uintptr, p []byte) (n int, err error) {
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	s.parked = false
	more := len(p) > 1
	if s.all.ends && s.state == idle && !s.waits() || s.all.shut && more {
		s.move(closed)
	}
	if s.state == closed {
		return 0, net.ErrClosed
	}
	for {
		into := p
		if !more {
			if into = s.all.spare[:]; len(s.ahead) >= aheadMost {
				p[0], s.ahead = s.ahead[0], s.ahead[1:]
				return 1, nil
			}
		}
		if n, err = syscall.Read(int(fd), into); err == syscall.EINTR {
			continue
		}
		n = max(n, 0)
		s.took(n)
		if more || n == 0 {
			s.parked = more && err == syscall.EAGAIN
			return n, err
		}
		s.ahead = append(s.ahead, into[:n]...)
	}
}

// took notes bytes that were read; all.mu is held.
func (s *session) took(n int) {
	if n <= 0 {
		return
	}
	if s.state == idle {
		s.begun = s.all.now() // a session's first req counts from its start
	}
	if s.came = true; s.state == idle || s.state == silent {
		s.move(reading)
	}
}

// serves tells that a req is whole, and whether it is to be decided: not on a session that is closed.
func (s *session) serves() bool {
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	s.came = false
	return s.move(busy) != closed
}

// rest tells that a req is over and the next may come, or has begun to.
func (s *session) rest() {
	s.all.mu.Lock()
	defer s.all.mu.Unlock()
	s.begun = s.all.now()
	s.move(reading)
}

// Write bounds the time that a client takes to read: one that does not would
// hold its session and the answer's memory for good. On a session that is closed
// net/http's server would still answer what it takes for a bad req.
func (s *session) Write(p []byte) (int, error) {
	s.all.mu.Lock()
	was := s.state
	s.all.mu.Unlock()
	if was == closed {
		return 0, net.ErrClosed
	}
	s.Conn.SetWriteDeadline(s.all.now().Add(writeWithin))
	return s.Conn.Write(p)
}

// CloseWrite ends the sending; net/http leaves the client half a second more
// to read its last answer.
func (s *session) CloseWrite() error {
	if was := s.enter(ending); was == reading { // net/http could not read it and has said so
		s.all.onClose(was)
	}
	if c, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

// Close closes the session; what had no req read whole counts as closed unread.
func (s *session) Close() error {
	if was := s.enter(closed); was == silent || was == reading {
		s.all.onClose(was)
	}
	return s.Conn.Close()
}
