// Package lease has limiters agree on who does a task, with no disk: each task has a few
// keepers among the limiters, and holds a lease who has the word of a majority of them. It does
// no I/O, reads no clock, draws no random number of its own and starts no goroutine.
//
// The agreement is that of ballots, as in PaxosLease: a ballot is first promised, then
// proposed. docs/design/leases.md has the argument for its safety, and each assumption.
package lease

import (
	"cmp"
	"slices"
	"time"
)

// Limiter is the number of one limiter of the tier.
type Limiter = uint16

// A Ballot names one try to get or renew a lease. Later ones are greater.
type Ballot struct {
	Round uint32  `json:"Round"`
	Epoch uint32  `json:"Epoch"` // of the limiter's start, so that one life's ballots are not another's
	By    Limiter `json:"By"`
}

// Compare orders ballots.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Epoch, o.Epoch), cmp.Compare(b.By, o.By))
}

// A Kind is what a Message says.
type Kind uint8

const (
	Prepare Kind = iota // contender: promise this ballot
	Promise             // keeper: no lower one from now on, and this is what was accepted
	Refuse              // keeper: a greater one was promised
	Propose             // contender: it holds the lease
	Accept              // keeper: noted
	Release             // holder: it gives the lease back
	Ask                 // keeper that started: what is known of tokens?
	Tell                // limiter: this
	NKinds
)

func (k Kind) String() string {
	return [...]string{"prepare", "promise", "refuse", "propose", "accept", "release", "ask", "tell"}[k]
}

// A Message goes from one limiter to another, and may be lost, late, repeated and overtaken.
type Message struct {
	Kind   Kind
	Task   uint32 // hash of its name
	Ballot Ballot
	Holder Limiter // Promise: of the lease that stands, if Stands
	Life   uint32  // and which life of it
	Stands bool    // and Tell: the sender keeps
	Token  uint64  // Propose: the holder's; Promise: that of the lease that stands
	Known  uint64  // the greatest token that the sender knows of
	Mark   uint64  // Propose: the holder's; Promise and Tell: the greatest that was accepted
}

// Config is what a task is told, the same at all limiters but Self and Epoch.
type Config struct {
	Task    uint32
	Self    Limiter
	Epoch   uint32 // grows with each start of this limiter
	Keepers []Limiter
	Seekers int           // limiters that may want the lease; 0 counts as few
	Length  time.Duration // of a lease
	Drift   float64       // most that a clock's rate is off, as a part
	Floor   uint64        // least token: the wall clock at the start, in ms
}

// Majority is how many keepers decide.
func (c *Config) Majority() int { return len(c.Keepers)/2 + 1 }

// Held is how long a holder may act, by its own clock, counted from before it said Prepare. It
// ends before any keeper's Length does, whatever the two clocks' rates.
func (c *Config) Held() time.Duration { return time.Duration(float64(c.Length) * (1 - 2*c.Drift)) }

// An Envelope is a message and whom it goes to.
type Envelope struct {
	To      Limiter
	Message Message
}

// A Keeper keeps one task for its tier.
type Keeper struct {
	Config
	born     time.Duration
	promised Ballot
	accepted accepted
	known    uint64
	mark     uint64
	asked    time.Duration // when the others were asked last
	told     []Limiter     // that answered since this start
	sure     []Limiter     // of these, those that keep
	turn     int           // place among the keepers of the one asked last
}

// accepted is the lease that a keeper has noted.
type accepted struct {
	ballot Ballot
	holder Limiter
	life   uint32
	token  uint64
	until  time.Duration // 0 for none
}

// NewKeeper starts a keeper, empty. A lease that an earlier life of it noted may stand for its
// whole length: it keeps out for that long, and until it has heard what tokens there were.
func NewKeeper(c Config, now time.Duration) Keeper {
	return Keeper{Config: c, born: now, asked: now - time.Hour, known: c.Floor}
}

// Keeps tells whether the keeper takes part yet. All that an earlier life noted has ended by its
// Length. The greatest token that it noted is known to so many others that any majority with this
// keeper has another one of which this one heard; or all others were heard, and nobody knows more.
// Where neither comes, as keepers are gone for good, a majority's word is enough after restLengths:
// then tokens grow by the wall clocks alone.
func (k *Keeper) Keeps(now time.Duration) bool {
	n := len(k.Keepers)
	return now >= k.born+k.Length &&
		(len(k.sure) >= n-k.Majority()+1 || len(k.told) >= n-1 ||
			now >= k.born+restLengths*k.Length && len(k.told)+1 >= k.Majority())
}

const restLengths = 3

