package peering

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the Prometheus metrics of a pool.
type Metrics struct {
	sessions   prometheus.Gauge
	handshakes *prometheus.CounterVec
	malformed  prometheus.Counter
	dropped    prometheus.Counter
	refused    prometheus.Counter
}

// Results of a handshake, the values of the label "result".
const (
	resultOpened    = "opened"
	resultRefused   = "refused"
	resultMalformed = "malformed"
	resultIdentity  = "identity"
	resultFailed    = "failed"
	resultFlood     = "flood"
)

// NewMetrics creates the metrics of a pool and registers them.
func NewMetrics(registry prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		sessions: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "wasabiport_peer_sessions", Help: "Open sessions to other nodes, all lanes.",
		}),
		handshakes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabiport_peer_handshakes_total", Help: "Handshakes with other nodes by result.",
		}, []string{"result"}),
		malformed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wasabiport_peer_malformed_messages_total", Help: "Messages of peers that broke the protocol; each ended its session.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wasabiport_peer_dropped_messages_total", Help: "Control messages dropped because the peer's send queue was full.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wasabiport_peer_refused_streams_total", Help: "Calls of peers closed at once because the session had too many.",
		}),
	}
	for _, collector := range []prometheus.Collector{m.sessions, m.handshakes, m.malformed, m.dropped, m.refused} {
		if err := registry.Register(collector); err != nil {
			return nil, errors.Wrap(err, "register session metrics")
		}
	}
	return m, nil
}
