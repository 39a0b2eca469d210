package admin

import (
	"slices"
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

// Descriptions of the metrics with one value per reason. A reason without a count has no value.
var (
	closesDesc  = reasonDesc("router_client_connections_closed_total", "client connections that were closed, or ended before a request was read")
	repliesDesc = reasonDesc("router_local_replies_total", "requests that were answered without a response of a backend")
	retriedDesc = reasonDesc("router_retries_total", "retries, by the result of the attempt before")
)

// Descriptions of the metrics with one value per bounded resource.
var (
	usedDesc  = resourceDesc("router_resource_used", "how much clients make the process hold")
	limitDesc = resourceDesc("router_resource_limit", "the bound on it")
)

// resourceDesc describes a metric with one value per resource.
func resourceDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, []string{"resource"}, nil)
}

func desc(name, help string) *prometheus.Desc { return prometheus.NewDesc(name, help, nil, nil) }

// classDesc describes a metric with one value per request class.
func classDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, []string{"lane"}, nil)
}

// reasonDesc describes a metric with one value per reason.
func reasonDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, []string{"reason"}, nil)
}

// A collector collects the metrics that were published last, and the current number of attempts written.
type collector struct {
	published       *atomic.Pointer[core.Metrics]
	attemptsWritten func() uint64
	resources       func() []core.ResourceUsage // of the components, beside those that were published
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		completedDesc, rejectedDesc, failedDesc, attemptsDesc, pendingDesc, backendsDesc, unavailableDesc,
		closesDesc, repliesDesc, retriedDesc, usedDesc, limitDesc,
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
	collectReasons(metrics, closesDesc, published.Closes.ByName())
	collectReasons(metrics, repliesDesc, published.Replies.ByName())
	collectReasons(metrics, retriedDesc, published.Retried.ByName())
	for _, usage := range slices.Concat(published.Resources, c.resources()) {
		metrics <- gauge(usedDesc, usage.Used, usage.Resource)
		if usage.Limit > 0 {
			metrics <- gauge(limitDesc, usage.Limit, usage.Resource)
		}
	}
}

// collectReasons collects a metric with one value per reason.
func collectReasons(metrics chan<- prometheus.Metric, d *prometheus.Desc, countsByReason map[string]uint64) {
	for reason, count := range countsByReason {
		metrics <- counter(d, count, reason)
	}
}

func counter(d *prometheus.Desc, value uint64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
}

func gauge(d *prometheus.Desc, value int, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(value), labels...)
}
