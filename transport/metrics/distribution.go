package metrics

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/state"
)

// Plane reports the progress of configuration distribution on a node.
type Plane interface {
	// Version returns the latest evaluated and accepted tickets.
	Version() control.Version
	// NewestOffered returns the latest ticket that a connected peer has
	// evaluated, 0 without peers.
	NewestOffered() state.TicketNumber
	// Ready reports whether the node serves callers.
	Ready(now time.Time) (ready bool, reason string)
	// Staleness returns the time since the source last confirmed the
	// configuration in force, or false when it never did.
	Staleness(now time.Time) (time.Duration, bool)
	// HostListStaleness returns the time since the source last confirmed the
	// host list, or false when it never did.
	HostListStaleness(now time.Time) (time.Duration, bool)
	// DrainedZones returns the drained availability zones.
	DrainedZones() state.DrainedZones
}

// distributionCollector reads the state of a control plane on each scrape.
type distributionCollector struct {
	plane             Plane
	evaluated         *prometheus.Desc
	inForce           *prometheus.Desc
	newestOffered     *prometheus.Desc
	ready             *prometheus.Desc
	staleness         *prometheus.Desc
	hostListStaleness *prometheus.Desc
	zoneDrained       *prometheus.Desc
}

// RegisterDistribution registers the metrics of a control plane.
func RegisterDistribution(registry prometheus.Registerer, plane Plane) error {
	describe := func(name, help string) *prometheus.Desc { return prometheus.NewDesc(name, help, nil, nil) }
	collector := &distributionCollector{
		plane:             plane,
		evaluated:         describe("wasabiport_ticket_judged", "Number of the latest ticket that this node has judged."),
		inForce:           describe("wasabiport_ticket_in_force", "Number of the latest accepted ticket, which is in force on this node."),
		newestOffered:     describe("wasabiport_ticket_offered", "Number of the latest ticket that a connected peer has judged. This node is behind while it is above wasabiport_ticket_judged."),
		ready:             describe("wasabiport_ready", "1 when this node serves callers, 0 when it does not."),
		staleness:         describe("wasabiport_source_confirmed_age_seconds", "Time since the platform has confirmed the configuration in force, here or at a node that passed it on. Absent when it never has."),
		hostListStaleness: describe("wasabiport_host_list_confirmed_age_seconds", "Time since the platform has confirmed the hosts and backend servers, here or at a node that passed them on. Absent when it never has."),
		zoneDrained: prometheus.NewDesc("wasabiport_zone_drained",
			"1 for each availability zone that is drained on this node: its backend servers get no calls. Absent for the others.", []string{"zone"}, nil),
	}
	return errors.Wrap(registry.Register(collector), "register the metrics of distribution")
}

// Describe sends the descriptors of the metrics.
func (d *distributionCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- d.evaluated
	descs <- d.inForce
	descs <- d.newestOffered
	descs <- d.ready
	descs <- d.staleness
	descs <- d.hostListStaleness
	descs <- d.zoneDrained
}

// Collect sends the current values.
func (d *distributionCollector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value)
	}
	now := time.Now()
	version := d.plane.Version()
	gauge(d.evaluated, float64(version.Evaluated))
	gauge(d.inForce, float64(version.Accepted))
	gauge(d.newestOffered, float64(d.plane.NewestOffered()))
	ready := 0.0
	if ok, _ := d.plane.Ready(now); ok {
		ready = 1
	}
	gauge(d.ready, ready)
	if age, confirmed := d.plane.Staleness(now); confirmed {
		gauge(d.staleness, age.Seconds())
	}
	if age, confirmed := d.plane.HostListStaleness(now); confirmed {
		gauge(d.hostListStaleness, age.Seconds())
	}
	for _, zone := range d.plane.DrainedZones().Zones() {
		metrics <- prometheus.MustNewConstMetric(d.zoneDrained, prometheus.GaugeValue, 1, string(zone))
	}
}
