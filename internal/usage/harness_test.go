package usage

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"
)

// testPeriods plays the lease holders of a task one after another: what they keep in the payload, which
// datagrams get through, and which reports they write.
type testPeriods struct {
	t         *testing.T
	recorders []*Recorder
	reports   []Report

	token        uint64
	holder       Limiter
	period       uint32 // payload: the last period opened, and the one before
	previous     uint32
	mayBeWritten bool // payload: there may be a report of period
	written      bool // payload: there is one
	reportedUpTo []uint32

	sent []Query // all queries
}

func newTestPeriods(t *testing.T, limiters int) *testPeriods {
	p := &testPeriods{t: t}
	for n := range limiters {
		p.recorders = append(p.recorders, NewRecorder(uint32(n+1)))
	}
	return p
}

// changeLease has a limiter win the lease: it knows the payload and nothing else.
func (p *testPeriods) changeLease(holder Limiter) {
	p.token++
	p.holder = holder
	reported := p.period
	if !p.written {
		reported = p.previous
	}
	p.reportedUpTo = slices.Repeat([]uint32{reported}, len(p.recorders))
}

// hotRestart has another process take over from that of a limiter.
func (p *testPeriods) hotRestart(limiter int) {
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

// open begins the next period, or the last one again if it is not known to be written.
func (p *testPeriods) open() *Collector {
	knowsAll := p.period > 0
	if p.period == 0 || p.written {
		p.previous, p.period = p.period, p.period+1
		p.written, p.mayBeWritten = false, false
	}
	c := NewCollector(p.period, p.previous, p.reportedUpTo, p.mayBeWritten, p.token, time.Millisecond, 0)
	c.KnowsAllReports = knowsAll
	return c
}

// query has the collector query all limiters; lost decides whether a query, or the reply to it, is lost on
// the way between two limiters.
func (p *testPeriods) query(c *Collector, lost func(to Limiter, isReply bool) bool) {
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
				p.t.Fatalf("not read: %x", reply)
			}
		}
		now = max(now+time.Millisecond, due)
		if n > 100_000 {
			p.t.Fatal("never complete")
		}
	}
}

// claim has the acceptors keep that there may be a report.
func (p *testPeriods) claim(c *Collector) {
	p.mayBeWritten = true
	p.recorders[p.holder].MarkSent(c)
}

func (p *testPeriods) write(c *Collector) { p.reports = append(p.reports, c.Report([]string{"gold"})) }

// confirm has the acceptors keep that there is a report.
func (p *testPeriods) confirm(c *Collector) {
	p.written = true
	p.reportedUpTo = c.Reported()
}

// sendConfirmations tells the limiters what the report has.
func (p *testPeriods) sendConfirmations(c *Collector, lost func(to Limiter, isReply bool) bool) {
	for _, to := range c.ToConfirm() {
		if to == p.holder || !lost(to, false) {
			p.recorders[to].HandleConfirmation(c.Confirmation())
		}
	}
}

// report does all the work on one period.
func (p *testPeriods) report(lost func(to Limiter, isReply bool) bool) {
	p.t.Helper()
	c := p.open()
	p.query(c, lost)
	p.claim(c)
	p.write(c)
	p.confirm(c)
	p.sendConfirmations(c, lost)
}

func nothingLost(Limiter, bool) bool { return false }

// cutOff loses all messages of one limiter.
func cutOff(limiter Limiter) func(Limiter, bool) bool {
	return func(to Limiter, _ bool) bool { return to == limiter }
}

// repliesLost loses the replies of one limiter.
func repliesLost(limiter Limiter) func(Limiter, bool) bool {
	return func(to Limiter, isReply bool) bool { return to == limiter && isReply }
}

// check compares the usage by the reports with what was recorded.
func (p *testPeriods) check(want float64) Summary {
	p.t.Helper()
	s := Merge(p.reports)
	units := 0.0
	for _, u := range s.Usage {
		units += u.Units
	}
	if math.Abs(units-want) > 1e-6 {
		p.t.Errorf("%v units by the reports, %v recorded; %+v", units, want, p.reports)
	}
	return s
}
