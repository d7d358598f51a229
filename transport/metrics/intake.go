package metrics

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/coordination/intake"
)

// Intake reports the connections of callers.
type Intake interface {
	// Counts returns the current numbers.
	Counts() intake.Counts
}

// intakeCollector reads the numbers of connections on each scrape.
type intakeCollector struct {
	intake Intake
	open   *prometheus.Desc
	bytes  *prometheus.Desc
	closed *prometheus.Desc
}

// RegisterIntake registers the metrics of the connections of callers.
func RegisterIntake(registry prometheus.Registerer, source Intake) error {
	collector := &intakeCollector{
		intake: source,
		open: prometheus.NewDesc("wasabiport_caller_connections",
			"Open connections of callers.", nil, nil),
		bytes: prometheus.NewDesc("wasabiport_caller_held_bytes",
			"Memory that is accounted for heads and bodies of requests of callers.", nil, nil),
		closed: prometheus.NewDesc("wasabiport_caller_connections_closed_total",
			"Connections of callers that were closed or refused because of a limit. Closed in favor of others: new (sent nothing), head (incomplete), body (incomplete), unread_response, idle, refused (the refusal was not read). Others: not_admitted, no_memory, head_too_large, head_timeout.", []string{"cause"}, nil),
	}
	return errors.Wrap(registry.Register(collector), "register the metrics of connections")
}

// Describe sends the descriptors of the metrics.
func (c *intakeCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- c.open
	descs <- c.bytes
	descs <- c.closed
}

// Collect sends the current numbers.
func (c *intakeCollector) Collect(metrics chan<- prometheus.Metric) {
	counts := c.intake.Counts()
	metrics <- prometheus.MustNewConstMetric(c.open, prometheus.GaugeValue, float64(counts.Open))
	metrics <- prometheus.MustNewConstMetric(c.bytes, prometheus.GaugeValue, float64(counts.Bytes))
	for _, cause := range intake.Causes() {
		metrics <- prometheus.MustNewConstMetric(c.closed, prometheus.CounterValue, float64(counts.Closed[cause]), cause.String())
	}
}