// askEvery is how often a keeper that started asks what tokens there were, in parts of the length.
//
// It asks no sooner than askAfter of the length after its start: what its earlier life accepted may
// still come to the others, and be counted with that acceptance, as long as the try lasts that it is of.
// Trouble: they told of the token and mark from before, and this one, with others that never heard of
// the new ones, made a majority that did not know them.
const (
	askEvery  = 8
	askAtOnce = 2
	askAfter  = 0.2 // more than lookFor and tryFor together
)

// Tick asks the other keepers what it has to know, and tells when it wants to be called again;
// 0 for never.
func (k *Keeper) Tick(now time.Duration) (out []Envelope, due time.Duration) {
	n := len(k.Keepers)
	if len(k.sure) >= n-k.Majority()+1 || len(k.told) >= n-1 {
		return nil, 0
	}
	if at := k.born + time.Duration(askAfter*float64(k.Length)); now < at {
		return nil, at
	}
	if every := k.Length / askEvery; now >= k.asked+every {
		k.asked = now
		// Nobody keeps in the first length of a start of all: who answered needs not be asked again.
		// Trouble: all asked all others eight times a length, and the answers were lost in the crowd.
		enough := k.told
		if now >= k.born+k.Length {
			enough = k.sure
		}
		for range k.Keepers {
			k.turn = (k.turn + 1) % len(k.Keepers)
			if to := k.Keepers[k.turn]; to != k.Self && !slices.Contains(enough, to) && len(out) < askAtOnce {
				out = append(out, Envelope{to, Message{Kind: Ask, Task: k.Task, Ballot: Ballot{Epoch: k.Epoch}, Known: k.known}})
			}
		}
	}
	return out, k.asked + k.Length/askEvery
}

// Heard takes a message in and gives the answer, if there is one.
func (k *Keeper) Heard(now time.Duration, from Limiter, m Message) (answer Message, ok bool) {
	k.known = max(k.known, m.Known, m.Token)
	answer = Message{Task: k.Task, Ballot: m.Ballot}
	switch m.Kind {
	case Ask:
		answer.Kind, answer.Known, answer.Stands, answer.Mark = Tell, k.known, k.Keeps(now), k.mark
		return answer, true
	case Tell:
		if m.Ballot.Epoch != k.Epoch { // it answers an earlier life
			return answer, false
		}
		k.mark = max(k.mark, m.Mark)
		if slices.Contains(k.Keepers, from) && from != k.Self {
			if !slices.Contains(k.told, from) {
				k.told = append(k.told, from)
			}
			if m.Stands && !slices.Contains(k.sure, from) {
				k.sure = append(k.sure, from)
			}
		}
		return answer, false
	case Release:
		if k.accepted.ballot == m.Ballot {
			k.accepted.until = 0
		}
		return answer, false
	case Prepare, Propose:
	default:
		return answer, false
	}
	if !k.Keeps(now) {
		return answer, false
	}
	if a := k.accepted; m.Kind == Prepare && a.until > now && (a.holder != m.Ballot.By || a.life != m.Ballot.Epoch) {
		// It is told of the lease and counts on nothing. Trouble: a promise to it would refuse the
		// holder's renewal that is on its way, and with five that waited the lease changed hands by
		// their questions alone. And before all else: a holder's rounds grow with each renewal, and one
		// that was refused for its round was behind again at its next try, and never heard who holds.
		answer.Kind, answer.Known = Promise, k.known
		answer.Stands, answer.Holder, answer.Life, answer.Token = true, a.holder, a.life, a.token
		return answer, true
	}
	if m.Ballot.Compare(k.promised) < 0 {
		answer.Kind, answer.Ballot, answer.Known = Refuse, k.promised, k.known
		return answer, true
	}
	k.promised = m.Ballot
	if m.Kind == Propose {
		k.mark = max(k.mark, m.Mark)
		k.accepted = accepted{ballot: m.Ballot, holder: m.Ballot.By, life: m.Ballot.Epoch, token: m.Token, until: now + k.Length}
		answer.Kind, answer.Known = Accept, k.known
		return answer, true
	}
	answer.Kind, answer.Known, answer.Mark = Promise, k.known, k.mark
	if a := k.accepted; a.until > now {
		answer.Stands, answer.Holder, answer.Life, answer.Token = true, a.holder, a.life, a.token
	}
	return answer, true
}

// A Phase is a stage of a contender.
type Phase uint8

const (
	Idle      Phase = iota // does not want the lease
	Waiting                // wants it, and waits before the next try
	Preparing              // has asked for promises
	Proposing              // has them, and asks for acceptance
)

