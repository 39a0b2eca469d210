package admission

import (
	"math"

	"lemongate/internal/quota"
	"lemongate/internal/rate"
)

// This file decodes the load reports of backends, probes backends that have not reported recently, and infers from the
// first reports whether the tier is new.

const (
	// Names of fields in a load report.
	inFlightField    = "inflight"
	queueField       = "queue"
	latencyField     = "latency_ms"
	utilizationField = "util"

	// utilizationMargin is the fraction of its capacity that a fully utilized backend is assumed to have left.
	utilizationMargin = 0.15
	// maxRelativeLoad bounds a relative load and its inverse. With a lower maximum, busy backends could not be
	// distinguished from each other.
	maxRelativeLoad = 16.0
	// latencyLoadWeight is the weight of a single latency in the relative load if no load is reported.
	latencyLoadWeight = 0.3

	// probeObjectives is the time in shortest objectives after which a backend without a response
	// or an observation may be probed.
	probeObjectives = 1.0
	// probeRoundObjectives is the time in longest objectives in which all limiters together probe each
	// backend at most once.
	probeRoundObjectives = 4.0

	// initialReports is the number of first reports from which the start state of the tier is inferred.
	initialReports = 3
	// newTierUtilization is the highest mean utilization of backends at which the tier is inferred to be new.
	newTierUtilization = 0.2
)

// loadReports contains what was derived from the load reports of all backends, and the allowance of probes.
type loadReports struct {
	meanLoad            float64        // running mean of loadReport.load
	initialUtilizations []float64      // from the first reports, one per backend
	probes              rate.Allowance // probes that may be sent now
}

// loadReport contains the values of a load report that are used; negative values were not reported.
type loadReport struct {
	inFlight    float64 // requests at the backend, including queued ones
	latency     float64 // milliseconds
	utilization float64 // 0 to 1
}

// onLoadReport records a load report. The load is only compared between backends, so its unit does not matter.
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

// parseLoadReport assigns the values of a load report to fields by name. ok is false if a value is negative or not
// finite, or if no field is used.
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

// load returns a measure of the pending work at a backend: its latency times the number of requests there or, if that
// number is not reported, its latency divided by the fraction of its capacity that is left.
func (r loadReport) load() float64 {
	load := max(r.latency, 1) * (max(r.inFlight, 0) + 1)
	if r.inFlight < 0 && r.utilization >= 0 {
		load /= max(1+utilizationMargin-r.utilization, utilizationMargin)
	}
	return load
}

// clampLoad limits a relative load to its bounds.
func clampLoad(load float64) float64 { return min(max(load, 1/maxRelativeLoad), maxRelativeLoad) }

// probeStaleBackend probes a randomly chosen backend if there is no recent response or observation of it and the
// probe rate allows it.
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
	backendsPerLimiter := float64(len(listed)) / float64(ctl.settings.Limiters)
	perSecond := backendsPerLimiter / (probeRoundObjectives * ctl.classes.longestObjective.Seconds())
	if ctl.reports.probes.Refill(ctl.now, perSecond, 1) < 1 {
		return
	}
	ctl.reports.probes.Amount--
	ctl.emit(ProbeBackend{Backend: b.ID})
}

// inferStartState infers from the first load reports whether the tier is new or has restarted. If backends are already
// busy, limiters ran before and their records of quota consumption are lost. A restarted tier that is taken for a new
// one would give each customer a full burst again.
func (ctl *Controller) inferStartState(b *backend, utilization float64) {
	if ctl.customers.ledger.StartState() != quota.StartUnknown || utilization < 0 || b.initialReportSeen {
		return
	}
	b.initialReportSeen = true
	utilizations := append(ctl.reports.initialUtilizations, utilization)
	ctl.reports.initialUtilizations = utilizations
	if len(utilizations) < min(initialReports, len(ctl.endpoints.listed)) {
		return
	}
	sum := 0.0
	for _, v := range utilizations {
		sum += v
	}
	state := quota.TierStarted
	if sum > newTierUtilization*float64(len(utilizations)) {
		state = quota.TierRestarted
	}
	ctl.customers.ledger.ResolveStartState(state, ctl.now)
	ctl.decideWaiting()
}
