package dissemination_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/dissemination"
	"github.com/wasabiport/wasabiport/state"
)

// TestAdoptedPeerStaysWantedAfterConnecting lets a node dial a root that should
// have dialed it. It guards against closing the session once it is connected,
// which would make the two nodes reconnect repeatedly.
func TestAdoptedPeerStaysWantedAfterConnecting(t *testing.T) {
	start := time.Unix(1000, 0)
	self := state.Host{Name: "b", Zone: "north"}
	other := state.Host{Name: "a", Zone: "south"}
	links := dissemination.NewLinks(dissemination.Config{
		SilenceTimeout:     4 * time.Second,
		PassiveOpenTimeout: 500 * time.Millisecond,
		RandomPeerInterval: time.Minute,
	}, rand.New(rand.NewPCG(1, 2)))
	links.SetTopology(start, dissemination.BuildTopology(self, []state.Host{other}))
	require.Empty(t, links.Wanted(start, self.Name, nil), "the host with the smaller name dials first")

	late := start.Add(time.Second)
	require.Equal(t, []state.HostName{"a"}, links.Wanted(late, self.Name, nil))
	connected := map[state.HostName]dissemination.Session{"a": {Connected: true, LastReceivedAt: late}}
	require.Equal(t, []state.HostName{"a"}, links.Wanted(late, self.Name, connected))
}
