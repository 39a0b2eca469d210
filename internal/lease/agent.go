package lease

import "time"

// Settings are what a limiter is told of leases.
type Settings struct {
	Tasks   []string
	Keepers int           // of each task, at most as many as there are limiters
	Length  time.Duration // of a lease
	Drift   float64       // most that a clock's rate is off, as a part

	Self, Limiters int
	Epoch          uint32 // grows with each start of the process
	Floor          uint64 // the wall clock at the start, in ms
}

// Counts count what became of a task's lease here.
type Counts struct {
	Won     uint64 `json:"won"`
	Renewed uint64 `json:"renewed"`
	Lost    uint64 `json:"lost"`    // it ran out
	Given   uint64 `json:"given"`   // given back
	Refused uint64 `json:"refused"` // acts that came too late
	Bad     uint64 `json:"bad"`     // messages that did not belong
	Waited  uint64 `json:"waited"`  // asked as a keeper that still kept out after its start
}

// A View is how a task stands, as seen here.
type View struct {
	Task    string        `json:"task"`
	Keepers []Limiter     `json:"keepers"`
	Keeps   bool          `json:"keeps"`  // this limiter takes part as a keeper
	Phase   string        `json:"phase"`  // of its own try
	Holder  int           `json:"holder"` // as last told here; -1 for none
	Holds   bool          `json:"holds"`
	Token   uint64        `json:"token"` // of this limiter's lease
	For     time.Duration `json:"for"`   // that it may still act
	Known   uint64        `json:"known"` // the greatest token heard of
	Mark    uint64        `json:"mark"`  // the greatest mark heard of
	Counts  Counts        `json:"counts"`
}

// An Agent has all tasks of one limiter. It is not safe for concurrent use.
type Agent struct {
	self  Limiter
	tasks []*task
}

type task struct {
	name   string
	config Config
	keeper *Keeper // nil where this limiter keeps it not
	seeks  Contender
	until  time.Duration
	count  Counts
}

