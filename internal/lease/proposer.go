package lease

import (
	"slices"
	"time"
)

// Times of a proposer, in lease durations.
const (
	renewAfter      = 0.4  // from the start of the attempt that got or renewed the lease; leaves time for several more attempts
	attemptTimeout  = 0.1  // of an attempt at all acceptors
	probeTimeout    = 0.05 // of Prepare at one acceptor, before it is sent to the others
	payloadInterval = 0.02 // from the start of an attempt to the earliest start of the next one, with a new payload
	minBackoff      = 0.05 // after a failed attempt; doubled with each further one
	maxBackoff      = 0.5
)

// maxDoublings is how many times minBackoff is doubled: enough to exceed maxBackoff.
const maxDoublings = 4

// unscaledCandidates is the number of candidates up to which the backoffs above apply unchanged. With more
// candidates each one waits longer in proportion, so that all together send about as much as unscaledCandidates would.
const unscaledCandidates = 8

// Phase is a stage of a proposer.
type Phase uint8

// The phases.
const (
	Idle      Phase = iota // the lease is not wanted
	Waiting                // waits until the next attempt is due
	Preparing              // waits for promises
	Proposing              // waits for accepts
	numPhases
)

// String returns the name of a phase. Operators have seen these names since 0.8.0.
func (p Phase) String() string {
	return [numPhases]string{Idle: "idle", Waiting: "waiting", Preparing: "preparing", Proposing: "proposing"}[p]
}

// Proposer gets and renews the lease of one task for its limiter. It is not safe for concurrent use;
// see NewProposer.
type Proposer struct {
	Config
	phase    Phase
	wanted   bool
	nextAt   time.Duration // when the next attempt starts, or when the current one times out
	failures int           // failed attempts in a row

	// The current attempt.
	ballot          Ballot
	startedAt       time.Duration
	votes           []Limiter // acceptors that promised, or accepted, the ballot
	rejections      []Limiter // acceptors that rejected the ballot or reported another proposer's lease
	probing         bool      // Prepare has been sent to one acceptor only so far
	probeUnanswered bool      // the last probe got no reply
	proposedToken   uint64
	proposedPayload uint64

	// What is known about the tier.
	round        uint32  // the greatest of any ballot seen
	highestToken uint64  // of all leases
	payload      uint64  // the greatest of all leases
	holder       Limiter // as last learned, if holderKnown
	holderKnown  bool

	// The lease of this limiter.
	token           uint64        // 0 for none
	acceptedBallot  Ballot        // of the attempt that got or renewed the lease last
	acceptedPayload uint64        // the greatest that a quorum has accepted from this proposer
	until           time.Duration // no action may be started under the lease from then on
}

// NewProposer returns a proposer that does not want the lease.
func NewProposer(c Config) Proposer { return Proposer{Config: c, highestToken: c.MinToken} }

// Phase returns the current phase.
func (p *Proposer) Phase() Phase { return p.phase }

// Holds reports whether this limiter holds the lease, with the fencing token of the lease and the time
// from which no action may be started under it. Token and until have no meaning if ok is false.
func (p *Proposer) Holds(now time.Duration) (token uint64, until time.Duration, ok bool) {
	return p.token, p.until, p.token > 0 && now < p.until
}

// Payload returns the greatest payload known. A lease holder knows every payload that was set: a quorum
// has accepted it, and any quorum of promises reports it.
func (p *Proposer) Payload() uint64 { return p.payload }

// SetPayload raises the payload to the given value, if that is greater and this limiter holds the lease. It reports
// whether a quorum has accepted it under this lease, so that every later lease holder knows it; until then the call has
// to be repeated.
func (p *Proposer) SetPayload(now time.Duration, payload uint64) bool {
	if _, _, held := p.Holds(now); !held {
		return false
	}
	if p.acceptedPayload >= payload {
		return true
	}
	p.payload = max(p.payload, payload)
	if p.phase == Waiting {
		earliestStart := max(now, p.startedAt+p.durationFraction(payloadInterval))
		p.nextAt = min(p.nextAt, earliestStart)
	}
	return false
}

// SetWanted sets whether the lease is wanted. A lease that is held is released once it is not wanted. Jitter,
// 0 to 1, spreads the first attempts of many candidates in time.
func (p *Proposer) SetWanted(now time.Duration, wanted bool, jitter float64) []Envelope {
	if p.wanted == wanted {
		return nil
	}
	p.wanted = wanted
	if !wanted {
		return p.release(now)
	}
	p.phase, p.failures = Waiting, 0
	p.nextAt = now + p.durationFraction((p.backoffFactor()-1)*maxBackoff*jitter)
	return nil
}

