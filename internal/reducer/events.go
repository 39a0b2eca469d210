// Package reducer holds all that lemongate remembers while it runs, and every
// change of it: Step takes one event and tells which effects are to be
// carried out. It does no I/O, reads no clock and starts no goroutine, and it
// knows nothing of HTTP: whatever protocol stands in front of it puts its reqs
// into Arrived events and its answers on the wire from Answer effects.
package reducer

import (
	"time"

	"lemongate"
)

// ReqID names a req. The front that took it in chooses it and never reuses it.
type ReqID = lemongate.RequestID

// A Content is what a req carries or an answer brings. The reducer passes it on
// unread.
type Content any

// An Event is something that happened at an edge of the program.
type Event interface{ event() }

// Arrived tells that a req has come in whole.
type Arrived struct {
	lemongate.Request
	At      time.Duration // when its last byte came
	CallID  string        // the client's own name for it; no two that are open share one
	Content Content
	Left    bool // its client had left by then
}

// Left tells that the client of a req has gone away.
type Left struct{ Req ReqID }

// Malformed tells of a req that was turned away at the edge as no valid one.
type Malformed struct{ Cause Cause }

// A Cause says what was wrong with it.
type Cause uint8

const (
	BadTarget  Cause = iota // no such class or customer
	BadMethod               // not the class's method, or a body where it has none
	BadID                   // X-Call-Id or Idempotency-Key missing, doubled or odd
	BadPlan                 // no such plan
	BadBudget               // no number, or longer than anyone waits
	BadQuota                // units or set out of range or no numbers
	BadFraming              // where it ends is in doubt, or it did not come whole
	OpenID                  // its X-Call-Id is that of a req that is open
	nCauses
)

func (c Cause) String() string {
	return [...]string{"target", "method", "id", "plan", "budget", "quota", "framing", "open_id"}[c]
}

// SessionClosed tells of a client session that the front closed by itself, for
// want of a use or of room. Unread means that no req had come whole on it, or
// half a one; Full that it was a newcomer's, which was told to come again.
type SessionClosed struct{ Unread, Full bool }

// FetchEnded brings the outcome of a fetch. Reply counts with Done only.
type FetchEnded struct {
	Fetch  FetchID
	Result lemongate.Result
	Report []float64
	Reply  Content
	Spoilt bool // an answer had begun that cannot be read, does not end or cannot be told whole
	Late   bool // with NotSent: the time before which it had to begin was over
	Stale  int  // connections found unfit before a byte was written there
}

// ProbeEnded brings the outcome of a probe.
type ProbeEnded struct {
	Backend string
	Result  lemongate.Result
	Latency time.Duration
	Report  []float64
}

// Listed brings news of the backends.
type Listed struct {
	Kind       lemongate.ListKind
	Entries    []Entry
	Generation int64 // of the list from now on
}

// An Entry is a backend of the list and where it listens.
type Entry struct {
	lemongate.Backend
	Addr string
}

// Heard brings a datagram. From is the sender's number, below 0 if unknown.
type Heard struct {
	From int
	Data []byte
}

// Ticked tells that the time a SetTimer effect named has come.
type Ticked struct{}

// Terminated tells that the program was asked to end.
type Terminated struct{}

// ReloadAsked tells that the configuration is to be read again.
type ReloadAsked struct{}

// Reloaded brings what a Reload read, or why it could not.
type Reloaded struct {
	Discovery string // where discovery is to be watched
	Err       error
}

// FrontClosed tells that the front has shut down, as CloseFront asked.
type FrontClosed struct{}

func (*Arrived) event()       {}
func (*Left) event()          {}
func (Malformed) event()      {}
func (*SessionClosed) event() {}
func (*FetchEnded) event()    {}
func (*ProbeEnded) event()    {}
func (*Listed) event()        {}
func (*Heard) event()         {}
func (Ticked) event()         {}
func (ReloadAsked) event()    {}
func (*Reloaded) event()      {}
func (Terminated) event()     {}
func (FrontClosed) event()    {}

// An Effect is something an edge is to do, in the order given.
type Effect interface{ effect() }

// FetchID names one attempt of a req.
type FetchID struct {
	Req     ReqID
	Attempt int
}

// StartFetch sends a req to a backend. The program stops waiting after Wait.
type StartFetch struct {
	Fetch   FetchID
	Backend string
	Addr    string
	Wait    time.Duration
	Content Content

	// Of what is done under a lease: its token, for the backend. Zero without one.
	Token uint64
	// The instant from which on the req's first byte may not be written any longer, as a lease or
	// the time in which backends drop repeats has ended. Zero for no bound.
	Before time.Duration
}

// StopFetch gives a fetch up: its connection is closed, its outcome no longer
// wanted.
type StopFetch struct{ Fetch FetchID }

// WithdrawFetch ends a fetch of which no byte was written, as nobody wants its answer any
// longer: its outcome is NotSent. One that has begun goes on.
type WithdrawFetch struct{ Fetch FetchID }

// An AnswerKind says how a req ended.
type AnswerKind uint8

const (
	Served  AnswerKind = iota // with a backend's answer
	Refused                   // synthetic answer: not served, a new try does no harm
	Failed                    // synthetic answer: not served, it may have run
	Clashed                   // synthetic answer: turned away, its id is another's
)

// Answer gives a req its one final answer.
type Answer struct {
	Req        ReqID
	Kind       AnswerKind
	RetryAfter time.Duration // with Refused; 0 for no advice
	Reply      Content       // with Served
}

// Probe asks a backend for its load.
type Probe struct{ Backend, Addr string }

// DropBackend ends new sending to a backend that drains, is gone or has
// started anew: no req's first byte may go out on a connection it has so far.
type DropBackend struct{ Backend string }

// Tell sends a datagram to a limiter by its number, or to all (below 0).
type Tell struct {
	Peer int
	Data []byte
}

// SetTimer wants a Ticked event at a time, in place of the one set before.
type SetTimer struct{ At time.Duration }

// Ready tells that the program may be taken in by clients, or no longer.
type Ready struct{ Is bool }

// EndSessions asks the front to close each client session between reqs.
type EndSessions struct{}

// CloseFront asks the front to accept nothing more, answer what it has taken
// within the time given and tell so by FrontClosed.
type CloseFront struct{ Within time.Duration }

// Reload asks for the configuration to be read again and told by Reloaded.
type Reload struct{}

// Watch has discovery watched at another address, at once.
type Watch struct{ Addr string }

// Exit ends the program.
type Exit struct{}

// Log leaves a line for people.
type Log struct{ Text string }

func (StartFetch) effect()    {}
func (StopFetch) effect()     {}
func (WithdrawFetch) effect() {}
func (Answer) effect()        {}
func (Probe) effect()         {}
func (DropBackend) effect()   {}
func (Tell) effect()          {}
func (SetTimer) effect()      {}
func (Ready) effect()         {}
func (EndSessions) effect()   {}
func (CloseFront) effect()    {}
func (Reload) effect()        {}
func (Watch) effect()         {}
func (Exit) effect()          {}
func (Log) effect()           {}
