package usage

import (
	"slices"
	"strconv"
	"time"
)

const (
	// queryRetryAfter is after how long a query without a reply is sent again.
	queryRetryAfter = 400 * time.Millisecond
	// maxUnanswered is how many queries in a row without a reply make a limiter missing.
	maxUnanswered = 12
)

// Collector collects the usage of one period from all limiters, for the lease holder. It is not safe
// for concurrent use; see NewCollector.
type Collector struct {
	Period   uint32
	Previous uint32 // the period before; 0 if unknown
	// MayRepeat means that an earlier lease holder may have written a report of the period already: this
	// one counts only if there is no other.
	MayRepeat bool
	// KnowsAllReports means that the lease holder knows of all reports before, so that a period beyond
	// reportedUpTo is in none. The caller sets it before the first Tick.
	KnowsAllReports bool
	Token           uint64 // fencing token of the lease holder

	reportedUpTo  []uint32 // by limiter: the last period whose usage is in a report
	queryInterval time.Duration
	nextQueryAt   time.Duration // no query before
	sources       []source      // by limiter
	nextSource    int           // index of the source to query next
	incomplete    int           // sources that are neither complete nor missing
	pendingPeriod uint32        // see PendingPeriod; 0 for none
}

// source is what has come from one limiter.
type source struct {
	complete bool
	missing  bool
	// plain means that requests are without TakesUnconfirmed, as the limiter did not reply to the first one:
	// 0.9.3 does not.
	plain       bool
	hasPage     bool // incarnation, firstPeriod and pages are known
	incarnation uint32
	firstPeriod uint32
	nextPage    uint16
	pages       uint16
	queriedAt   time.Duration // without a reply since; 0 for none
	unanswered  int           // queries in a row without a reply
	entries     []Entry
	unconfirmed []unconfirmedEntries
}

// unconfirmedEntries is unconfirmed usage of one limiter, up to the end of an earlier period.
type unconfirmedEntries struct {
	firstPeriod uint32
	period      uint32
	entries     []Entry
}

// isDone reports whether nothing more is expected of a limiter.
func (s *source) isDone() bool { return s.complete || s.missing }

// Query is a request with its receiver.
type Query struct {
	To      Limiter
	Request PageRequest
}

// NewCollector returns a collector of a period, under a lease with the given token. ReportedUpTo is, by
// limiter, the last period whose usage is known to be in a report. Queries are sent queryInterval apart,
// whatever the size of the tier. See Collector for the other arguments.
func NewCollector(
	period, previous uint32, reportedUpTo []uint32, mayRepeat bool, token uint64, queryInterval, now time.Duration,
) *Collector {
	return &Collector{
		Period:        period,
		Previous:      previous,
		MayRepeat:     mayRepeat,
		Token:         token,
		reportedUpTo:  reportedUpTo,
		queryInterval: queryInterval,
		nextQueryAt:   now,
		sources:       make([]source, len(reportedUpTo)),
		incomplete:    len(reportedUpTo),
	}
}

// Reported returns, by limiter, the last period whose usage is in a report once that of this period is
// written.
func (c *Collector) Reported() []uint32 {
	reported := slices.Clone(c.reportedUpTo)
	for n := range c.sources {
		if c.sources[n].complete {
			reported[n] = c.Period
		}
	}
	return reported
}

// Confirmation returns the message for the limiters of ToConfirm, to be sent once the report is known to be
// written.
func (c *Collector) Confirmation() Confirmation {
	return Confirmation{Period: c.Period, Token: c.Token}
}

// ToConfirm returns the limiters whose usage the report has, but for those that may be of 0.9.3 and do not
// know the message. There are none if the report may not count.
func (c *Collector) ToConfirm() (list []Limiter) {
	if c.MayRepeat {
		return nil
	}
	for n := range c.sources {
		if c.sources[n].complete && !c.sources[n].plain {
			list = append(list, Limiter(n))
		}
	}
	return list
}

// Complete reports whether the usage of each limiter is complete, or the limiter is missing.
func (c *Collector) Complete() bool { return c.incomplete == 0 }

// Missing returns how many limiters are missing.
func (c *Collector) Missing() (count int) {
	for i := range c.sources {
		if c.sources[i].missing {
			count++
		}
	}
	return count
}

// PendingPeriod returns the greatest period before this one that some limiter has closed and that may be in
// a report or not, as this lease holder knows of no reports before; 0 for none. A report of it, with
// MayRepeat, has to be written before that of this period.
func (c *Collector) PendingPeriod() uint32 { return c.pendingPeriod }

// Tick returns the query that is due, and when it has to be called again; 0 for never.
func (c *Collector) Tick(now time.Duration) (out []Query, due time.Duration) {
	if c.Complete() {
		return nil, 0
	}
	if now < c.nextQueryAt {
		return nil, c.nextQueryAt
	}
	due = now + queryRetryAfter
	for range c.sources {
		n := c.nextSource
		c.nextSource = (n + 1) % len(c.sources)
		s := &c.sources[n]
		switch {
		case s.isDone():
		case s.queriedAt > 0 && now < s.queriedAt+queryRetryAfter:
			due = min(due, s.queriedAt+queryRetryAfter)
		case s.unanswered >= maxUnanswered:
			c.setMissing(s)
		default:
			c.nextQueryAt = now + c.queryInterval
			return []Query{c.query(n, now)}, c.nextQueryAt
		}
	}
	if c.Complete() {
		return nil, 0
	}
	return nil, due
}

