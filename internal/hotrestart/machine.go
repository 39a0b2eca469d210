// Package hotrestart is the agreement by which a process of the limiter takes over from
// the one that runs: who admits reqs, from which step on, and what each side does when
// the other is late, hangs or dies. It does no I/O, reads no clock and starts no
// goroutine; docs/design/upgrade.md has the ways weighed.
//
// The two sides talk over one stream that keeps order and ends when a process ends, as
// a Unix socket does. At each instant one process admits at most:
//
//   - The elder stops before it sends Transfer, and never admits again while a Commit of
//     its may have been read by a living heir.
//   - The heir admits only once it has read Commit, or once the stream ended with the
//     Transfer whole and no Withdraw behind it: then the elder is dead.
//   - Who has to be sure that the other will not admit, and cannot be told by it, ends the
//     other (Fence) and waits for the stream's end.
package hotrestart

import "time"

// A Phase is a stage of a takeover, as one side sees it.
type Phase uint8

const (
	Alone        Phase = iota // admits; no other process is known
	Offered                   // elder: admits; a successor gets ready
	Transferring              // elder: nobody admits; state and sockets are on their way
	Probation                 // elder: the heir admits; it gets back what the heir drops
	Committed                 // elder: the heir admits for good; ends with what is open
	Greeting                  // heir: has said Hello
	Receiving                 // heir: ready, waits for the state
	Adopting                  // heir: has it all, waits for Commit
	Serving                   // heir: admits; the elder watches
	Abandoned                 // heir: will not take over any more
	numPhases
)

func (p Phase) String() string {
	return [...]string{
		"alone", "offered", "transferring", "trial", "committed", "greeting", "receiving", "taking", "owning", "lost",
	}[p]
}

// A Kind is what one side says to the other.
type Kind uint8

const (
	Hello     Kind = iota // heir: who it is, and what it understands
	Offer                 // elder: get ready
	Deny                  // elder: no; what it says tells why
	Prepared              // heir: it could admit at once
	Transfer              // elder: has stopped; the state, the listener, the peers' socket
	Adopted               // heir: has them
	Commit                // elder: admit
	Heartbeat             // heir: lives and admits
	Withdraw              // elder: admits again, or never stopped; start over
	Final                 // elder: will not admit again
	NumKinds
)

func (k Kind) String() string {
	return [...]string{
		"hello", "offer", "deny", "prepared", "transfer", "taken", "commit", "beat", "withdraw", "final",
	}[k]
}

// Limits bound the phases.
type Limits struct {
	HelloTimeout      time.Duration // heir: for an answer to Hello; then it starts as if there were no elder
	PrepareTimeout    time.Duration // elder: for the heir to be ready
	TransferTimeout   time.Duration // elder: for the heir to have all that it is sent; nobody admits meanwhile
	CommitTimeout     time.Duration // heir: for the elder's word while nobody admits; then the elder is ended
	HeartbeatInterval time.Duration // between two beats
	HeartbeatTimeout  time.Duration // elder: without a beat in the trial; then the heir is ended
	ProbationDuration time.Duration // elder: after this it goes, told to or not
	MaxAttempts       int           // heir: takeovers begun at most
}

// DefaultLimits leave nobody admitting for 150 ms at most while one side hangs before the
// commit.
func DefaultLimits() Limits {
	return Limits{
		HelloTimeout: 500 * time.Millisecond, PrepareTimeout: 5 * time.Second, TransferTimeout: 150 * time.Millisecond, CommitTimeout: 500 * time.Millisecond,
		HeartbeatInterval: 20 * time.Millisecond, HeartbeatTimeout: 150 * time.Millisecond, ProbationDuration: 15 * time.Second, MaxAttempts: 4,
	}
}

// An Effect is something that the owner of a Machine is to do, in the order given.
type Effect interface{ effect() }

type (
	// Send says something to the other side. Transfer has the state and the sockets with it.
	Send struct{ Kind Kind }
	// StopAdmitting ends admitting, before Transfer is sent.
	StopAdmitting struct{}
	// ResumeAdmitting begins to admit again. Renew means that another process admitted since.
	ResumeAdmitting struct{ NewEpoch bool }
	// ForwardRequests hands all that comes in from now on to the heir, which admits.
	ForwardRequests struct{}
	// StartAdmitting begins to admit by what Transfer brought.
	StartAdmitting struct{}
	// RunAlone tells that the other process is gone or on its way out: this one is the only one.
	RunAlone struct{}
	// Finish ends this process once what it has open is answered.
	Finish struct{}
	// StartFresh begins a start with nothing from an elder. Wait means that one may still hold
	// the address for a while.
	StartFresh struct{ Wait bool }
	// ConnectPredecessor looks for the elder once more.
	ConnectPredecessor struct{}
	// KillPeer ends the other process, which has to be sure not to admit.
	KillPeer struct{}
	// CloseLink closes the stream, after what was sent.
	CloseLink struct{}
	// Abort ends this process, which never admitted.
	Abort struct{ Reason string }
)