func (p *Proposer) release(now time.Duration) (out []Envelope) {
	if _, _, held := p.Holds(now); held {
		out = p.broadcast(Message{Kind: Release, Ballot: p.acceptedBallot})
	}
	p.phase, p.token, p.until = Idle, 0, 0
	return out
}

// Tick performs the due work. It returns the messages to send, and when it has to be called again; 0 for
// never. Jitter, 0 to 1, spreads the attempts of many candidates in time.
func (p *Proposer) Tick(now time.Duration, jitter float64) (out []Envelope, due time.Duration) {
	if p.token > 0 && now >= p.until {
		p.token, p.until = 0, 0
	}
	if p.phase == Idle {
		return nil, 0
	}
	if now >= p.nextAt {
		out = p.advance(now, jitter)
	}
	due = p.nextAt
	if p.token > 0 {
		due = min(due, p.until)
	}
	return out, due
}

// advance starts an attempt that is due, or handles the timeout of a probe or of an attempt.
func (p *Proposer) advance(now time.Duration, jitter float64) []Envelope {
	switch {
	case p.phase == Waiting:
		return p.startAttempt(now)
	case p.probing:
		p.probeUnanswered = true
		return p.prepareAll(now)
	}
	p.backOff(now, jitter)
	return nil
}

// startAttempt starts an attempt with a new ballot. A proposer without a lease probes one acceptor
// first, its own if there is one: usually another limiter holds the lease, and all acceptors would
// report the same.
func (p *Proposer) startAttempt(now time.Duration) []Envelope {
	p.round++
	p.ballot = Ballot{Round: p.round, Epoch: p.Epoch, By: p.Self}
	p.phase, p.startedAt = Preparing, now
	p.votes, p.rejections = nil, nil
	if p.token > 0 || p.probeUnanswered {
		return p.prepareAll(now)
	}
	p.probing = true
	p.nextAt = now + p.durationFraction(probeTimeout)
	return []Envelope{{p.probedAcceptor(), p.message(Message{Kind: Prepare, Ballot: p.ballot})}}
}

// probedAcceptor returns the acceptor that this attempt probes: this limiter's own, else one that depends on the round.
func (p *Proposer) probedAcceptor() Limiter {
	if slices.Contains(p.Acceptors, p.Self) {
		return p.Self
	}
	return p.Acceptors[(int(p.round)+int(p.Self))%len(p.Acceptors)]
}

// prepareAll sends Prepare to all acceptors that have not promised yet.
func (p *Proposer) prepareAll(now time.Duration) []Envelope {
	p.probing = false
	p.nextAt = now + p.durationFraction(attemptTimeout)
	out := p.broadcast(Message{Kind: Prepare, Ballot: p.ballot})
	return slices.DeleteFunc(out, func(e Envelope) bool { return slices.Contains(p.votes, e.To) })
}

// message sets Task and HighestToken, which all messages of a proposer carry.
func (p *Proposer) message(m Message) Message {
	m.Task, m.HighestToken = p.Task, p.highestToken
	return m
}

func (p *Proposer) broadcast(m Message) (out []Envelope) {
	m = p.message(m)
	for _, to := range p.Acceptors {
		out = append(out, Envelope{to, m})
	}
	return out
}

// backOff ends a failed attempt, and schedules the next one. A lease holder attempts again after about minBackoff.
func (p *Proposer) backOff(now time.Duration, jitter float64) {
	doublings := min(p.failures, maxDoublings)
	wait := min(minBackoff*float64(int(1)<<doublings), maxBackoff) * p.backoffFactor()
	if p.token > 0 {
		wait = minBackoff
	}
	p.failures++
	p.phase = Waiting
	p.nextAt = now + p.durationFraction(wait*(0.5+jitter))
}

// backoffFactor returns the factor by which the waits of each candidate are longer, so that all candidates
// together make no more attempts than unscaledCandidates of them would.
func (p *Proposer) backoffFactor() float64 { return max(float64(p.Candidates)/unscaledCandidates, 1) }

