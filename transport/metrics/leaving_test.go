package metrics

import (
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/drain"
)

type fakeLeaving struct{}

func (fakeLeaving) LeavingCounts() drain.Counts {
	counts := drain.Counts{Taken: 5}
	counts.Results[drain.ResultAnswered] = 4
	counts.Results[drain.ResultTooLate] = 3
	counts.Results[drain.ResultBrokenOff] = 2
	return counts
}

func (fakeLeaving) LeavingPhase(time.Time) drain.Phase { return drain.PhaseRefusing }

func (fakeLeaving) PeerCallCounts() drain.PeerCounts { return drain.PeerCounts{Taken: 7} }

func TestLeavingMetrics(t *testing.T) {
	registry := prometheus.NewRegistry()
	require.NoError(t, RegisterLeaving(registry, fakeLeaving{}, fakeLeaving{}))
	require.NoError(t, testutil.GatherAndCompare(registry, strings.NewReader(`
# HELP wasabiport_leaving_calls_total Calls of callers since the node began to leave: those that it has taken, and by result those that have ended.
# TYPE wasabiport_leaving_calls_total counter
wasabiport_leaving_calls_total{result="answered"} 4
wasabiport_leaving_calls_total{result="broken_off"} 2
wasabiport_leaving_calls_total{result="caller_left"} 0
wasabiport_leaving_calls_total{result="cut"} 0
wasabiport_leaving_calls_total{result="expired"} 0
wasabiport_leaving_calls_total{result="failed"} 0
wasabiport_leaving_calls_total{result="other"} 0
wasabiport_leaving_calls_total{result="refused"} 3
wasabiport_leaving_calls_total{result="taken"} 5
wasabiport_leaving_calls_total{result="withdrawn"} 0
# HELP wasabiport_leaving_peer_calls_total Calls of other nodes that got a slot at the guard since the node began to leave.
# TYPE wasabiport_leaving_peer_calls_total counter
wasabiport_leaving_peer_calls_total 7
# HELP wasabiport_leaving_phase 0 while the node serves; 1 while it is leaving and takes calls; 2 while it withdraws waiting calls and refuses those that it might break off; 3 after its last reply.
# TYPE wasabiport_leaving_phase gauge
wasabiport_leaving_phase 2
`)))
}
