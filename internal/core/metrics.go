package core

import (
	"slices"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/lease"
)

// This file counts responses by request class and publishes metrics.

// metricsInterval is how old published metrics may be while events occur. Readers accept metrics that are half a second
// old, and publishing at each event would cost a pass over the backends.
const metricsInterval = 100 * time.Millisecond

// ClassCounts counts how the requests of one class have ended since the start of the process.
type ClassCounts struct {
	Class     string
	Completed uint64 // with a backend's response
	Rejected  uint64 // with a local reply: they may be sent again
	Failed    uint64 // with a local reply: they may have run
}

// Metrics are the figures shown to operators. Counts start at the start of the process.
type Metrics struct {
	Classes        []ClassCounts   // in the order of the settings
	Pending        int             // requests without a response
	ListedBackends int             // backends in the list, including draining ones
	Unavailable    int             // those of ListedBackends that drain or that the admission controller avoids
	Leases         []lease.View    // by task
	RestartSlots   RestartSlotView // of the rolling restart

	Closes  CloseCounts `since:"0.9.5"` // closed client connections by reason
	Replies ReplyCounts `since:"0.9.5"` // local replies by reason
	Retried RetryCounts `since:"0.9.5"` // retries by the result of the attempt before

	Resources []ResourceUsage `since:"0.9.5"` // what clients make the process hold
}

// ResourceUsage is how much of something that is bounded is used.
type ResourceUsage struct {
	Resource string // name that metrics use
	Used     int
	Limit    int // 0 for none
}

// metricsState is the counts by class, and when metrics were last published.
type metricsState struct {
	classes      []ClassCounts // in the order of the settings
	publishedAt  time.Duration // clock time
	timerPending bool          // a timer is set to publish the changes since publishedAt
}

func newMetricsState(classes []admission.Class, now time.Duration) metricsState {
	s := metricsState{publishedAt: now - metricsInterval}
	for _, class := range classes {
		s.classes = append(s.classes, ClassCounts{Class: class.Name})
	}
	return s
}

// countResponse counts how a request of a class, or one without a class (noClass), ended.
func (m *Machine) countResponse(classIndex int, kind ResponseKind) {
	class := &ClassCounts{} // discarded for noClass
	if classIndex != noClass {
		class = &m.metrics.classes[classIndex]
	}
	switch kind {
	case Served:
		m.counters.Served++
		class.Completed++
	case Rejected:
		m.counters.Rejected++
		class.Rejected++
	case Failed:
		m.counters.Failed++
		class.Failed++
	}
}

// publishMetrics publishes metrics if they are wanted and the last ones are at least metricsInterval old. Otherwise it
// sets a timer, so that the last change is published too. An idle program publishes nothing.
func (m *Machine) publishMetrics() {
	if !m.config.PublishesMetrics {
		return
	}
	nextAt := m.metrics.publishedAt + metricsInterval
	if m.now >= nextAt {
		m.metrics.publishedAt = m.now
		m.metrics.timerPending = false
		m.emit(PublishMetrics{Metrics: m.currentMetrics()})
		return
	}
	if !m.metrics.timerPending {
		m.metrics.timerPending = true
		m.timers.add(timer{at: nextAt, kind: metricsTimer})
	}
}

// resources returns the usage of what the machine bounds.
func (m *Machine) resources() []ResourceUsage {
	customers, maxCustomers := m.admission.controller.Customers()
	return []ResourceUsage{
		{"customers", customers, maxCustomers},
		{"call_ids", len(m.requests.usedCallIDs.order), maxUsedCallIDs},
	}
}

func (m *Machine) currentMetrics() Metrics {
	metrics := Metrics{
		Classes:        slices.Clone(m.metrics.classes),
		Pending:        m.requests.pending,
		ListedBackends: len(m.endpoints.byID),
		Leases:         m.Leases(),
		RestartSlots:   m.RestartSlots(),
		Closes:         m.counters.Closes,
		Replies:        m.counters.Replies,
		Retried:        m.counters.Retried,
		Resources:      m.resources(),
	}
	for id, endpoint := range m.endpoints.byID {
		if endpoint.State != admission.Live || m.admission.controller.AvoidsBackend(id) {
			metrics.Unavailable++
		}
	}
	return metrics
}
