package metrics

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/coordination/sourcereading"
)

// SourceReads counts the reads of the platform.
type SourceReads struct {
	reads *prometheus.CounterVec
}

// NewSourceReads registers the counter of reads of the platform.
func NewSourceReads(registry prometheus.Registerer) (*SourceReads, error) {
	reads := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wasabiport_source_reads_total",
		Help: "Reads of the platform by what was read and why: at the start, as a node that watches the platform, as no peer has confirmed the state recently, after a failed read, or as registrations had expired.",
	}, []string{"value", "reason"})
	return &SourceReads{reads: reads}, errors.Wrap(registry.Register(reads), "register the metrics of reads")
}

// TicketsRead counts a read of the tickets.
func (s *SourceReads) TicketsRead(reason sourcereading.Reason) {
	s.reads.WithLabelValues("tickets", string(reason)).Inc()
}

// HostListRead counts a read of the host list.
func (s *SourceReads) HostListRead(reason sourcereading.Reason) {
	s.reads.WithLabelValues("hosts", string(reason)).Inc()
}

// RegisterIgnoredValues registers the counter of values of the platform that could not be
// used.
func RegisterIgnoredValues(registry prometheus.Registerer, ignored func() int64) error {
	counter := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "wasabiport_source_values_ignored_total",
		Help: "Values of the platform, or parts of them, that this node has read and could not use.",
	}, func() float64 { return float64(ignored()) })
	return errors.Wrap(registry.Register(counter), "register the metrics of ignored values")
}
