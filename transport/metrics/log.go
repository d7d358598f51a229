package metrics

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/transport/events"
)

// Rate limits of the log lines about calls, for each kind: lines per second and
// burst size.
const (
	callLinesPerSecond  = 100
	callLinesBurst      = 500
	guardLinesPerSecond = 20
	guardLinesBurst     = 100

	reportLinesPerSecond = 1
	reportLinesBurst     = 10
	intakeLinesPerSecond = 1
	intakeLinesBurst     = 10
)

// LineLimiters holds the rate limiters of the log lines about calls.
type LineLimiters struct {
	// Calls limits the lines of an entry node, Guard those of a guard on refused calls,
	// and Reports those on what backend servers report in answers.
	Calls, Guard, Reports *events.LineLimiter
	// Intake limits the lines on connections of callers.
	Intake *events.LineLimiter
}

// Pending returns the number of lines suppressed since the latest line of the same kind.
func (l LineLimiters) Pending() int64 {
	return l.Calls.Pending() + l.Guard.Pending() + l.Reports.Pending()
}

// NewLineLimiters returns the rate limiters of the log lines about calls, and
// registers the counter of the lines that they suppress.
func NewLineLimiters(registry prometheus.Registerer) (LineLimiters, error) {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wasabiport_call_lines_left_out_total",
		Help: "Log lines on calls that were not written, as there were too many in a second, by the event's name.",
	}, []string{"line"})
	limits := LineLimiters{
		Calls: events.NewLineLimiter(callLinesPerSecond, callLinesBurst, counter.WithLabelValues(events.CallEnded{}.Kind().Name)),
		Guard: events.NewLineLimiter(guardLinesPerSecond, guardLinesBurst, counter.WithLabelValues(events.GuardRefused{}.Kind().Name)),
		Reports: events.NewLineLimiter(reportLinesPerSecond, reportLinesBurst,
			counter.WithLabelValues(events.BackendServerRateLimited{}.Kind().Name)),
		Intake: events.NewLineLimiter(intakeLinesPerSecond, intakeLinesBurst,
			counter.WithLabelValues(events.CallerConnectionClosed{}.Kind().Name)),
	}
	return limits, errors.Wrap(registry.Register(counter), "register the metrics of the log")
}

// RegisterDroppedLines registers the counter of log lines that were lost because
// the output was slow or closed.
func RegisterDroppedLines(registry prometheus.Registerer, dropped func() int64) error {
	counter := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "wasabiport_log_lines_dropped_total",
		Help: "Log lines that were lost because the output took them too slowly or not at all.",
	}, func() float64 { return float64(dropped()) })
	return errors.Wrap(registry.Register(counter), "register the metrics of the log")
}
