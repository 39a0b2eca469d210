package usage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// Decoded messages encode to the bytes they were decoded from, and a datagram with a changed byte is not decoded.
func FuzzMessages(f *testing.F) {
	r := NewRecorder(7)
	r.Add(Key{"00000000000000ff", 2}, 1.5)
	r.Add(Key{"a name that is no number", 0}, 1e6)
	page, ok := r.HandleRequest(PageRequest{Period: 3, Token: 9})
	if p, isPage := ParsePage(page); !ok || !isPage || p.Incarnation != 7 || p.Pages != 1 || len(unpack(p.Entries)) != 2 || len(page) > maxDatagramBytes {
		f.Fatalf("page %+v, decoded: %v, of %d bytes; want 2 entries of incarnation 7 in a single page of at most 256 bytes", p, isPage, len(page))
	}
	for _, data := range [][]byte{
		page,
		PageRequest{Period: 1 << 31, Page: 7, ReportedUpTo: 1<<31 - 1, Token: 1 << 60, KnowsAllReports: true, MayRepeat: true}.Append(nil),
		PageRequest{Period: 3, Token: 9, TakesUnconfirmed: true}.Append(nil),
		Page{Period: 9, Incarnation: 7, FirstPeriod: 3, Page: 2, Pages: 5, ClosedPeriod: 4, Entries: Entry{Key{"c", 1}, 2}.append(nil)}.Append(nil),
		PendingReport{12}.Append(nil),
		Confirmation{Period: 12, Token: 1 << 60}.Append(nil),
	} {
		f.Add(data)
		for i := range data {
			changed := slices.Clone(data)
			changed[i]++
			_, isRequest := ParsePageRequest(changed)
			_, isPage := ParsePage(changed)
			_, isPending := ParsePendingReport(changed)
			_, isConfirmation := ParseConfirmation(changed)
			if isRequest || isPage || isPending || isConfirmation {
				f.Errorf("change of byte %d not detected, want no message decoded", i)
			}
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, ok := ParsePageRequest(data); ok && !bytes.Equal(m.Append(nil), data) {
			t.Error("request encodes to other bytes than it was decoded from")
		}
		if m, ok := ParsePage(data); ok && !bytes.Equal(m.Append(nil), data) {
			t.Error("page encodes to other bytes than it was decoded from")
		}
		if m, ok := ParsePendingReport(data); ok && !bytes.Equal(m.Append(nil), data) {
			t.Error("pending report encodes to other bytes than it was decoded from")
		}
		if m, ok := ParseConfirmation(data); ok && !bytes.Equal(m.Append(nil), data) {
			t.Error("confirmation encodes to other bytes than it was decoded from")
		}
		if reports, _, err := ReadReports(bytes.NewReader(data)); err == nil {
			Merge(reports)
		}
	})
}

// collect makes a collector query recorders until it is complete, and returns its report. Each reply arrives twice.
// lost decides whether the replies of the n-th tick are lost.
func collect(t *testing.T, c *Collector, recorders []*Recorder, lost func(n int) bool) Report {
	t.Helper()
	now := time.Second
	for n := 0; !c.Complete(); n++ {
		queries, due := c.Tick(now)
		for _, q := range queries {
			if reply, ok := recorders[q.To].HandleRequest(q.Request); ok && !lost(n) {
				c.HandleMessage(q.To, reply)
				c.HandleMessage(q.To, reply) // a duplicate
			}
		}
		now = max(now+time.Millisecond, due)
		if n > 10000 {
			t.Fatal("collection not complete after 10000 ticks")
		}
	}
	return c.Report([]string{"gold", "iron"})
}

func neverLost(int) bool { return false }

// newTestCollector returns a collector with the token 9 that sends a query every millisecond.
func newTestCollector(period, previous uint32, reportedUpTo []uint32) *Collector {
	return NewCollector(period, previous, reportedUpTo, false, 9, time.Millisecond, 0)
}

func sumOfUnits(r Report) (units float64) {
	for _, u := range r.Usage {
		units += u.Units
	}
	return units
}

