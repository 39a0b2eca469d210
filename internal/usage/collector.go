package usage

import (
	"slices"
	"strconv"
	"time"
)

// Pace of a holder's asks. All together they are one each gap, whatever the size of the tier.
const (
	queryRetryAfter = 400 * time.Millisecond // without an answer: the ask or the answer is lost
	maxUnanswered   = 12                     // asks in a row without an answer: the limiter is missing
)

// A Collector collects one period from all limiters, for the holder of the lease.
type Collector struct {
	Period          uint32
	Previous        uint32 // the period before this one; 0 where nobody knows
	MayBeReported   bool   // an earlier holder may have written it
	KnowsAllReports bool   // the holder knows of all lines before
	Token           uint64

	reportedUpTo  []uint32 // by limiter: the last period of which a line with its use is known
	queryInterval time.Duration
	nextQueryAt   time.Duration // no ask before
	sources       []source
	pendingPeriod uint32 // the greatest period of which a limiter cannot tell whether there is a line
	incomplete    int    // sources that are neither whole nor missing
	nextSource    int
}

// A source is a limiter that is asked.
type source struct {
	heard       bool
	complete    bool
	missing     bool
	incarnation uint32
	firstPeriod uint32
	nextPage    uint16 // the next one
	pages       uint16
	queriedAt   time.Duration
	unanswered  int // asks in a row without an answer
	entries     []Entry
}

// An Query is a Pull and whom it goes to.
type Query struct {
	To      Limiter
	Request PageRequest
}

// NewCollector starts to collect a period. Done is for each limiter the last period of which a line with
// its use is known; asks go out a gap apart.
func NewCollector(period, after uint32, done []uint32, again bool, token uint64, gap, now time.Duration) *Collector {
	return &Collector{
		Period: period, Previous: after, MayBeReported: again, Token: token, reportedUpTo: done, queryInterval: gap, nextQueryAt: now,
		sources: make([]source, len(done)), incomplete: len(done),
	}
}

// Reported tells, once a line with what was collected is written, the last period of each limiter of
// which there is one.
func (g *Collector) Reported() []uint32 {
	done := slices.Clone(g.reportedUpTo)
	for n := range g.sources {
		if g.sources[n].complete {
			done[n] = g.Period
		}
	}
	return done
}

// Complete tells whether each limiter was heard to the end or is missing.
func (g *Collector) Complete() bool { return g.incomplete == 0 }

// Missing is how many limiters are in no line of this period.
func (g *Collector) Missing() (n int) {
	for i := range g.sources {
		if g.sources[i].missing {
			n++
		}
	}
	return n
}

// Tick gives the ask that is due, and tells when it wants to be called again; 0 for never.
func (g *Collector) Tick(now time.Duration) (out []Query, due time.Duration) {
	if g.Complete() {
		return nil, 0
	}
	if now < g.nextQueryAt {
		return nil, g.nextQueryAt
	}
	due = now + queryRetryAfter
	for range g.sources {
		n := g.nextSource
		g.nextSource = (g.nextSource + 1) % len(g.sources)
		s := &g.sources[n]
		if s.complete || s.missing {
			continue
		}
		if s.queriedAt > 0 && now < s.queriedAt+queryRetryAfter {
			due = min(due, s.queriedAt+queryRetryAfter)
			continue
		}
		if s.unanswered >= maxUnanswered {
			s.missing = true
			g.incomplete--
			continue
		}
		s.queriedAt, s.unanswered, g.nextQueryAt = now, s.unanswered+1, now+g.queryInterval
		out = []Query{{Limiter(n), PageRequest{Period: g.Period, Page: s.nextPage, ReportedUpTo: g.reportedUpTo[n], Token: g.Token, KnowsAllReports: g.KnowsAllReports, MayBeReported: g.MayBeReported}}}
		return out, g.nextQueryAt
	}
	if g.Complete() {
		return nil, 0
	}
	return nil, due
}