func (p Phase) String() string { return [...]string{"idle", "waiting", "preparing", "proposing"}[p] }

// A Contender seeks a lease, and renews the one that it holds.
type Contender struct {
	Config
	phase  Phase
	wants  bool
	round  uint32 // the greatest seen
	ballot Ballot // of the try that is on
	began  time.Duration
	yes    []Limiter     // keepers that answered it well
	no     []Limiter     // keepers that did not
	known  uint64        // the greatest token that they, and all others, know of
	next   time.Duration // of the next try, or of the end of the one that is on
	looks  bool          // so far just one keeper was asked
	blind  bool          // the last one so asked gave no answer
	fails  int           // tries in a row that came to nothing

	holder Limiter // as last told, or this one
	holds  bool    // it was told of
	mark   uint64  // the greatest known
	marked uint64  // the greatest that a majority accepted of this contender
	offers uint64  // the one proposed

	offer uint64 // the token proposed
	token uint64 // of the lease held
	under Ballot // the ballot that it was last accepted under
	until time.Duration
}

// NewContender returns one that wants nothing.
func NewContender(c Config) Contender { return Contender{Config: c, known: c.Floor} }

// Phase tells the stage of the try that is on.
func (c *Contender) Phase() Phase { return c.phase }

// Holds gives the lease's token and the instant at which nothing may be begun under it any
// longer; it is false from that instant on.
func (c *Contender) Holds(now time.Duration) (token uint64, until time.Duration, ok bool) {
	return c.token, c.until, c.token > 0 && now < c.until
}

// Mark gives the greatest mark that any holder is known to have set. Of a holder nothing that was
// set is missing: what a majority accepted, a majority of promises tells.
func (c *Contender) Mark() uint64 { return c.mark }

// SetMark has a holder set a greater mark, and tells whether it stands: a majority has accepted it
// under this lease, so that every later holder knows of it. Until then it is asked for again.
func (c *Contender) SetMark(now time.Duration, mark uint64) bool {
	if _, _, held := c.Holds(now); !held {
		return false
	}
	if c.marked >= mark {
		return true
	}
	if c.mark = max(c.mark, mark); c.phase == Waiting {
		c.next = min(c.next, max(now, c.began+c.part(markEvery)))
	}
	return false
}

// Parts of the length: a lease that is held is renewed after renewAfter, a try lasts tryFor at
// most, and lookFor more where one keeper is asked first,
// marks are set markEvery at most, and the pauses between tries double from pauseLeast to pauseMost.
const (
	renewAfter = 0.4
	tryFor     = 0.1
	lookFor    = 0.05
	markEvery  = 0.02
	pauseLeast = 0.05
	pauseMost  = 0.5
	backoffs   = 4
)

// fewSeekers together make one try in some part of the length each; more of them as many as these.
const fewSeekers = 8

// crowd is by how much longer each waits, so that all together ask the keepers no more often.
func (c *Contender) crowd() float64 { return max(float64(c.Seekers)/fewSeekers, 1) }

func (c *Contender) part(p float64) time.Duration { return time.Duration(float64(c.Length) * p) }

// Want sets whether the lease is wanted. One that is held and no longer wanted is given back.
func (c *Contender) Want(now time.Duration, is bool, chance float64) (out []Envelope) {
	if c.wants == is {
		return nil
	}
	if c.wants = is; is {
		c.phase, c.next, c.fails = Waiting, now+c.part((c.crowd()-1)*pauseMost*chance), 0
		return nil
	}
	if _, _, held := c.Holds(now); held {
		for _, to := range c.Keepers {
			out = append(out, Envelope{to, Message{Kind: Release, Task: c.Task, Ballot: c.under, Known: c.known}})
		}
	}
	c.phase, c.token, c.until = Idle, 0, 0
	return out
}

// Tick does what is due, and tells when it wants to be called again; 0 for never. Chance, from 0
// to 1, spreads the tries of many.
func (c *Contender) Tick(now time.Duration, chance float64) (out []Envelope, due time.Duration) {
	if c.token > 0 && now >= c.until {
		c.token, c.until = 0, 0
	}
	if c.phase == Idle {
		return nil, 0
	}
	switch {
	case now < c.next:
	case c.phase == Waiting:
		out = c.try(now)
	case c.looks: // the one keeper does not answer
		c.looks, c.blind, c.next = false, true, now+c.part(tryFor)
		out = c.prepare()
	default: // the try came to nothing
		c.failed(now, chance)
	}
	due = c.next
	if c.token > 0 {
		due = min(due, c.until)
	}
	return out, due
}

