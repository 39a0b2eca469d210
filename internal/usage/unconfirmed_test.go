package usage

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// A limiter's last page is lost, it is missing in the report, and the lease changes hands: its usage comes
// with a later report.
func TestUsageOfLostLastPageIsReported(t *testing.T) {
	p := newTestPeriods(t, 2)
	p.changeLease(0)
	p.report(nothingLost)
	for _, r := range p.recorders {
		r.Add(Key{"c", 0}, 21)
	}
	p.report(repliesLost(1))
	p.recorders[1].Add(Key{"c", 0}, 5)
	p.changeLease(0)
	p.report(cutOff(1))
	p.report(nothingLost)
	if s := p.check(21 + 21 + 5); len(s.Faults) > 0 {
		t.Errorf("%q", s.Faults)
	}
}

// A lease holder has all pages of a limiter and dies before its report is written; the limiter is missing
// in the report that takes its place, and the lease changes hands once more.
func TestUsageOfReportNeverWrittenIsReported(t *testing.T) {
	p := newTestPeriods(t, 2)
	for _, r := range p.recorders {
		r.Add(Key{"c", 0}, 136)
	}
	p.changeLease(0)
	c := p.open()
	p.query(c, nothingLost)
	p.claim(c)
	p.changeLease(0)
	p.report(cutOff(1))
	p.changeLease(0)
	p.report(nothingLost)
	if s := p.check(2 * 136); len(s.Faults) > 0 {
		t.Errorf("%q", s.Faults)
	}
}

// A lease holder writes its report and is cut off before the acceptors know of it; it is missing in the
// repeated report of the next one, and does not have its usage reported once more.
func TestUsageMissingInRepeatedReportIsReportedOnce(t *testing.T) {
	p := newTestPeriods(t, 2)
	for _, r := range p.recorders {
		r.Add(Key{"c", 0}, 43)
	}
	p.changeLease(0)
	c := p.open()
	p.query(c, nothingLost)
	p.claim(c)
	p.write(c)
	p.changeLease(1)
	p.report(cutOff(0))
	p.report(nothingLost)
	if s := p.check(2 * 43); len(s.Faults) > 0 || len(p.reports[2].Unconfirmed) != 2 {
		t.Errorf("%q, %+v", s.Faults, p.reports)
	}
}

// A holder that stays knows what its reports have: no usage is sent as unconfirmed, also where a limiter
// was missing.
func TestUsageIsConfirmedUnderOneLease(t *testing.T) {
	p := newTestPeriods(t, 2)
	p.changeLease(0)
	for range 3 {
		p.recorders[1].Add(Key{"c", 0}, 2)
		p.report(repliesLost(1))
		p.recorders[1].Add(Key{"c", 0}, 3)
		p.report(nothingLost)
	}
	p.check(15)
	for _, r := range p.reports {
		if len(r.Unconfirmed) > 0 {
			t.Errorf("%+v", r)
		}
	}
}

// Where the lease changes hands between two periods, usage that was confirmed is not sent again, over a hot
// restart either, and that of a limiter which got no confirmation is.
func TestConfirmedUsageIsNotSentAgain(t *testing.T) {
	p := newTestPeriods(t, 3)
	for _, r := range p.recorders {
		r.Add(Key{"c", 0}, 4)
	}
	p.changeLease(0)
	c := p.open()
	p.query(c, nothingLost)
	p.claim(c)
	p.write(c)
	p.confirm(c)
	p.sendConfirmations(c, cutOff(2))
	p.hotRestart(1)
	p.changeLease(1)
	p.report(nothingLost)
	p.check(3 * 4)
	if u := p.reports[1].Unconfirmed; len(u) != 1 || u[0].Limiter != 2 {
		t.Errorf("sent again: %+v", u)
	}
}

