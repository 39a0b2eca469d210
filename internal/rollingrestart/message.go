// Package rollingrestart has limiters take turns at a planned restart: at most so many are out at once, and
// never all that hold a customer's stores. It does no I/O, reads no clock and starts no goroutine.
//
// Turns are given by the holder of the task's lease. Which limiters are out is in the lease's mark, so
// that every later holder knows; a turn is given only once the mark with it stands.
// docs/design/walk.md has the argument.
package rollingrestart

import (
	"encoding/binary"
	"slices"
	"time"

	"lemongate/internal/checksum"
)

// Limiter is the number of one limiter of the tier.
type Limiter = uint16

// MaxSlots is how many turns there can be at once, and MaxLimiters how large a tier: so much a mark
// has room for.
const (
	MaxSlots    = 4
	MaxLimiters = 1<<slotBits - 2

	slotBits = 9
	seqAt    = MaxSlots * slotBits
)

// A Kind is what a Message says.
type Kind uint8

const (
	SlotRequest Kind = iota // a limiter: may it restart?
	SlotGrant               // holder: it may, within Left; these are out as well
	StatusQuery             // holder, to who is out: does it still have its turn?
	StatusReply             // the answer
	SlotRelease             // any limiter, to the holder: one that is out will not come back
	numKinds
)

// A Message goes from one limiter to another, and may be lost, late, repeated and overtaken.
type Message struct {
	Kind       Kind
	Nonce      uint32        // of the ask; of the poll
	Token      uint64        // Grant, Poll: of the holder's lease
	ValidFor   time.Duration // Grant: how long the turn lasts, in ms
	HasSlot    bool          // Here: it has a turn
	Serving    bool          // Here: it serves
	Released   Limiter       // Forget
	Restarting []Limiter     // Grant: the others that are out
}

const (
	magic    = 'W'
	headSize = 2 + 4 + 8 + 4 + 1 + 2 + 1
)

// IsMessage tells whether a datagram is about turns.
func IsMessage(data []byte) bool { return len(data) > 0 && data[0] == magic }

// Append adds the packed message to data.
func (m Message) Append(data []byte) []byte {
	be := binary.BigEndian
	flags := byte(0)
	if m.HasSlot {
		flags |= 1
	}
	if m.Serving {
		flags |= 2
	}
	data = be.AppendUint32(append(data, magic, byte(m.Kind)), m.Nonce)
	data = be.AppendUint32(be.AppendUint64(data, m.Token), uint32(m.ValidFor/time.Millisecond))
	data = append(be.AppendUint16(append(data, flags), m.Released), byte(len(m.Restarting)))
	for _, n := range m.Restarting {
		data = be.AppendUint16(data, n)
	}
	return checksum.Append(data)
}

// Parse unpacks a message and tells whether it is one.
func Parse(data []byte) (m Message, ok bool) {
	be := binary.BigEndian
	if data, ok = checksum.Verify(data); !ok || len(data) < headSize || !IsMessage(data) || data[1] >= byte(numKinds) || data[18] > 3 ||
		int(data[21]) > MaxSlots || len(data) != headSize+2*int(data[21]) {
		return m, false
	}
	m = Message{
		Kind: Kind(data[1]), Nonce: be.Uint32(data[2:]), Token: be.Uint64(data[6:]), ValidFor: time.Duration(be.Uint32(data[14:])) * time.Millisecond,
		HasSlot: data[18]&1 > 0, Serving: data[18]&2 > 0, Released: be.Uint16(data[19:]),
	}
	for i := range int(data[21]) {
		m.Restarting = append(m.Restarting, be.Uint16(data[headSize+2*i:]))
	}
	return m, true
}

// DecodePayload gives the limiters that are out, by a mark.
func DecodePayload(mark uint64) (out []Limiter) {
	for i := range MaxSlots {
		if v := mark >> (i * slotBits) & (1<<slotBits - 1); v > 0 {
			out = append(out, Limiter(v-1))
		}
	}
	return out
}

// nextPayload is the mark that follows one, with others out.
func nextPayload(mark uint64, out []Limiter) uint64 {
	v := (mark>>seqAt + 1) << seqAt
	for i, n := range out {
		v |= (uint64(n) + 1) << (i * slotBits)
	}
	return v
}