// PendingPeriod gives the greatest period that a limiter has closed and that this holder, who was told of no
// lines before, does not know of; 0 for none. It has to be written, again, before this one.
func (g *Collector) PendingPeriod() uint32 { return g.pendingPeriod }

// HandleMessage takes an answer in, and tells whether it is one.
func (g *Collector) HandleMessage(from Limiter, data []byte) bool {
	if o, ok := ParsePendingReport(data); ok {
		switch {
		case g.KnowsAllReports || int(from) >= len(g.sources): // a late one
		case !g.MayBeReported && o.Period < g.Period:
			g.pendingPeriod = max(g.pendingPeriod, o.Period)
		case !g.sources[from].complete && !g.sources[from].missing: // of what it has nobody knows more
			g.sources[from].missing = true
			g.incomplete--
		}
		return true
	}
	p, ok := ParsePage(data)
	if ok {
		g.page(from, p)
	}
	return ok
}

func (g *Collector) page(from Limiter, p Page) {
	if int(from) >= len(g.sources) || p.Period != g.Period {
		return
	}
	s := &g.sources[from]
	if s.complete || s.missing {
		return
	}
	if s.heard && s.incarnation != p.Incarnation { // it died in between: what it told is not all, nor ever will be
		*s = source{unanswered: s.unanswered}
	}
	if p.Page != s.nextPage {
		return
	}
	s.heard, s.incarnation, s.firstPeriod, s.pages = true, p.Incarnation, p.FirstPeriod, p.Pages
	s.entries = append(s.entries, unpack(p.Entries)...)
	s.nextPage, s.unanswered, s.queriedAt = s.nextPage+1, 0, 0
	if s.nextPage == s.pages {
		s.complete = true
		g.incomplete--
	}
}

// A Report is a period's use, as it is written.
type Report struct {
	Period    uint32            `json:"period"`
	Previous  uint32            `json:"after"` // the period before; 0 where nobody knows
	Token     uint64            `json:"token"`
	Limiter   int               `json:"limiter"`         // that wrote it
	At        string            `json:"at"`              // by that one's wall clock
	MayRepeat bool              `json:"again,omitempty"` // it counts only where no other line has this period
	Missing   []int             `json:"missing,omitempty"`
	Restarted []int             `json:"anew,omitempty"`  // limiters that started since the line before: what they used before that and did not tell is lost
	Since     map[string]uint32 `json:"since,omitempty"` // limiters whose use is that of earlier periods too, and the first of these
	Usage     []CustomerUsage   `json:"use"`
}

// CustomerUsage is what a customer used.
type CustomerUsage struct {
	Customer string  `json:"customer"`
	Plan     string  `json:"plan"`
	Units    float64 `json:"units"`
}

// Report gives what was collected. Plans are the names by number.
func (g *Collector) Report(plans []string) Report {
	l := Report{Period: g.Period, Previous: g.Previous, Token: g.Token, MayRepeat: g.MayBeReported, Usage: []CustomerUsage{}}
	var all []Entry
	for n := range g.sources {
		s := &g.sources[n]
		if !s.complete {
			l.Missing = append(l.Missing, n)
			continue
		}
		switch {
		case s.firstPeriod == 0:
			l.Restarted = append(l.Restarted, n)
		case s.firstPeriod != g.Period && s.firstPeriod != g.Previous+1:
			if l.Since == nil {
				l.Since = map[string]uint32{}
			}
			l.Since[strconv.Itoa(n)] = s.firstPeriod
		}
		all = append(all, s.entries...)
	}
	for _, e := range total(slices.Clone(all)) {
		u := CustomerUsage{Customer: e.Customer, Units: float64(e.Units) / UnitParts}
		if int(e.Plan) < len(plans) {
			u.Plan = plans[e.Plan]
		}
		l.Usage = append(l.Usage, u)
	}
	return l
}
