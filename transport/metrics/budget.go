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

// budgetCollector reads the balances of a retry budget on each scrape.
type budgetCollector struct {
	source  RetryBudget
	balance *prometheus.Desc
}

// RegisterRetryBudget registers the metric of a retry budget.
func RegisterRetryBudget(registry prometheus.Registerer, source RetryBudget) error {
	collector := &budgetCollector{
		source: source,
		balance: prometheus.NewDesc("wasabiport_retry_budget",
			"Retries of calls to the service that this node may make now.", []string{"service"}, nil),
	}
	return errors.Wrap(registry.Register(collector), "register the metrics of the retry budget")
}

// Describe sends the descriptor of the metric.
func (b *budgetCollector) Describe(descs chan<- *prometheus.Desc) { descs <- b.balance }

// Collect sends the current balances.
func (b *budgetCollector) Collect(metrics chan<- prometheus.Metric) {
	for service, balance := range b.source.Balances() {
		metrics <- prometheus.MustNewConstMetric(b.balance, prometheus.GaugeValue, balance, string(service))
	}
}
