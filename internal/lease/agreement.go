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
	Prepare       Kind = iota // contender: promise this ballot
	Promise                   // keeper: no lower one from now on, and this is what was accepted
	Reject                    // keeper: a greater one was promised
	Propose                   // contender: it holds the lease
	Accept                    // keeper: noted
	Release                   // holder: it gives the lease back
	RecoveryQuery             // keeper that started: what is known of tokens?
	RecoveryReply             // limiter: this
	NumKinds
)

func (k Kind) String() string {
	return [...]string{"prepare", "promise", "refuse", "propose", "accept", "release", "ask", "tell"}[k]
}

// A Message goes from one limiter to another, and may be lost, late, repeated and overtaken.
type Message struct {
	Kind         Kind
	Task         uint32 // hash of its name
	Ballot       Ballot
	Holder       Limiter // Promise: of the lease that stands, if Stands
	Incarnation  uint32  // and which life of it
	HasLease     bool    // and Tell: the sender keeps
	Token        uint64  // Propose: the holder's; Promise: that of the lease that stands
	HighestToken uint64  // the greatest token that the sender knows of
	Payload      uint64  // Propose: the holder's; Promise and Tell: the greatest that was accepted
}

// Config is what a task is told, the same at all limiters but Self and Epoch.
type Config struct {
	Task       uint32
	Self       Limiter
	Epoch      uint32 // grows with each start of this limiter
	Acceptors  []Limiter
	Candidates int           // limiters that may want the lease; 0 counts as few
	Duration   time.Duration // of a lease
	ClockDrift float64       // most that a clock's rate is off, as a part
	MinToken   uint64        // least token: the wall clock at the start, in ms
}

// Quorum is how many keepers decide.
func (c *Config) Quorum() int { return len(c.Acceptors)/2 + 1 }

// HoldDuration is how long a holder may act, by its own clock, counted from before it said Prepare. It
// ends before any keeper's Length does, whatever the two clocks' rates.
func (c *Config) HoldDuration() time.Duration {
	return time.Duration(float64(c.Duration) * (1 - 2*c.ClockDrift))
}

// An Envelope is a message and whom it goes to.
type Envelope struct {
	To      Limiter
	Message Message
}

// A Acceptor keeps one task for its tier.
type Acceptor struct {
	Config
	startedAt        time.Duration
	promised         Ballot
	accepted         accepted
	highestToken     uint64
	payload          uint64
	queriedAt        time.Duration // when the others were asked last
	replied          []Limiter     // that answered since this start
	repliedAcceptors []Limiter     // of these, those that keep
	nextQueried      int           // place among the keepers of the one asked last
}

// accepted is the lease that a keeper has noted.
type accepted struct {
	ballot      Ballot
	holder      Limiter
	incarnation uint32
	token       uint64
	until       time.Duration // 0 for none
}

// NewAcceptor starts a keeper, empty. A lease that an earlier life of it noted may stand for its
// whole length: it keeps out for that long, and until it has heard what tokens there were.
func NewAcceptor(c Config, now time.Duration) Acceptor {
	return Acceptor{Config: c, startedAt: now, queriedAt: now - time.Hour, highestToken: c.MinToken}
}

