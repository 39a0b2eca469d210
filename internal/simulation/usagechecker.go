package simulation

import (
	"bytes"
	"time"

	"lemongate/internal/core"
	"lemongate/internal/usage"
)

const (
	// diskDelay is the time to write a usage report, and again the time until the limiter is notified that it is written.
	diskDelay = 3 * time.Millisecond
	// maxUnitsAtBackends is how many units may be at backends at the end of a run. Limiters have not recorded them yet.
	maxUnitsAtBackends = 10
)

// usageChecker checks the usage reports against the units that reached the backends.
type usageChecker struct {
	reports      []usage.Report // in the order in which they were written
	unitsReached float64        // units that reached backends
}

// writeUsage writes a usage report after diskDelay, unless the process ends or its lease expires before.
func (l *limiter) writeUsage(e core.WriteUsage) {
	l.world.after(diskDelay, l.ifAlive(func() { l.finishWrite(e) }))
}

// finishWrite writes a usage report unless the lease has expired; a stalled limiter does so after its stall.
func (l *limiter) finishWrite(e core.WriteUsage) {
	w := l.world
	written := core.UsageWritten{Token: e.Token}
	switch {
	case w.now < l.stalledUntil:
		w.at(l.stalledUntil, l.ifAlive(func() { l.finishWrite(e) }))
		return
	case l.clock() >= e.StartBefore:
		written.LeaseExpired = true
	default:
		reports, _, _ := usage.ReadReports(bytes.NewReader(e.Report)) // a truncated report is missing in the summary
		w.usage.reports = append(w.usage.reports, reports...)
	}
	w.after(diskDelay, l.ifAlive(func() { l.post(written) }))
}

// summarizeUsage stores the measures of the usage reports in the result. It is a breach if a period is in two reports
// without MayRepeat, or if more than maxUnitsAtBackends units are missing and the summary lists no fault.
func (w *world) summarizeUsage() {
	if w.scenario.Leases.UsagePeriod <= 0 {
		return
	}
	r, summary := &w.result, usage.Merge(w.usage.reports)
	reported := r.RecordUsage(summary, w.breach)
	for _, report := range summary.Reports {
		if report.MayRepeat {
			r.UsageRepeats++
		}
	}
	accounted := reported + w.unreportedUnits(summary)
	r.UsageOver = max(accounted-w.usage.unitsReached, 0)
	r.UsageUnder = max(w.usage.unitsReached-accounted, 0)
	if r.UsageUnder > maxUnitsAtBackends && r.UsageFaults == 0 {
		w.breach("%.0f units are in no report, and no report says so", r.UsageUnder)
	}
}

// unreportedUnits returns the units that limiters have recorded since the last reported period.
func (w *world) unreportedUnits(summary usage.Summary) float64 {
	var last uint32
	if n := len(summary.Reports); n > 0 {
		last = summary.Reports[n-1].Period
	}
	units := 0.0
	for _, l := range w.limiters {
		if l.machine != nil {
			units += l.machine.UnreportedUsage(last)
		}
	}
	return units
}
