package admin

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"lemongate/internal/core"
)

// This file contains the metrics. Scripts read their names and labels.

// Descriptions of the metrics that a collector collects.
var (
	completedDesc   = classDesc("router_completed_total", "requests that got a response of a backend")
	rejectedDesc    = classDesc("router_rejected_total", "requests that were rejected")
	failedDesc      = classDesc("router_failed_total", "requests that were answered as failed")
	attemptsDesc    = desc("router_upstream_requests_total", "attempts written to backends completely")
	pendingDesc     = desc("router_pending", "requests received and not yet answered")
	backendsDesc    = desc("router_members", "backends in the endpoint list")
	unavailableDesc = desc("router_members_unavailable", "backends in the endpoint list that are draining or ejected")
)

func desc(name, help string) *prometheus.Desc { return prometheus.NewDesc(name, help, nil, nil) }

// classDesc describes a metric with one value per request class.
func classDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, []string{"lane"}, nil)
}

// A collector collects the metrics that were published last, and the current number of attempts written.
type collector struct {
	published       *atomic.Pointer[core.Metrics]
	attemptsWritten func() uint64
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		completedDesc, rejectedDesc, failedDesc, attemptsDesc, pendingDesc, backendsDesc, unavailableDesc,
	} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	published := c.published.Load()
	for _, class := range published.Classes {
		metrics <- counter(completedDesc, class.Completed, class.Class)
		metrics <- counter(rejectedDesc, class.Rejected, class.Class)
		metrics <- counter(failedDesc, class.Failed, class.Class)
	}
	metrics <- counter(attemptsDesc, c.attemptsWritten())
	metrics <- gauge(pendingDesc, published.Pending)
	metrics <- gauge(backendsDesc, published.ListedBackends)
	metrics <- gauge(unavailableDesc, published.Unavailable)
}

func counter(d *prometheus.Desc, value uint64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
}

func gauge(d *prometheus.Desc, value int) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(value))
}
