package usage

import (
	"slices"
	"strconv"
	"time"
)

const (
	// queryRetryInterval is the time to wait for a reply before resending a query.
	queryRetryInterval = 400 * time.Millisecond
	// maxUnansweredQueries is the number of consecutive queries without a reply that make a limiter missing.
	maxUnansweredQueries = 12
)

// Collector collects the usage of one period from all limiters, for the lease holder. It is not safe for
// concurrent use; NewCollector returns one.
type Collector struct {
	Period   uint32 // the period to collect
	Previous uint32 // the previous period; 0 if unknown
	// MayRepeat means that an earlier lease holder may already have written a report of the period: this
	// report counts only if there is no other one.
	MayRepeat bool
	// KnowsAllReports means that the lease holder knows of all earlier reports, so that a period beyond
	// reportedUpTo is in none of them. The caller sets it before the first Tick.
	KnowsAllReports bool
	Token           uint64 // fencing token of the lease holder

	reportedUpTo  []uint32 // by limiter: the last period whose usage is in a report
	queryInterval time.Duration
	nextQueryAt   time.Duration // earliest time of the next query
	sources       []source      // by limiter
	nextSource    int           // index of the source to query next
	incomplete    int           // number of sources that are neither complete nor missing
	pendingPeriod uint32        // see PendingPeriod; 0 for none
}

// source is the state of the collection from one limiter.
type source struct {
	complete bool
	missing  bool
	// withoutUnconfirmed means that requests leave TakesUnconfirmed unset, as the limiter did not reply to
	// the first request, which had it set: limiters of release 0.9.3 ignore such a request.
	withoutUnconfirmed bool
	hasPage            bool // incarnation, firstPeriod and pages are known
	incarnation        uint32
	firstPeriod        uint32
	nextPage           uint16
	pages              uint16        // number of pages
	queriedAt          time.Duration // time of the query that has no reply yet; 0 for none
	unanswered         int           // consecutive queries without a reply
	entries            []Entry
	unconfirmed        []unconfirmedEntries
}

// unconfirmedEntries is unconfirmed usage of one limiter, up to the end of an earlier period.
type unconfirmedEntries struct {
	firstPeriod uint32
	period      uint32
	entries     []Entry
}

// isDone reports whether nothing more is expected of a limiter.
func (s *source) isDone() bool { return s.complete || s.missing }

// Query is a request and the limiter to send it to.
type Query struct {
	To      Limiter
	Request PageRequest
}

// NewCollector returns a collector for a period, under the lease with the given token. reportedUpTo has, by
// limiter, the last period whose usage is known to be in a report. Queries are sent queryInterval apart,
// regardless of the size of the tier. Collector describes the other arguments.
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

// Reported returns, by limiter, the last period whose usage is in a report once the report of this period
// is written.
func (c *Collector) Reported() []uint32 {
	reported := slices.Clone(c.reportedUpTo)
	for n := range c.sources {
		if c.sources[n].complete {
			reported[n] = c.Period
		}
	}
	return reported
}

// Confirmation returns the message to send to the limiters that ToConfirm returns, once the report is known to
// be written.
func (c *Collector) Confirmation() Confirmation {
	return Confirmation{Period: c.Period, Token: c.Token}
}

// ToConfirm returns the limiters whose usage the report includes, except those that may run release 0.9.3,
// which does not know the message. It returns none if the report may not count.
func (c *Collector) ToConfirm() (list []Limiter) {
	if c.MayRepeat {
		return nil
	}
	for n := range c.sources {
		if c.sources[n].complete && !c.sources[n].withoutUnconfirmed {
			list = append(list, Limiter(n))
		}
	}
	return list
}

// Complete reports whether the usage of each limiter is complete, or the limiter is missing.
func (c *Collector) Complete() bool { return c.incomplete == 0 }

// Missing returns the number of missing limiters.
func (c *Collector) Missing() (count int) {
	for i := range c.sources {
		if c.sources[i].missing {
			count++
		}
	}
	return count
}

