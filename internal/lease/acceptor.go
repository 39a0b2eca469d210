package lease

import (
	"slices"
	"time"
)

// Times of an acceptor after its start, in lease durations. An acceptor has no disk, so it starts without state.
const (
	// recoveryQueryAfter is the time that an acceptor waits after its start before it sends recovery queries.
	// An Accept of its earlier incarnation may still be in transit and complete a quorum at a proposer. A
	// reply that another acceptor sends before the quorum is complete may not include the token of this new
	// lease. The wait is longer than probeTimeout and attemptTimeout together, so that the proposer's attempt
	// has ended.
	recoveryQueryAfter = 0.2
	// recoveryTimeout is the time after the start from which it is enough that this acceptor and those that have
	// replied are a quorum, because other acceptors may be gone permanently.
	recoveryTimeout = 3
)

// Limits of recovery queries.
const (
	// recoveryQueriesPerDuration is how many times per lease duration queries are sent, and
	// recoveryQueriesAtOnce is the maximum number of queries sent at a time.
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

// isValid reports whether the lease has neither expired nor been released.
func (l acceptedLease) isValid(now time.Duration) bool { return l.until > now }

// isOf reports whether the lease and a ballot have the same proposer in the same incarnation.
func (l acceptedLease) isOf(b Ballot) bool { return l.ballot.By == b.By && l.ballot.Epoch == b.Epoch }

// NewAcceptor returns an acceptor that starts now, without state; see Active for when it begins to vote.
func NewAcceptor(c Config, now time.Duration) Acceptor {
	const longAgo = time.Hour // so that the first queries do not wait for an interval
	return Acceptor{Config: c, startedAt: now, queriedAt: now - longAgo, highestToken: c.MinToken}
}

// Active reports whether the acceptor votes.
//
// It does not vote during the first lease duration after its start: after that, every lease that its earlier
// incarnation accepted has expired. It also has to know the greatest token that its earlier incarnation
// accepted. It does once so many active acceptors have replied that every quorum includes one of them, not
// counting this acceptor, or once all other acceptors have replied. If neither happens because acceptors are gone
// permanently, a quorum (this acceptor and those that replied) is enough after recoveryTimeout; in that case
// only the wall clocks (MinToken) ensure that tokens increase.
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

// Tick returns the recovery queries that are due, and when it has to be called again; 0 for never.
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

// recoveryQueries returns queries to the next acceptors whose replies are missing. During the first lease
// duration after the start one reply of each acceptor is enough, active or not: if the whole tier has
// started at once, no acceptor is active yet. Later an acceptor is queried until it has replied as an active one.
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

// reply returns a message of the given kind with the ballot of the message that it replies to.
func (a *Acceptor) reply(kind Kind, to Message) Message {
	return Message{Kind: kind, Task: a.Task, Ballot: to.Ballot, HighestToken: a.highestToken}
}

// onPrepare promises a ballot, unless a greater one is promised or another proposer's lease is valid.
//
// Another proposer's lease is checked before the rounds are compared, for two reasons. A promise would make
// this acceptor reject a renewal of the holder that is in transit. And the rounds of a holder increase with each
// renewal, so a proposer whose rounds are lower would be rejected repeatedly and never learn who the holder is.
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
	reply.Holder, reply.HolderEpoch = a.accepted.ballot.By, a.accepted.ballot.Epoch
	reply.Token = a.accepted.token
	return reply
}

// onPropose accepts a ballot and its lease, unless a greater ballot is promised.
func (a *Acceptor) onPropose(now time.Duration, m Message) Message {
	if m.Ballot.Compare(a.promised) < 0 {
		return a.reject()
	}
	a.promised = m.Ballot
	a.payload = max(a.payload, m.Payload)
	a.accepted = acceptedLease{ballot: m.Ballot, token: m.Token, until: now + a.Duration}
	return a.reply(Accept, m)
}

// reject returns a rejection that carries the promised ballot.
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

// onRecoveryReply handles a recovery reply. A reply to a query of an earlier incarnation is not counted.
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

// AcceptorState is the state of an acceptor, for another process of the same limiter. Times are those of a
// clock that both processes use. Processes of other releases read the JSON tags.
type AcceptorState struct {
	Task             uint32        `json:"Task"`
	StartedAt        time.Duration `json:"Born"`
	Promised         Ballot        `json:"Promised"`
	Accepted         Ballot        `json:"Under"` // of the accepted lease, which ends at Until
	AcceptedEpoch    uint32        `json:"Life"`  // Accepted.Epoch; restore reads it from Accepted
	Token            uint64        `json:"Token"`
	Until            time.Duration `json:"Until"`
	HighestToken     uint64        `json:"Known"`
	Payload          uint64        `json:"Mark"`
	Replied          []Limiter     `json:"Told"`
	RepliedAcceptors []Limiter     `json:"Sure"`
}

// state returns the acceptor's state for another process.
func (a *Acceptor) state() AcceptorState {
	return AcceptorState{
		Task:             a.Task,
		StartedAt:        a.startedAt,
		Promised:         a.promised,
		Accepted:         a.accepted.ballot,
		AcceptedEpoch:    a.accepted.ballot.Epoch,
		Token:            a.accepted.token,
		Until:            a.accepted.until,
		HighestToken:     a.highestToken,
		Payload:          a.payload,
		Replied:          a.replied,
		RepliedAcceptors: a.repliedAcceptors,
	}
}

// restore replaces the state with that of an acceptor in another process of this limiter.
func (a *Acceptor) restore(s AcceptorState) {
	a.startedAt, a.promised = s.StartedAt, s.Promised
	a.accepted = acceptedLease{ballot: s.Accepted, token: s.Token, until: s.Until}
	a.highestToken = max(a.highestToken, s.HighestToken)
	a.payload = max(a.payload, s.Payload)
	a.replied, a.repliedAcceptors = s.Replied, s.RepliedAcceptors
}
