package metrics

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/state"
)

// Gates reports the load of the backend servers of a host.
type Gates interface {
	// Occupancies returns the occupancy of each backend server that has
	// received a call.
	Occupancies() []admission.Occupancy
}

// gatesCollector reads the load of the backend servers on each scrape.
type gatesCollector struct {
	gates   Gates
	running *prometheus.Desc
	waiting *prometheus.Desc
	slots   *prometheus.Desc
	started *prometheus.Desc
	limit   *prometheus.Desc
	refused *prometheus.Desc
	cold    *prometheus.Desc
	checks  *prometheus.Desc
}

// RegisterGates registers the metrics of a guard.
func RegisterGates(registry prometheus.Registerer, source Gates) error {
	labels := []string{"backend_server"}
	byClass := []string{"backend_server", "class"}
	collector := &gatesCollector{
		gates:   source,
		running: prometheus.NewDesc("wasabiport_backend_server_running_calls", "Calls that hold a slot of the backend server.", byClass, nil),
		waiting: prometheus.NewDesc("wasabiport_backend_server_waiting_calls", "Calls that wait for a slot of the backend server.", byClass, nil),
		started: prometheus.NewDesc("wasabiport_backend_server_started_calls_total", "Calls that got a slot of the backend server.", labels, nil),
		limit:   prometheus.NewDesc("wasabiport_backend_server_rate_limit", "Calls per second that the backend server takes from all nodes together. Absent while it reports no limit.", labels, nil),
		refused: prometheus.NewDesc("wasabiport_backend_server_refused_calls_total", "Calls that were refused for lack of capacity, by cause: too-late (behind others), excess (in favor of others with less work), link (the link can't carry the answer in time) and queue-full.", []string{"backend_server", "class", "cause"}, nil),
		cold:    prometheus.NewDesc("wasabiport_backend_server_cold", "1 while the backend server is limited because it is cold or not known to be warm, otherwise 0.", labels, nil),
		checks:  prometheus.NewDesc("wasabiport_backend_server_health_checks_total", "Health checks that were sent because the backend server was not known to be warm.", labels, nil),
		slots:   prometheus.NewDesc("wasabiport_backend_server_usable_slots", "Slots of the backend server that may be used at present.", labels, nil),
	}
	return errors.Wrap(registry.Register(collector), "register the metrics of backend servers")
}

// Describe sends the descriptors of the metrics.
func (g *gatesCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- g.running
	descs <- g.waiting
	descs <- g.slots
	descs <- g.started
	descs <- g.limit
	descs <- g.refused
	descs <- g.cold
	descs <- g.checks
}

// Collect sends the current occupancies.
func (g *gatesCollector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value int, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value), labels...)
	}
	for _, occupancy := range g.gates.Occupancies() {
		name := string(occupancy.BackendServer)
		for _, class := range state.Classes() {
			gauge(g.running, occupancy.Running[class], name, class.String())
			gauge(g.waiting, occupancy.Waiting[class], name, class.String())
			for _, cause := range admission.RefusalCauses() {
				refused := float64(occupancy.Refused[class][cause])
				metrics <- prometheus.MustNewConstMetric(g.refused, prometheus.CounterValue, refused, name, class.String(), cause.String())
			}
		}
		gauge(g.slots, occupancy.Slots, name)
		cold := 0
		if occupancy.Cold {
			cold = 1
		}
		gauge(g.cold, cold, name)
		metrics <- prometheus.MustNewConstMetric(g.checks, prometheus.CounterValue, float64(occupancy.HealthChecks), name)
		metrics <- prometheus.MustNewConstMetric(g.started, prometheus.CounterValue, float64(occupancy.Started), name)
		if occupancy.RateLimit.Limited {
			metrics <- prometheus.MustNewConstMetric(g.limit, prometheus.GaugeValue, occupancy.RateLimit.PerSecond, name)
		}
	}
}
