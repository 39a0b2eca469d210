// Package usage accounts for what all limiters of a tier forwarded, per customer and plan: one period
// after another, each in one report, written by whoever holds the lease of the task. It does no I/O,
// reads no clock and starts no goroutine.
//
// Each limiter has a Recorder. The lease holder collects from all of them, a page at a time, with a
// Collector. The first request for a period closes it at a limiter, so that each unit is in one period of
// its limiter, whatever the clocks. A closed period is kept until a report that includes it is known to
// be written; otherwise it becomes part of the next period.
//
// docs/design/leases.md says what is promised, and why it holds.
package usage

// maxCustomers bounds a recorder: the usage of further customers is that of OverflowCustomer.
const maxCustomers = 1 << 16

// Recorder records what one limiter forwarded. It is not safe for concurrent use; see NewRecorder.
type Recorder struct {
	incarnation uint32
	open        map[Key]uint64 // in parts of a unit
	closed      *closedPeriod  // not known to be reported; nil for none
	lastClosed  uint32         // the last period closed by this incarnation; 0 for none
	token       uint64         // the greatest fencing token of a request
}

// closedPeriod is the usage of a period that is over, and of what lies between the one before and it.
type closedPeriod struct {
	Period      uint32   `json:"Period"`
	FirstPeriod uint32   `json:"From"` // that is included; 0 if it is the first one of the incarnation
	Pages       [][]byte `json:"Pages"`
}

// NewRecorder returns an empty recorder. The incarnation differs from those of other processes of its
// limiter.
func NewRecorder(incarnation uint32) *Recorder {
	return &Recorder{incarnation: incarnation, open: map[Key]uint64{}}
}

// Add records usage. Units that are not positive do not count.
func (r *Recorder) Add(k Key, units float64) {
	if units <= 0 {
		return
	}
	_, known := r.open[k]
	if !known && (len(r.open) >= maxCustomers || len(k.Customer) > maxNameBytes) {
		k.Customer = OverflowCustomer
	}
	r.open[k] += parts(units)
}

// HandleRequest returns the reply to a request: a page, or a pending report that comes first. It is
// false for a request of a former lease holder, or for a period that was reported long ago.
func (r *Recorder) HandleRequest(p PageRequest) (reply []byte, ok bool) {
	if p.Token < r.token {
		return nil, false
	}
	r.token = p.Token
	if r.closed != nil && r.closed.Period <= p.ReportedUpTo {
		r.closed = nil
	}
	if p.Period > r.lastClosed {
		switch {
		case r.closed != nil && !p.KnowsAllReports:
			return PendingReport{r.closed.Period}.Append(nil), true
		case p.MayRepeat:
			return r.emptyPage(p), true
		}
		r.closePeriod(p.Period)
	}
	return r.reply(p)
}

// emptyPage is the reply where the period may be reported without this limiter's open usage: a repeated
// report counts only where there is no other one, so that usage stays in a later period.
func (r *Recorder) emptyPage(p PageRequest) []byte {
	return Page{Period: p.Period, Incarnation: r.incarnation, FirstPeriod: p.Period, Pages: 1}.Append(nil)
}

// reply returns the page of the closed period that was requested.
func (r *Recorder) reply(p PageRequest) (reply []byte, ok bool) {
	c := r.closed
	if c != nil && c.Period > p.Period {
		return PendingReport{c.Period}.Append(nil), true
	}
	if c == nil || c.Period != p.Period {
		return nil, false
	}
	if int(p.Page) >= len(c.Pages) {
		p.Page = 0 // the collector goes on from an earlier incarnation, and finds out by this page
	}
	return Page{
		Period:      p.Period,
		Incarnation: r.incarnation,
		FirstPeriod: c.FirstPeriod,
		Page:        p.Page,
		Pages:       uint16(len(c.Pages)),
		Entries:     c.Pages[p.Page],
	}.Append(nil), true
}

// closePeriod closes the open period. One that was closed before and is in no report is included, and
// FirstPeriod says so.
func (r *Recorder) closePeriod(period uint32) {
	c := closedPeriod{Period: period}
	if r.lastClosed > 0 {
		c.FirstPeriod = r.lastClosed + 1
	}
	entries := r.openEntries()
	if r.closed != nil {
		c.FirstPeriod = r.closed.FirstPeriod
		for _, page := range r.closed.Pages {
			entries = append(entries, unpack(page)...)
		}
	}
	c.Pages = pack(total(entries))
	r.closed, r.lastClosed = &c, period
	clear(r.open)
}

// openEntries returns the usage of the open period, in no order.
func (r *Recorder) openEntries() []Entry {
	entries := make([]Entry, 0, len(r.open))
	for k, units := range r.open {
		entries = append(entries, Entry{k, units})
	}
	return entries
}

// UnreportedUnits returns the units that are in no report, if periods up to reportedUpTo are reported.
func (r *Recorder) UnreportedUnits(reportedUpTo uint32) float64 {
	var sum uint64
	for _, units := range r.open {
		sum += units
	}
	if r.closed != nil && r.closed.Period > reportedUpTo {
		for _, page := range r.closed.Pages {
			for _, e := range unpack(page) {
				sum += e.Units
			}
		}
	}
	return float64(sum) / UnitParts
}

// Reset begins a new incarnation, after another process of the limiter recorded in place of this one
// and died: what it recorded is lost, as with a start.
func (r *Recorder) Reset(incarnation uint32) {
	r.incarnation, r.lastClosed, r.closed = incarnation, 0, nil
}

// RecorderState is what a recorder remembers, for another process of the same limiter.
type RecorderState struct {
	Incarnation uint32        `json:"Life"`
	Last        uint32        `json:"Last"` // period closed last
	Token       uint64        `json:"Token"`
	Open        []Entry       `json:"Open"`
	Closed      *closedPeriod `json:"Closed"`
}

// State returns what the recorder remembers.
func (r *Recorder) State() *RecorderState {
	s := &RecorderState{Incarnation: r.incarnation, Last: r.lastClosed, Token: r.token, Closed: r.closed}
	s.Open = total(r.openEntries())
	return s
}

// Add records usage while the state is in transit.
func (s *RecorderState) Add(k Key, units float64) {
	s.Open = append(s.Open, Entry{k, parts(max(units, 0))})
}

// Restore goes on from the state of another process of the same limiter, nil for none, and adds the open
// usage of this one.
func (r *Recorder) Restore(s *RecorderState) {
	if s == nil {
		return
	}
	r.incarnation, r.lastClosed, r.token, r.closed = s.Incarnation, s.Last, s.Token, s.Closed
	for _, e := range s.Open {
		r.open[e.Key] += e.Units
	}
}
