package metrics

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/coordination/call"
)

// Loads tells how busy the backend servers of a host are.
type Loads interface {
	// Loads returns one hint for each backend server that has had a call.
	Loads() []call.LoadHint
}

// gates collects the load of backend servers when it is asked for.
type gates struct {
	loads   Loads
	running *prometheus.Desc
	waiting *prometheus.Desc
	slots   *prometheus.Desc
}

// RegisterGates registers the metrics of a guard.
func RegisterGates(registry prometheus.Registerer, loads Loads) error {
	labels := []string{"backend_server"}
	collector := &gates{
		loads:   loads,
		running: prometheus.NewDesc("wasabiport_backend_server_running_calls", "Calls that hold a slot of the backend server.", labels, nil),
		waiting: prometheus.NewDesc("wasabiport_backend_server_waiting_calls", "Calls that wait for a slot of the backend server.", labels, nil),
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
	gauge := func(desc *prometheus.Desc, value int, server string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value), server)
	}
	for _, load := range g.loads.Loads() {
		name := string(load.BackendServer)
		gauge(g.running, load.Running, name)
		gauge(g.waiting, load.Waiting, name)
		gauge(g.slots, load.Slots, name)
	}
}