// NewAgent starts with nothing known, at a time.
func NewAgent(s Settings, now time.Duration) *Agent {
	a := &Agent{self: Limiter(s.Self)}
	for _, name := range s.Tasks {
		hash := Hash(name)
		c := Config{
			Task: hash, Self: a.self, Epoch: s.Epoch, Keepers: KeepersOf(hash, max(s.Limiters, 1), s.Keepers), Seekers: s.Limiters,
			Length: s.Length, Drift: s.Drift, Floor: s.Floor,
		}
		t := &task{name: name, config: c, seeks: NewContender(c)}
		for _, k := range c.Keepers {
			if k == a.self {
				keeper := NewKeeper(c, now)
				t.keeper = &keeper
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

// Want sets whether a task's lease is wanted.
func (a *Agent) Want(now time.Duration, name string, is bool, chance func() float64) []Envelope {
	t := a.task(name)
	if t == nil {
		return nil
	}
	if _, _, held := t.seeks.Holds(now); held && !is {
		t.count.Given++
		t.until = 0
	}
	return a.local(now, t.seeks.Want(now, is, chance()), chance)
}

// Holds gives a task's token and the instant from which on nothing may be begun under it.
func (a *Agent) Holds(now time.Duration, name string) (token uint64, until time.Duration, ok bool) {
	if t := a.task(name); t != nil {
		return t.seeks.Holds(now)
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
	return t.seeks.holder, t.seeks.holds
}

// Mark gives the greatest mark of a task that is known here; see Contender.Mark.
func (a *Agent) Mark(name string) uint64 {
	if t := a.task(name); t != nil {
		return t.seeks.Mark()
	}
	return 0
}

// SetMark has the holder of a task set a mark, and tells whether it stands; see Contender.SetMark.
func (a *Agent) SetMark(now time.Duration, name string, mark uint64) bool {
	t := a.task(name)
	return t != nil && t.seeks.SetMark(now, mark)
}

// Late books an act that came after its lease's end, and was not begun.
func (a *Agent) Late(name string) {
	if t := a.task(name); t != nil {
		t.count.Refused++
	}
}

// Heard takes a message of another limiter in.
func (a *Agent) Heard(now time.Duration, from Limiter, m Message, chance func() float64) []Envelope {
	for _, t := range a.tasks {
		if t.config.Task == m.Task {
			return a.local(now, a.hear(t, now, from, m, chance), chance)
		}
	}
	return nil
}

func (a *Agent) hear(t *task, now time.Duration, from Limiter, m Message, chance func() float64) []Envelope {
	if m.Kind == Prepare || m.Kind == Propose {
		if m.Ballot.By != from || t.keeper == nil { // another's ballot, or a list of keepers that is not ours
			t.count.Bad++
			return nil
		}
	}
	out := t.seeks.Heard(now, from, m, chance())
	if t.keeper != nil {
		if answer, ok := t.keeper.Heard(now, from, m); ok {
			out = append(out, Envelope{from, answer})
		} else if m.Kind == Prepare || m.Kind == Propose {
			t.count.Waited++
		}
	}
	t.note(now)
	return out
}

// note counts what changed.
func (t *task) note(now time.Duration) {
	_, until, ok := t.seeks.Holds(now)
	switch {
	case !ok && t.until > 0:
		t.count.Lost++
		t.until = 0
	case ok && t.until == 0:
		t.count.Won++
		t.until = until
	case ok && until > t.until:
		t.count.Renewed++
		t.until = until
	}
}

// Tick does what is due, and tells when it wants to be called again; 0 for never.
func (a *Agent) Tick(now time.Duration, chance func() float64) (out []Envelope, due time.Duration) {
	for _, t := range a.tasks {
		sent, at := t.seeks.Tick(now, chance())
		t.note(now)
		if t.keeper != nil {
			more, again := t.keeper.Tick(now)
			sent = append(sent, more...)
			if again > 0 && (at == 0 || again < at) {
				at = again
			}
		}
		out = append(out, a.local(now, sent, chance)...)
		if at > 0 && (due == 0 || at < due) {
			due = at
		}
	}
	return out, due
}

// local takes in at once what this limiter says to itself, and gives what is for others.
func (a *Agent) local(now time.Duration, out []Envelope, chance func() float64) (others []Envelope) {
	for len(out) > 0 {
		e := out[0]
		out = out[1:]
		if e.To != a.self {
			others = append(others, e)
			continue
		}
		for _, t := range a.tasks {
			if t.config.Task == e.Message.Task {
				out = append(out, a.hear(t, now, a.self, e.Message, chance)...)
			}
		}
	}
	return others
}

// A KeeperLegacy is what a keeper remembers, on its way to another process of its limiter.
type KeeperLegacy struct {
	Task     uint32        `json:"Task"`
	Born     time.Duration `json:"Born"` // by the clock that both go by
	Promised Ballot        `json:"Promised"`
	Under    Ballot        `json:"Under"` // of the lease that it has noted, until Until
	Life     uint32        `json:"Life"`
	Token    uint64        `json:"Token"`
	Until    time.Duration `json:"Until"`
	Known    uint64        `json:"Known"`
	Mark     uint64        `json:"Mark"`
	Told     []Limiter     `json:"Told"`
	Sure     []Limiter     `json:"Sure"`
}

// Legacy packs what this limiter's keepers remember. The agent must answer nobody after it: whoever
// inherits goes on where it stands.
func (a *Agent) Legacy() (list []KeeperLegacy) {
	for _, t := range a.tasks {
		if k := t.keeper; k != nil {
			list = append(list, KeeperLegacy{
				Task: k.Task, Born: k.born, Promised: k.promised, Under: k.accepted.ballot, Life: k.accepted.life,
				Token: k.accepted.token, Until: k.accepted.until, Known: k.known, Mark: k.mark, Told: k.told, Sure: k.sure,
			})
		}
	}
	return list
}

// Inherit has the keepers go on with what those of another process of this limiter remembered. It is
// lost if that process ever answers again: then it starts empty.
func (a *Agent) Inherit(list []KeeperLegacy) {
	for _, x := range list {
		for _, t := range a.tasks {
			if k := t.keeper; k != nil && k.Task == x.Task {
				k.born, k.promised, k.known, k.mark = x.Born, x.Promised, max(k.known, x.Known), max(k.mark, x.Mark)
				k.accepted = accepted{ballot: x.Under, holder: x.Under.By, life: x.Life, token: x.Token, until: x.Until}
				k.told, k.sure = x.Told, x.Sure
			}
		}
	}
}

// Views tell how all tasks stand.
func (a *Agent) Views(now time.Duration) (list []View) {
	for _, t := range a.tasks {
		v := View{
			Task: t.name, Keepers: t.config.Keepers, Keeps: t.keeper != nil && t.keeper.Keeps(now), Phase: t.seeks.Phase().String(),
			Holder: -1, Known: t.seeks.known, Mark: t.seeks.mark, Counts: t.count,
		}
		if t.seeks.holds {
			v.Holder = int(t.seeks.holder)
		}
		if token, until, ok := t.seeks.Holds(now); ok {
			v.Holds, v.Token, v.For = true, token, until-now
		}
		list = append(list, v)
	}
	return list
}
