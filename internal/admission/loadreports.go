package admission

import (
	"math"

	"lemongate/internal/quota"
	"lemongate/internal/rate"
)

// This file reads the load reports of backends, probes backends that have not reported for long, and infers from
// the first reports whether the tier of limiters is new.

const (
	// Names of values in a load report.
	inFlightField    = "inflight"
	queueField       = "queue"
	latencyField     = "latency_ms"
	utilizationField = "util"

	// utilizationMargin is the fraction of its capacity that counts as left at a fully utilized backend.
	utilizationMargin = 0.15
	// maxRelativeLoad bounds a relative load and its inverse: if it were lower, all busy backends would look
	// alike.
	maxRelativeLoad = 16.0
	// latencyLoadWeight is the weight of one latency in the relative load, where no load is reported.
	latencyLoadWeight = 0.3

	// probeObjectives is the time in shortest objectives after which a backend without a response
	// or an observation may be probed.
	probeObjectives = 1.0
	// probeRoundObjectives is the time in longest objectives in which all limiters together probe each
	// backend once at most.
	probeRoundObjectives = 4.0

	// initialReports is the number of first reports from which it is inferred whether the tier of limiters is
	// new.
	initialReports = 3
	// newTierUtilization is the mean utilization of backends up to which the tier is inferred to be new.
	newTierUtilization = 0.2
)

// loadReports is what the load reports of all backends have shown, and the allowance of probes.
type loadReports struct {
	meanLoad            float64        // running mean of loadReport.load
	initialUtilizations []float64      // of the first reports, one per backend
	probes              rate.Allowance // probes that may be made now
}

// loadReport is the part of a load report that is used; values below 0 were not reported.
type loadReport struct {
	inFlight    float64 // requests, queued ones included
	latency     float64 // milliseconds
	utilization float64 // 0 to 1
}

// onLoadReport records a load report. Only how a backend compares with the others counts, so the unit of
// the load does not matter.
func (ctl *Controller) onLoadReport(b *backend, values []float64) {
	report, ok := parseLoadReport(ctl.settings.LoadReportFields, values)
	if !ok {
		return
	}
	ctl.inferStartState(b, report.utilization)
	load := report.load()
	reports := &ctl.reports
	if reports.meanLoad == 0 {
		reports.meanLoad = load
	}
	reports.meanLoad += meanWeight * (min(load, maxRelativeLoad*reports.meanLoad) - reports.meanLoad)
	b.relativeLoad = clampLoad(load / reports.meanLoad)
	ctl.announce(b, ctl.now)
}

// parseLoadReport reads the values of a load report by the names of their fields. It is not ok if a value
// is negative or not finite, or no field is used.
func parseLoadReport(fields []string, values []float64) (report loadReport, ok bool) {
	none := loadReport{inFlight: -1, latency: -1, utilization: -1}
	report = none
	for i, v := range values[:min(len(values), len(fields))] {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return none, false
		}
		switch fields[i] {
		case inFlightField, queueField:
			report.inFlight = max(report.inFlight, v)
		case latencyField:
			report.latency = v
		case utilizationField:
			report.utilization = v
		}
	}
	return report, report != none
}

// load is a measure of the work that waits at a backend: its latency times the requests there, or if these
// are not reported, its latency over the fraction of its capacity that is left.
func (r loadReport) load() float64 {
	load := max(r.latency, 1) * (max(r.inFlight, 0) + 1)
	if r.inFlight < 0 && r.utilization >= 0 {
		load /= max(1+utilizationMargin-r.utilization, utilizationMargin)
	}
	return load
}

// clampLoad keeps a relative load within its bounds.
func clampLoad(load float64) float64 { return min(max(load, 1/maxRelativeLoad), maxRelativeLoad) }

// probeStaleBackend probes a backend, chosen at random, if there was no recent response or observation of it
// and the rate of probes allows it.
func (ctl *Controller) probeStaleBackend() {
	listed := ctl.endpoints.listed
	if !ctl.settings.MayProbe || len(ctl.settings.LoadReportFields) == 0 || len(listed) == 0 {
		return
	}
	usable, _ := ctl.usableSubset()
	b := listed[ctl.random.IntN(usable)]
	silence := (ctl.now - max(b.observedAt, b.lastResponseAt)).Seconds()
	if silence <= probeObjectives*ctl.classes.shortestObjective.Seconds() {
		return
	}
	backendsEach := float64(len(listed)) / float64(ctl.settings.Limiters)
	perSecond := backendsEach / (probeRoundObjectives * ctl.classes.longestObjective.Seconds())
	if ctl.reports.probes.Refill(ctl.now, perSecond, 1) < 1 {
		return
	}
	ctl.reports.probes.Amount--
	ctl.emit(ProbeBackend{Backend: b.ID})
}

// inferStartState infers from the first reports whether the tier of limiters is new or has restarted: if
// backends are busy already, there were limiters before, which have lost what they knew of the use of quotas.
// Counted as new, they would give each customer a full burst again.
func (ctl *Controller) inferStartState(b *backend, utilization float64) {
	if ctl.customers.ledger.StartState() != quota.StartUnknown || utilization < 0 || b.initialReportSeen {
		return
	}
	b.initialReportSeen = true
	seen := append(ctl.reports.initialUtilizations, utilization)
	ctl.reports.initialUtilizations = seen
	if len(seen) < min(initialReports, len(ctl.endpoints.listed)) {
		return
	}
	sum := 0.0
	for _, v := range seen {
		sum += v
	}
	state := quota.TierStarted
	if sum > newTierUtilization*float64(len(seen)) {
		state = quota.TierRestarted
	}
	ctl.customers.ledger.ResolveStartState(state, ctl.now)
	ctl.settleWaiting()
}
