package admission

import (
	"math"
	"testing"
	"time"
)

// A load report with an invalid value, or without a value of a known field, is ignored.
func TestInvalidLoadReports(t *testing.T) {
	fields := []string{"inflight", "new", "util"}
	for _, values := range [][]float64{nil, {-1}, {math.NaN()}, {1, 2, math.Inf(1)}} {
		if _, ok := parseLoadReport(fields, values); ok {
			t.Errorf("load report %v was accepted, want it rejected", values)
		}
	}
	want := loadReport{inFlight: 3, latency: -1, utilization: 0.5}
	if got, ok := parseLoadReport(fields, []float64{3, 9, 0.5, 7}); got != want || !ok {
		t.Errorf("parsed %+v, ok %v, want %+v", got, ok, want)
	}
}

// The number of probes of all limiters together is bounded, regardless of the number of limiters.
func TestProbeRateOfAllLimiters(t *testing.T) {
	for _, limiters := range []int{3, 20, 80} {
		settings := testSettings()
		settings.Limiters, settings.MayProbe, settings.GossipEnabled = limiters, true, false
		settings.LoadReportFields = []string{"latency_ms", "util"}
		f := newFixture(t, settings, backendList("a", "b", "c", "d", "e", "f", "g", "h", "i", "j")...)
		f.now += time.Minute // without any load report
		probes := 0
		for range 1000 {
			f.now += 10 * ms
			f.request("read", "free", "x")
			probes += len(actionsOf[ProbeBackend](f.takeActions()))
		}
		backendsPerLimiter := 10.0 / float64(limiters)
		maxProbes := 1 + backendsPerLimiter*10/(probeRoundObjectives*f.ctl.classes.longestObjective.Seconds())
		if float64(probes) > maxProbes+1 || probes == 0 {
			t.Errorf("%d limiters: a limiter sent %d probes in 10 s, want at least one and about %.1f at most",
				limiters, probes, maxProbes)
		}
	}
}
