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

// Messages go over as they are, and noise is none.
func FuzzMessages(f *testing.F) {
	b := NewRecorder(7)
	b.Add(Key{"00000000000000ff", 2}, 1.5)
	b.Add(Key{"a name that is no number", 0}, 1e6)
	page, ok := b.HandleRequest(PageRequest{Period: 3, Token: 9})
	if p, is := ParsePage(page); !ok || !is || p.Incarnation != 7 || p.Pages != 1 || len(unpack(p.Entries)) != 2 || len(page) > maxSize {
		f.Fatalf("%+v, %v, %d bytes", p, is, len(page))
	}
	for _, data := range [][]byte{page, PageRequest{1 << 31, 7, 1<<31 - 1, 1 << 60, true, true}.Append(nil), PendingReport{12}.Append(nil)} {
		f.Add(data)
		for i := range data {
			bad := slices.Clone(data)
			bad[i]++
			_, pull := ParsePageRequest(bad)
			_, page := ParsePage(bad)
			_, owes := ParsePendingReport(bad)
			if pull || page || owes {
				f.Errorf("a wrong byte %d is not seen", i)
			}
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, ok := ParsePageRequest(data); ok && !bytes.Equal(m.Append(nil), data) {
			t.Error("two forms of one ask")
		}
		if m, ok := ParsePage(data); ok && !bytes.Equal(m.Append(nil), data) {
			t.Error("two forms of one page")
		}
		if m, ok := ParsePendingReport(data); ok && !bytes.Equal(m.Append(nil), data) {
			t.Error("two forms of one debt")
		}
		if lines, _, err := ReadReports(bytes.NewReader(data)); err == nil {
			Merge(lines)
		}
	})
}

// collect has a gather ask books until it is whole. Each answer may be lost.
func collect(t *testing.T, g *Collector, books []*Recorder, lost func(n int) bool) Report {
	t.Helper()
	now := time.Second
	for n := 0; !g.Complete(); n++ {
		asks, due := g.Tick(now)
		for _, a := range asks {
			if answer, ok := books[a.To].HandleRequest(a.Request); ok && !lost(n) {
				g.HandleMessage(a.To, answer)
				g.HandleMessage(a.To, answer) // twice
			}
		}
		if now = max(now+time.Millisecond, due); n > 10000 {
			t.Fatal("never whole")
		}
	}
	return g.Report([]string{"gold", "iron"})
}

// A period of many pages comes whole through loss; a limiter that dies in the middle counts from its
// new start alone, and one that answers too late goes into the next period, which says so.
func TestGather(t *testing.T) {
	books := []*Recorder{NewRecorder(1), NewRecorder(2), NewRecorder(3)}
	for i := range 300 {
		for n, b := range books {
			b.Add(Key{fmt.Sprintf("%016x", i), uint8(n % 2)}, 1.25)
		}
	}
	sum := func(l Report) (units float64) {
		for _, u := range l.Usage {
			units += u.Units
		}
		return units
	}
	done := make([]uint32, 3)
	g := NewCollector(5, 0, done, false, 9, time.Millisecond, 0)
	line := collect(t, g, books, func(n int) bool { return n%3 == 0 })
	if sum(line) != 3*300*1.25 || len(line.Usage) != 600 || !slices.Equal(line.Restarted, []int{0, 1, 2}) || line.Missing != nil {
		t.Errorf("%v units of %d, anew %v, missing %v", sum(line), len(line.Usage), line.Restarted, line.Missing)
	}
	done = g.Reported()

	for _, b := range books {
		b.Add(Key{"x", 0}, 2)
	}
	g = NewCollector(6, 5, done, false, 9, time.Millisecond, 0)
	line = collect(t, g, books, func(int) bool { return false })
	if sum(line) != 6 || line.Restarted != nil || line.Since != nil {
		t.Errorf("%+v", line)
	}
	done = g.Reported()

	for i := range 100 { // several pages, and a new life after the first
		books[1].Add(Key{fmt.Sprintf("%016x", i), 0}, 1)
	}
	g = NewCollector(7, 6, done, false, 9, time.Millisecond, 0)
	answer, _ := books[1].HandleRequest(PageRequest{Period: 7, ReportedUpTo: 6, Token: 9})
	g.HandleMessage(1, answer)
	books[1] = NewRecorder(8)
	books[1].Add(Key{"y", 0}, 3)
	if line = collect(t, g, books, func(int) bool { return false }); sum(line) != 3 || !slices.Equal(line.Restarted, []int{1}) {
		t.Errorf("%v units after a limiter died between two pages, anew %v", sum(line), line.Restarted)
	}
	done = g.Reported()

	books[2].Add(Key{"z", 0}, 5)
	g = NewCollector(9, 7, done, false, 9, time.Millisecond, 0)
	g.sources[2].missing, g.incomplete = true, g.incomplete-1 // it did not answer in time, though it was asked
	books[2].HandleRequest(PageRequest{Period: 9, ReportedUpTo: 7, Token: 9})
	if line = collect(t, g, books, func(int) bool { return false }); sum(line) != 0 || !slices.Equal(line.Missing, []int{2}) {
		t.Errorf("%+v", line)
	}
	g = NewCollector(10, 9, g.Reported(), false, 9, time.Millisecond, 0)
	g.KnowsAllReports = true
	if line = collect(t, g, books, func(int) bool { return false }); sum(line) != 5 || line.Since["2"] != 8 {
		t.Errorf("%+v", line)
	}
	books[0].Add(Key{"w", 0}, 6) // is of no period that an earlier holder may have written
	g = NewCollector(11, 9, []uint32{10, 10, 10}, true, 9, time.Millisecond, 0)
	if line = collect(t, g, books, func(int) bool { return false }); sum(line) != 0 || line.Missing != nil || books[0].UnreportedUnits(11) != 6 {
		t.Errorf("%+v, %v held", line, books[0].UnreportedUnits(11))
	}
	if _, ok := books[0].HandleRequest(PageRequest{Period: 11, Token: 8}); ok {
		t.Error("answered the holder of an earlier lease")
	}
}

