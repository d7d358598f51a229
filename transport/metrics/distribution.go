package metrics

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/coordination/control"
)

// Plane tells how far the node has come.
type Plane interface {
	// Version returns the latest tickets that were judged and accepted.
	Version() control.Version
	// Ready reports whether the node serves callers.
	Ready(now time.Time) (ready bool, waitsFor string)
	// Staleness returns the time since the source has confirmed the
	// configuration in force, or false when it never has.
	Staleness(now time.Time) (time.Duration, bool)
	// HostListStaleness returns the same for the host list.
	HostListStaleness(now time.Time) (time.Duration, bool)
}

// distribution collects how far the node has come when it is asked for.
type distribution struct {
	plane     Plane
	judged    *prometheus.Desc
	inForce   *prometheus.Desc
	ready     *prometheus.Desc
	staleness *prometheus.Desc
	hostsAge  *prometheus.Desc
}

// RegisterDistribution registers the metrics of a control plane.
func RegisterDistribution(registry prometheus.Registerer, plane Plane) error {
	describe := func(name, help string) *prometheus.Desc { return prometheus.NewDesc(name, help, nil, nil) }
	collector := &distribution{
		plane:     plane,
		judged:    describe("wasabiport_ticket_judged", "Number of the latest ticket that this node has judged."),
		inForce:   describe("wasabiport_ticket_in_force", "Number of the latest accepted ticket, which is in force on this node."),
		ready:     describe("wasabiport_ready", "1 when this node serves callers, 0 when it does not."),
		staleness: describe("wasabiport_source_confirmed_age_seconds", "Time since the platform has confirmed the configuration in force, here or at a node that passed it on. Absent when it never has."),
		hostsAge:  describe("wasabiport_host_list_confirmed_age_seconds", "Time since the platform has confirmed the hosts and backend servers, here or at a node that passed them on. Absent when it never has."),
	}
	return errors.Wrap(registry.Register(collector), "register the metrics of distribution")
}

// Describe lists the metrics.
func (d *distribution) Describe(descs chan<- *prometheus.Desc) {
	descs <- d.judged
	descs <- d.inForce
	descs <- d.ready
	descs <- d.staleness
	descs <- d.hostsAge
}

// Collect reads the control plane.
func (d *distribution) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value)
	}
	now := time.Now()
	head := d.plane.Version()
	gauge(d.judged, float64(head.Evaluated))
	gauge(d.inForce, float64(head.Accepted))
	ready := 0.0
	if ok, _ := d.plane.Ready(now); ok {
		ready = 1
	}
	gauge(d.ready, ready)
	if age, known := d.plane.Staleness(now); known {
		gauge(d.staleness, age.Seconds())
	}
	if age, known := d.plane.HostListStaleness(now); known {
		gauge(d.hostsAge, age.Seconds())
	}
}