// query returns the next query to a limiter.
func (c *Collector) query(n int, now time.Duration) Query {
	s := &c.sources[n]
	s.plain = s.plain || (s.unanswered > 0 && !s.hasPage)
	s.queriedAt = now
	s.unanswered++
	return Query{Limiter(n), PageRequest{
		Period:           c.Period,
		Page:             s.nextPage,
		ReportedUpTo:     c.reportedUpTo[n],
		Token:            c.Token,
		KnowsAllReports:  c.KnowsAllReports,
		MayRepeat:        c.MayRepeat,
		TakesUnconfirmed: !s.plain,
	}}
}

func (c *Collector) setMissing(s *source) {
	s.missing = true
	c.incomplete--
}

// HandleMessage handles a datagram, and reports whether it is a reply to a query.
func (c *Collector) HandleMessage(from Limiter, data []byte) bool {
	if pending, ok := ParsePendingReport(data); ok {
		c.onPendingReport(from, pending)
		return true
	}
	page, ok := ParsePage(data)
	if ok {
		c.onPage(from, page)
	}
	return ok
}

// onPendingReport handles the reply of a limiter that has closed another period. If that period cannot be
// reported before this one, the limiter's usage is missing from this report.
func (c *Collector) onPendingReport(from Limiter, pending PendingReport) {
	if c.KnowsAllReports || int(from) >= len(c.sources) {
		return // a late one
	}
	if !c.MayRepeat && pending.Period < c.Period {
		c.pendingPeriod = max(c.pendingPeriod, pending.Period)
		return
	}
	if s := &c.sources[from]; !s.isDone() {
		c.setMissing(s)
	}
}

// onPage handles the next page of a limiter. If the limiter has started again since, the pages of its
// earlier incarnation are dropped.
func (c *Collector) onPage(from Limiter, p Page) {
	if int(from) >= len(c.sources) || p.Period != c.Period {
		return
	}
	s := &c.sources[from]
	if s.isDone() {
		return
	}
	if s.hasPage && s.incarnation != p.Incarnation {
		*s = source{unanswered: s.unanswered}
	}
	if p.Page != s.nextPage {
		return
	}
	s.add(p)
	if s.nextPage == s.pages {
		s.complete = true
		c.incomplete--
	}
}

// add adds the next page.
func (s *source) add(p Page) {
	s.hasPage, s.incarnation, s.pages = true, p.Incarnation, p.Pages
	s.nextPage++
	s.unanswered, s.queriedAt = 0, 0
	if p.ClosedPeriod > 0 { // a late reply to the first request
		s.plain = false
	}
	if p.isUnconfirmed() {
		s.addUnconfirmed(p)
		return
	}
	s.firstPeriod = p.FirstPeriod
	s.entries = append(s.entries, unpack(p.Entries)...)
}

// addUnconfirmed adds a page of an earlier period, which has the pages before or begins here.
func (s *source) addUnconfirmed(p Page) {
	last := len(s.unconfirmed) - 1
	if last < 0 || s.unconfirmed[last].period != p.ClosedPeriod {
		s.unconfirmed = append(s.unconfirmed, unconfirmedEntries{firstPeriod: p.FirstPeriod, period: p.ClosedPeriod})
		last++
	}
	s.unconfirmed[last].entries = append(s.unconfirmed[last].entries, unpack(p.Entries)...)
}

// Report returns the report of what was collected. Plans are the names of plans by their numbers. The
// caller adds who wrote it, and when.
func (c *Collector) Report(plans []string) Report {
	r := Report{Period: c.Period, Previous: c.Previous, Token: c.Token, MayRepeat: c.MayRepeat}
	var entries []Entry
	for n := range c.sources {
		s := &c.sources[n]
		if !s.complete {
			r.Missing = append(r.Missing, n)
			continue
		}
		c.addFirstPeriod(&r, n, s.firstPeriod)
		entries = append(entries, s.entries...)
		for _, u := range s.unconfirmed {
			r.Unconfirmed = append(r.Unconfirmed, UnconfirmedUsage{
				Limiter: n, FirstPeriod: u.firstPeriod, Period: u.period, Usage: customerUsage(total(u.entries), plans),
			})
		}
	}
	r.Usage = customerUsage(total(entries), plans)
	return r
}

// addFirstPeriod notes in a report if a limiter's usage does not begin where the report before ended.
func (c *Collector) addFirstPeriod(r *Report, limiter int, firstPeriod uint32) {
	switch firstPeriod {
	case 0:
		r.Restarted = append(r.Restarted, limiter)
	case c.Period, c.Previous + 1:
	default:
		if r.Since == nil {
			r.Since = map[string]uint32{}
		}
		r.Since[strconv.Itoa(limiter)] = firstPeriod
	}
}
