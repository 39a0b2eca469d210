// Package rollingrestart coordinates planned restarts: it limits how many limiters restart at once, and never
// lets all limiters that hold a customer's quota restart at once. It does no I/O, reads no clock and starts no
// goroutine.
//
// A limiter that is to restart needs two things from the coordinator, the holder of the task's lease:
//
//   - A restart slot is a field in the payload of that lease, so that every later coordinator knows of it. It
//     is freed when the limiter replies that it serves and has no grant, or by a SlotRelease, never by time.
//   - A grant permits the limiter to begin its restart, and expires. It is sent only once a quorum has
//     accepted the payload with the limiter's slot.
//
// docs/design/walk.md argues why it is safe.
package rollingrestart

import (
	"slices"
	"time"
)

const (
	// requestInterval is the time between two requests of a requester, and between two queries of a
	// coordinator.
	requestInterval = 500 * time.Millisecond
	// requestTimeout is how long a request stays valid without being repeated, as some of its datagrams may be lost.
	requestTimeout = 4 * requestInterval
)

// Coordinator is the lease holder's side. A new one is created for each lease. It is not safe for concurrent
// use; see NewCoordinator.
type Coordinator struct {
	token         uint64
	maxConcurrent int
	grantDuration time.Duration

	grantsFrom time.Duration    // no slot is assigned before this time, so nothing is granted
	payload    uint64           // the payload that a quorum has to accept
	restarting []Limiter        // limiters that have a slot
	slots      map[Limiter]slot // by limiter; no entry for a slot that an earlier coordinator assigned, until the first query
	waiting    []waitingRequest // in order of arrival
	queryNonce uint32           // of the last query to any limiter
	queriedAt  time.Duration
}

// slot is what a coordinator knows of a limiter's slot, beyond the payload.
type slot struct {
	granted      bool // this coordinator assigned the slot to the request requestNonce
	requestNonce uint32
	queried      bool
	queryNonce   uint32        // of the last query; replies to earlier ones are ignored
	queryAfter   time.Duration // no query is sent before this time, because a grant may be in transit
}

type waitingRequest struct {
	limiter    Limiter
	nonce      uint32
	receivedAt time.Duration // when the request was last received
}

// NewCoordinator returns a coordinator that starts with a payload, under a lease with the given token.
// A grant is valid for grantDuration, and at most maxConcurrent limiters have a slot.
//
// Payload 0 means that there is none, because all acceptors are new or have lost their state. Then nothing is
// granted until all grants of earlier coordinators have expired. A requester counts grantDuration from the last
// request that it sent before the grant arrived, and a grant may arrive late, so the wait is twice grantDuration.
func NewCoordinator(token, payload uint64, maxConcurrent int, grantDuration, now time.Duration) *Coordinator {
	c := &Coordinator{
		token:         token,
		maxConcurrent: min(maxConcurrent, MaxSlots),
		grantDuration: grantDuration,
		grantsFrom:    now,
		payload:       payload,
		restarting:    DecodePayload(payload),
		slots:         map[Limiter]slot{},
		// Greater than the nonces of earlier coordinators of this process, to which replies may still arrive.
		queryNonce: uint32(now / time.Millisecond),
	}
	if payload == 0 {
		c.grantsFrom = now + 2*grantDuration
	}
	return c
}

// Restarting returns the limiters that have a slot.
func (c *Coordinator) Restarting() []Limiter { return c.restarting }

// Payload returns the payload that a quorum has to accept before anything is granted.
func (c *Coordinator) Payload() uint64 { return c.payload }

// HandleRequest queues a limiter's request for a restart slot, which Tick answers with a grant. A repeated request
// replaces the earlier one and keeps its place.
func (c *Coordinator) HandleRequest(now time.Duration, from Limiter, nonce uint32) {
	for i, w := range c.waiting {
		if w.limiter == from {
			c.waiting[i] = waitingRequest{from, max(w.nonce, nonce), now}
			return
		}
	}
	c.waiting = append(c.waiting, waitingRequest{from, nonce, now})
}

// HandleReply handles the reply to a query. A limiter that serves and has no grant has restarted, or has not
// stopped. A reply to an earlier query is ignored, because the limiter may have got a grant since.
func (c *Coordinator) HandleReply(from Limiter, m Message) {
	s := c.slots[from]
	if s.queried && s.queryNonce == m.Nonce && !m.HasGrant && m.Serving {
		c.Release(from)
	}
}

// Release frees the slot of a limiter that has restarted or will not come back.
func (c *Coordinator) Release(n Limiter) {
	i := slices.Index(c.restarting, n)
	if i < 0 {
		return
	}
	c.restarting = slices.Delete(slices.Clone(c.restarting), i, i+1)
	c.payload = nextPayload(c.payload, c.restarting)
	delete(c.slots, n)
}

// Tick returns the messages to send, and when it has to be called again. PayloadAccepted says whether a
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

// queries returns the queries that are due, to the limiters that have a slot.
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

// grants returns the grants to limiters that have a slot and have requested it. A grant is sent again with
// each repeated request, because it may have been lost.
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
			Kind: SlotGrant, Nonce: w.nonce, Token: c.token, ValidFor: c.grantDuration, Restarting: others,
		}})
	}
	return out
}

// assignSlot assigns a free slot to the request that has waited longest. The grant is sent once the payload is
// accepted.
func (c *Coordinator) assignSlot(now time.Duration) {
	if len(c.waiting) == 0 || len(c.restarting) >= c.maxConcurrent {
		return
	}
	first := c.waiting[0]
	c.restarting = append(slices.Clone(c.restarting), first.limiter)
	c.slots[first.limiter] = slot{granted: true, requestNonce: first.nonce, queryAfter: now + requestInterval}
	c.payload = nextPayload(c.payload, c.restarting)
}
