package rollingrestart

import "time"

// Why a Requester lost a slot, as operators have seen it since 0.8.0.
const (
	reasonExpired   = "its turn has ended"
	reasonLastOfSet = "the others that hold some customer are out"
)

// Requester is the side of a limiter that may want to restart. It is not safe for concurrent use; see
// NewRequester.
type Requester struct {
	wanted      bool
	nonce       uint32 // of the request that may be granted; those of later ones are greater
	requestedAt time.Duration
	granted     bool
	until       time.Duration
	reason      string // why a slot was lost, or not accepted
}

// NewRequester returns a requester that wants no slot. Its requests have nonces beyond the given one,
// which is greater at each start of the limiter: grants to an earlier incarnation do not count.
func NewRequester(nonce uint32) Requester { return Requester{nonce: nonce} }

// SetWanted sets whether a slot is wanted. One that is granted and no longer wanted is given up.
func (r *Requester) SetWanted(wanted bool) {
	r.wanted = wanted
	if !wanted {
		r.granted = false
	}
	r.nonce++
	r.requestedAt, r.reason = 0, ""
}

// Slot reports whether a restart may begin now, and until when; whether a slot is wanted; and why the
// last one was lost or not accepted.
func (r *Requester) Slot(now time.Duration) (until time.Duration, granted, wanted bool, reason string) {
	r.expire(now)
	return r.until, r.granted, r.wanted, r.reason
}

// expire gives up a slot that is no longer valid.
func (r *Requester) expire(now time.Duration) {
	if r.granted && now >= r.until {
		r.SetWanted(false)
		r.reason = reasonExpired
	}
}

// Tick returns the request that is due, if send is true, and when it has to be called again; 0 for
// never.
func (r *Requester) Tick(now time.Duration) (m Message, send bool, due time.Duration) {
	r.expire(now)
	if r.granted {
		return m, false, r.until
	}
	if !r.wanted {
		return m, false, 0
	}
	if next := r.requestedAt + requestInterval; r.requestedAt > 0 && now < next {
		return m, false, next
	}
	r.requestedAt = now
	return Message{Kind: SlotRequest, Nonce: r.nonce}, true, now + requestInterval
}

// HandleGrant accepts a slot, if it was granted to the last request. It does not if this limiter would
// be the only one left for some customer, as isLast reports of those that are restarting; then it
// requests a slot anew.
//
// The slot is valid from the request on, for less than ValidFor by this clock: the coordinator's may
// run slower by clockDrift, a fraction.
func (r *Requester) HandleGrant(now time.Duration, m Message, clockDrift float64, isLast func(restarting []Limiter) bool) {
	if !r.wanted || r.granted || m.Nonce != r.nonce {
		return
	}
	if isLast(m.Restarting) {
		r.nonce++
		r.reason = reasonLastOfSet
		return
	}
	validFor := time.Duration(float64(m.ValidFor) * (1 - 2*clockDrift))
	r.granted, r.until, r.reason = true, r.requestedAt+validFor, ""
	r.expire(now)
}

// HandleQuery returns the reply to a coordinator's query. A limiter that reports no slot accepts none
// that was granted before: another limiter may have it by now.
func (r *Requester) HandleQuery(now time.Duration, m Message, serving bool) Message {
	r.expire(now)
	if !r.granted {
		r.nonce++
	}
	return Message{Kind: StatusReply, Nonce: m.Nonce, HasSlot: r.granted, Serving: serving}
}
