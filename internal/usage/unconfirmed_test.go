package usage

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// The last page of a limiter is lost, so the limiter is missing in the report, and the lease changes hands:
// a later report includes its usage.
func TestUsageOfLostLastPageIsReported(t *testing.T) {
	tier := newTestTier(t, 2)
	tier.changeLease(0)
	tier.reportPeriod(nothingLost)
	for _, r := range tier.recorders {
		r.Add(Key{"c", 0}, 21)
	}
	tier.reportPeriod(repliesLost(1))
	tier.recorders[1].Add(Key{"c", 0}, 5)
	tier.changeLease(0)
	tier.reportPeriod(allMessagesLost(1))
	tier.reportPeriod(nothingLost)
	if s := tier.checkUnits(21 + 21 + 5); len(s.Faults) > 0 {
		t.Errorf("faults %q, want none", s.Faults)
	}
}

// A lease holder crashes after it received all pages of a limiter and before its report is written. The limiter
// is missing in the report that replaces it, and the lease changes hands again: a later report includes its usage.
func TestUsageOfReportNeverWrittenIsReported(t *testing.T) {
	tier := newTestTier(t, 2)
	for _, r := range tier.recorders {
		r.Add(Key{"c", 0}, 136)
	}
	tier.changeLease(0)
	c := tier.startCollection()
	tier.queryAll(c, nothingLost)
	tier.storeMayBeWritten(c)
	tier.changeLease(0)
	tier.reportPeriod(allMessagesLost(1))
	tier.changeLease(0)
	tier.reportPeriod(nothingLost)
	if s := tier.checkUnits(2 * 136); len(s.Faults) > 0 {
		t.Errorf("faults %q, want none", s.Faults)
	}
}

// A lease holder writes its report, and loses contact with all others before the acceptors know of the report. It is
// missing in the repeated report of the next lease holder, and its usage must not be counted twice.
func TestUsageMissingInRepeatedReportIsReportedOnce(t *testing.T) {
	tier := newTestTier(t, 2)
	for _, r := range tier.recorders {
		r.Add(Key{"c", 0}, 43)
	}
	tier.changeLease(0)
	c := tier.startCollection()
	tier.queryAll(c, nothingLost)
	tier.storeMayBeWritten(c)
	tier.write(c)
	tier.changeLease(1)
	tier.reportPeriod(allMessagesLost(0))
	tier.reportPeriod(nothingLost)
	if s := tier.checkUnits(2 * 43); len(s.Faults) > 0 || len(tier.reports[2].Unconfirmed) != 2 {
		t.Errorf("faults %q, want none; want unconfirmed usage of 2 limiters in the third of the reports %+v", s.Faults, tier.reports)
	}
}

// A lease holder that keeps the lease knows which usage its reports include: limiters send no usage as
// unconfirmed, not even usage that was missing in a report.
func TestUsageIsConfirmedUnderOneLease(t *testing.T) {
	tier := newTestTier(t, 2)
	tier.changeLease(0)
	for range 3 {
		tier.recorders[1].Add(Key{"c", 0}, 2)
		tier.reportPeriod(repliesLost(1))
		tier.recorders[1].Add(Key{"c", 0}, 3)
		tier.reportPeriod(nothingLost)
	}
	tier.checkUnits(15)
	for _, r := range tier.reports {
		if len(r.Unconfirmed) > 0 {
			t.Errorf("report %+v, want no unconfirmed usage in it", r)
		}
	}
}

// When the lease changes hands between two periods, confirmed usage is not sent again, not even after a hot
// restart. A limiter that received no confirmation sends its usage again.
func TestConfirmedUsageIsNotSentAgain(t *testing.T) {
	tier := newTestTier(t, 3)
	for _, r := range tier.recorders {
		r.Add(Key{"c", 0}, 4)
	}
	tier.changeLease(0)
	c := tier.startCollection()
	tier.queryAll(c, nothingLost)
	tier.storeMayBeWritten(c)
	tier.write(c)
	tier.storeWritten(c)
	tier.sendConfirmations(c, allMessagesLost(2))
	tier.hotRestart(1)
	tier.changeLease(1)
	tier.reportPeriod(nothingLost)
	tier.checkUnits(3 * 4)
	if u := tier.reports[1].Unconfirmed; len(u) != 1 || u[0].Limiter != 2 {
		t.Errorf("unconfirmed usage %+v, want that of limiter 2 only", u)
	}
}

