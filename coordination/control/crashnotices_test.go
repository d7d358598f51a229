package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/state"
)

// TestCrashNoticesReachAllAvailabilityZones checks that notices are sent to
// peers in every availability zone, because a request that crashed backend
// servers in one zone may be repeated in any other.
func TestCrashNoticesReachAllAvailabilityZones(t *testing.T) {
	now := time.Unix(1000, 0)
	suspects := quarantine.NewTracker(quarantine.Config{})
	config := Config{Self: state.Host{Name: "self", Zone: "north"}, Suspects: suspects}
	plane := NewPlane(config, state.NewSnapshotStore(1), rand.New(rand.NewPCG(1, 2)))
	plane.HandleHostList(now, state.HostList{Version: 1, Hosts: []state.Host{
		{Name: "self", Zone: "north"}, {Name: "near", Zone: "north"}, {Name: "far", Zone: "south"}, {Name: "farther", Zone: "west"},
	}})
	for _, host := range []state.HostName{"near", "far", "farther"} {
		plane.Connected(now, host)
	}
	notices := CrashNotices{Notices: []quarantine.Notice{{Fingerprint: 7, Phase: quarantine.PhaseQuarantined, Remaining: time.Minute}}}

	var recipients []state.HostName
	for _, envelope := range plane.BroadcastCrashNotices(notices.Notices).Messages {
		recipients = append(recipients, envelope.To)
	}
	require.ElementsMatch(t, []state.HostName{"near", "far", "farther"}, recipients)

	output := plane.Receive(now, "far", notices)
	_, refusal := suspects.Check(now, 7)
	require.NotNil(t, refusal, "merged from another availability zone")
	require.Contains(t, output.Messages, Envelope{To: "near", Message: notices})
	require.Contains(t, output.Messages, Envelope{To: "farther", Message: notices})
	require.NotContains(t, plane.Receive(now, "near", notices).Messages, Envelope{To: "farther", Message: notices}, "already stored")
	require.Contains(t, plane.Connected(now, "near").Messages, Envelope{To: "near", Message: notices}, "sent to a newly connected peer")
}
