package metrics

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/state"
)

// RetryBudget tells how many retries are left.
type RetryBudget interface {
	// Balances returns the retries that may be made now, by service.
	Balances() map[state.ServiceName]float64
}

// budget collects the balances of a retry budget when it is asked for.
type budget struct {
	source  RetryBudget
	balance *prometheus.Desc
}

// RegisterRetryBudget registers the metrics of a retry budget.
func RegisterRetryBudget(registry prometheus.Registerer, source RetryBudget) error {
	collector := &budget{
		source: source,
		balance: prometheus.NewDesc("wasabiport_retry_budget",
			"Retries of calls to the service that this node may make now.", []string{"service"}, nil),
	}
	return errors.Wrap(registry.Register(collector), "register the metrics of the retry budget")
}

// Describe lists the metrics.
func (b *budget) Describe(descs chan<- *prometheus.Desc) { descs <- b.balance }

// Collect reads the balances.
func (b *budget) Collect(metrics chan<- prometheus.Metric) {
	for service, balance := range b.source.Balances() {
		metrics <- prometheus.MustNewConstMetric(b.balance, prometheus.GaugeValue, balance, string(service))
	}
}
