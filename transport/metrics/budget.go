package metrics

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/state"
)

// RetryBudget reports the balance of a node's retry budget.
type RetryBudget interface {
	// Balances returns the number of retries available now, by service.
	Balances() map[state.ServiceName]float64
}

// RepeatedRuns reports the calls that repeated runs make.
type RepeatedRuns interface {
	// Charged returns the number of calls charged to the budget so far, by
	// service.
	Charged() map[state.ServiceName]float64
}

// budgetCollector reads a retry budget on each scrape.
type budgetCollector struct {
	source  RetryBudget
	runs    RepeatedRuns
	balance *prometheus.Desc
	charged *prometheus.Desc
}

// RegisterRetryBudget registers the metrics of a retry budget.
func RegisterRetryBudget(registry prometheus.Registerer, source RetryBudget, runs RepeatedRuns) error {
	collector := &budgetCollector{
		source: source,
		runs:   runs,
		charged: prometheus.NewDesc("wasabiport_retry_budget_charged_calls_total",
			"Calls to the service that were charged to the retry budget as repeated runs on this host make them. Runs in progress share each call, so the number need not be whole.",
			[]string{"service"}, nil),
		balance: prometheus.NewDesc("wasabiport_retry_budget",
			"Retries of calls to the service that this node may make now. Negative while calls of repeated runs overdraw the budget.", []string{"service"}, nil),
	}
	return errors.Wrap(registry.Register(collector), "register the metrics of the retry budget")
}

// Describe sends the descriptors of the metrics.
func (b *budgetCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- b.balance
	descs <- b.charged
}

// Collect sends the current balances and charges.
func (b *budgetCollector) Collect(metrics chan<- prometheus.Metric) {
	for service, balance := range b.source.Balances() {
		metrics <- prometheus.MustNewConstMetric(b.balance, prometheus.GaugeValue, balance, string(service))
	}
	for service, calls := range b.runs.Charged() {
		metrics <- prometheus.MustNewConstMetric(b.charged, prometheus.CounterValue, calls, string(service))
	}
}