// Limiters that may be of 0.9.3 get no confirmation, nor does any of a report that may not count; and one of
// another lease holder changes nothing.
func TestNoConfirmationOfWhatIsNotCertain(t *testing.T) {
	r := NewRecorder(1)
	r.Add(Key{"c", 0}, 4)
	c := newTestCollector(5, 0, []uint32{0})
	reply, _ := r.HandleRequest(PageRequest{Period: 5, Token: c.Token})
	c.Tick(time.Second)
	c.Tick(time.Second + 2*queryRetryAfter) // without a reply to the first query
	c.HandleMessage(0, reply)
	if !c.Complete() || len(c.ToConfirm()) > 0 {
		t.Errorf("to confirm: %v", c.ToConfirm())
	}
	for _, other := range []Confirmation{{Period: 5, Token: c.Token + 1}, {Period: 4, Token: c.Token}} {
		if r.HandleConfirmation(other); r.delivery.reported {
			t.Errorf("%+v is believed", other)
		}
	}
	if r.HandleConfirmation(c.Confirmation()); !r.delivery.reported {
		t.Error("not confirmed")
	}
	for _, later := range []PageRequest{{Period: 5, Token: 20}, {Period: 6, Token: 20, KnowsAllReports: true}} {
		r.HandleRequest(later) // all acceptors have lost their memory, and the period is collected once more
	}
	if units := r.UnreportedUnits(0); units != 0 || len(r.unconfirmed) > 0 {
		t.Errorf("%v units kept though reported, %d periods unconfirmed", units, len(r.unconfirmed))
	}
	repeated := NewCollector(6, 5, []uint32{5}, true, c.Token, time.Millisecond, 0)
	repeated.Token = 21
	collect(t, repeated, []*Recorder{r}, neverLost)
	if len(repeated.ToConfirm()) > 0 {
		t.Errorf("to confirm: %v", repeated.ToConfirm())
	}
}

// A limiter keeps unconfirmed usage until a report that counts has it, however often the lease changes
// hands, and no longer; it keeps no more than it has room for, and the summary says what is missing then.
func TestUnconfirmedUsageIsBounded(t *testing.T) {
	p := newTestPeriods(t, 2)
	p.changeLease(0)
	p.report(nothingLost)
	const periods = maxUnconfirmedPeriods + 3
	for range periods {
		p.recorders[1].Add(Key{"c", 0}, 1)
		p.changeLease(0)
		p.report(repliesLost(1))
	}
	if count := len(p.recorders[1].unconfirmed); count != maxUnconfirmedPeriods {
		t.Errorf("%d periods kept, of at most %d", count, maxUnconfirmedPeriods)
	}
	p.changeLease(0)
	p.report(nothingLost)
	p.report(nothingLost)
	if kept := p.recorders[1].unconfirmed; len(kept) > 0 {
		t.Errorf("kept though reported: %+v", kept)
	}
	if s := p.check(maxUnconfirmedPeriods); len(s.Faults) != periods-maxUnconfirmedPeriods {
		t.Errorf("%q", s.Faults)
	}
}

// Unconfirmed usage of many pages goes with the period's own, and only to a lease holder that takes it:
// one of 0.9.3 gets pages as it knows them, and the usage is kept for a later one.
func TestUnconfirmedUsageIsKeptForHolderThatTakesIt(t *testing.T) {
	r := NewRecorder(1)
	addMany := func(units float64) {
		for i := range 100 {
			r.Add(Key{strings.Repeat("n", 40) + fmt.Sprint(i), 0}, units)
		}
	}
	plain := func(request PageRequest) (units float64) {
		request.KnowsAllReports = true
		for pages := uint16(1); request.Page < pages; request.Page++ {
			reply, _ := r.HandleRequest(request)
			page, ok := ParsePage(reply)
			if !ok || page.ClosedPeriod != 0 || page.Page != request.Page {
				t.Fatalf("page %d: %+v, %v", request.Page, page, ok)
			}
			for _, e := range unpack(page.Entries) {
				units += float64(e.Units) / UnitParts
			}
			pages = page.Pages
		}
		return units
	}
	addMany(1)
	if units := plain(PageRequest{Period: 5, Token: 1}); units != 100 {
		t.Fatalf("%v units", units)
	}
	addMany(2)
	if units := plain(PageRequest{Period: 6, ReportedUpTo: 5, Token: 2}); units != 200 {
		t.Errorf("%v units", units)
	}
	addMany(3)
	if units := plain(PageRequest{Period: 7, ReportedUpTo: 6, Token: 2}); units != 300 {
		t.Errorf("%v units", units)
	}
	c := NewCollector(8, 7, []uint32{7}, false, 3, time.Millisecond, 0)
	c.KnowsAllReports = true
	report := collect(t, c, []*Recorder{r}, func(n int) bool { return n > 0 && n%5 == 0 })
	if len(report.Unconfirmed) != 2 || len(report.Usage) != 0 {
		t.Fatalf("%+v", report)
	}
	for i, want := range []struct {
		period uint32
		units  float64
	}{{5, 100}, {7, 300}} {
		u := report.Unconfirmed[i]
		if units := sumOfUnits(Report{Usage: u.Usage}); u.Period != want.period || units != want.units {
			t.Errorf("period %d: %v units, want %d, %v", u.Period, units, want.period, want.units)
		}
	}
}

