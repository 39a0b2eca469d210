package usage

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"
)

// testTier simulates the recorders of a tier and the successive lease holders: the payload that the holders store,
// the datagrams that arrive, and the reports that are written.
type testTier struct {
	t         *testing.T
	recorders []*Recorder
	reports   []Report

	token        uint64
	holder       Limiter
	period       uint32   // payload: the last period whose collection was started
	previous     uint32   // payload: the period before it
	mayBeWritten bool     // payload: there may be a report of period
	written      bool     // payload: there is a report of period
	reportedUpTo []uint32 // see Collector.reportedUpTo

	sent []Query // all queries of all collectors
}

func newTestTier(t *testing.T, limiters int) *testTier {
	tt := &testTier{t: t}
	for n := range limiters {
		tt.recorders = append(tt.recorders, NewRecorder(uint32(n+1)))
	}
	return tt
}

// changeLease makes a limiter the lease holder, under a new token. The new holder knows only the payload.
func (tt *testTier) changeLease(holder Limiter) {
	tt.token++
	tt.holder = holder
	reported := tt.period
	if !tt.written {
		reported = tt.previous
	}
	tt.reportedUpTo = slices.Repeat([]uint32{reported}, len(tt.recorders))
}

// hotRestart replaces the recorder of a limiter by that of a successor process.
func (tt *testTier) hotRestart(limiter int) {
	tt.t.Helper()
	data, err := json.Marshal(tt.recorders[limiter].State())
	if err != nil {
		tt.t.Fatal(err)
	}
	var state RecorderState
	if err := json.Unmarshal(data, &state); err != nil {
		tt.t.Fatal(err)
	}
	tt.recorders[limiter] = NewRecorder(uint32(100 + limiter))
	tt.recorders[limiter].Restore(&state)
}

// startCollection starts the collection of the next period, or of the last one again if its report is not known to be
// written.
func (tt *testTier) startCollection() *Collector {
	knowsAllReports := tt.period > 0
	if tt.period == 0 || tt.written {
		tt.previous, tt.period = tt.period, tt.period+1
		tt.written, tt.mayBeWritten = false, false
	}
	c := NewCollector(tt.period, tt.previous, tt.reportedUpTo, tt.mayBeWritten, tt.token, time.Millisecond, 0)
	c.KnowsAllReports = knowsAllReports
	return c
}

// queryAll sends the queries of the collector until it is complete. lost decides whether a query to a limiter, or
// the reply to it, is lost.
func (tt *testTier) queryAll(c *Collector, lost func(to Limiter, isReply bool) bool) {
	tt.t.Helper()
	now := time.Second
	for n := 0; !c.Complete(); n++ {
		queries, due := c.Tick(now)
		tt.sent = append(tt.sent, queries...)
		for _, q := range queries {
			if q.To == tt.holder {
				reply, _ := tt.recorders[q.To].HandleOwnRequest(q.Request)
				c.HandleMessage(q.To, reply)
				continue
			}
			if lost(q.To, false) {
				continue
			}
			reply, ok := tt.recorders[q.To].HandleRequest(q.Request)
			if ok && !lost(q.To, true) && !c.HandleMessage(q.To, reply) {
				tt.t.Fatalf("the collector does not accept the reply %x", reply)
			}
		}
		now = max(now+time.Millisecond, due)
		if n > 100_000 {
			tt.t.Fatal("collection not complete after 100000 ticks")
		}
	}
}

// storeMayBeWritten stores in the payload that there may be a report. The holder's own pages may be in it too.
func (tt *testTier) storeMayBeWritten(c *Collector) {
	tt.mayBeWritten = true
	tt.recorders[tt.holder].MarkSent(c)
}

func (tt *testTier) write(c *Collector) { tt.reports = append(tt.reports, c.Report([]string{"gold"})) }

// storeWritten stores in the payload that there is a report.
func (tt *testTier) storeWritten(c *Collector) {
	tt.written = true
	tt.reportedUpTo = c.Reported()
}

// sendConfirmations sends the confirmation of a report to the limiters whose usage it includes.
func (tt *testTier) sendConfirmations(c *Collector, lost func(to Limiter, isReply bool) bool) {
	for _, to := range c.ToConfirm() {
		if to == tt.holder || !lost(to, false) {
			tt.recorders[to].HandleConfirmation(c.Confirmation())
		}
	}
}

// reportPeriod collects one period and writes its report, without a crash of the lease holder.
func (tt *testTier) reportPeriod(lost func(to Limiter, isReply bool) bool) {
	tt.t.Helper()
	c := tt.startCollection()
	tt.queryAll(c, lost)
	tt.storeMayBeWritten(c)
	tt.write(c)
	tt.storeWritten(c)
	tt.sendConfirmations(c, lost)
}

func nothingLost(Limiter, bool) bool { return false }

// allMessagesLost returns a function that loses all messages to and from one limiter.
func allMessagesLost(limiter Limiter) func(Limiter, bool) bool {
	return func(to Limiter, _ bool) bool { return to == limiter }
}

// repliesLost returns a function that loses the replies of one limiter.
func repliesLost(limiter Limiter) func(Limiter, bool) bool {
	return func(to Limiter, isReply bool) bool { return to == limiter && isReply }
}

// checkUnits compares the units in the merged reports with the recorded units, and returns the merged reports.
func (tt *testTier) checkUnits(want float64) Summary {
	tt.t.Helper()
	s := Merge(tt.reports)
	units := 0.0
	for _, u := range s.Usage {
		units += u.Units
	}
	if math.Abs(units-want) > 1e-6 {
		tt.t.Errorf("%v units reported, want the %v recorded; reports %+v", units, want, tt.reports)
	}
	return s
}
