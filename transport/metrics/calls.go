// Package metrics exports the Prometheus metrics of calls, backend servers,
// configuration distribution, the retry budget, leaving and the log.
package metrics

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/entry"
)

// outcomeCut is the label value for a call whose answer was truncated.
const outcomeCut = "cut"

// durationBuckets are the histogram buckets of call durations, in seconds.
var durationBuckets = []float64{
	0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
}

// callerBuckets are the histogram buckets of call durations by caller, in
// seconds. There are few because each bucket is a time series per caller.
var callerBuckets = []float64{0.005, 0.025, 0.1, 0.5, 2.5, 10}

// Calls records the metrics of the calls of an entry node.
type Calls struct {
	durations *prometheus.HistogramVec
	byCaller  *prometheus.HistogramVec
	refused   *prometheus.CounterVec
	retried   prometheus.Counter
	passedOn  prometheus.Counter
	inFlight  prometheus.Gauge
	callers   *callerLabels

	// answered caches the histograms of answered calls, the most frequent
	// outcome, by class.
	answered [state.ClassCount]prometheus.Observer
}

// NewCalls creates the metrics of calls and registers them.
func NewCalls(registry prometheus.Registerer) (*Calls, error) {
	calls := &Calls{
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "wasabiport_call_duration_seconds",
			Help:    "Time from the arrival of a call at this entry node to the end of its answer.",
			Buckets: durationBuckets,
		}, []string{"class", "outcome"}),
		byCaller: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "wasabiport_caller_call_duration_seconds",
			Help:    "Time of the calls of one caller. Callers beyond the first are counted together as other.",
			Buckets: callerBuckets,
		}, []string{"caller"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabiport_calls_refused_total",
			Help: "Calls that were refused, by class, reason and outcome.",
		}, []string{"class", "reason", "outcome"}),
		retried: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wasabiport_call_retries_total",
			Help: "Attempts of calls after the first one, without those that follow a refusal as busy.",
		}),
		passedOn: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wasabiport_calls_passed_on_total",
			Help: "Refusals of calls as busy by guards without a free slot. Each such call was sent to another guard.",
		}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "wasabiport_calls_in_flight",
			Help: "Calls of callers that have no whole answer yet.",
		}),
		callers: newCallerLabels(maxCallerLabels),
	}
	for _, class := range state.Classes() {
		calls.answered[class] = calls.durations.WithLabelValues(class.String(), state.OutcomeDone.String())
	}
	for _, collector := range []prometheus.Collector{
		calls.durations, calls.byCaller, calls.refused, calls.retried, calls.passedOn, calls.inFlight,
	} {
		if err := registry.Register(collector); err != nil {
			return nil, errors.Wrap(err, "register the metrics of calls")
		}
	}
	return calls, nil
}

// CallStarted adds a call to the calls in flight.
func (c *Calls) CallStarted() { c.inFlight.Inc() }

// CallRetried counts a retry of a call.
func (c *Calls) CallRetried() { c.retried.Inc() }

// CallPassedOn counts a refusal as busy.
func (c *Calls) CallPassedOn() { c.passedOn.Inc() }

// CallFinished records a call whose answer or refusal has been written.
func (c *Calls) CallFinished(result entry.CallResult) {
	c.inFlight.Dec()
	seconds := result.Duration.Seconds()
	c.durationObserver(result).Observe(seconds)
	c.byCaller.WithLabelValues(c.callers.label(result.Caller)).Observe(seconds)
	if result.Reason != 0 {
		c.refused.WithLabelValues(result.Class.String(), result.Reason.String(), result.Outcome.String()).Inc()
	}
}

func (c *Calls) durationObserver(result entry.CallResult) prometheus.Observer {
	switch {
	case result.Truncated:
		return c.durations.WithLabelValues(result.Class.String(), outcomeCut)
	case result.Reason == 0:
		return c.answered[result.Class]
	default:
		return c.durations.WithLabelValues(result.Class.String(), result.Outcome.String())
	}
}