// askEvery is how often a limiter that wants a turn asks, and a holder who is out.
const askEvery = 500 * time.Millisecond

// A Requester is a limiter's side: it may want a turn.
type Requester struct {
	wanted      bool
	nonce       uint32 // of the ask that may be granted; later ones are greater
	requestedAt time.Duration
	granted     bool
	until       time.Duration
	reason      string // it has none, though one was given
}

// NewRequester returns one that wants nothing. Its asks are numbered beyond a number that is greater
// at each start: a turn given to an earlier life is none of this one's.
func NewRequester(beyond uint32) Requester { return Requester{nonce: beyond} }

// SetWanted sets whether a turn is wanted. One that it has is given back.
func (s *Requester) SetWanted(is bool) {
	if s.wanted = is; !is {
		s.granted = false
	}
	s.nonce++
	s.requestedAt, s.reason = 0, ""
}

// Slot tells whether a restart may begin now, and until when. Wants is true while it is wanted, and why
// tells what one that was given came to nothing for.
func (s *Requester) Slot(now time.Duration) (until time.Duration, has, wants bool, why string) {
	s.expire(now)
	return s.until, s.granted, s.wanted, s.reason
}

func (s *Requester) expire(now time.Duration) {
	if s.granted && now >= s.until {
		s.SetWanted(false)
		s.reason = "its turn has ended"
	}
}

// Tick gives the ask that is due, and tells when it wants to be called again; 0 for never.
func (s *Requester) Tick(now time.Duration) (m Message, send bool, due time.Duration) {
	s.expire(now)
	switch {
	case s.granted:
		return m, false, s.until
	case !s.wanted:
		return m, false, 0
	case s.requestedAt > 0 && now < s.requestedAt+askEvery:
		return m, false, s.requestedAt + askEvery
	}
	s.requestedAt = now
	return Message{Kind: SlotRequest, Nonce: s.nonce}, true, now + askEvery
}

// HandleGrant takes a turn. Alone tells whether, with others out, this limiter is the last of a customer's;
// then it is not taken, and asked for again.
func (s *Requester) HandleGrant(now time.Duration, m Message, drift float64, alone func(out []Limiter) bool) {
	if !s.wanted || s.granted || m.Nonce != s.nonce {
		return // given to an ask that was withdrawn
	}
	if alone(m.Restarting) {
		s.nonce++
		s.reason = "the others that hold some customer are out"
		return
	}
	// The holder's clock may run slower than this one; by then it still counts the turn.
	s.granted, s.until, s.reason = true, s.requestedAt+time.Duration(float64(m.ValidFor)*(1-2*drift)), ""
	s.expire(now)
}

// HandleQuery answers a holder. One that has no turn takes none that was given before: it may be
// someone else's by now.
func (s *Requester) HandleQuery(now time.Duration, m Message, up bool) Message {
	s.expire(now)
	if !s.granted {
		s.nonce++
	}
	return Message{Kind: StatusReply, Nonce: m.Nonce, HasSlot: s.granted, Serving: up}
}

// A Coordinator is the side of who holds the lease. It is made anew with each lease.
type Coordinator struct {
	token         uint64
	maxConcurrent int
	slotDuration  time.Duration

	grantsFrom time.Duration // no turn before
	payload    uint64        // as it is to stand
	restarting []Limiter
	grants     map[Limiter]uint32 // asks of those that are out, by this holder
	waiting    []waitingRequest   // the first first
	queryNonce uint32
	queried    map[Limiter]uint32        // the number of the poll that counts
	queryAfter map[Limiter]time.Duration // no poll before: what was given may still be on its way
	queriedAt  time.Duration             // of the last polls
}

type waitingRequest struct {
	limiter Limiter
	nonce   uint32
	heardAt time.Duration // heard last
}