// No confirmation is sent to limiters that may run 0.9.3, nor for a report that may not count. A confirmation of
// another lease holder or of another period has no effect.
func TestNoConfirmationOfWhatIsNotCertain(t *testing.T) {
	r := NewRecorder(1)
	r.Add(Key{"c", 0}, 4)
	c := newTestCollector(5, 0, []uint32{0})
	reply, _ := r.HandleRequest(PageRequest{Period: 5, Token: c.Token})
	c.Tick(time.Second)
	c.Tick(time.Second + 2*queryRetryInterval) // no reply to the first query: the limiter may run 0.9.3
	c.HandleMessage(0, reply)
	if !c.Complete() || len(c.ToConfirm()) > 0 {
		t.Errorf("limiters to confirm: %v; want none, and a complete collection", c.ToConfirm())
	}
	for _, other := range []Confirmation{{Period: 5, Token: c.Token + 1}, {Period: 4, Token: c.Token}} {
		if r.HandleConfirmation(other); r.delivery.reported {
			t.Errorf("confirmation %+v was accepted, want it ignored", other)
		}
	}
	if r.HandleConfirmation(c.Confirmation()); !r.delivery.reported {
		t.Error("the confirmation of the lease holder was not accepted")
	}
	for _, later := range []PageRequest{{Period: 5, Token: 20}, {Period: 6, Token: 20, KnowsAllReports: true}} {
		r.HandleRequest(later) // all acceptors have lost their state: period 5 is requested again
	}
	if units := r.UnreportedUnits(0); units != 0 || len(r.unconfirmed) > 0 {
		t.Errorf("%v units unreported and %d periods unconfirmed after the confirmation, want 0 of both", units, len(r.unconfirmed))
	}
	repeated := NewCollector(6, 5, []uint32{5}, true, c.Token, time.Millisecond, 0)
	repeated.Token = 21
	collect(t, repeated, []*Recorder{r}, neverLost)
	if len(repeated.ToConfirm()) > 0 {
		t.Errorf("limiters to confirm: %v, want none for a report that may repeat another", repeated.ToConfirm())
	}
}

// A limiter keeps unconfirmed usage until a report that counts includes it, however often the lease changes
// hands, and no longer. It keeps at most maxUnconfirmedPeriods; the summary then says which usage is missing.
func TestUnconfirmedUsageIsBounded(t *testing.T) {
	tier := newTestTier(t, 2)
	tier.changeLease(0)
	tier.reportPeriod(nothingLost)
	const periods = maxUnconfirmedPeriods + 3
	for range periods {
		tier.recorders[1].Add(Key{"c", 0}, 1)
		tier.changeLease(0)
		tier.reportPeriod(repliesLost(1))
	}
	if count := len(tier.recorders[1].unconfirmed); count != maxUnconfirmedPeriods {
		t.Errorf("%d unconfirmed periods kept, want %d", count, maxUnconfirmedPeriods)
	}
	tier.changeLease(0)
	tier.reportPeriod(nothingLost)
	tier.reportPeriod(nothingLost)
	if kept := tier.recorders[1].unconfirmed; len(kept) > 0 {
		t.Errorf("unconfirmed usage %+v still kept after it was reported, want none", kept)
	}
	if s := tier.checkUnits(maxUnconfirmedPeriods); len(s.Faults) != periods-maxUnconfirmedPeriods {
		t.Errorf("faults %q, want one for each dropped period", s.Faults)
	}
}

// Unconfirmed usage of many pages is sent with that of the period itself, and only to a lease holder that accepts
// it: a lease holder of 0.9.3 gets only pages of the kind it knows, and the usage is kept for a later one.
func TestUnconfirmedUsageIsKeptForHolderThatTakesIt(t *testing.T) {
	r := NewRecorder(1)
	addToManyCustomers := func(units float64) {
		for i := range 100 {
			r.Add(Key{strings.Repeat("n", 40) + fmt.Sprint(i), 0}, units)
		}
	}
	collectWithoutUnconfirmed := func(request PageRequest) (units float64) {
		request.KnowsAllReports = true
		for pages := uint16(1); request.Page < pages; request.Page++ {
			reply, _ := r.HandleRequest(request)
			page, ok := ParsePage(reply)
			if !ok || page.ClosedPeriod != 0 || page.Page != request.Page {
				t.Fatalf("request for page %d without unconfirmed usage: reply %+v, decoded: %v; want that page without ClosedPeriod", request.Page, page, ok)
			}
			for _, e := range unpack(page.Entries) {
				units += float64(e.Units) / UnitParts
			}
			pages = page.Pages
		}
		return units
	}
	addToManyCustomers(1)
	if units := collectWithoutUnconfirmed(PageRequest{Period: 5, Token: 1}); units != 100 {
		t.Fatalf("period 5: %v units, want 100", units)
	}
	addToManyCustomers(2)
	if units := collectWithoutUnconfirmed(PageRequest{Period: 6, ReportedUpTo: 5, Token: 2}); units != 200 {
		t.Errorf("period 6: %v units, want 200", units)
	}
	addToManyCustomers(3)
	if units := collectWithoutUnconfirmed(PageRequest{Period: 7, ReportedUpTo: 6, Token: 2}); units != 300 {
		t.Errorf("period 7: %v units, want 300", units)
	}
	c := NewCollector(8, 7, []uint32{7}, false, 3, time.Millisecond, 0)
	c.KnowsAllReports = true
	report := collect(t, c, []*Recorder{r}, func(n int) bool { return n > 0 && n%5 == 0 })
	if len(report.Unconfirmed) != 2 || len(report.Usage) != 0 {
		t.Fatalf("report %+v, want unconfirmed usage of 2 periods and no other usage", report)
	}
	for i, want := range []struct {
		period uint32
		units  float64
	}{{5, 100}, {7, 300}} {
		u := report.Unconfirmed[i]
		if units := sumOfUnits(Report{Usage: u.Usage}); u.Period != want.period || units != want.units {
			t.Errorf("period %d: %v units, want period %d with %v", u.Period, units, want.period, want.units)
		}
	}
}