// try begins a ballot. Who holds nothing asks one keeper first, itself if it is one: most often
// another holds the lease, and to hear that from all of them would cost five times as much.
func (c *Contender) try(now time.Duration) (out []Envelope) {
	c.round++
	c.ballot = Ballot{Round: c.round, Epoch: c.Epoch, By: c.Self}
	c.phase, c.began, c.yes, c.no, c.next = Preparing, now, nil, nil, now+c.part(tryFor)
	if c.looks = c.token == 0 && !c.blind; !c.looks {
		return c.prepare()
	}
	c.next = now + c.part(lookFor)
	first := c.Keepers[(int(c.round)+int(c.Self))%len(c.Keepers)]
	if slices.Contains(c.Keepers, c.Self) {
		first = c.Self
	}
	return []Envelope{{first, Message{Kind: Prepare, Task: c.Task, Ballot: c.ballot, Known: c.known}}}
}

// prepare asks all keepers that have not promised yet.
func (c *Contender) prepare() []Envelope {
	return slices.DeleteFunc(c.all(Message{Kind: Prepare, Task: c.Task, Ballot: c.ballot, Known: c.known}), func(e Envelope) bool {
		return slices.Contains(c.yes, e.To)
	})
}

func (c *Contender) all(m Message) (out []Envelope) {
	for _, to := range c.Keepers {
		out = append(out, Envelope{to, m})
	}
	return out
}

// failed puts the next try off. Who holds the lease tries again soon, while it stands.
func (c *Contender) failed(now time.Duration, chance float64) {
	wait := min(pauseLeast*float64(int(1)<<min(c.fails, backoffs)), pauseMost) * c.crowd()
	if c.token > 0 {
		wait = pauseLeast
	}
	c.fails++
	c.phase, c.next = Waiting, now+c.part(wait*(0.5+chance))
}

// against books a keeper that did not promise or accept, and tells whether too few are left. One
// alone may know of a lease that never had a majority, or was given back.
func (c *Contender) against(keeper Limiter) bool {
	if !slices.Contains(c.no, keeper) {
		c.no = append(c.no, keeper)
	}
	return c.looks || len(c.Keepers)-len(c.no) < c.Majority()
}

// Heard takes a keeper's answer in.
func (c *Contender) Heard(now time.Duration, from Limiter, m Message, chance float64) (out []Envelope) {
	c.known = max(c.known, m.Known, m.Token)
	c.round = max(c.round, m.Ballot.Round)
	// What comes after the try's end, as after a stall, does not count: keepers rest on it (askAfter).
	trying := (c.phase == Preparing || c.phase == Proposing) && now < c.next
	if m.Ballot == c.ballot || m.Kind == Refuse {
		c.blind = false
	}
	switch {
	case !trying || !slices.Contains(c.Keepers, from):
	case m.Kind == Refuse && m.Ballot.Compare(c.ballot) > 0:
		if c.against(from) {
			c.failed(now, chance)
		}
	case m.Ballot != c.ballot || slices.Contains(c.yes, from):
	case m.Kind == Promise && c.phase == Preparing:
		c.mark = max(c.mark, m.Mark)
		if m.Stands && (m.Holder != c.Self || m.Life != c.Epoch) { // another's, or an earlier life's
			if c.against(from) {
				c.holder, c.holds = m.Holder, true
				c.phase, c.fails = Waiting, 0
				c.next = now + c.part(pauseMost*c.crowd()*(0.5+chance))
			}
			return nil
		}
		c.yes = append(c.yes, from)
		if len(c.yes) < c.Majority() && c.looks {
			c.looks, c.next = false, now+c.part(tryFor)
			return c.prepare()
		}
		if len(c.yes) < c.Majority() {
			return nil
		}
		c.phase, c.yes, c.no = Proposing, nil, nil
		if token, _, held := c.Holds(now); held {
			c.offer = token
		} else {
			c.offer = c.known + 1
		}
		c.offers = c.mark
		return c.all(Message{Kind: Propose, Task: c.Task, Ballot: c.ballot, Token: c.offer, Known: c.known, Mark: c.offers})
	case m.Kind == Accept && c.phase == Proposing:
		if c.yes = append(c.yes, from); len(c.yes) < c.Majority() {
			return nil
		}
		until := c.began + c.Held()
		if now >= until { // it came too late to be of use
			c.failed(now, chance)
			return nil
		}
		c.token, c.under, c.until, c.marked = c.offer, c.ballot, until, c.offers
		c.holder, c.holds = c.Self, true
		c.phase, c.next, c.fails = Waiting, c.began+c.part(renewAfter), 0
	}
	return nil
}