// Active tells whether the keeper takes part yet. All that an earlier life noted has ended by its
// Length. The greatest token that it noted is known to so many others that any majority with this
// keeper has another one of which this one heard; or all others were heard, and nobody knows more.
// Where neither comes, as keepers are gone for good, a majority's word is enough after restLengths:
// then tokens grow by the wall clocks alone.
func (k *Acceptor) Active(now time.Duration) bool {
	n := len(k.Acceptors)
	return now >= k.startedAt+k.Duration &&
		(len(k.repliedAcceptors) >= n-k.Quorum()+1 || len(k.replied) >= n-1 ||
			now >= k.startedAt+restLengths*k.Duration && len(k.replied)+1 >= k.Quorum())
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
func (k *Acceptor) Tick(now time.Duration) (out []Envelope, due time.Duration) {
	n := len(k.Acceptors)
	if len(k.repliedAcceptors) >= n-k.Quorum()+1 || len(k.replied) >= n-1 {
		return nil, 0
	}
	if at := k.startedAt + time.Duration(askAfter*float64(k.Duration)); now < at {
		return nil, at
	}
	if every := k.Duration / askEvery; now >= k.queriedAt+every {
		k.queriedAt = now
		// Nobody keeps in the first length of a start of all: who answered needs not be asked again.
		// Trouble: all asked all others eight times a length, and the answers were lost in the crowd.
		enough := k.replied
		if now >= k.startedAt+k.Duration {
			enough = k.repliedAcceptors
		}
		for range k.Acceptors {
			k.nextQueried = (k.nextQueried + 1) % len(k.Acceptors)
			if to := k.Acceptors[k.nextQueried]; to != k.Self && !slices.Contains(enough, to) && len(out) < askAtOnce {
				out = append(out, Envelope{to, Message{Kind: RecoveryQuery, Task: k.Task, Ballot: Ballot{Epoch: k.Epoch}, HighestToken: k.highestToken}})
			}
		}
	}
	return out, k.queriedAt + k.Duration/askEvery
}

// HandleMessage takes a message in and gives the answer, if there is one.
func (k *Acceptor) HandleMessage(now time.Duration, from Limiter, m Message) (answer Message, ok bool) {
	k.highestToken = max(k.highestToken, m.HighestToken, m.Token)
	answer = Message{Task: k.Task, Ballot: m.Ballot}
	switch m.Kind {
	case RecoveryQuery:
		answer.Kind, answer.HighestToken, answer.HasLease, answer.Payload = RecoveryReply, k.highestToken, k.Active(now), k.payload
		return answer, true
	case RecoveryReply:
		if m.Ballot.Epoch != k.Epoch { // it answers an earlier life
			return answer, false
		}
		k.payload = max(k.payload, m.Payload)
		if slices.Contains(k.Acceptors, from) && from != k.Self {
			if !slices.Contains(k.replied, from) {
				k.replied = append(k.replied, from)
			}
			if m.HasLease && !slices.Contains(k.repliedAcceptors, from) {
				k.repliedAcceptors = append(k.repliedAcceptors, from)
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
	if !k.Active(now) {
		return answer, false
	}
	if a := k.accepted; m.Kind == Prepare && a.until > now && (a.holder != m.Ballot.By || a.incarnation != m.Ballot.Epoch) {
		// It is told of the lease and counts on nothing. Trouble: a promise to it would refuse the
		// holder's renewal that is on its way, and with five that waited the lease changed hands by
		// their questions alone. And before all else: a holder's rounds grow with each renewal, and one
		// that was refused for its round was behind again at its next try, and never heard who holds.
		answer.Kind, answer.HighestToken = Promise, k.highestToken
		answer.HasLease, answer.Holder, answer.Incarnation, answer.Token = true, a.holder, a.incarnation, a.token
		return answer, true
	}
	if m.Ballot.Compare(k.promised) < 0 {
		answer.Kind, answer.Ballot, answer.HighestToken = Reject, k.promised, k.highestToken
		return answer, true
	}
	k.promised = m.Ballot
	if m.Kind == Propose {
		k.payload = max(k.payload, m.Payload)
		k.accepted = accepted{ballot: m.Ballot, holder: m.Ballot.By, incarnation: m.Ballot.Epoch, token: m.Token, until: now + k.Duration}
		answer.Kind, answer.HighestToken = Accept, k.highestToken
		return answer, true
	}
	answer.Kind, answer.HighestToken, answer.Payload = Promise, k.highestToken, k.payload
	if a := k.accepted; a.until > now {
		answer.HasLease, answer.Holder, answer.Incarnation, answer.Token = true, a.holder, a.incarnation, a.token
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

// A Proposer seeks a lease, and renews the one that it holds.
type Proposer struct {
	Config
	phase           Phase
	wanted          bool
	round           uint32 // the greatest seen
	ballot          Ballot // of the try that is on
	startedAt       time.Duration
	accepts         []Limiter     // keepers that answered it well
	rejects         []Limiter     // keepers that did not
	highestToken    uint64        // the greatest token that they, and all others, know of
	nextAt          time.Duration // of the next try, or of the end of the one that is on
	probing         bool          // so far just one keeper was asked
	probeUnanswered bool          // the last one so asked gave no answer
	failures        int           // tries in a row that came to nothing

	holder          Limiter // as last told, or this one
	holds           bool    // it was told of
	payload         uint64  // the greatest known
	acceptedPayload uint64  // the greatest that a majority accepted of this contender
	proposedPayload uint64  // the one proposed

	proposedToken uint64 // the token proposed
	token         uint64 // of the lease held
	heldBallot    Ballot // the ballot that it was last accepted under
	until         time.Duration
}

// NewProposer returns one that wants nothing.
func NewProposer(c Config) Proposer { return Proposer{Config: c, highestToken: c.MinToken} }

// Phase tells the stage of the try that is on.
func (c *Proposer) Phase() Phase { return c.phase }

// Holds gives the lease's token and the instant at which nothing may be begun under it any
// longer; it is false from that instant on.
func (c *Proposer) Holds(now time.Duration) (token uint64, until time.Duration, ok bool) {
	return c.token, c.until, c.token > 0 && now < c.until
}

// Payload gives the greatest mark that any holder is known to have set. Of a holder nothing that was
// set is missing: what a majority accepted, a majority of promises tells.
func (c *Proposer) Payload() uint64 { return c.payload }

// SetPayload has a holder set a greater mark, and tells whether it stands: a majority has accepted it
// under this lease, so that every later holder knows of it. Until then it is asked for again.
func (c *Proposer) SetPayload(now time.Duration, mark uint64) bool {
	if _, _, held := c.Holds(now); !held {
		return false
	}
	if c.acceptedPayload >= mark {
		return true
	}
	if c.payload = max(c.payload, mark); c.phase == Waiting {
		c.nextAt = min(c.nextAt, max(now, c.startedAt+c.durationFraction(markEvery)))
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

// crowding is by how much longer each waits, so that all together ask the keepers no more often.
func (c *Proposer) crowding() float64 { return max(float64(c.Candidates)/fewSeekers, 1) }

func (c *Proposer) durationFraction(p float64) time.Duration {
	return time.Duration(float64(c.Duration) * p)
}

// SetWanted sets whether the lease is wanted. One that is held and no longer wanted is given back.
func (c *Proposer) SetWanted(now time.Duration, is bool, chance float64) (out []Envelope) {
	if c.wanted == is {
		return nil
	}
	if c.wanted = is; is {
		c.phase, c.nextAt, c.failures = Waiting, now+c.durationFraction((c.crowding()-1)*pauseMost*chance), 0
		return nil
	}
	if _, _, held := c.Holds(now); held {
		for _, to := range c.Acceptors {
			out = append(out, Envelope{to, Message{Kind: Release, Task: c.Task, Ballot: c.heldBallot, HighestToken: c.highestToken}})
		}
	}
	c.phase, c.token, c.until = Idle, 0, 0
	return out
}

// Tick does what is due, and tells when it wants to be called again; 0 for never. Chance, from 0
// to 1, spreads the tries of many.
func (c *Proposer) Tick(now time.Duration, chance float64) (out []Envelope, due time.Duration) {
	if c.token > 0 && now >= c.until {
		c.token, c.until = 0, 0
	}
	if c.phase == Idle {
		return nil, 0
	}
	switch {
	case now < c.nextAt:
	case c.phase == Waiting:
		out = c.startAttempt(now)
	case c.probing: // the one keeper does not answer
		c.probing, c.probeUnanswered, c.nextAt = false, true, now+c.durationFraction(tryFor)
		out = c.prepare()
	default: // the try came to nothing
		c.failed(now, chance)
	}
	due = c.nextAt
	if c.token > 0 {
		due = min(due, c.until)
	}
	return out, due
}

// startAttempt begins a ballot. Who holds nothing asks one keeper first, itself if it is one: most often
// another holds the lease, and to hear that from all of them would cost five times as much.
func (c *Proposer) startAttempt(now time.Duration) (out []Envelope) {
	c.round++
	c.ballot = Ballot{Round: c.round, Epoch: c.Epoch, By: c.Self}
	c.phase, c.startedAt, c.accepts, c.rejects, c.nextAt = Preparing, now, nil, nil, now+c.durationFraction(tryFor)
	if c.probing = c.token == 0 && !c.probeUnanswered; !c.probing {
		return c.prepare()
	}
	c.nextAt = now + c.durationFraction(lookFor)
	first := c.Acceptors[(int(c.round)+int(c.Self))%len(c.Acceptors)]
	if slices.Contains(c.Acceptors, c.Self) {
		first = c.Self
	}
	return []Envelope{{first, Message{Kind: Prepare, Task: c.Task, Ballot: c.ballot, HighestToken: c.highestToken}}}
}

// prepare asks all keepers that have not promised yet.
func (c *Proposer) prepare() []Envelope {
	return slices.DeleteFunc(c.broadcast(Message{Kind: Prepare, Task: c.Task, Ballot: c.ballot, HighestToken: c.highestToken}), func(e Envelope) bool {
		return slices.Contains(c.accepts, e.To)
	})
}

func (c *Proposer) broadcast(m Message) (out []Envelope) {
	for _, to := range c.Acceptors {
		out = append(out, Envelope{to, m})
	}
	return out
}

// failed puts the next try off. Who holds the lease tries again soon, while it stands.
func (c *Proposer) failed(now time.Duration, chance float64) {
	wait := min(pauseLeast*float64(int(1)<<min(c.failures, backoffs)), pauseMost) * c.crowding()
	if c.token > 0 {
		wait = pauseLeast
	}
	c.failures++
	c.phase, c.nextAt = Waiting, now+c.durationFraction(wait*(0.5+chance))
}

// recordReject books a keeper that did not promise or accept, and tells whether too few are left. One
// alone may know of a lease that never had a majority, or was given back.
func (c *Proposer) recordReject(keeper Limiter) bool {
	if !slices.Contains(c.rejects, keeper) {
		c.rejects = append(c.rejects, keeper)
	}
	return c.probing || len(c.Acceptors)-len(c.rejects) < c.Quorum()
}

// HandleMessage takes a keeper's answer in.
func (c *Proposer) HandleMessage(now time.Duration, from Limiter, m Message, chance float64) (out []Envelope) {
	c.highestToken = max(c.highestToken, m.HighestToken, m.Token)
	c.round = max(c.round, m.Ballot.Round)
	// What comes after the try's end, as after a stall, does not count: keepers rest on it (askAfter).
	trying := (c.phase == Preparing || c.phase == Proposing) && now < c.nextAt
	if m.Ballot == c.ballot || m.Kind == Reject {
		c.probeUnanswered = false
	}
	switch {
	case !trying || !slices.Contains(c.Acceptors, from):
	case m.Kind == Reject && m.Ballot.Compare(c.ballot) > 0:
		if c.recordReject(from) {
			c.failed(now, chance)
		}
	case m.Ballot != c.ballot || slices.Contains(c.accepts, from):
	case m.Kind == Promise && c.phase == Preparing:
		c.payload = max(c.payload, m.Payload)
		if m.HasLease && (m.Holder != c.Self || m.Incarnation != c.Epoch) { // another's, or an earlier life's
			if c.recordReject(from) {
				c.holder, c.holds = m.Holder, true
				c.phase, c.failures = Waiting, 0
				c.nextAt = now + c.durationFraction(pauseMost*c.crowding()*(0.5+chance))
			}
			return nil
		}
		c.accepts = append(c.accepts, from)
		if len(c.accepts) < c.Quorum() && c.probing {
			c.probing, c.nextAt = false, now+c.durationFraction(tryFor)
			return c.prepare()
		}
		if len(c.accepts) < c.Quorum() {
			return nil
		}
		c.phase, c.accepts, c.rejects = Proposing, nil, nil
		if token, _, held := c.Holds(now); held {
			c.proposedToken = token
		} else {
			c.proposedToken = c.highestToken + 1
		}
		c.proposedPayload = c.payload
		return c.broadcast(Message{Kind: Propose, Task: c.Task, Ballot: c.ballot, Token: c.proposedToken, HighestToken: c.highestToken, Payload: c.proposedPayload})
	case m.Kind == Accept && c.phase == Proposing:
		if c.accepts = append(c.accepts, from); len(c.accepts) < c.Quorum() {
			return nil
		}
		until := c.startedAt + c.HoldDuration()
		if now >= until { // it came too late to be of use
			c.failed(now, chance)
			return nil
		}
		c.token, c.heldBallot, c.until, c.acceptedPayload = c.proposedToken, c.ballot, until, c.proposedPayload
		c.holder, c.holds = c.Self, true
		c.phase, c.nextAt, c.failures = Waiting, c.startedAt+c.durationFraction(renewAfter), 0
	}
	return nil
}