// PendingPeriod returns the latest period before this one that some limiter has closed and that may or may
// not be in a report, as this lease holder does not know of all earlier reports; 0 for none. A report of that
// period, with MayRepeat, has to be written before the report of this period.
func (c *Collector) PendingPeriod() uint32 { return c.pendingPeriod }

// Tick returns the query that is due, if any, and the time at which to call Tick again; 0 for never.
func (c *Collector) Tick(now time.Duration) (queries []Query, due time.Duration) {
	if c.Complete() {
		return nil, 0
	}
	if now < c.nextQueryAt {
		return nil, c.nextQueryAt
	}
	due = now + queryRetryInterval
	for range c.sources {
		n := c.nextSource
		c.nextSource = (n + 1) % len(c.sources)
		s := &c.sources[n]
		switch {
		case s.isDone():
		case s.queriedAt > 0 && now < s.queriedAt+queryRetryInterval:
			due = min(due, s.queriedAt+queryRetryInterval)
		case s.unanswered >= maxUnansweredQueries:
			c.markMissing(s)
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
	s.withoutUnconfirmed = s.withoutUnconfirmed || (s.unanswered > 0 && !s.hasPage)
	s.queriedAt = now
	s.unanswered++
	return Query{Limiter(n), PageRequest{
		Period:           c.Period,
		Page:             s.nextPage,
		ReportedUpTo:     c.reportedUpTo[n],
		Token:            c.Token,
		KnowsAllReports:  c.KnowsAllReports,
		MayRepeat:        c.MayRepeat,
		TakesUnconfirmed: !s.withoutUnconfirmed,
	}}
}

func (c *Collector) markMissing(s *source) {
	s.missing = true
	c.incomplete--
}

// HandleMessage handles a datagram and reports whether it is a reply to a query.
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
		return // a late reply, or one from a limiter that is not queried
	}
	if !c.MayRepeat && pending.Period < c.Period {
		c.pendingPeriod = max(c.pendingPeriod, pending.Period)
		return
	}
	if s := &c.sources[from]; !s.isDone() {
		c.markMissing(s)
	}
}

// onPage handles a page of a limiter. If the limiter has restarted since its earlier pages, those are dropped.
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
	s.addPage(p)
	if s.nextPage == s.pages {
		s.complete = true
		c.incomplete--
	}
}

// addPage adds a page, which must be the one with the number nextPage.
func (s *source) addPage(p Page) {
	s.hasPage, s.incarnation, s.pages = true, p.Incarnation, p.Pages
	s.nextPage++
	s.unanswered, s.queriedAt = 0, 0
	if p.ClosedPeriod > 0 { // a late reply to the first request, which had TakesUnconfirmed set
		s.withoutUnconfirmed = false
	}
	if p.isUnconfirmed() {
		s.addUnconfirmedPage(p)
		return
	}
	s.firstPeriod = p.FirstPeriod
	s.entries = append(s.entries, unpack(p.Entries)...)
}

// addUnconfirmedPage adds a page of unconfirmed usage to the entries of its period. The pages of one period
// follow each other, so that this is the last period in the list or a new one.
func (s *source) addUnconfirmedPage(p Page) {
	last := len(s.unconfirmed) - 1
	if last < 0 || s.unconfirmed[last].period != p.ClosedPeriod {
		s.unconfirmed = append(s.unconfirmed, unconfirmedEntries{firstPeriod: p.FirstPeriod, period: p.ClosedPeriod})
		last++
	}
	s.unconfirmed[last].entries = append(s.unconfirmed[last].entries, unpack(p.Entries)...)
}

// Report returns the report of the collected usage. plans are the names of the plans by number. The caller
// sets Limiter and At.
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
				Limiter: n, FirstPeriod: u.firstPeriod, Period: u.period, Usage: customerUsage(sumByKey(u.entries), plans),
			})
		}
	}
	r.Usage = customerUsage(sumByKey(entries), plans)
	return r
}

// addFirstPeriod adds a limiter to Restarted of a report if firstPeriod is 0, and to Since if its usage begins
// neither with the period of the report nor with the period after Previous.
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