// A period of many pages is collected completely despite losses. If a limiter restarts between two pages, only
// its usage since the restart counts. If a limiter replies too late, its usage becomes part of the next period,
// whose report says so.
func TestCollect(t *testing.T) {
	recorders := []*Recorder{NewRecorder(1), NewRecorder(2), NewRecorder(3)}
	for i := range 300 {
		for n, r := range recorders {
			r.Add(Key{fmt.Sprintf("%016x", i), uint8(n % 2)}, 1.25)
		}
	}
	reported := make([]uint32, 3)
	c := newTestCollector(5, 0, reported)
	report := collect(t, c, recorders, func(n int) bool { return n%3 == 0 })
	if sumOfUnits(report) != 3*300*1.25 || len(report.Usage) != 600 || !slices.Equal(report.Restarted, []int{0, 1, 2}) || report.Missing != nil {
		t.Errorf("%v units, want 1125; %d entries, want 600; restarted %v, want limiters 0 to 2; missing %v, want none", sumOfUnits(report), len(report.Usage), report.Restarted, report.Missing)
	}
	reported = c.Reported()

	// The next period: no limiter restarts and nothing is lost.
	for _, r := range recorders {
		r.Add(Key{"x", 0}, 2)
	}
	c = newTestCollector(6, 5, reported)
	report = collect(t, c, recorders, neverLost)
	if sumOfUnits(report) != 6 || report.Restarted != nil || report.Since != nil {
		t.Errorf("report %+v, want 6 units, no limiter restarted and no entry in Since", report)
	}
	reported = c.Reported()

	// Limiter 1 restarts after it sent the first of several pages.
	for i := range 100 {
		recorders[1].Add(Key{fmt.Sprintf("%016x", i), 0}, 1)
	}
	c = newTestCollector(7, 6, reported)
	reply, _ := recorders[1].HandleRequest(PageRequest{Period: 7, ReportedUpTo: 6, Token: 9})
	c.HandleMessage(1, reply)
	recorders[1] = NewRecorder(8)
	recorders[1].Add(Key{"y", 0}, 3)
	if report = collect(t, c, recorders, neverLost); sumOfUnits(report) != 3 || !slices.Equal(report.Restarted, []int{1}) {
		t.Errorf("%v units, want 3; restarted %v, want limiter 1, which restarted between two pages", sumOfUnits(report), report.Restarted)
	}
	reported = c.Reported()

	// Limiter 2 replies too late, so that the next report has its usage.
	recorders[2].Add(Key{"z", 0}, 5)
	c = newTestCollector(9, 7, reported)
	c.markMissing(&c.sources[2]) // it did not reply in time, though it received the request
	recorders[2].HandleRequest(PageRequest{Period: 9, ReportedUpTo: 7, Token: 9})
	if report = collect(t, c, recorders, neverLost); sumOfUnits(report) != 0 || !slices.Equal(report.Missing, []int{2}) {
		t.Errorf("report %+v, want no units and limiter 2 missing", report)
	}
	c = newTestCollector(10, 9, c.Reported())
	c.KnowsAllReports = true
	if report = collect(t, c, recorders, neverLost); sumOfUnits(report) != 5 || report.Since["2"] != 8 {
		t.Errorf("report %+v, want 5 units, those of limiter 2 since period 8", report)
	}

	// Open usage must not go into a report that may repeat an earlier one.
	recorders[0].Add(Key{"w", 0}, 6)
	c = NewCollector(11, 9, []uint32{10, 10, 10}, true, 9, time.Millisecond, 0)
	if report = collect(t, c, recorders, neverLost); sumOfUnits(report) != 0 || report.Missing != nil || recorders[0].UnreportedUnits(11) != 6 {
		t.Errorf("report %+v, want no units and no limiter missing; %v units unreported, want 6", report, recorders[0].UnreportedUnits(11))
	}
	if _, ok := recorders[0].HandleRequest(PageRequest{Period: 11, Token: 8}); ok {
		t.Error("reply to a request of a former lease holder, want none")
	}
}

// A recorder has at most maxKeys keys; the usage of further customers is added up under OverflowCustomer.
func TestFullRecorder(t *testing.T) {
	r := NewRecorder(1)
	for i := range maxKeys + 50 {
		r.Add(Key{fmt.Sprintf("%016x", i), 0}, 1)
	}
	r.Add(Key{strings.Repeat("n", maxNameBytes+1), 0}, 1)
	overflow := r.open[Key{OverflowCustomer, 0}]
	if len(r.open) != maxKeys+1 || overflow != 51*UnitParts || r.UnreportedUnits(0) != maxKeys+51 {
		t.Errorf("%d keys, want 65537; overflow of %d parts of a unit, want 51000; and want 65587 unreported units", len(r.open), overflow)
	}
}

