package rollingrestart

import "time"

// Reasons why a Requester lost a grant or did not accept it. Operators have seen these texts since 0.8.0.
const (
	reasonExpired   = "its turn has ended"
	reasonLastOfSet = "the others that hold some customer are out"
)

// Requester is the side of a limiter that may want to restart. It is not safe for concurrent use; see
// NewRequester.
type Requester struct {
	wanted      bool
	nonce       uint32        // of the current request; incremented so that earlier requests may not be granted
	requestedAt time.Duration // when the request was last sent; 0 for never
	granted     bool
	until       time.Duration // of the grant
	reason      string        // why a grant was lost, or not accepted
}

// NewRequester returns a requester that does not want to restart. The nonces of its requests count up
// from the given one: the epoch of the limiter's start, in ms modulo 2^32. The only requirement is that they
// differ from those of earlier incarnations, so that grants to those are ignored.
func NewRequester(nonce uint32) Requester { return Requester{nonce: nonce} }

// SetWanted sets whether a restart is wanted. A grant is discarded once no restart is wanted.
func (r *Requester) SetWanted(wanted bool) {
	r.wanted = wanted
	if !wanted {
		r.granted = false
	}
	r.nonce++
	r.requestedAt, r.reason = 0, ""
}

// Grant reports whether a restart may begin now, and until when; whether a restart is wanted; and why the
// last grant was lost or not accepted.
func (r *Requester) Grant(now time.Duration) (until time.Duration, granted, wanted bool, reason string) {
	r.expire(now)
	return r.until, r.granted, r.wanted, r.reason
}

// expire discards a grant that is no longer valid.
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

// HandleGrant accepts a grant to the current request. It does not accept the grant if isLast reports that this
// limiter is the only one left for some customer while the others restart; then a request with a new nonce follows.
//
// The grant is valid from the request on, for less than ValidFor by this clock. ClockDrift is the maximum
// deviation of any clock's rate from true time, as a fraction, so that the coordinator's clock and this one
// differ by up to twice that.
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

// HandleQuery returns the reply to a coordinator's query. A limiter that reports no grant ignores grants to
// earlier requests, because its slot may belong to another limiter by now.
func (r *Requester) HandleQuery(now time.Duration, m Message, serving bool) Message {
	r.expire(now)
	if !r.granted {
		r.nonce++
	}
	return Message{Kind: StatusReply, Nonce: m.Nonce, HasGrant: r.granted, Serving: serving}
}
