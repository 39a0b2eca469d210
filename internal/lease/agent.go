package lease

import "time"

// Settings are what a limiter is told of leases.
type Settings struct {
	Tasks         []string
	AcceptorCount int           // of each task, at most as many as there are limiters
	Duration      time.Duration // of a lease
	ClockDrift    float64       // most that a clock's rate is off, as a part

	Self, Limiters int
	Epoch          uint32 // grows with each start of the process
	MinToken       uint64 // the wall clock at the start, in ms
}

// Counts count what became of a task's lease here.
type Counts struct {
	Won             uint64 `json:"won"`
	Renewed         uint64 `json:"renewed"`
	Lost            uint64 `json:"lost"`    // it ran out
	Released        uint64 `json:"given"`   // given back
	RejectedLate    uint64 `json:"refused"` // acts that came too late
	InvalidMessages uint64 `json:"bad"`     // messages that did not belong
	Waited          uint64 `json:"waited"`  // asked as a keeper that still kept out after its start
}

// A View is how a task stands, as seen here.
type View struct {
	Task         string        `json:"task"`
	Acceptors    []Limiter     `json:"keepers"`
	IsAcceptor   bool          `json:"keeps"`  // this limiter takes part as a keeper
	Phase        string        `json:"phase"`  // of its own try
	Holder       int           `json:"holder"` // as last told here; -1 for none
	Holds        bool          `json:"holds"`
	Token        uint64        `json:"token"` // of this limiter's lease
	ValidFor     time.Duration `json:"for"`   // that it may still act
	HighestToken uint64        `json:"known"` // the greatest token heard of
	Payload      uint64        `json:"mark"`  // the greatest mark heard of
	Counts       Counts        `json:"counts"`
}

// An Agent has all tasks of one limiter. It is not safe for concurrent use.
type Agent struct {
	self  Limiter
	tasks []*task
}

type task struct {
	name     string
	config   Config
	acceptor *Acceptor // nil where this limiter keeps it not
	proposer Proposer
	until    time.Duration
	counts   Counts
}

// NewAgent starts with nothing known, at a time.
func NewAgent(s Settings, now time.Duration) *Agent {
	a := &Agent{self: Limiter(s.Self)}
	for _, name := range s.Tasks {
		hash := TaskID(name)
		c := Config{
			Task: hash, Self: a.self, Epoch: s.Epoch, Acceptors: AcceptorsOf(hash, max(s.Limiters, 1), s.AcceptorCount), Candidates: s.Limiters,
			Duration: s.Duration, ClockDrift: s.ClockDrift, MinToken: s.MinToken,
		}
		t := &task{name: name, config: c, proposer: NewProposer(c)}
		for _, k := range c.Acceptors {
			if k == a.self {
				keeper := NewAcceptor(c, now)
				t.acceptor = &keeper
			}
		}
		a.tasks = append(a.tasks, t)
	}
	return a
}

func (a *Agent) task(name string) *task {
	for _, t := range a.tasks {
		if t.name == name {
			return t
		}
	}
	return nil
}

// SetWanted sets whether a task's lease is wanted.
func (a *Agent) SetWanted(now time.Duration, name string, is bool, chance func() float64) []Envelope {
	t := a.task(name)
	if t == nil {
		return nil
	}
	if _, _, held := t.proposer.Holds(now); held && !is {
		t.counts.Released++
		t.until = 0
	}
	return a.deliverLocal(now, t.proposer.SetWanted(now, is, chance()), chance)
}

// Holds gives a task's token and the instant from which on nothing may be begun under it.
func (a *Agent) Holds(now time.Duration, name string) (token uint64, until time.Duration, ok bool) {
	if t := a.task(name); t != nil {
		return t.proposer.Holds(now)
	}
	return 0, 0, false
}

// Holder gives who holds a task's lease, as far as this limiter was told of late: one that renewed it
// since may have lost it by now.
func (a *Agent) Holder(name string) (who Limiter, known bool) {
	t := a.task(name)
	if t == nil {
		return 0, false
	}
	return t.proposer.holder, t.proposer.holds
}

// Payload gives the greatest mark of a task that is known here; see Contender.Mark.
func (a *Agent) Payload(name string) uint64 {
	if t := a.task(name); t != nil {
		return t.proposer.Payload()
	}
	return 0
}

// SetPayload has the holder of a task set a mark, and tells whether it stands; see Contender.SetMark.
func (a *Agent) SetPayload(now time.Duration, name string, mark uint64) bool {
	t := a.task(name)
	return t != nil && t.proposer.SetPayload(now, mark)
}

// RecordLateAction books an act that came after its lease's end, and was not begun.
func (a *Agent) RecordLateAction(name string) {
	if t := a.task(name); t != nil {
		t.counts.RejectedLate++
	}
}

// HandleMessage takes a message of another limiter in.
func (a *Agent) HandleMessage(now time.Duration, from Limiter, m Message, chance func() float64) []Envelope {
	for _, t := range a.tasks {
		if t.config.Task == m.Task {
			return a.deliverLocal(now, a.deliver(t, now, from, m, chance), chance)
		}
	}
	return nil
}