func (Send) effect()               {}
func (StopAdmitting) effect()      {}
func (ResumeAdmitting) effect()    {}
func (ForwardRequests) effect()    {}
func (StartAdmitting) effect()     {}
func (RunAlone) effect()           {}
func (Finish) effect()             {}
func (StartFresh) effect()         {}
func (ConnectPredecessor) effect() {}
func (KillPeer) effect()           {}
func (CloseLink) effect()          {}
func (Abort) effect()              {}

// A Machine is one side of a takeover. The zero Machine is no use; see New.
type Machine struct {
	limits            Limits
	phase             Phase
	until             time.Duration // of the phase, 0 for no bound
	heartbeatAt       time.Duration // heir: of the next one; elder: of the last one heard
	checkedAt         time.Duration // elder: when it last looked for beats
	longestSilence    time.Duration // elder: the heir's longest silence
	killing           bool          // the other side is being ended
	shutdownRequested bool          // this process is to end
	attempts          int
	out               []Effect
}

// New returns a Machine that is alone, or one that seeks an elder first; then the owner is
// to seek it at once.
func New(l Limits, seeks bool, now time.Duration) *Machine {
	m := &Machine{limits: l}
	if seeks {
		m.attempts = 1
		m.enter(Greeting, now+l.HelloTimeout)
	}
	return m
}

// Phase tells the stage.
func (m *Machine) Phase() Phase { return m.phase }

// LongestSilence is the heir's longest so far, as the elder heard it.
func (m *Machine) LongestSilence() time.Duration { return m.longestSilence }

// Admits tells whether this process may admit.
func (m *Machine) Admits() bool { return m.phase == Alone || m.phase == Offered || m.phase == Serving }

// NextDeadline is when Tick wants to be called; false for never.
func (m *Machine) NextDeadline() (time.Duration, bool) {
	at := m.until
	earlier := func(t time.Duration) {
		if at == 0 || t < at {
			at = t
		}
	}
	switch {
	case m.killing:
		return 0, false // only the stream's end counts now
	case m.phase == Serving:
		earlier(m.heartbeatAt)
	case m.phase == Probation:
		earlier(m.checkedAt + m.limits.HeartbeatInterval)
	}
	return at, at != 0
}

func (m *Machine) emit(e ...Effect) { m.out = append(m.out, e...) }

func (m *Machine) enter(p Phase, until time.Duration) { m.phase, m.until, m.killing = p, until, false }

// takeEffects hands the effects of a call out. They are valid until the next one.
func (m *Machine) takeEffects() []Effect {
	out := m.out
	m.out = m.out[:0]
	return out
}

// PeerConnected tells that a successor has said Hello. It is not to be offered anything unless this
// process is alone; ok tells whether it is the other side from now on.
func (m *Machine) PeerConnected(now time.Duration) (effects []Effect, ok bool) {
	if m.phase != Alone || m.shutdownRequested {
		return nil, false
	}
	m.enter(Offered, now+m.limits.PrepareTimeout)
	m.emit(Send{Offer})
	return m.takeEffects(), true
}

// MessageReceived takes in what the other side said. What does not belong to the phase is from before
// a change of mind, and is passed over.
func (m *Machine) MessageReceived(now time.Duration, k Kind) []Effect {
	switch {
	case m.phase == Offered && k == Prepared:
		m.enter(Transferring, now+m.limits.TransferTimeout)
		m.emit(StopAdmitting{}, Send{Transfer})
	case m.phase == Transferring && k == Adopted:
		m.enter(Probation, now+m.limits.ProbationDuration)
		m.heartbeatAt, m.checkedAt, m.longestSilence = now, now, 0
		m.emit(Send{Commit}, ForwardRequests{})
		if m.shutdownRequested {
			m.commit()
		}
	case m.phase == Probation && k == Heartbeat:
		m.longestSilence = max(m.longestSilence, now-m.heartbeatAt)
		m.heartbeatAt = now
	case m.phase == Greeting && k == Offer:
		// The elder bounds how long this may last; one that hangs still admits, as far as
		// anybody can know.
		m.enter(Receiving, 0)
		m.emit(Send{Prepared})
	case m.phase == Greeting && k == Deny:
		m.enter(Alone, 0)
		m.emit(CloseLink{}, StartFresh{Wait: true})
	case m.phase == Receiving && k == Transfer:
		m.enter(Adopting, now+m.limits.CommitTimeout)
		m.emit(Send{Adopted})
	case m.phase == Adopting && k == Commit:
		m.enter(Serving, 0)
		m.heartbeatAt = now
		m.emit(StartAdmitting{})
		m.sendHeartbeats(now)
	case (m.phase == Receiving || m.phase == Adopting) && k == Withdraw:
		m.retry(now)
	case m.phase == Serving && k == Final:
		m.enter(Alone, 0)
		m.emit(RunAlone{})
	}
	return m.takeEffects()
}

