// Package handover is the agreement by which a process of the limiter takes over from
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
package handover

import "time"

// A Phase is a stage of a takeover, as one side sees it.
type Phase uint8

const (
	Alone        Phase = iota // admits; no other process is known
	Offered                   // elder: admits; a successor gets ready
	Transferring              // elder: nobody admits; state and sockets are on their way
	Trial                     // elder: the heir admits; it gets back what the heir drops
	Committed                 // elder: the heir admits for good; ends with what is open
	Greeting                  // heir: has said Hello
	Receiving                 // heir: ready, waits for the state
	Taking                    // heir: has it all, waits for Commit
	Owning                    // heir: admits; the elder watches
	Lost                      // heir: will not take over any more
	nPhases
)

func (p Phase) String() string {
	return [...]string{
		"alone", "offered", "transferring", "trial", "committed", "greeting", "receiving", "taking", "owning", "lost",
	}[p]
}

// A Kind is what one side says to the other.
type Kind uint8

const (
	Hello    Kind = iota // heir: who it is, and what it understands
	Offer                // elder: get ready
	Deny                 // elder: no; what it says tells why
	Prepared             // heir: it could admit at once
	Transfer             // elder: has stopped; the state, the listener, the peers' socket
	Taken                // heir: has them
	Commit               // elder: admit
	Beat                 // heir: lives and admits
	Withdraw             // elder: admits again, or never stopped; start over
	Final                // elder: will not admit again
	NKinds
)

func (k Kind) String() string {
	return [...]string{
		"hello", "offer", "deny", "prepared", "transfer", "taken", "commit", "beat", "withdraw", "final",
	}[k]
}

// Limits bound the phases.
type Limits struct {
	Answer  time.Duration // heir: for an answer to Hello; then it starts as if there were no elder
	Prepare time.Duration // elder: for the heir to be ready
	Take    time.Duration // elder: for the heir to have all that it is sent; nobody admits meanwhile
	Settle  time.Duration // heir: for the elder's word while nobody admits; then the elder is ended
	Beat    time.Duration // between two beats
	Silence time.Duration // elder: without a beat in the trial; then the heir is ended
	Trial   time.Duration // elder: after this it goes, told to or not
	Tries   int           // heir: takeovers begun at most
}

// DefaultLimits leave nobody admitting for 150 ms at most while one side hangs before the
// commit.
func DefaultLimits() Limits {
	return Limits{
		Answer: 500 * time.Millisecond, Prepare: 5 * time.Second, Take: 150 * time.Millisecond, Settle: 500 * time.Millisecond,
		Beat: 20 * time.Millisecond, Silence: 150 * time.Millisecond, Trial: 15 * time.Second, Tries: 4,
	}
}

// An Effect is something that the owner of a Machine is to do, in the order given.
type Effect interface{ effect() }

type (
	// Send says something to the other side. Transfer has the state and the sockets with it.
	Send struct{ Kind Kind }
	// Stop ends admitting, before Transfer is sent.
	Stop struct{}
	// Resume begins to admit again. Renew means that another process admitted since.
	Resume struct{ Renew bool }
	// Yield hands all that comes in from now on to the heir, which admits.
	Yield struct{}
	// Own begins to admit by what Transfer brought.
	Own struct{}
	// Single tells that the other process is gone or on its way out: this one is the only one.
	Single struct{}
	// Conclude ends this process once what it has open is answered.
	Conclude struct{}
	// Start begins a start with nothing from an elder. Wait means that one may still hold
	// the address for a while.
	Start struct{ Wait bool }
	// Seek looks for the elder once more.
	Seek struct{}
	// Fence ends the other process, which has to be sure not to admit.
	Fence struct{}
	// Hang closes the stream, after what was sent.
	Hang struct{}
	// Quit ends this process, which never admitted.
	Quit struct{ Why string }
)

