package admission

import (
	"testing"

	"lemongate/internal/queueing"
)

// The share of a class is that of the queueing model, limited to the range from minShare to the entire window. TestShare
// of internal/queueing derives the values within these bounds.
func TestShareIsClamped(t *testing.T) {
	for _, test := range []struct {
		name                                 string
		arrivalRate, mean, square, objective float64
		want                                 float64
	}{
		{"service varies less than exponential", 50, 0.005, 0.00003, 1, 0.25302},
		{"exponential service", 50, 0.005, 0.00005, 1, 0.255},
		{"service varies more than exponential", 50, 0.005, 0.00015, 1, 0.26446},
		{"no arrivals", 0, 0.05, 0.005, 0.5, 0.1},
		{"no arrivals and no latency measured", 0, 0, 0, 1, 0.01},
		{"more arrivals than capacity", 500, 0.005, 0.00005, 1, 1},
	} {
		service := queueing.ServiceTime{Mean: test.mean, Square: test.square}
		share := queueing.Share(test.arrivalRate, service, test.objective)
		assertNear(t, test.name, clampShare(share), test.want)
	}
}

// A class that misses its objective gains share, a class that is faster loses share, and no control period changes a
// share by more than maxShareStep.
func TestShareCorrectionFollowsLatencyError(t *testing.T) {
	service := queueing.ServiceTime{Mean: 0.005, Square: 0.00005}
	if got := shareCorrection(-0.1, 10, service, 0.1); got <= 0 || got > maxShareStep {
		t.Errorf("class above its objective: correction %v, want above 0 and at most maxShareStep", got)
	}
	if got := shareCorrection(0.1, 10, service, 0.1); got >= 0 || got < -maxShareStep {
		t.Errorf("class below its objective: correction %v, want below 0 and at least -maxShareStep", got)
	}
	assertNear(t, "a stall", shareCorrection(-1e6, 10, service, 0.1), maxShareStep)
	assertNear(t, "no latency measured", shareCorrection(-1, 10, queueing.ServiceTime{}, 0.1), 0)
}

// If the latency objectives cannot all be met, the class with the most weight gets the share that it needs.
func TestInfeasibleObjectivesFavorHeaviestClass(t *testing.T) {
	f := newFixture(t, testSettings(), backendList("a", "b")...)
	for _, class := range f.ctl.classes.all {
		class.arrivalRate, class.meanLatency, class.meanSquaredLatency = 60, 0.3, 0.2
		class.arrivals = 60
	}
	f.ctl.runControlLoop()
	lightest, heaviest := f.ctl.classes.all[0], f.ctl.classes.all[2]
	if heaviest.share < 0.8 || lightest.share > 0.1 {
		t.Errorf("share of the heaviest class %.3f, of the lightest %.3f; want the heaviest served first",
			heaviest.share, lightest.share)
	}
	sum := 0.0
	for _, class := range f.ctl.classes.all {
		sum += class.share
	}
	assertNear(t, "sum of shares", sum, 1)
}
