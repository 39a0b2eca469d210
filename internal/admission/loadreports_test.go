package admission

import (
	"math"
	"testing"
	"time"
)

// A load report with a value that makes no sense is ignored.
func TestInvalidLoadReports(t *testing.T) {
	fields := []string{"inflight", "new", "util"}
	for _, values := range [][]float64{nil, {-1}, {math.NaN()}, {1, 2, math.Inf(1)}} {
		if _, ok := parseLoadReport(fields, values); ok {
			t.Errorf("%v was accepted", values)
		}
	}
	want := loadReport{inFlight: 3, latency: -1, utilization: 0.5}
	if got, ok := parseLoadReport(fields, []float64{3, 9, 0.5, 7}); got != want || !ok {
		t.Errorf("parsed %+v %v, want %+v", got, ok, want)
	}
}

// The probes of all limiters together are bounded, however many limiters there are.
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
		backendsEach := 10.0 / float64(limiters)
		most := 1 + backendsEach*10/(probeRoundObjectives*f.ctl.classes.longestObjective.Seconds())
		if float64(probes) > most+1 || probes == 0 {
			t.Errorf("%d limiters: one probed %d times in 10 s, want %.1f at most", limiters, probes, most)
		}
	}
}
