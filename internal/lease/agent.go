package lease

import (
	"slices"
	"time"
)

// Settings are the settings of an Agent.
type Settings struct {
	Tasks         []string      // the names of the tasks
	AcceptorCount int           // acceptors per task, at most as many as there are limiters
	Duration      time.Duration // of a lease
	// ClockDrift is the maximum deviation of any clock's rate from true time, as a fraction.
	ClockDrift float64

	Self, Limiters int    // this limiter, and how many there are
	Epoch          uint32 // of this limiter's start, see Ballot.Epoch
	MinToken       uint64 // see Config.MinToken
}

// Agent is one limiter's participant in the agreement on all tasks: the proposer of each task, and the
// acceptor of those tasks that have this limiter as an acceptor. It is not safe for concurrent use. The
// parameter random of its methods returns a random number from 0 to 1.
type Agent struct {
	self  Limiter
	tasks []*task
}

// task is one task of an Agent.
type task struct {
	name         string
	config       Config
	acceptor     *Acceptor // nil if this limiter is no acceptor of the task
	proposer     Proposer
	countedUntil time.Duration // end of the lease that updateCounts counted last; 0 for none
	counts       Counts
}

// NewAgent returns an agent that starts now and knows of no lease.
func NewAgent(s Settings, now time.Duration) *Agent {
	a := &Agent{self: Limiter(s.Self)}
	for _, name := range s.Tasks {
		a.tasks = append(a.tasks, newTask(s, name, now))
	}
	return a
}

func newTask(s Settings, name string, now time.Duration) *task {
	id := TaskID(name)
	c := Config{
		Task:       id,
		Self:       Limiter(s.Self),
		Epoch:      s.Epoch,
		Acceptors:  AcceptorsOf(id, max(s.Limiters, 1), s.AcceptorCount),
		Candidates: s.Limiters,
		Duration:   s.Duration,
		ClockDrift: s.ClockDrift,
		MinToken:   s.MinToken,
	}
	t := &task{name: name, config: c, proposer: NewProposer(c)}
	if slices.Contains(c.Acceptors, c.Self) {
		acceptor := NewAcceptor(c, now)
		t.acceptor = &acceptor
	}
	return t
}

// task returns the task with the given name, or nil.
func (a *Agent) task(name string) *task {
	for _, t := range a.tasks {
		if t.name == name {
			return t
		}
	}
	return nil
}

// taskByID returns the task with the given ID, as used in messages, or nil.
func (a *Agent) taskByID(id uint32) *task {
	for _, t := range a.tasks {
		if t.config.Task == id {
			return t
		}
	}
	return nil
}

// SetWanted sets whether a task's lease is wanted; a lease that is held is released once it is not wanted. It
// returns the messages to send.
func (a *Agent) SetWanted(now time.Duration, name string, wanted bool, random func() float64) []Envelope {
	t := a.task(name)
	if t == nil {
		return nil
	}
	if _, _, held := t.proposer.Holds(now); held && !wanted {
		t.counts.Released++
		t.countedUntil = 0
	}
	return a.deliverLocal(now, t.proposer.SetWanted(now, wanted, random()), random)
}

// Holds reports whether this limiter holds a task's lease, with its fencing token and the time from which no
// action may be started under it. Token and until have no meaning if ok is false.
func (a *Agent) Holds(now time.Duration, name string) (token uint64, until time.Duration, ok bool) {
	if t := a.task(name); t != nil {
		return t.proposer.Holds(now)
	}
	return 0, 0, false
}

// Holder returns the holder of a task's lease as last learned here; it may have lost the lease since.
func (a *Agent) Holder(name string) (holder Limiter, known bool) {
	if t := a.task(name); t != nil {
		return t.proposer.holder, t.proposer.holderKnown
	}
	return 0, false
}

// Payload returns the greatest payload of a task that is known here; see Proposer.Payload.
func (a *Agent) Payload(name string) uint64 {
	if t := a.task(name); t != nil {
		return t.proposer.Payload()
	}
	return 0
}