// A book holds so many customers and no more; the rest is added up.
func TestFullBook(t *testing.T) {
	b := NewRecorder(1)
	for i := range maxCustomers + 50 {
		b.Add(Key{fmt.Sprintf("%016x", i), 0}, 1)
	}
	b.Add(Key{strings.Repeat("n", maxNameBytes+1), 0}, 1)
	if len(b.open) != maxCustomers+1 || b.open[Key{OverflowCustomer, 0}] != 51*UnitParts || b.UnreportedUnits(0) != maxCustomers+51 {
		t.Errorf("%d customers, others %d", len(b.open), b.open[Key{OverflowCustomer, 0}])
	}
}

// Lines of several holders are joined: one a period, the rest told.
func TestMerge(t *testing.T) {
	use := func(n float64) []CustomerUsage { return []CustomerUsage{{"c", "gold", n}} }
	lines := []Report{
		{Period: 3, Previous: 2, Token: 8, Usage: use(4), MayRepeat: true},
		{Period: 2, Previous: 1, Token: 5, Usage: use(2), Missing: []int{1, 4}},
		{Period: 1, Token: 5, Usage: use(1)},
		{Period: 3, Previous: 2, Token: 5, Usage: use(3), Since: map[string]uint32{"4": 2}},
		{Period: 6, Previous: 5, Token: 9, Usage: use(6), Restarted: []int{0}},
		{Period: 7, Previous: 6, Token: 9, Usage: use(7)},
		{Period: 7, Previous: 6, Token: 10, Usage: use(70)},
	}
	s := Merge(lines)
	if len(s.Reports) != 5 || s.Usage[0].Units != 1+2+3+6+7 {
		t.Errorf("%+v", s)
	}
	want := []string{"period 7: twice", "period 2: limiter 1 is missing", "a line is missing, as 6 comes after 5", "limiter 0 started anew"}
	if len(s.Faults) != len(want) {
		t.Errorf("%q", s.Faults)
	}
	for _, w := range want {
		if !strings.Contains(strings.Join(s.Faults, "\n"), w) {
			t.Errorf("%q is missing in %q", w, s.Faults)
		}
	}
	data, _ := json.Marshal(lines[1])
	back, bad, err := ReadReports(strings.NewReader(string(data) + "\n\n" + string(data[:20])))
	if err != nil || len(back) != 1 || !slices.Equal(bad, []int{3}) || Merge(back).Faults == nil {
		t.Errorf("%+v, %v, %v", back, bad, err)
	}
}
