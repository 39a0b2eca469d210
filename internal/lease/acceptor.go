package lease

import (
	"slices"
	"time"
)

// Times of an acceptor that starts, in lease durations. It starts empty, as it has no disk.
const (
	// recoveryQueryAfter is how long after its start an acceptor waits before it sends queries. An Accept
	// of its earlier incarnation may still reach a proposer and complete a quorum there. A query that
	// another acceptor answers before that could miss the token of this new lease. After this wait the
	// attempt is over: it is more than probeTimeout and attemptTimeout together.
	recoveryQueryAfter = 0.2
	// recoveryTimeout is after how long a quorum of replies is enough, as other acceptors may be gone
	// for good.
	recoveryTimeout = 3
)

// Counts of an acceptor that starts.
const (
	// recoveryQueriesPerDuration is how many times per lease duration queries are sent, and
	// recoveryQueriesAtOnce how many at a time.
	recoveryQueriesPerDuration = 8
	recoveryQueriesAtOnce      = 2
)

// Acceptor votes on the lease of one task. It is not safe for concurrent use; see NewAcceptor.
type Acceptor struct {
	Config
	startedAt    time.Duration
	promised     Ballot // no lower ballot is accepted
	accepted     acceptedLease
	highestToken uint64 // the greatest known
	payload      uint64 // the greatest accepted, here or at other acceptors

	queriedAt        time.Duration // when recovery queries were last sent
	replied          []Limiter     // acceptors that have replied since this start
	repliedAcceptors []Limiter     // the acceptors in replied that were active
	lastQueried      int           // index in Acceptors of the one queried last
}

// acceptedLease is the lease that an acceptor has accepted last.
type acceptedLease struct {
	ballot Ballot
	token  uint64
	until  time.Duration // 0 for none, and once it was released
}

// isValid reports whether the lease still counts.
func (l acceptedLease) isValid(now time.Duration) bool { return l.until > now }

// isOf reports whether the lease and a ballot have the same proposer in the same incarnation.
func (l acceptedLease) isOf(b Ballot) bool { return l.ballot.By == b.By && l.ballot.Epoch == b.Epoch }

// NewAcceptor returns an acceptor that starts now, empty; it is not active yet.
func NewAcceptor(c Config, now time.Duration) Acceptor {
	const longAgo = time.Hour
	return Acceptor{Config: c, startedAt: now, queriedAt: now - longAgo, highestToken: c.MinToken}
}

// Active reports whether the acceptor votes.
//
// It does not vote within a lease duration of its start: after that, every lease that its earlier
// incarnation accepted has ended. Nor does it before it knows the greatest token that its earlier
// incarnation accepted: either so many active acceptors have replied that any quorum without this acceptor
// has one of them, or all others have replied. If neither happens because acceptors are gone for good, a
// quorum, this acceptor and those that replied, is enough after recoveryTimeout; then only the wall clocks
// (MinToken) make tokens grow.
func (a *Acceptor) Active(now time.Duration) bool {
	if now < a.startedAt+a.Duration {
		return false
	}
	if a.hasRecovered() {
		return true
	}
	return now >= a.startedAt+recoveryTimeout*a.Duration && len(a.replied)+1 >= a.Quorum()
}

// hasRecovered reports whether the replies include every token that an earlier incarnation accepted.
func (a *Acceptor) hasRecovered() bool {
	count := len(a.Acceptors)
	return len(a.repliedAcceptors) >= count-a.Quorum()+1 || len(a.replied) >= count-1
}

// Tick sends the recovery queries that are due, and returns when it has to be called again; 0 for never.
func (a *Acceptor) Tick(now time.Duration) (out []Envelope, due time.Duration) {
	if a.hasRecovered() {
		return nil, 0
	}
	if first := a.startedAt + a.durationFraction(recoveryQueryAfter); now < first {
		return nil, first
	}
	interval := a.Duration / recoveryQueriesPerDuration
	if now >= a.queriedAt+interval {
		a.queriedAt = now
		out = a.recoveryQueries(now)
	}
	return out, a.queriedAt + interval
}

// recoveryQueries returns queries to the next acceptors whose replies are missing. Within a lease
// duration of a start of the complete tier no acceptor is active, and one reply of each is enough.
func (a *Acceptor) recoveryQueries(now time.Duration) (out []Envelope) {
	done := a.replied
	if now >= a.startedAt+a.Duration {
		done = a.repliedAcceptors
	}
	query := Message{Kind: RecoveryQuery, Task: a.Task, Ballot: Ballot{Epoch: a.Epoch}, HighestToken: a.highestToken}
	for range a.Acceptors {
		a.lastQueried = (a.lastQueried + 1) % len(a.Acceptors)
		to := a.Acceptors[a.lastQueried]
		if to == a.Self || slices.Contains(done, to) || len(out) == recoveryQueriesAtOnce {
			continue
		}
		out = append(out, Envelope{to, query})
	}
	return out
}

