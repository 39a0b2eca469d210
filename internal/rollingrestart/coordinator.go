// Package rollingrestart grants restart slots for planned restarts: only so many limiters restart at
// once, and never all that serve a customer. It does no I/O, reads no clock and starts no goroutine.
//
// Slots are granted by the coordinator, the holder of the task's lease. Which limiters are restarting is
// in the payload of that lease, so that every later coordinator knows it; a slot is granted only once a
// quorum has accepted the payload that has it.
//
// The design page about restart slots, in docs/design, argues why it is safe.
package rollingrestart

import (
	"slices"
	"time"
)

const (
	// requestInterval is the time between two requests of a requester, and between two queries of a
	// coordinator.
	requestInterval = 500 * time.Millisecond
	// requestTimeout is how long a request counts that is not repeated.
	requestTimeout = 4 * requestInterval
)

// Coordinator is the side of the lease holder. It is made anew with each lease. It is not safe for
// concurrent use; see NewCoordinator.
type Coordinator struct {
	token         uint64
	maxConcurrent int
	slotDuration  time.Duration

	grantsFrom time.Duration // no slot is granted before
	payload    uint64        // that a quorum has to accept
	restarting []Limiter
	slots      map[Limiter]slot // of those that are restarting
	waiting    []waitingRequest // in order of arrival
	queryNonce uint32           // the greatest given
	queriedAt  time.Duration
}

// slot is what a coordinator knows of a limiter that is restarting, beyond the payload.
type slot struct {
	granted      bool // by this coordinator
	requestNonce uint32
	queried      bool
	queryNonce   uint32        // of the last query; replies to earlier ones do not count
	queryAfter   time.Duration // no query before: a grant may be in transit
}

type waitingRequest struct {
	limiter    Limiter
	nonce      uint32
	receivedAt time.Duration // last
}

// NewCoordinator returns a coordinator that goes on from a payload, under a lease with the given token.
// Slots last for slotDuration, and at most maxConcurrent limiters are restarting.
//
// Payload 0 means that there is none, as all acceptors are new or have lost their memory. Then no slot
// is granted until those of before have expired, which count from the requests before them.
func NewCoordinator(token, payload uint64, maxConcurrent int, grantDuration, now time.Duration) *Coordinator {
	c := &Coordinator{
		token:         token,
		maxConcurrent: min(maxConcurrent, MaxSlots),
		slotDuration:  grantDuration,
		grantsFrom:    now,
		payload:       payload,
		restarting:    DecodePayload(payload),
		slots:         map[Limiter]slot{},
		queryNonce:    uint32(now / time.Millisecond),
	}
	if payload == 0 {
		c.grantsFrom = now + 2*grantDuration
	}
	return c
}

// Restarting returns the limiters that are restarting or have a slot.
func (c *Coordinator) Restarting() []Limiter { return c.restarting }

// Payload returns the payload that a quorum has to accept before a slot is granted.
func (c *Coordinator) Payload() uint64 { return c.payload }

// HandleRequest takes in a request for a slot.
func (c *Coordinator) HandleRequest(now time.Duration, from Limiter, nonce uint32) {
	for i := range c.waiting {
		w := &c.waiting[i]
		if w.limiter == from {
			w.nonce, w.receivedAt = max(w.nonce, nonce), now
			return
		}
	}
	c.waiting = append(c.waiting, waitingRequest{from, nonce, now})
}

// HandleReply takes in the reply to a query. A limiter that serves and has no slot is back, or has never
// left. A reply to an earlier query does not count: a slot may have been granted since.
func (c *Coordinator) HandleReply(from Limiter, m Message) {
	s := c.slots[from]
	if s.queried && s.queryNonce == m.Nonce && !m.HasSlot && m.Serving {
		c.Release(from)
	}
}

// Release frees the slot of a limiter, which is back or will not come back.
func (c *Coordinator) Release(n Limiter) {
	i := slices.Index(c.restarting, n)
	if i < 0 {
		return
	}
	c.restarting = slices.Delete(slices.Clone(c.restarting), i, i+1)
	c.payload = nextPayload(c.payload, c.restarting)
	delete(c.slots, n)
}

// Tick returns what is to be sent, and when it has to be called again. PayloadAccepted reports that a
// quorum has accepted the payload; until then nothing is granted or queried.
func (c *Coordinator) Tick(now time.Duration, payloadAccepted bool) (out []Envelope, due time.Duration) {
	c.waiting = slices.DeleteFunc(c.waiting, func(w waitingRequest) bool { return now > w.receivedAt+requestTimeout })
	due = now + requestInterval
	if !payloadAccepted {
		return nil, due
	}
	out = c.queries(now)
	out = append(out, c.grants(now)...)
	c.waiting = slices.DeleteFunc(c.waiting, func(w waitingRequest) bool { return slices.Contains(c.restarting, w.limiter) })
	if now < c.grantsFrom {
		return out, min(due, c.grantsFrom)
	}
	c.assignSlot(now)
	return out, due
}

// queries returns the queries that are due, to the limiters that are restarting.
func (c *Coordinator) queries(now time.Duration) (out []Envelope) {
	if now < c.queriedAt+requestInterval {
		return nil
	}
	c.queriedAt = now
	for _, n := range c.restarting {
		s := c.slots[n]
		if now < s.queryAfter {
			continue
		}
		c.queryNonce++
		s.queried, s.queryNonce = true, c.queryNonce
		c.slots[n] = s
		out = append(out, Envelope{n, Message{Kind: StatusQuery, Nonce: s.queryNonce, Token: c.token}})
	}
	return out
}

// grants returns the grants to requests that have a slot. They are sent again for each request, as they
// may be lost.
func (c *Coordinator) grants(now time.Duration) (out []Envelope) {
	for _, w := range c.waiting {
		s := c.slots[w.limiter]
		if !s.granted || s.requestNonce != w.nonce {
			continue
		}
		s.queryAfter = now + requestInterval
		c.slots[w.limiter] = s
		others := slices.DeleteFunc(slices.Clone(c.restarting), func(n Limiter) bool { return n == w.limiter })
		out = append(out, Envelope{w.limiter, Message{
			Kind: SlotGrant, Nonce: w.nonce, Token: c.token, ValidFor: c.slotDuration, Restarting: others,
		}})
	}
	return out
}

// assignSlot gives a free slot to the first request. It is granted once the payload is accepted.
func (c *Coordinator) assignSlot(now time.Duration) {
	if len(c.waiting) == 0 || len(c.restarting) >= c.maxConcurrent {
		return
	}
	first := c.waiting[0]
	c.restarting = append(slices.Clone(c.restarting), first.limiter)
	c.slots[first.limiter] = slot{granted: true, requestNonce: first.nonce, queryAfter: now + requestInterval}
	c.payload = nextPayload(c.payload, c.restarting)
}
