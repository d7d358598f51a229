package metrics

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/state"
)

// Gates tells how busy the backend servers of a host are.
type Gates interface {
	// Occupancies returns one value for each backend server that has had a
	// call.
	Occupancies() []admission.Occupancy
}

// gates collects the load of backend servers when it is asked for.
type gates struct {
	gates   Gates
	running *prometheus.Desc
	waiting *prometheus.Desc
	slots   *prometheus.Desc
}

// RegisterGates registers the metrics of a guard.
func RegisterGates(registry prometheus.Registerer, of Gates) error {
	labels := []string{"backend_server"}
	byClass := []string{"backend_server", "class"}
	collector := &gates{
		gates:   of,
		running: prometheus.NewDesc("wasabiport_backend_server_running_calls", "Calls that hold a slot of the backend server.", byClass, nil),
		waiting: prometheus.NewDesc("wasabiport_backend_server_waiting_calls", "Calls that wait for a slot of the backend server.", byClass, nil),
		slots:   prometheus.NewDesc("wasabiport_backend_server_usable_slots", "Slots of the backend server that may be used at present.", labels, nil),
	}
	return errors.Wrap(registry.Register(collector), "register the metrics of backend servers")
}

// Describe lists the metrics.
func (g *gates) Describe(descs chan<- *prometheus.Desc) {
	descs <- g.running
	descs <- g.waiting
	descs <- g.slots
}

// Collect reads the loads.
func (g *gates) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value int, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value), labels...)
	}
	for _, occupancy := range g.gates.Occupancies() {
		name := string(occupancy.BackendServer)
		for _, class := range state.Classes() {
			gauge(g.running, occupancy.Running[class], name, class.String())
			gauge(g.waiting, occupancy.Waiting[class], name, class.String())
		}
		gauge(g.slots, occupancy.Slots, name)
	}
}