// NewCoordinator goes on from a mark. Where there is none, as the keepers are new or lost all they knew,
// turns of before have ended after a while.
func NewCoordinator(token, mark uint64, most int, turn, now time.Duration) *Coordinator {
	h := &Coordinator{
		token: token, maxConcurrent: min(most, MaxSlots), slotDuration: turn, grantsFrom: now, payload: mark, restarting: DecodePayload(mark), grants: map[Limiter]uint32{},
		queried: map[Limiter]uint32{}, queryAfter: map[Limiter]time.Duration{}, queryNonce: uint32(now / time.Millisecond),
	}
	if mark == 0 {
		h.grantsFrom = now + 2*turn // a turn counts from the last ask before it came, and it may have come late
	}
	return h
}

// Restarting are the limiters that are out.
func (h *Coordinator) Restarting() []Limiter { return h.restarting }

// Payload is the mark that is to stand before anything is granted.
func (h *Coordinator) Payload() uint64 { return h.payload }

// asksLast is how long an ask counts that is not repeated.
const asksLast = 4 * askEvery

// HandleRequest books an ask.
func (h *Coordinator) HandleRequest(now time.Duration, who Limiter, nonce uint32) {
	for i := range h.waiting {
		if a := &h.waiting[i]; a.limiter == who {
			a.nonce, a.heardAt = max(a.nonce, nonce), now
			return
		}
	}
	h.waiting = append(h.waiting, waitingRequest{who, nonce, now})
}

// Release frees the place of a limiter that will not come back.
func (h *Coordinator) Release(who Limiter) { h.free(who) }

func (h *Coordinator) free(who Limiter) {
	if i := slices.Index(h.restarting, who); i >= 0 {
		h.restarting = slices.Delete(slices.Clone(h.restarting), i, i+1)
		h.payload = nextPayload(h.payload, h.restarting)
		delete(h.grants, who)
		delete(h.queried, who)
		delete(h.queryAfter, who)
	}
}

// HandleReply takes an answer to a poll in. One that serves and has no turn is back, or never went; an
// answer to an earlier poll tells nothing, as a turn may have been given since.
func (h *Coordinator) HandleReply(who Limiter, m Message) {
	if n, ok := h.queried[who]; ok && n == m.Nonce && !m.HasSlot && m.Serving {
		h.free(who)
	}
}

// Tick gives what is to be said, and tells when it wants to be called again. Stands tells whether the
// mark does.
func (h *Coordinator) Tick(now time.Duration, stands bool) (out []Envelope, due time.Duration) {
	h.waiting = slices.DeleteFunc(h.waiting, func(a waitingRequest) bool { return now > a.heardAt+asksLast })
	due = now + askEvery
	if stands && now >= h.queriedAt+askEvery {
		h.queriedAt = now
		for _, who := range h.restarting {
			if now < h.queryAfter[who] {
				continue
			}
			h.queryNonce++
			h.queried[who] = h.queryNonce
			out = append(out, Envelope{who, Message{Kind: StatusQuery, Nonce: h.queryNonce, Token: h.token}})
		}
	}
	if !stands {
		return out, due
	}
	for _, a := range h.waiting { // what was given may be lost
		if nonce, ok := h.grants[a.limiter]; ok && nonce == a.nonce && slices.Contains(h.restarting, a.limiter) {
			others := slices.DeleteFunc(slices.Clone(h.restarting), func(n Limiter) bool { return n == a.limiter })
			h.queryAfter[a.limiter] = now + askEvery
			out = append(out, Envelope{a.limiter, Message{Kind: SlotGrant, Nonce: nonce, Token: h.token, ValidFor: h.slotDuration, Restarting: others}})
		}
	}
	h.waiting = slices.DeleteFunc(h.waiting, func(a waitingRequest) bool { return slices.Contains(h.restarting, a.limiter) })
	if now < h.grantsFrom {
		return out, min(due, h.grantsFrom)
	}
	if len(h.waiting) > 0 && len(h.restarting) < h.maxConcurrent {
		a := h.waiting[0]
		h.restarting = append(slices.Clone(h.restarting), a.limiter)
		h.grants[a.limiter], h.queryAfter[a.limiter] = a.nonce, now+askEvery
		h.payload = nextPayload(h.payload, h.restarting)
	}
	return out, due
}

// An Envelope is a message and whom it goes to.
type Envelope struct {
	To      Limiter
	Message Message
}