// Reports of several lease holders are merged to one for each period, and Faults lists what is wrong with them.
func TestMerge(t *testing.T) {
	usage := func(units float64) []CustomerUsage { return []CustomerUsage{{"c", "gold", units}} }
	reports := []Report{
		{Period: 3, Previous: 2, Token: 8, Usage: usage(4), MayRepeat: true},
		{Period: 2, Previous: 1, Token: 5, Usage: usage(2), Missing: []int{1, 4}},
		{Period: 1, Token: 5, Usage: usage(1)},
		{Period: 3, Previous: 2, Token: 5, Usage: usage(3), Since: map[string]uint32{"4": 2}},
		{Period: 6, Previous: 5, Token: 9, Usage: usage(6), Restarted: []int{0}},
		{Period: 7, Previous: 6, Token: 9, Usage: usage(7)},
		{Period: 7, Previous: 6, Token: 10, Usage: usage(70)},
	}
	s := Merge(reports)
	if len(s.Reports) != 5 || s.Usage[0].Units != 1+2+3+6+7 {
		t.Errorf("want 5 reports and 19 units, got summary %+v", s)
	}
	want := []string{"period 7: reported twice", "period 2: limiter 1 is missing", "a line is missing: the report of period 6 follows that of period 5", "limiter 0 restarted"}
	if len(s.Faults) != len(want) {
		t.Errorf("faults %q, want 4", s.Faults)
	}
	for _, fault := range want {
		if !strings.Contains(strings.Join(s.Faults, "\n"), fault) {
			t.Errorf("fault %q not found in %q", fault, s.Faults)
		}
	}
	data, _ := json.Marshal(reports[1])
	decoded, badLines, err := ReadReports(strings.NewReader(string(data) + "\n\n" + string(data[:20])))
	if err != nil || len(decoded) != 1 || !slices.Equal(badLines, []int{3}) || Merge(decoded).Faults == nil {
		t.Errorf("reports %+v, bad lines %v, error %v; want one report with faults, and line 3 bad", decoded, badLines, err)
	}
}

// A limiter is missing in a report, and has an empty page in the next one, which may repeat an earlier report: the
// report after that includes its usage, and the summary does not list the limiter as missing.
func TestUsageKeptOverRepeatedReportIsNotMissing(t *testing.T) {
	r := NewRecorder(1)
	r.HandleRequest(PageRequest{Period: 1, Token: 1})
	for i := range 60 { // several pages
		r.Add(Key{fmt.Sprintf("%016x", i), 0}, 2)
	}
	missing := newTestCollector(2, 1, []uint32{1})
	missing.KnowsAllReports = true
	reply, _ := r.HandleRequest(PageRequest{Period: 2, ReportedUpTo: 1, Token: 9, KnowsAllReports: true})
	missing.markMissing(&missing.sources[0]) // the pages after the first are lost
	repeated := NewCollector(3, 2, []uint32{1}, true, 10, time.Millisecond, 0)
	repeated.KnowsAllReports = true
	next := NewCollector(4, 3, []uint32{1}, false, 10, time.Millisecond, 0)
	next.KnowsAllReports = true
	var reports []Report
	for _, c := range []*Collector{missing, repeated, next} {
		reports = append(reports, collect(t, c, []*Recorder{r}, neverLost))
	}
	s := Merge(reports)
	if len(reply) == 0 || sumOfUnits(Report{Usage: s.Usage}) != 120 || len(s.Faults) > 0 {
		t.Errorf("%v units, want 120; faults %q, want none", sumOfUnits(Report{Usage: s.Usage}), s.Faults)
	}
}

// A limiter sends a part of a period, and the lease then changes hands: the new lease holder counts every limiter as
// reported. The limiter must keep the period nevertheless, as it was never sent completely.
func TestUnsentPeriodIsKept(t *testing.T) {
	r := NewRecorder(1)
	for i := range 60 { // several pages
		r.Add(Key{fmt.Sprintf("%016x", i), 0}, 2)
	}
	if page, _ := r.HandleRequest(PageRequest{Period: 1202, Token: 1, KnowsAllReports: true}); len(page) == 0 {
		t.Fatal("no reply to the request for the first page")
	}
	c := NewCollector(1208, 1205, []uint32{1205}, false, 2, time.Millisecond, 0)
	c.KnowsAllReports = true
	report := collect(t, c, []*Recorder{r}, neverLost)
	if units := sumOfUnits(report); units != 120 {
		t.Errorf("%v units in the report, want all 120", units)
	}

	// Once all pages were sent, a report may include them: they are not reported twice.
	c = NewCollector(1210, 1208, []uint32{1208}, false, 3, time.Millisecond, 0)
	c.KnowsAllReports = true
	if units := sumOfUnits(collect(t, c, []*Recorder{r}, neverLost)); units != 0 {
		t.Errorf("%v units in the next report, want none of the 120 reported again", units)
	}
}
