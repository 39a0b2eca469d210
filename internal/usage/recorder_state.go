package usage

// Reset begins a new incarnation, after another process of the limiter recorded in place of this one and
// died. The usage that the other process recorded is lost. The closed period of this one is dropped: the
// other had it from the state, and may have had it reported as part of another one. The open usage of this
// process is kept, see DropHandedOver.
func (r *Recorder) Reset(incarnation uint32) {
	r.incarnation, r.lastClosed, r.closed = incarnation, 0, nil
}

// RecorderState is what a recorder remembers, for another process of the same limiter. The tags are a
// format that processes of other releases read.
type RecorderState struct {
	Incarnation uint32        `json:"Life"`
	Last        uint32        `json:"Last"` // period closed last
	Token       uint64        `json:"Token"`
	Open        []Entry       `json:"Open"`
	Closed      *closedPeriod `json:"Closed"`
	// ClosedReported means that a report that counts has Closed.
	ClosedReported bool `json:"ClosedReported,omitempty" since:"0.9.4"`
	// Unconfirmed are periods closed before Closed of which this limiter does not know whether a report has
	// them.
	Unconfirmed []closedPeriod `json:"Unconfirmed,omitempty" since:"0.9.4"`
}

// State returns what the recorder remembers.
func (r *Recorder) State() *RecorderState {
	s := &RecorderState{
		Incarnation: r.incarnation, Last: r.lastClosed, Token: r.token, Closed: r.closed,
		ClosedReported: r.delivery.reported, Unconfirmed: r.unconfirmed,
	}
	s.Open = total(r.openEntries())
	r.handedOver = s.Open
	return s
}

// Add records usage in a state that was not restored yet.
func (s *RecorderState) Add(k Key, units float64) {
	s.Open = append(s.Open, Entry{k, parts(max(units, 0))})
}

// Restore replaces the state by that of another process of the same limiter, nil for none, but keeps the
// open usage of this process and adds the other's.
func (r *Recorder) Restore(s *RecorderState) {
	if s == nil {
		return
	}
	r.incarnation, r.lastClosed, r.token, r.closed = s.Incarnation, s.Last, s.Token, s.Closed
	r.unconfirmed = s.Unconfirmed
	r.delivery = delivery{sent: true, reported: s.ClosedReported} // by the other process, as far as is known here
	for _, e := range s.Open {
		r.open[e.Key] += e.Units
	}
	r.inheritedOpen = len(s.Open) > 0
}

// TakeInheritedSent reports whether usage that the predecessor has too was sent since the last call. The
// predecessor has to call DropHandedOver then: a report may have the usage.
func (r *Recorder) TakeInheritedSent() bool {
	if !r.inheritedClosed || !r.delivery.sent {
		return false
	}
	r.inheritedClosed = false
	return true
}

// DropHandedOver forgets the open usage that the successor has too, as that may be in a report.
func (r *Recorder) DropHandedOver() {
	for _, e := range r.handedOver {
		if r.open[e.Key] <= e.Units {
			delete(r.open, e.Key)
		} else {
			r.open[e.Key] -= e.Units
		}
	}
	r.handedOver = nil
}
