package metrics

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// NewCallLinesLeftOut registers the counter of log lines on calls that were
// left out to bound their volume.
func NewCallLinesLeftOut(registry prometheus.Registerer) (prometheus.Counter, error) {
	counter := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "wasabiport_call_lines_left_out_total",
		Help: "Log lines on calls that were not written, as there were too many in a second.",
	})
	return counter, errors.Wrap(registry.Register(counter), "register the metrics of the log")
}

// RegisterDroppedLines registers the number of log lines that the output did
// not take.
func RegisterDroppedLines(registry prometheus.Registerer, dropped func() int64) error {
	counter := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "wasabiport_log_lines_dropped_total",
		Help: "Log lines that were lost because the output took them too slowly or not at all.",
	}, func() float64 { return float64(dropped()) })
	return errors.Wrap(registry.Register(counter), "register the metrics of the log")
}
