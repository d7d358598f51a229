package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/state"
)

func TestRegionComesFromHostList(t *testing.T) {
	self := state.Host{Name: "a", Region: "punjab"}
	plane := NewPlane(Config{Self: self}, state.NewSnapshotStore(1), rand.New(rand.NewPCG(1, 2)))
	plane.HandleHostList(time.Unix(1000, 0), state.HostList{Version: 1, Hosts: []state.Host{
		self, {Name: "b", Region: "lakes"},
	}})
	for host, want := range map[state.HostName]state.Region{"a": "punjab", "b": "lakes"} {
		region, known := plane.RegionOf(host)
		require.True(t, known)
		require.Equal(t, want, region)
	}
	_, known := plane.RegionOf("c")
	require.False(t, known)
}