// HandleMessage handles a message, and returns the reply if there is one.
func (a *Acceptor) HandleMessage(now time.Duration, from Limiter, m Message) (reply Message, ok bool) {
	a.highestToken = max(a.highestToken, m.HighestToken, m.Token)
	switch m.Kind {
	case RecoveryQuery:
		return a.onRecoveryQuery(now, m), true
	case RecoveryReply:
		a.onRecoveryReply(from, m)
	case Release:
		a.onRelease(m)
	case Prepare:
		if a.Active(now) {
			return a.onPrepare(now, m), true
		}
	case Propose:
		if a.Active(now) {
			return a.onPropose(now, m), true
		}
	}
	return Message{}, false
}

// reply returns a message about the ballot of another one.
func (a *Acceptor) reply(kind Kind, to Message) Message {
	return Message{Kind: kind, Task: a.Task, Ballot: to.Ballot, HighestToken: a.highestToken}
}

// onPrepare promises a ballot, unless a greater one is promised or another's lease is valid.
//
// Another's lease comes first, before the rounds are compared. A promise would have this acceptor
// reject the holder's renewal that is on its way; and a proposer whose rounds are behind, as those of a
// holder grow with each renewal, would be rejected again and again and never learn who the holder is.
func (a *Acceptor) onPrepare(now time.Duration, m Message) Message {
	if a.accepted.isValid(now) && !a.accepted.isOf(m.Ballot) {
		return a.withLease(a.reply(Promise, m))
	}
	if m.Ballot.Compare(a.promised) < 0 {
		return a.reject()
	}
	a.promised = m.Ballot
	reply := a.reply(Promise, m)
	reply.Payload = a.payload
	if a.accepted.isValid(now) {
		return a.withLease(reply)
	}
	return reply
}

// withLease adds the accepted lease to a reply.
func (a *Acceptor) withLease(reply Message) Message {
	reply.HasLease = true
	reply.Holder, reply.Incarnation = a.accepted.ballot.By, a.accepted.ballot.Epoch
	reply.Token = a.accepted.token
	return reply
}

// onPropose accepts a ballot and its lease, unless a greater one is promised.
func (a *Acceptor) onPropose(now time.Duration, m Message) Message {
	if m.Ballot.Compare(a.promised) < 0 {
		return a.reject()
	}
	a.promised = m.Ballot
	a.payload = max(a.payload, m.Payload)
	a.accepted = acceptedLease{ballot: m.Ballot, token: m.Token, until: now + a.Duration}
	return a.reply(Accept, m)
}

// reject returns a rejection with the ballot that is promised.
func (a *Acceptor) reject() Message {
	return a.reply(Reject, Message{Ballot: a.promised})
}

func (a *Acceptor) onRelease(m Message) {
	if a.accepted.ballot == m.Ballot {
		a.accepted.until = 0
	}
}

func (a *Acceptor) onRecoveryQuery(now time.Duration, m Message) Message {
	reply := a.reply(RecoveryReply, m)
	reply.HasLease, reply.Payload = a.Active(now), a.payload
	return reply
}

// onRecoveryReply handles a reply; one to a query of an earlier incarnation does not count.
func (a *Acceptor) onRecoveryReply(from Limiter, m Message) {
	if m.Ballot.Epoch != a.Epoch {
		return
	}
	a.payload = max(a.payload, m.Payload)
	if from == a.Self || !slices.Contains(a.Acceptors, from) {
		return
	}
	if !slices.Contains(a.replied, from) {
		a.replied = append(a.replied, from)
	}
	if m.HasLease && !slices.Contains(a.repliedAcceptors, from) {
		a.repliedAcceptors = append(a.repliedAcceptors, from)
	}
}

// AcceptorState is what an acceptor remembers, for another process of the same limiter. Times are of
// the clock that both processes go by. The tags are a format that processes of other releases read.
type AcceptorState struct {
	Task             uint32        `json:"Task"`
	StartedAt        time.Duration `json:"Born"`
	Promised         Ballot        `json:"Promised"`
	Accepted         Ballot        `json:"Under"` // of the lease that is accepted until Until
	Incarnation      uint32        `json:"Life"`  // the epoch of Accepted; restore takes it from there
	Token            uint64        `json:"Token"`
	Until            time.Duration `json:"Until"`
	HighestToken     uint64        `json:"Known"`
	Payload          uint64        `json:"Mark"`
	Replied          []Limiter     `json:"Told"`
	RepliedAcceptors []Limiter     `json:"Sure"`
}

// state returns what the acceptor remembers.
func (a *Acceptor) state() AcceptorState {
	return AcceptorState{
		Task:             a.Task,
		StartedAt:        a.startedAt,
		Promised:         a.promised,
		Accepted:         a.accepted.ballot,
		Incarnation:      a.accepted.ballot.Epoch,
		Token:            a.accepted.token,
		Until:            a.accepted.until,
		HighestToken:     a.highestToken,
		Payload:          a.payload,
		Replied:          a.replied,
		RepliedAcceptors: a.repliedAcceptors,
	}
}

// restore replaces the state by that of an acceptor in another process of this limiter.
func (a *Acceptor) restore(s AcceptorState) {
	a.startedAt, a.promised = s.StartedAt, s.Promised
	a.accepted = acceptedLease{ballot: s.Accepted, token: s.Token, until: s.Until}
	a.highestToken = max(a.highestToken, s.HighestToken)
	a.payload = max(a.payload, s.Payload)
	a.replied, a.repliedAcceptors = s.Replied, s.RepliedAcceptors
}