// A limiter of 0.9.3 does not reply to a request for unconfirmed usage: the next one is as it knows them.
func TestLimiterThatIgnoresUnconfirmedUsage(t *testing.T) {
	r := NewRecorder(1)
	for i := range 60 { // several pages
		r.Add(Key{fmt.Sprintf("%016x", i), 0}, 2)
	}
	c := newTestCollector(5, 0, []uint32{0})
	ignored := 0
	now := time.Second
	for !c.Complete() {
		queries, due := c.Tick(now)
		for _, q := range queries {
			if q.Request.TakesUnconfirmed {
				ignored++
				continue
			}
			reply, _ := r.HandleRequest(q.Request)
			c.HandleMessage(q.To, reply)
		}
		now = max(now+time.Millisecond, due)
	}
	if units := sumOfUnits(c.Report(nil)); units != 120 || ignored != 1 || c.Missing() != 0 {
		t.Errorf("%v units, %d requests ignored, %d missing", units, ignored, c.Missing())
	}
}

// The reply to the first request comes after a second one was sent, which is for limiters of 0.9.3: the
// collector goes on with the first.
func TestLateReplyWithUnconfirmedUsage(t *testing.T) {
	r := NewRecorder(1)
	r.Add(Key{"c", 0}, 1)
	r.HandleRequest(PageRequest{Period: 4, Token: 1})
	r.Add(Key{"c", 0}, 2)
	c := NewCollector(5, 4, []uint32{4}, false, 2, time.Millisecond, 0)
	c.KnowsAllReports = true
	first, due := c.Tick(time.Second)
	second, _ := c.Tick(due + queryRetryAfter)
	if len(first) != 1 || len(second) != 1 || second[0].Request.TakesUnconfirmed {
		t.Fatalf("%+v, %+v", first, second)
	}
	reply, _ := r.HandleRequest(first[0].Request)
	c.HandleMessage(0, reply)
	report := collect(t, c, []*Recorder{r}, neverLost)
	if len(report.Unconfirmed) != 1 || sumOfUnits(report) != 2 || report.Missing != nil {
		t.Errorf("%+v", report)
	}
}

// Unconfirmed usage counts once, and not if a report that counts has it.
func TestMergeUnconfirmed(t *testing.T) {
	usage := func(units float64) []CustomerUsage { return []CustomerUsage{{"c", "gold", units}} }
	unconfirmed := func(limiter int, first, period uint32, units float64) UnconfirmedUsage {
		return UnconfirmedUsage{Limiter: limiter, FirstPeriod: first, Period: period, Usage: usage(units)}
	}
	reports := []Report{
		{Period: 3, Previous: 2, Token: 1, Usage: usage(1), Missing: []int{1, 2, 3}},
		{Period: 4, Previous: 3, Token: 1, Usage: usage(1), Missing: []int{2, 3}, Since: map[string]uint32{"1": 3}},
		{Period: 4, Previous: 3, Token: 2, Usage: usage(7), MayRepeat: true, Unconfirmed: []UnconfirmedUsage{
			unconfirmed(2, 3, 3, 1000), // of a report that does not count
		}},
		{Period: 5, Previous: 4, Token: 2, Usage: usage(1), Unconfirmed: []UnconfirmedUsage{
			unconfirmed(0, 3, 3, 1000), // in the report of its period
			unconfirmed(1, 3, 3, 1000), // in the next one that has the limiter
			unconfirmed(2, 3, 4, 10),   // in none
			unconfirmed(3, 2, 2, 1000), // of a period before all reports
		}},
		{Period: 6, Previous: 5, Token: 2, Usage: usage(1), Unconfirmed: []UnconfirmedUsage{
			unconfirmed(2, 3, 4, 1000), // once more
			unconfirmed(3, 0, 4, 100),  // in none, of a limiter that started again
		}},
	}
	s := Merge(reports)
	if s.Usage[0].Units != 4+10+100 {
		t.Errorf("%v units", s.Usage[0].Units)
	}
	want := []string{
		"period 5: limiter 3 has usage up to period 2, which does not count: the report of that one is not here",
		"period 4: limiter 3 started anew, what it had not reported before is lost",
		"period 3: limiter 3 is missing",
	}
	if !slices.Equal(s.Faults, want) {
		t.Errorf("%q", s.Faults)
	}
}