// HandleMessage handles the reply of an acceptor, and returns the messages to send. Jitter, 0 to 1,
// spreads the attempts of many candidates in time.
func (p *Proposer) HandleMessage(now time.Duration, from Limiter, m Message, jitter float64) []Envelope {
	p.highestToken = max(p.highestToken, m.HighestToken, m.Token)
	p.round = max(p.round, m.Ballot.Round)
	if m.Ballot == p.ballot || m.Kind == Reject {
		p.probeUnanswered = false
	}
	if !p.isAttempting(now) || !slices.Contains(p.Acceptors, from) {
		return nil
	}
	if m.Kind == Reject && m.Ballot.Compare(p.ballot) > 0 {
		p.onReject(now, from, jitter)
		return nil
	}
	if m.Ballot != p.ballot || slices.Contains(p.votes, from) {
		return nil
	}
	switch {
	case m.Kind == Promise && p.phase == Preparing:
		return p.onPromise(now, from, m, jitter)
	case m.Kind == Accept && p.phase == Proposing:
		p.onAccept(now, from, jitter)
	}
	return nil
}

// isAttempting reports whether replies are handled. They are not handled after the timeout, even if this process
// stalled and could not end the attempt: acceptors that start rely on this, see recoveryQueryAfter.
func (p *Proposer) isAttempting(now time.Duration) bool {
	return (p.phase == Preparing || p.phase == Proposing) && now < p.nextAt
}

func (p *Proposer) onReject(now time.Duration, from Limiter, jitter float64) {
	if p.recordRejection(from) {
		p.backOff(now, jitter)
	}
}

// recordRejection records an acceptor that did not vote for the ballot, and reports whether the attempt has
// failed: a probe fails at once, an attempt at all acceptors when too few are left for a quorum. One rejection does
// not end the latter, because a lease that is reported may never have had a quorum or may have been released.
func (p *Proposer) recordRejection(from Limiter) bool {
	if !slices.Contains(p.rejections, from) {
		p.rejections = append(p.rejections, from)
	}
	return p.probing || len(p.Acceptors)-len(p.rejections) < p.Quorum()
}

// onPromise counts a promise, and sends Propose once a quorum has promised.
func (p *Proposer) onPromise(now time.Duration, from Limiter, m Message, jitter float64) []Envelope {
	p.payload = max(p.payload, m.Payload)
	if p.reportsOtherLease(m) {
		if p.recordRejection(from) {
			p.waitForHolder(now, m.Holder, jitter)
		}
		return nil
	}
	p.votes = append(p.votes, from)
	if len(p.votes) >= p.Quorum() {
		return p.propose(now)
	}
	if p.probing {
		return p.prepareAll(now)
	}
	return nil
}

// reportsOtherLease reports whether a Promise reports a valid lease of another limiter, or of another epoch of this
// one. Such a message is not counted as a promise.
func (p *Proposer) reportsOtherLease(m Message) bool {
	return m.HasLease && (m.Holder != p.Self || m.HolderEpoch != p.Epoch)
}

// waitForHolder ends an attempt because another limiter holds the lease, and schedules the next one.
func (p *Proposer) waitForHolder(now time.Duration, holder Limiter, jitter float64) {
	p.holder, p.holderKnown = holder, true
	p.phase, p.failures = Waiting, 0
	p.nextAt = now + p.durationFraction(maxBackoff*p.backoffFactor()*(0.5+jitter))
}

// propose sends the ballot to all acceptors for acceptance. A renewal keeps the token of the held lease; a new
// lease gets a token greater than every token that the quorum knows.
func (p *Proposer) propose(now time.Duration) []Envelope {
	p.phase, p.votes, p.rejections = Proposing, nil, nil
	p.proposedToken = p.highestToken + 1
	if token, _, held := p.Holds(now); held {
		p.proposedToken = token
	}
	p.proposedPayload = p.payload
	return p.broadcast(Message{Kind: Propose, Ballot: p.ballot, Token: p.proposedToken, Payload: p.proposedPayload})
}

// onAccept counts an accept. With a quorum this limiter holds the lease, for HoldDuration from the start of
// the attempt.
func (p *Proposer) onAccept(now time.Duration, from Limiter, jitter float64) {
	p.votes = append(p.votes, from)
	if len(p.votes) < p.Quorum() {
		return
	}
	until := p.startedAt + p.HoldDuration()
	if now >= until {
		p.backOff(now, jitter)
		return
	}
	p.token, p.until = p.proposedToken, until
	p.acceptedBallot, p.acceptedPayload = p.ballot, p.proposedPayload
	p.holder, p.holderKnown = p.Self, true
	p.phase, p.failures = Waiting, 0
	p.nextAt = p.startedAt + p.durationFraction(renewAfter)
}
