package core

import (
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/lease"
)

// metricsInterval is how old the figures handed out may be while anything happens. Readers
// allow half a second, and a walk over the backends for each event would cost more.
const metricsInterval = 100 * time.Millisecond

// ClassCounts counts how the reqs of one class ended.
type ClassCounts struct {
	Class                       string
	Completed, Rejected, Failed uint64 // with a backend's answer, refused, failed
}

// Metrics are what operators are shown. Counts are from the program's start.
type Metrics struct {
	Classes      []ClassCounts // in the order of the settings
	Pending      int           // reqs taken and not answered
	Members      int           // backends in the list, those that drain too
	Unavailable  int           // of these, those that drain or that the Gateway leaves alone now
	Leases       []lease.View
	RestartSlots RestartSlotView
}

// PublishMetrics hands out the figures. They are the receiver's to keep.
type PublishMetrics struct{ Metrics Metrics }

func (PublishMetrics) effect() {}

// countResponse books how a req of a class ended.
func (r *Machine) countResponse(class int, kind ResponseKind) {
	if class < 0 {
		return
	}
	switch l := &r.classCounts[class]; kind {
	case Served:
		l.Completed++
	case Rejected:
		l.Rejected++
	case Failed:
		l.Failed++
	}
}

// publishMetrics hands the figures out where they are wanted and old enough, and else sees to
// it that the last change is told too. An idle program publishes nothing.
func (r *Machine) publishMetrics() {
	switch {
	case !r.publishesMetrics:
	case r.now < r.publishedAt+metricsInterval:
		if !r.publishPending {
			r.publishPending = true
			r.timers.add(timer{at: r.publishedAt + metricsInterval, kind: metricsTimer})
		}
	default:
		r.publishedAt, r.publishPending = r.now, false
		r.emit(PublishMetrics{Metrics: r.metrics()})
	}
}

func (r *Machine) metrics() Metrics {
	f := Metrics{Classes: append([]ClassCounts(nil), r.classCounts...), Members: len(r.backends), Pending: r.pending, Leases: r.Leases(), RestartSlots: r.RestartSlots()}
	for id, b := range r.backends {
		if b.State != admission.Live || r.controller.AvoidsBackend(id) {
			f.Unavailable++
		}
	}
	return f
}
