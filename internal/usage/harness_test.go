package usage

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"
)

// testTier simulates recorders and successive holders of the lease: the payload that the holders store, the
// datagrams that arrive, and the reports that are written.
type testTier struct {
	t         *testing.T
	recorders []*Recorder
	reports   []Report

	token        uint64
	holder       Limiter
	period       uint32 // payload: the last period opened
	previous     uint32 // payload: the period before it
	mayBeWritten bool   // payload: there may be a report of period
	written      bool   // payload: there is a report of period
	reportedUpTo []uint32

	sent []Query // all queries
}

func newTestTier(t *testing.T, limiters int) *testTier {
	p := &testTier{t: t}
	for n := range limiters {
		p.recorders = append(p.recorders, NewRecorder(uint32(n+1)))
	}
	return p
}

// changeLease makes a limiter the lease holder. It knows the payload and nothing else.
func (p *testTier) changeLease(holder Limiter) {
	p.token++
	p.holder = holder
	reported := p.period
	if !p.written {
		reported = p.previous
	}
	p.reportedUpTo = slices.Repeat([]uint32{reported}, len(p.recorders))
}

// hotRestart replaces the recorder of a limiter by that of a successor process.
func (p *testTier) hotRestart(limiter int) {
	p.t.Helper()
	data, err := json.Marshal(p.recorders[limiter].State())
	if err != nil {
		p.t.Fatal(err)
	}
	var state RecorderState
	if err := json.Unmarshal(data, &state); err != nil {
		p.t.Fatal(err)
	}
	p.recorders[limiter] = NewRecorder(uint32(100 + limiter))
	p.recorders[limiter].Restore(&state)
}

// open opens the next period, or the last one again if its report is not known to be written.
func (p *testTier) open() *Collector {
	knowsAll := p.period > 0
	if p.period == 0 || p.written {
		p.previous, p.period = p.period, p.period+1
		p.written, p.mayBeWritten = false, false
	}
	c := NewCollector(p.period, p.previous, p.reportedUpTo, p.mayBeWritten, p.token, time.Millisecond, 0)
	c.KnowsAllReports = knowsAll
	return c
}

// query makes the collector query all limiters. lost decides whether a query, or the reply to it, is lost
// between two limiters.
func (p *testTier) query(c *Collector, lost func(to Limiter, isReply bool) bool) {
	p.t.Helper()
	now := time.Second
	for n := 0; !c.Complete(); n++ {
		queries, due := c.Tick(now)
		p.sent = append(p.sent, queries...)
		for _, q := range queries {
			if q.To == p.holder {
				reply, _ := p.recorders[q.To].HandleOwnRequest(q.Request)
				c.HandleMessage(q.To, reply)
				continue
			}
			if lost(q.To, false) {
				continue
			}
			reply, ok := p.recorders[q.To].HandleRequest(q.Request)
			if ok && !lost(q.To, true) && !c.HandleMessage(q.To, reply) {
				p.t.Fatalf("reply not decoded: %x", reply)
			}
		}
		now = max(now+time.Millisecond, due)
		if n > 100_000 {
			p.t.Fatal("collection not complete after 100000 ticks")
		}
	}
}

// storeMayBeWritten stores in the payload that there may be a report. The holder's own pages may be in it too.
func (p *testTier) storeMayBeWritten(c *Collector) {
	p.mayBeWritten = true
	p.recorders[p.holder].MarkSent(c)
}

func (p *testTier) write(c *Collector) { p.reports = append(p.reports, c.Report([]string{"gold"})) }

// storeWritten stores in the payload that there is a report.
func (p *testTier) storeWritten(c *Collector) {
	p.written = true
	p.reportedUpTo = c.Reported()
}

// sendConfirmations sends the confirmation of a report to the limiters whose usage it includes.
func (p *testTier) sendConfirmations(c *Collector, lost func(to Limiter, isReply bool) bool) {
	for _, to := range c.ToConfirm() {
		if to == p.holder || !lost(to, false) {
			p.recorders[to].HandleConfirmation(c.Confirmation())
		}
	}
}

// report collects and reports one period without a crash.
func (p *testTier) report(lost func(to Limiter, isReply bool) bool) {
	p.t.Helper()
	c := p.open()
	p.query(c, lost)
	p.storeMayBeWritten(c)
	p.write(c)
	p.storeWritten(c)
	p.sendConfirmations(c, lost)
}

func nothingLost(Limiter, bool) bool { return false }

// cutOff returns a function that loses all messages to and from one limiter.
func cutOff(limiter Limiter) func(Limiter, bool) bool {
	return func(to Limiter, _ bool) bool { return to == limiter }
}

// repliesLost returns a function that loses the replies of one limiter.
func repliesLost(limiter Limiter) func(Limiter, bool) bool {
	return func(to Limiter, isReply bool) bool { return to == limiter && isReply }
}

// check compares the usage in the merged reports with the recorded units.
func (p *testTier) check(want float64) Summary {
	p.t.Helper()
	s := Merge(p.reports)
	units := 0.0
	for _, u := range s.Usage {
		units += u.Units
	}
	if math.Abs(units-want) > 1e-6 {
		p.t.Errorf("%v units reported, want the %v recorded; reports %+v", units, want, p.reports)
	}
	return s
}