// SetPayload sets the payload of a task whose lease is held here, and reports whether a quorum has
// accepted it; see Proposer.SetPayload.
func (a *Agent) SetPayload(now time.Duration, name string, payload uint64) bool {
	t := a.task(name)
	return t != nil && t.proposer.SetPayload(now, payload)
}

// RecordLateAction counts an action that was not started because the lease had ended.
func (a *Agent) RecordLateAction(name string) {
	if t := a.task(name); t != nil {
		t.counts.LateActions++
	}
}

// HandleMessage handles a message of another limiter, and returns the messages to send.
func (a *Agent) HandleMessage(now time.Duration, from Limiter, m Message, random func() float64) []Envelope {
	t := a.taskByID(m.Task)
	if t == nil {
		return nil
	}
	return a.deliverLocal(now, t.deliver(now, from, m, random), random)
}

// Tick performs the due work of all tasks. It returns the messages to send, and when it has to be called
// again; 0 for never.
func (a *Agent) Tick(now time.Duration, random func() float64) (out []Envelope, due time.Duration) {
	for _, t := range a.tasks {
		sent, next := t.tick(now, random)
		out = append(out, a.deliverLocal(now, sent, random)...)
		due = earliest(due, next)
	}
	return out, due
}

// earliest returns the earlier of two times, where 0 means never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// deliverLocal delivers messages of this limiter to itself at once, and returns those to others.
func (a *Agent) deliverLocal(now time.Duration, out []Envelope, random func() float64) (others []Envelope) {
	for len(out) > 0 {
		e := out[0]
		out = out[1:]
		if e.To != a.self {
			others = append(others, e)
			continue
		}
		if t := a.taskByID(e.Message.Task); t != nil {
			out = append(out, t.deliver(now, a.self, e.Message, random)...)
		}
	}
	return others
}

// deliver passes a message to the proposer and to the acceptor. A proposal is a Prepare or a Propose. It is ignored
// if its ballot is not the sender's, or if this limiter is no acceptor of the task: the sender then has another list
// of acceptors.
func (t *task) deliver(now time.Duration, from Limiter, m Message, random func() float64) []Envelope {
	isProposal := m.Kind == Prepare || m.Kind == Propose
	if isProposal && (m.Ballot.By != from || t.acceptor == nil) {
		t.counts.InvalidMessages++
		return nil
	}
	out := t.proposer.HandleMessage(now, from, m, random())
	if t.acceptor != nil {
		reply, ok := t.acceptor.HandleMessage(now, from, m)
		switch {
		case ok:
			out = append(out, Envelope{from, reply})
		case isProposal:
			t.counts.UnansweredProposals++
		}
	}
	t.updateCounts(now)
	return out
}

func (t *task) tick(now time.Duration, random func() float64) (out []Envelope, due time.Duration) {
	out, due = t.proposer.Tick(now, random())
	t.updateCounts(now)
	if t.acceptor == nil {
		return out, due
	}
	queries, next := t.acceptor.Tick(now)
	return append(out, queries...), earliest(due, next)
}

// updateCounts counts the lease as won, renewed or lost if it has changed since the last call.
func (t *task) updateCounts(now time.Duration) {
	_, until, held := t.proposer.Holds(now)
	switch {
	case !held && t.countedUntil > 0:
		t.counts.Lost++
		t.countedUntil = 0
	case held && t.countedUntil == 0:
		t.counts.Won++
		t.countedUntil = until
	case held && until > t.countedUntil:
		t.counts.Renewed++
		t.countedUntil = until
	}
}

// State returns the state of this limiter's acceptors, for another process of this limiter. The agent
// must not be used afterwards, because the acceptors vote in the other process.
func (a *Agent) State() (list []AcceptorState) {
	for _, t := range a.tasks {
		if t.acceptor != nil {
			list = append(list, t.acceptor.state())
		}
	}
	return list
}

// Restore replaces the state of the acceptors with that of another process of this limiter. If that process
// ever votes again, it has to start with acceptors without state.
func (a *Agent) Restore(list []AcceptorState) {
	for _, s := range list {
		if t := a.taskByID(s.Task); t != nil && t.acceptor != nil {
			t.acceptor.restore(s)
		}
	}
}
