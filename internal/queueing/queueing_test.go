package queueing_test

import (
	"math"
	"testing"

	"lemongate/internal/queueing"
)

// assertNear checks that got is within 0.001 of want, or within a thousandth of want if that is larger.
func assertNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-3*math.Max(1, math.Abs(want)) {
		t.Errorf("%s: got %.5f, want %.5f", what, got, want)
	}
}

// Shares worked out by hand from b = (z + sqrt(z*z + 2*d*l*y)) / (2*d), with arrival rate l, objective d, mean x and
// mean square x2 of the service time, y = x2 - 2*x*x and z = (1 + d*l) * x.
func TestShare(t *testing.T) {
	for _, test := range []struct {
		name                                 string
		arrivalRate, mean, square, objective float64
		want                                 float64
	}{
		{"service varies less than exponential", 50, 0.005, 0.00003, 1, 0.25302}, // z .255; y -.00002: (.255 + sqrt(.065025-.002)) / 2
		{"exponential service", 50, 0.005, 0.00005, 1, 0.255},                    // y 0: (z + z) / 2
		{"service varies more than exponential", 50, 0.005, 0.00015, 1, 0.26446}, // y .0001: (.255 + sqrt(.065025+.01)) / 2
		{"no arrivals", 0, 0.05, 0.005, 0.5, 0.1},                                // x / d
		{"no arrivals and no service time", 0, 0, 0, 1, 0},
		{"more arrivals than capacity", 500, 0.005, 0.00005, 1, 2.505}, // y 0: z = 501 * .005
	} {
		service := queueing.ServiceTime{Mean: test.mean, Square: test.square}
		assertNear(t, test.name, queueing.Share(test.arrivalRate, service, test.objective), test.want)
	}
}

// The equation as the paper has it, which is singular at y = 0, gives the same share as its conjugate form.
func TestShareAgreesWithPaper(t *testing.T) {
	l, x, x2, d := 50.0, 0.005, 0.00015, 1.0
	y, z := x2-2*x*x, (1+d*l)*x
	got := queueing.Share(l, queueing.ServiceTime{Mean: x, Square: x2}, d)
	assertNear(t, "share", got, l*y/(-z+math.Sqrt(z*z+2*d*l*y)))
}

// latency returns the mean latency of an M/G/1 queue with a share of the capacity: the service time, and the mean
// wait by the Pollaczek-Khinchine formula.
func latency(arrivalRate float64, service queueing.ServiceTime, share float64) float64 {
	spare := share - arrivalRate*service.Mean
	return service.Mean/share + arrivalRate*service.Square/(2*share*spare)
}

// A class with the share that Share returns has its objective as its latency.
func TestShareMeetsObjective(t *testing.T) {
	for _, service := range []queueing.ServiceTime{{Mean: 0.005, Square: 0.00003}, {Mean: 0.005, Square: 0.00015}} {
		for _, objective := range []float64{0.1, 1} {
			share := queueing.Share(50, service, objective)
			assertNear(t, "latency", latency(50, service, share), objective)
		}
	}
}

// Slope is the derivative of the latency by the share, and stays finite where the share is too small for the load.
func TestSlope(t *testing.T) {
	const arrivalRate, share, step = 50.0, 0.3, 1e-6
	service := queueing.ServiceTime{Mean: 0.005, Square: 0.00005}
	difference := latency(arrivalRate, service, share+step) - latency(arrivalRate, service, share-step)
	assertNear(t, "slope", queueing.Slope(arrivalRate, service, share, 0.01), difference/(2*step))

	overloaded := queueing.Slope(arrivalRate, service, 0.2, 0.01) // the load is 0.25
	if math.IsInf(overloaded, 0) || math.IsNaN(overloaded) || overloaded >= 0 {
		t.Errorf("slope with too small a share: %v, want a finite value below 0", overloaded)
	}
}