// A limiter of 0.9.3 does not reply to a request with TakesUnconfirmed: the next request does not have it set.
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
		t.Errorf("%v units, want 120; %d requests ignored, want 1; %d limiters missing, want 0", units, ignored, c.Missing())
	}
}

// The reply to the first request arrives after the second request, which has TakesUnconfirmed unset for limiters of
// 0.9.3, was sent: the collector sets it again in further requests and gets the unconfirmed usage.
func TestLateReplyWithUnconfirmedUsage(t *testing.T) {
	r := NewRecorder(1)
	r.Add(Key{"c", 0}, 1)
	r.HandleRequest(PageRequest{Period: 4, Token: 1})
	r.Add(Key{"c", 0}, 2)
	c := NewCollector(5, 4, []uint32{4}, false, 2, time.Millisecond, 0)
	c.KnowsAllReports = true
	first, due := c.Tick(time.Second)
	second, _ := c.Tick(due + queryRetryInterval)
	if len(first) != 1 || len(second) != 1 || second[0].Request.TakesUnconfirmed {
		t.Fatalf("first queries %+v, second queries %+v; want one each, the second without unconfirmed usage", first, second)
	}
	reply, _ := r.HandleRequest(first[0].Request)
	c.HandleMessage(0, reply)
	report := collect(t, c, []*Recorder{r}, neverLost)
	if len(report.Unconfirmed) != 1 || sumOfUnits(report) != 2 || report.Missing != nil {
		t.Errorf("report %+v, want 2 units, one entry of unconfirmed usage and no limiter missing", report)
	}
}

// Unconfirmed usage counts once, and does not count if a report that counts includes it.
func TestMergeUnconfirmed(t *testing.T) {
	usage := func(units float64) []CustomerUsage { return []CustomerUsage{{"c", "gold", units}} }
	unconfirmed := func(limiter int, first, period uint32, units float64) UnconfirmedUsage {
		return UnconfirmedUsage{Limiter: limiter, FirstPeriod: first, Period: period, Usage: usage(units)}
	}
	reports := []Report{
		{Period: 3, Previous: 2, Token: 1, Usage: usage(1), Missing: []int{1, 2, 3}},
		{Period: 4, Previous: 3, Token: 1, Usage: usage(1), Missing: []int{2, 3}, Since: map[string]uint32{"1": 3}},
		{Period: 4, Previous: 3, Token: 2, Usage: usage(7), MayRepeat: true, Unconfirmed: []UnconfirmedUsage{
			unconfirmed(2, 3, 3, 1000), // in a report that does not count
		}},
		{Period: 5, Previous: 4, Token: 2, Usage: usage(1), Unconfirmed: []UnconfirmedUsage{
			unconfirmed(0, 3, 3, 1000), // included in the report of its period
			unconfirmed(1, 3, 3, 1000), // included in the next report that has the limiter
			unconfirmed(2, 3, 4, 10),   // included in no report
			unconfirmed(3, 2, 2, 1000), // of a period before the first report
		}},
		{Period: 6, Previous: 5, Token: 2, Usage: usage(1), Unconfirmed: []UnconfirmedUsage{
			unconfirmed(2, 3, 4, 1000), // repeated
			unconfirmed(3, 0, 4, 100),  // included in no report, of a limiter that restarted
		}},
	}
	s := Merge(reports)
	if s.Usage[0].Units != 4+10+100 {
		t.Errorf("%v units, want 114", s.Usage[0].Units)
	}
	want := []string{
		"period 5: limiter 3 has unconfirmed usage up to period 2, which does not count: the report of that period is not among those read",
		"period 4: limiter 3 restarted, its unreported usage from before the restart is lost",
		"period 3: limiter 3 is missing",
	}
	if !slices.Equal(s.Faults, want) {
		t.Errorf("faults %q, want exactly the three listed above", s.Faults)
	}
}
