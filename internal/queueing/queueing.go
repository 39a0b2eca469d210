// Package queueing holds the queueing model of the paper that lemongate follows:
// an M/G/1 queue that is given a share of the capacity.
package queueing

import "math"

// Share is the share with which a class of arrival rate l, latency moments x
// and x2 and aim d just meets its aim: equation 9 of the paper in conjugate
// form, not singular where the numerator vanishes.
func Share(l, x, x2, d float64) float64 {
	y := x2 - 2*x*x
	z := (1 + d*l) * x
	return (z + math.Sqrt(max(z*z+2*d*l*y, 0))) / (2 * d)
}

// Slope is the derivative of the class's latency by its share, at share b. It
// is below zero: more share, less latency. A spare share under least counts
// as least.
func Slope(l, x, x2, b, least float64) float64 {
	spare := max(b-l*x, least)
	return -x/(b*b) - l*x2*(b+spare)/(2*b*b*spare*spare)
}