func (a *Agent) deliver(t *task, now time.Duration, from Limiter, m Message, chance func() float64) []Envelope {
	if m.Kind == Prepare || m.Kind == Propose {
		if m.Ballot.By != from || t.acceptor == nil { // another's ballot, or a list of keepers that is not ours
			t.counts.InvalidMessages++
			return nil
		}
	}
	out := t.proposer.HandleMessage(now, from, m, chance())
	if t.acceptor != nil {
		if answer, ok := t.acceptor.HandleMessage(now, from, m); ok {
			out = append(out, Envelope{from, answer})
		} else if m.Kind == Prepare || m.Kind == Propose {
			t.counts.Waited++
		}
	}
	t.recordChange(now)
	return out
}

// recordChange counts what changed.
func (t *task) recordChange(now time.Duration) {
	_, until, ok := t.proposer.Holds(now)
	switch {
	case !ok && t.until > 0:
		t.counts.Lost++
		t.until = 0
	case ok && t.until == 0:
		t.counts.Won++
		t.until = until
	case ok && until > t.until:
		t.counts.Renewed++
		t.until = until
	}
}

// Tick does what is due, and tells when it wants to be called again; 0 for never.
func (a *Agent) Tick(now time.Duration, chance func() float64) (out []Envelope, due time.Duration) {
	for _, t := range a.tasks {
		sent, at := t.proposer.Tick(now, chance())
		t.recordChange(now)
		if t.acceptor != nil {
			more, again := t.acceptor.Tick(now)
			sent = append(sent, more...)
			if again > 0 && (at == 0 || again < at) {
				at = again
			}
		}
		out = append(out, a.deliverLocal(now, sent, chance)...)
		if at > 0 && (due == 0 || at < due) {
			due = at
		}
	}
	return out, due
}

// deliverLocal takes in at once what this limiter says to itself, and gives what is for others.
func (a *Agent) deliverLocal(now time.Duration, out []Envelope, chance func() float64) (others []Envelope) {
	for len(out) > 0 {
		e := out[0]
		out = out[1:]
		if e.To != a.self {
			others = append(others, e)
			continue
		}
		for _, t := range a.tasks {
			if t.config.Task == e.Message.Task {
				out = append(out, a.deliver(t, now, a.self, e.Message, chance)...)
			}
		}
	}
	return others
}

// A AcceptorState is what a keeper remembers, on its way to another process of its limiter.
type AcceptorState struct {
	Task             uint32        `json:"Task"`
	StartedAt        time.Duration `json:"Born"` // by the clock that both go by
	Promised         Ballot        `json:"Promised"`
	Accepted         Ballot        `json:"Under"` // of the lease that it has noted, until Until
	Incarnation      uint32        `json:"Life"`
	Token            uint64        `json:"Token"`
	Until            time.Duration `json:"Until"`
	HighestToken     uint64        `json:"Known"`
	Payload          uint64        `json:"Mark"`
	Replied          []Limiter     `json:"Told"`
	RepliedAcceptors []Limiter     `json:"Sure"`
}

// State packs what this limiter's keepers remember. The agent must answer nobody after it: whoever
// inherits goes on where it stands.
func (a *Agent) State() (list []AcceptorState) {
	for _, t := range a.tasks {
		if k := t.acceptor; k != nil {
			list = append(list, AcceptorState{
				Task: k.Task, StartedAt: k.startedAt, Promised: k.promised, Accepted: k.accepted.ballot, Incarnation: k.accepted.incarnation,
				Token: k.accepted.token, Until: k.accepted.until, HighestToken: k.highestToken, Payload: k.payload, Replied: k.replied, RepliedAcceptors: k.repliedAcceptors,
			})
		}
	}
	return list
}

// Restore has the keepers go on with what those of another process of this limiter remembered. It is
// lost if that process ever answers again: then it starts empty.
func (a *Agent) Restore(list []AcceptorState) {
	for _, x := range list {
		for _, t := range a.tasks {
			if k := t.acceptor; k != nil && k.Task == x.Task {
				k.startedAt, k.promised, k.highestToken, k.payload = x.StartedAt, x.Promised, max(k.highestToken, x.HighestToken), max(k.payload, x.Payload)
				k.accepted = accepted{ballot: x.Accepted, holder: x.Accepted.By, incarnation: x.Incarnation, token: x.Token, until: x.Until}
				k.replied, k.repliedAcceptors = x.Replied, x.RepliedAcceptors
			}
		}
	}
}

// Views tell how all tasks stand.
func (a *Agent) Views(now time.Duration) (list []View) {
	for _, t := range a.tasks {
		v := View{
			Task: t.name, Acceptors: t.config.Acceptors, IsAcceptor: t.acceptor != nil && t.acceptor.Active(now), Phase: t.proposer.Phase().String(),
			Holder: -1, HighestToken: t.proposer.highestToken, Payload: t.proposer.payload, Counts: t.counts,
		}
		if t.proposer.holds {
			v.Holder = int(t.proposer.holder)
		}
		if token, until, ok := t.proposer.Holds(now); ok {
			v.Holds, v.Token, v.ValidFor = true, token, until-now
		}
		list = append(list, v)
	}
	return list
}
