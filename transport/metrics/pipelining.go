package metrics

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// RegisterPipelinedCalls registers the counter of calls that were started before their
// turn on the connection.
func RegisterPipelinedCalls(registry prometheus.Registerer, started func() int64) error {
	counter := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "wasabiport_pipelined_calls_total",
		Help: "Calls that were started while the request before them on the connection was running.",
	}, func() float64 { return float64(started()) })
	return errors.Wrap(registry.Register(counter), "register the counter of pipelined calls")
}
