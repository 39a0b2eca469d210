// Package usage accounts for the units of the requests that all limiters of a tier forwarded, per customer and
// plan. It divides time into periods. Each period has one report, written by the lease holder of the usage task.
// The package does no I/O, reads no clock and starts no goroutine.
//
// Each limiter has a Recorder. The lease holder collects the usage of all of them, one page at a time, with a
// Collector. The first request for a period closes it at a limiter, so that each unit is in one period of its
// limiter, regardless of the clocks. A closed period is kept at least until a report that includes it is known to
// be written. If it is known to be in no report when the next period is closed, it becomes part of that period.
// Only the lease holder that collected a period knows whether the report was written. If the lease has changed
// hands since, the period is sent along with the next one as unconfirmed usage, and Merge, which reads all
// reports, decides whether it counts.
//
// A period is identified by its number: the wall clock of the lease holder that begins to collect it, divided
// by the length of a period, or one more than the last period's number if that is greater. 0 means no period.
//
// docs/design/leases.md says what is guaranteed, and why it holds.
package usage

// maxKeys is the maximum number of keys in a recorder: the usage of further ones counts for OverflowCustomer.
const maxKeys = 1 << 16

// Recorder records the units of the requests that one limiter forwarded. It is not safe for concurrent use;
// NewRecorder returns one.
type Recorder struct {
	incarnation uint32
	open        map[Key]uint64     // in parts of a unit
	closed      *closedPeriod      // the last closed period, while its pages are kept; nil for none
	delivery    delivery           // of closed
	lastClosed  uint32             // the last period closed by this incarnation; 0 for none
	token       uint64             // the greatest fencing token of a request
	unconfirmed unconfirmedPeriods // periods closed before closed

	// Usage that both processes of a limiter have during a hot restart, of which only one may report it.
	handedOver      []Entry // open usage that the successor has too; nil for none
	inheritedOpen   bool    // open has usage that the predecessor has too
	inheritedClosed bool    // closed has usage that the predecessor has too
}

// NewRecorder returns an empty recorder. The incarnation has to differ from those of the other processes
// of its limiter.
func NewRecorder(incarnation uint32) *Recorder {
	return &Recorder{incarnation: incarnation, open: map[Key]uint64{}}
}

// Add records usage. It ignores units that are not positive.
func (r *Recorder) Add(k Key, units float64) {
	if units <= 0 {
		return
	}
	_, known := r.open[k]
	if !known && (len(r.open) >= maxKeys || len(k.Customer) > maxNameBytes) {
		k.Customer = OverflowCustomer
	}
	r.open[k] += toUnitParts(units)
}

// HandleRequest returns the reply to a request: a Page, or a PendingReport if another period is closed
// that may have to be reported first. It does not reply to a request from a former lease holder, nor to one
// for a period that was closed and is no longer kept.
func (r *Recorder) HandleRequest(p PageRequest) (reply []byte, ok bool) {
	reply, isLastPage, ok := r.handle(p)
	if isLastPage {
		r.delivery.recordSent(p)
	}
	return reply, ok
}

// HandleOwnRequest is HandleRequest for a request that this limiter makes as the lease holder. The pages
// leave the limiter only in a report: the caller calls MarkSent before it has the report written.
func (r *Recorder) HandleOwnRequest(p PageRequest) (reply []byte, ok bool) {
	reply, _, ok = r.handle(p)
	return reply, ok
}

// MarkSent records that the pages that a collector got from HandleOwnRequest may be in a report from now on.
func (r *Recorder) MarkSent(c *Collector) {
	if r.closed != nil && r.closed.Period == c.Period {
		r.delivery.recordSent(PageRequest{Token: c.Token, MayRepeat: c.MayRepeat, TakesUnconfirmed: true})
	}
}

// HandleConfirmation marks the closed period as reported, if the sender knows that for certain. The pages are
// kept until the next period is closed: a lease holder requests them again if all acceptors lose their state.
func (r *Recorder) HandleConfirmation(c Confirmation) {
	if r.closed != nil && r.closed.Period == c.Period && r.delivery.isKnownTo(c.Token) {
		r.setReported()
	}
}

