package usage

// Reset starts a new incarnation, after another process of the limiter recorded in place of this one and
// died. The usage that the other process recorded is lost. The closed period of this process is dropped: the
// other process had it from the state, and may have had it reported as part of another period. The open usage
// of this process is kept, see DropHandedOver.
func (r *Recorder) Reset(incarnation uint32) {
	r.incarnation, r.lastClosed, r.closed = incarnation, 0, nil
}

// RecorderState is the state of a recorder, for another process of the same limiter. The JSON keys are a format
// that processes of other releases read.
type RecorderState struct {
	Incarnation uint32        `json:"Life"`
	LastClosed  uint32        `json:"Last"` // the last closed period
	Token       uint64        `json:"Token"`
	Open        []Entry       `json:"Open"`
	Closed      *closedPeriod `json:"Closed"`
	// ClosedReported means that a report that counts includes Closed.
	ClosedReported bool `json:"ClosedReported,omitempty" since:"0.9.4"`
	// Unconfirmed are periods closed before Closed for which this limiter does not know whether a report
	// includes them.
	Unconfirmed []closedPeriod `json:"Unconfirmed,omitempty" since:"0.9.4"`
}

// State returns the state of the recorder, and records its open usage as handed over.
func (r *Recorder) State() *RecorderState {
	s := &RecorderState{
		Incarnation: r.incarnation, LastClosed: r.lastClosed, Token: r.token, Closed: r.closed,
		ClosedReported: r.delivery.reported, Unconfirmed: r.unconfirmed,
	}
	s.Open = sumByKey(r.openEntries())
	r.handedOver = s.Open
	return s
}

// Add records usage in a state that has not been restored yet.
func (s *RecorderState) Add(k Key, units float64) {
	s.Open = append(s.Open, Entry{k, toUnitParts(max(units, 0))})
}

// Restore replaces the state with that of another process of the same limiter, nil for none, but keeps the
// open usage of this process and adds that of the other one.
func (r *Recorder) Restore(s *RecorderState) {
	if s == nil {
		return
	}
	r.incarnation, r.lastClosed, r.token, r.closed = s.Incarnation, s.LastClosed, s.Token, s.Closed
	r.unconfirmed = s.Unconfirmed
	r.delivery = delivery{sent: true, reported: s.ClosedReported} // the other process may have sent it
	for _, e := range s.Open {
		r.open[e.Key] += e.Units
	}
	r.inheritedOpen = len(s.Open) > 0
}

// TakeInheritedSent reports whether usage that the predecessor has too was sent since the last call. If so,
// the predecessor has to call DropHandedOver: a report may include the usage.
func (r *Recorder) TakeInheritedSent() bool {
	if !r.inheritedClosed || !r.delivery.sent {
		return false
	}
	r.inheritedClosed = false
	return true
}

// DropHandedOver drops the open usage that the successor has too, as a report may include it.
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
