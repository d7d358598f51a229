package metrics

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabiport/wasabiport/coordination/drain"
)

// resultTaken is the label value for calls that a leaving node has taken.
const resultTaken = "taken"

// LeavingCallers reports the calls of callers at a leaving node.
type LeavingCallers interface {
	// LeavingCounts returns the numbers of calls since the node began to leave. They are 0
	// before.
	LeavingCounts() drain.Counts
	// LeavingPhase returns how far the leaving has come.
	LeavingPhase(now time.Time) drain.Phase
}

// LeavingPeers reports the calls of other nodes at the guard of a leaving node.
type LeavingPeers interface {
	// PeerCallCounts returns the numbers of calls since the node began to leave. They are 0
	// before.
	PeerCallCounts() drain.PeerCounts
}

// leavingCollector reads the numbers of calls on each scrape.
type leavingCollector struct {
	callers     LeavingCallers
	peers       LeavingPeers
	phase       *prometheus.Desc
	callerCalls *prometheus.Desc
	peerCalls   *prometheus.Desc
}

// RegisterLeaving registers the metrics of a node that leaves.
func RegisterLeaving(registry prometheus.Registerer, callers LeavingCallers, peers LeavingPeers) error {
	collector := &leavingCollector{
		callers: callers,
		peers:   peers,
		phase: prometheus.NewDesc("wasabiport_leaving_phase",
			"0 while the node serves; 1 while it is leaving and takes calls; 2 while it withdraws waiting calls and refuses those that it might break off; 3 after its last reply.", nil, nil),
		callerCalls: prometheus.NewDesc("wasabiport_leaving_calls_total",
			"Calls of callers since the node began to leave: those that it has taken, and by result those that have ended.", []string{"result"}, nil),
		peerCalls: prometheus.NewDesc("wasabiport_leaving_peer_calls_total",
			"Calls of other nodes that got a slot at the guard since the node began to leave.", nil, nil),
	}
	return errors.Wrap(registry.Register(collector), "register the metrics of leaving")
}

// Describe sends the descriptors of the metrics.
func (l *leavingCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- l.phase
	descs <- l.callerCalls
	descs <- l.peerCalls
}

// Collect sends the current numbers.
func (l *leavingCollector) Collect(metrics chan<- prometheus.Metric) {
	phase := l.callers.LeavingPhase(time.Now())
	metrics <- prometheus.MustNewConstMetric(l.phase, prometheus.GaugeValue, float64(phase))
	counter := func(desc *prometheus.Desc, value int64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
	}
	counts := l.callers.LeavingCounts()
	counter(l.callerCalls, counts.Taken, resultTaken)
	for _, result := range drain.Results() {
		counter(l.callerCalls, counts.Results[result], result.String())
	}
	counter(l.peerCalls, l.peers.PeerCallCounts().Taken)
}