// LinkClosed tells that the stream has ended without this side hanging up: the other process is
// dead, or has left it.
func (m *Machine) LinkClosed(now time.Duration) []Effect {
	switch m.phase {
	case Offered:
		m.enter(Alone, 0)
	case Transferring:
		m.enter(Alone, 0)
		m.emit(ResumeAdmitting{})
	case Probation:
		m.enter(Alone, 0)
		m.emit(ResumeAdmitting{NewEpoch: true})
	case Greeting, Receiving: // who dies gives its sockets up one after the other, and may hold the address yet
		m.enter(Alone, 0)
		m.emit(StartFresh{Wait: true})
	case Adopting:
		m.enter(Alone, 0)
		m.emit(StartAdmitting{}, RunAlone{})
	case Serving:
		m.enter(Alone, 0)
		m.emit(RunAlone{})
	}
	return m.takeEffects()
}

// ShutdownRequested tells that this process is to end. It tells whether it is to go on as a process that
// is alone does, at once; else what is to be done comes as effects, now or later.
func (m *Machine) ShutdownRequested(now time.Duration) (effects []Effect, alone bool) {
	m.shutdownRequested = true
	switch m.phase {
	case Offered:
		m.enter(Alone, 0)
		m.emit(Send{Withdraw}, CloseLink{})
	case Greeting, Receiving, Adopting, Abandoned:
		m.enter(Abandoned, 0)
		m.emit(CloseLink{}, Abort{Reason: "told to end before it took over"})
		return m.takeEffects(), false
	case Transferring, Committed:
		return nil, false
	case Probation:
		if !m.killing {
			m.commit()
		}
		return m.takeEffects(), false
	}
	return m.takeEffects(), true
}

// Tick sees to what is due.
func (m *Machine) Tick(now time.Duration) []Effect {
	due := m.until != 0 && now >= m.until
	switch {
	case m.killing:
	case m.phase == Offered && due:
		m.enter(Alone, 0)
		m.emit(Send{Withdraw}, CloseLink{})
	case m.phase == Transferring && due:
		m.enter(Alone, 0)
		m.emit(Send{Withdraw}, CloseLink{}, ResumeAdmitting{})
	case m.phase == Probation:
		m.checkHeartbeat(now, due)
	case m.phase == Greeting && due:
		m.enter(Alone, 0)
		m.emit(CloseLink{}, StartFresh{Wait: true})
	case m.phase == Adopting && due:
		// Nobody admits, and the elder may wake up and do so.
		m.killing = true
		m.emit(KillPeer{})
	case m.phase == Serving:
		m.sendHeartbeats(now)
	}
	return m.takeEffects()
}

// checkHeartbeat judges the heir's silence. Where this process itself did not run for a while, the
// beats wait unread, and the silence counts from now.
func (m *Machine) checkHeartbeat(now time.Duration, due bool) {
	if now-m.checkedAt > m.limits.HeartbeatTimeout/2 {
		m.heartbeatAt = max(m.heartbeatAt, now)
	}
	m.checkedAt = now
	switch {
	case now-m.heartbeatAt > m.limits.HeartbeatTimeout:
		m.killing = true
		m.emit(KillPeer{})
	case due:
		m.commit()
	}
}

func (m *Machine) commit() {
	m.enter(Committed, 0)
	m.emit(Send{Final}, Finish{})
}

func (m *Machine) sendHeartbeats(now time.Duration) {
	if now >= m.heartbeatAt {
		m.heartbeatAt = now + m.limits.HeartbeatInterval
		m.emit(Send{Heartbeat})
	}
}

// retry begins the takeover anew, a few times.
func (m *Machine) retry(now time.Duration) {
	m.emit(CloseLink{})
	if m.attempts >= m.limits.MaxAttempts {
		m.enter(Abandoned, 0)
		m.emit(Abort{Reason: "the running process withdrew each time, see its log"})
		return
	}
	m.attempts++
	m.enter(Greeting, now+m.limits.HelloTimeout)
	m.emit(ConnectPredecessor{})
}
