// Package queueing is the queueing model by which request classes are assigned shares of the capacity: each
// class is an M/G/1 queue (Poisson arrivals, any distribution of service time, one server) whose server has
// the class's share of the capacity. It is the model of "Model Predictive Feedback Control for QoS
// Assurance in Web Servers". Times are in seconds, rates per second, and a share is 0 to 1.
package queueing

import "math"

// ServiceTime is the first two moments of the time that a request takes at the full capacity.
type ServiceTime struct {
	Mean   float64
	Square float64 // mean of the square
}

// Share returns the share of the capacity with which the mean latency of a class equals its objective, at an
// arrival rate. The objective is above 0. The result may be above 1. The formula is equation 9 of the paper in
// conjugate form: the form of the paper divides zero by zero where the mean square of the service time is twice
// the squared mean.
func Share(arrivalRate float64, service ServiceTime, objective float64) float64 {
	y := service.Square - 2*service.Mean*service.Mean
	z := (1 + objective*arrivalRate) * service.Mean
	return (z + math.Sqrt(max(z*z+2*objective*arrivalRate*y, 0))) / (2 * objective)
}

// Slope returns the derivative of the mean latency of a class by its share, in seconds. It is below zero: more
// share, less latency. The spare share, which is share - arrivalRate*service.Mean, counts as at least minSpare:
// at 0 the latency of the model is infinite.
func Slope(arrivalRate float64, service ServiceTime, share, minSpare float64) float64 {
	spare := max(share-arrivalRate*service.Mean, minSpare)
	return -service.Mean/(share*share) - arrivalRate*service.Square*(share+spare)/(2*share*share*spare*spare)
}