// handle returns the reply to a request, and whether the reply is the last page of the period.
func (r *Recorder) handle(p PageRequest) (reply []byte, isLastPage, ok bool) {
	if p.Token < r.token { // from a former lease holder
		return nil, false, false
	}
	r.token = p.Token
	r.updateClosed(p)
	if p.Period > r.lastClosed {
		switch {
		case r.closed != nil && !p.KnowsAllReports: // the earlier period may or may not be in a report
			return PendingReport{r.closed.Period}.Append(nil), false, true
		case p.MayRepeat: // open usage must not go into a report that may not count
			return r.emptyPage(p), false, true
		}
		r.closePeriod(p.Period) // the first request for it
	}
	return r.reply(p)
}

// updateClosed drops or updates the closed period according to ReportedUpTo of a request, if the sender knows
// for certain whether the period is reported. ReportedUpTo of any other lease holder does not show this: it
// counts all limiters as reported up to the last period known to be written, although some may be missing in
// that report.
func (r *Recorder) updateClosed(p PageRequest) {
	if r.closed == nil || !r.delivery.isKnownTo(p.Token) {
		return
	}
	switch {
	case r.closed.Period <= p.ReportedUpTo: // a report includes it
		r.setReported()
		r.closed = nil
	case r.closed.Period < p.Period && !r.delivery.reported: // no report includes it
		r.delivery = delivery{}
	}
}

// setReported marks the closed period as reported, and clears the unconfirmed usage if it was sent with it.
func (r *Recorder) setReported() {
	r.delivery.reported = true
	if r.delivery.withUnconfirmed {
		r.unconfirmed = nil
	}
}

// emptyPage returns the reply to a request for a report that may repeat an earlier one. Such a report counts
// only if there is no other report of its period, so the open usage is kept for a later period.
func (r *Recorder) emptyPage(p PageRequest) []byte {
	return Page{Period: p.Period, Incarnation: r.incarnation, FirstPeriod: p.Period, Pages: 1}.Append(nil)
}

// reply returns the requested page of the closed period, and whether it is the last one.
func (r *Recorder) reply(p PageRequest) (reply []byte, isLastPage, ok bool) {
	c := r.closed
	if c != nil && c.Period > p.Period { // the usage of p.Period is part of it, unconfirmed, or in a report
		return PendingReport{c.Period}.Append(nil), false, true
	}
	if c == nil || c.Period != p.Period { // no longer kept
		return nil, false, false
	}
	var earlier unconfirmedPeriods
	if p.TakesUnconfirmed {
		earlier = r.unconfirmed
	}
	page := pageOf(c, earlier, p.Page)
	page.Incarnation = r.incarnation
	return page.Append(nil), page.Page+1 == page.Pages, true
}

// closePeriod closes the open period. The period closed before becomes part of it if that is in no report,
// see Page.FirstPeriod; if it may be in a report, it is kept separately, as unconfirmed.
func (r *Recorder) closePeriod(period uint32) {
	c := closedPeriod{Period: period}
	if r.lastClosed > 0 {
		c.FirstPeriod = r.lastClosed + 1
	}
	entries := r.openEntries()
	switch {
	case r.closed == nil || r.delivery.reported:
	case r.delivery.sent:
		r.unconfirmed = r.unconfirmed.add(*r.closed)
	default:
		c.FirstPeriod = r.closed.FirstPeriod
		entries = append(entries, r.closed.entries()...)
	}
	c.Pages = pack(sumByKey(entries))
	r.inheritedClosed = r.inheritedClosed || r.inheritedOpen
	r.inheritedOpen = false
	r.closed, r.delivery, r.lastClosed = &c, delivery{}, period
	clear(r.open)
}

// openEntries returns the usage of the open period, in no particular order.
func (r *Recorder) openEntries() []Entry {
	entries := make([]Entry, 0, len(r.open))
	for k, units := range r.open {
		entries = append(entries, Entry{k, units})
	}
	return entries
}

// UnreportedUnits returns the open units, and the units of the closed period if that is after reportedUpTo, the last
// period that is in a report. Unconfirmed usage is not included.
func (r *Recorder) UnreportedUnits(reportedUpTo uint32) float64 {
	var sum uint64
	for _, units := range r.open {
		sum += units
	}
	if r.closed != nil && r.closed.Period > reportedUpTo {
		for _, e := range r.closed.entries() {
			sum += e.Units
		}
	}
	return float64(sum) / UnitParts
}