func (Send) effect()     {}
func (Stop) effect()     {}
func (Resume) effect()   {}
func (Yield) effect()    {}
func (Own) effect()      {}
func (Single) effect()   {}
func (Conclude) effect() {}
func (Start) effect()    {}
func (Seek) effect()     {}
func (Fence) effect()    {}
func (Hang) effect()     {}
func (Quit) effect()     {}

// A Machine is one side of a takeover. The zero Machine is no use; see New.
type Machine struct {
	limits  Limits
	phase   Phase
	until   time.Duration // of the phase, 0 for no bound
	beat    time.Duration // heir: of the next one; elder: of the last one heard
	looked  time.Duration // elder: when it last looked for beats
	longest time.Duration // elder: the heir's longest silence
	fenced  bool          // the other side is being ended
	told    bool          // this process is to end
	tries   int
	out     []Effect
}

// New returns a Machine that is alone, or one that seeks an elder first; then the owner is
// to seek it at once.
func New(l Limits, seeks bool, now time.Duration) *Machine {
	m := &Machine{limits: l}
	if seeks {
		m.tries = 1
		m.enter(Greeting, now+l.Answer)
	}
	return m
}

// Phase tells the stage.
func (m *Machine) Phase() Phase { return m.phase }

// Silence is the heir's longest so far, as the elder heard it.
func (m *Machine) Silence() time.Duration { return m.longest }

// Admits tells whether this process may admit.
func (m *Machine) Admits() bool { return m.phase == Alone || m.phase == Offered || m.phase == Owning }

// Due is when Tick wants to be called; false for never.
func (m *Machine) Due() (time.Duration, bool) {
	at := m.until
	earlier := func(t time.Duration) {
		if at == 0 || t < at {
			at = t
		}
	}
	switch {
	case m.fenced:
		return 0, false // only the stream's end counts now
	case m.phase == Owning:
		earlier(m.beat)
	case m.phase == Trial:
		earlier(m.looked + m.limits.Beat)
	}
	return at, at != 0
}

func (m *Machine) do(e ...Effect) { m.out = append(m.out, e...) }

func (m *Machine) enter(p Phase, until time.Duration) { m.phase, m.until, m.fenced = p, until, false }

// take hands the effects of a call out. They are valid until the next one.
func (m *Machine) take() []Effect {
	out := m.out
	m.out = m.out[:0]
	return out
}

// Met tells that a successor has said Hello. It is not to be offered anything unless this
// process is alone; ok tells whether it is the other side from now on.
func (m *Machine) Met(now time.Duration) (effects []Effect, ok bool) {
	if m.phase != Alone || m.told {
		return nil, false
	}
	m.enter(Offered, now+m.limits.Prepare)
	m.do(Send{Offer})
	return m.take(), true
}

// Heard takes in what the other side said. What does not belong to the phase is from before
// a change of mind, and is passed over.
func (m *Machine) Heard(now time.Duration, k Kind) []Effect {
	switch {
	case m.phase == Offered && k == Prepared:
		m.enter(Transferring, now+m.limits.Take)
		m.do(Stop{}, Send{Transfer})
	case m.phase == Transferring && k == Taken:
		m.enter(Trial, now+m.limits.Trial)
		m.beat, m.looked, m.longest = now, now, 0
		m.do(Send{Commit}, Yield{})
		if m.told {
			m.commit()
		}
	case m.phase == Trial && k == Beat:
		m.longest = max(m.longest, now-m.beat)
		m.beat = now
	case m.phase == Greeting && k == Offer:
		// The elder bounds how long this may last; one that hangs still admits, as far as
		// anybody can know.
		m.enter(Receiving, 0)
		m.do(Send{Prepared})
	case m.phase == Greeting && k == Deny:
		m.enter(Alone, 0)
		m.do(Hang{}, Start{Wait: true})
	case m.phase == Receiving && k == Transfer:
		m.enter(Taking, now+m.limits.Settle)
		m.do(Send{Taken})
	case m.phase == Taking && k == Commit:
		m.enter(Owning, 0)
		m.beat = now
		m.do(Own{})
		m.beats(now)
	case (m.phase == Receiving || m.phase == Taking) && k == Withdraw:
		m.again(now)
	case m.phase == Owning && k == Final:
		m.enter(Alone, 0)
		m.do(Single{})
	}
	return m.take()
}

