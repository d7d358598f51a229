package metrics

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/state"
)

// Links reports the use of the network link of a host.
type Links interface {
	// LinkUse returns the use of the link, or false if the link is not limited.
	LinkUse(now time.Time) (use admission.LinkUse, limited bool)
}

// linkCollector reads the use of the link on each scrape.
type linkCollector struct {
	links   Links
	rate    *prometheus.Desc
	used    *prometheus.Desc
	debt    *prometheus.Desc
	waiting *prometheus.Desc
}

// RegisterLink registers the metrics of the link of a host.
func RegisterLink(registry prometheus.Registerer, source Links) error {
	collector := &linkCollector{
		links:   source,
		rate:    prometheus.NewDesc("wasabiport_link_bytes_per_second", "Planned rate of answers to other hosts. Absent if the link is not limited, like the other metrics of the link.", nil, nil),
		used:    prometheus.NewDesc("wasabiport_link_admitted_bytes", "Size of the answers to other hosts that were admitted since the start. It decreases when an answer is smaller than expected.", nil, nil),
		debt:    prometheus.NewDesc("wasabiport_link_debt_seconds", "Time that the link needs for the answers that were admitted. Long answers wait while it is positive.", nil, nil),
		waiting: prometheus.NewDesc("wasabiport_link_waiting_bytes", "Expected size of the long answers that wait for the link.", []string{"class"}, nil),
	}
	return errors.Wrap(registry.Register(collector), "register the metrics of the link")
}

// Describe sends the descriptors of the metrics.
func (l *linkCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- l.rate
	descs <- l.used
	descs <- l.debt
	descs <- l.waiting
}

// Collect sends the current use.
func (l *linkCollector) Collect(metrics chan<- prometheus.Metric) {
	use, limited := l.links.LinkUse(time.Now())
	if !limited {
		return
	}
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	gauge(l.rate, use.BytesPerSecond)
	gauge(l.used, use.UsedBytes)
	gauge(l.debt, use.Debt.Seconds())
	for _, class := range state.Classes() {
		gauge(l.waiting, use.WaitingBytes[class], class.String())
	}
}
