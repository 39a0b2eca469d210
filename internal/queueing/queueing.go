// Package queueing holds the queueing model that the decisions follow: an M/G/1 queue that is given a
// share of the capacity. Times are in seconds.
package queueing

import "math"

// ServiceTime is the first two moments of the time that a request takes at the whole capacity.
type ServiceTime struct {
	Mean   float64
	Square float64 // mean of the square
}

// Share is the share of the capacity with which a class just meets its latency objective, at an
// arrival rate per second: equation 9 of the paper in conjugate form, which is not singular where the
// numerator vanishes. It may be above 1.
func Share(arrivalRate float64, service ServiceTime, objective float64) float64 {
	y := service.Square - 2*service.Mean*service.Mean
	z := (1 + objective*arrivalRate) * service.Mean
	return (z + math.Sqrt(max(z*z+2*objective*arrivalRate*y, 0))) / (2 * objective)
}

// Slope is the derivative of the latency of a class by its share. It is below zero: more share, less
// latency. A spare share below least counts as least.
func Slope(arrivalRate float64, service ServiceTime, share, least float64) float64 {
	spare := max(share-arrivalRate*service.Mean, least)
	return -service.Mean/(share*share) - arrivalRate*service.Square*(share+spare)/(2*share*share*spare*spare)
}