// Gone tells that the stream has ended without this side hanging up: the other process is
// dead, or has left it.
func (m *Machine) Gone(now time.Duration) []Effect {
	switch m.phase {
	case Offered:
		m.enter(Alone, 0)
	case Transferring:
		m.enter(Alone, 0)
		m.do(Resume{})
	case Trial:
		m.enter(Alone, 0)
		m.do(Resume{Renew: true})
	case Greeting, Receiving: // who dies gives its sockets up one after the other, and may hold the address yet
		m.enter(Alone, 0)
		m.do(Start{Wait: true})
	case Taking:
		m.enter(Alone, 0)
		m.do(Own{}, Single{})
	case Owning:
		m.enter(Alone, 0)
		m.do(Single{})
	}
	return m.take()
}

// Told tells that this process is to end. It tells whether it is to go on as a process that
// is alone does, at once; else what is to be done comes as effects, now or later.
func (m *Machine) Told(now time.Duration) (effects []Effect, alone bool) {
	m.told = true
	switch m.phase {
	case Offered:
		m.enter(Alone, 0)
		m.do(Send{Withdraw}, Hang{})
	case Greeting, Receiving, Taking, Lost:
		m.enter(Lost, 0)
		m.do(Hang{}, Quit{Why: "told to end before it took over"})
		return m.take(), false
	case Transferring, Committed:
		return nil, false
	case Trial:
		if !m.fenced {
			m.commit()
		}
		return m.take(), false
	}
	return m.take(), true
}

// Tick sees to what is due.
func (m *Machine) Tick(now time.Duration) []Effect {
	due := m.until != 0 && now >= m.until
	switch {
	case m.fenced:
	case m.phase == Offered && due:
		m.enter(Alone, 0)
		m.do(Send{Withdraw}, Hang{})
	case m.phase == Transferring && due:
		m.enter(Alone, 0)
		m.do(Send{Withdraw}, Hang{}, Resume{})
	case m.phase == Trial:
		m.watch(now, due)
	case m.phase == Greeting && due:
		m.enter(Alone, 0)
		m.do(Hang{}, Start{Wait: true})
	case m.phase == Taking && due:
		// Nobody admits, and the elder may wake up and do so.
		m.fenced = true
		m.do(Fence{})
	case m.phase == Owning:
		m.beats(now)
	}
	return m.take()
}

// watch judges the heir's silence. Where this process itself did not run for a while, the
// beats wait unread, and the silence counts from now.
func (m *Machine) watch(now time.Duration, due bool) {
	if now-m.looked > m.limits.Silence/2 {
		m.beat = max(m.beat, now)
	}
	m.looked = now
	switch {
	case now-m.beat > m.limits.Silence:
		m.fenced = true
		m.do(Fence{})
	case due:
		m.commit()
	}
}

func (m *Machine) commit() {
	m.enter(Committed, 0)
	m.do(Send{Final}, Conclude{})
}

func (m *Machine) beats(now time.Duration) {
	if now >= m.beat {
		m.beat = now + m.limits.Beat
		m.do(Send{Beat})
	}
}

// again begins the takeover anew, a few times.
func (m *Machine) again(now time.Duration) {
	m.do(Hang{})
	if m.tries >= m.limits.Tries {
		m.enter(Lost, 0)
		m.do(Quit{Why: "the running process withdrew each time, see its log"})
		return
	}
	m.tries++
	m.enter(Greeting, now+m.limits.Answer)
	m.do(Seek{})
}
