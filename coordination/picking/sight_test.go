package picking_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/picking"
	"github.com/wasabiport/wasabiport/state"
)

func TestDrainingServerGetsNothingForGood(t *testing.T) {
	sights := map[string]func(*picking.Picker){
		"hint": func(p *picking.Picker) {
			p.ObserveLoadHint(epoch, call.LoadHint{BackendServer: "lahore-1", Draining: true})
		},
		"refusal": func(p *picking.Picker) { p.ObserveRefusal(epoch, "lahore-1", state.NotRun(state.RefusedDraining, "")) },
	}
	for name, see := range sights {
		t.Run(name, func(t *testing.T) {
			f, snapshot := newFleet()
			picker := newPicker(f)
			see(picker)
			// A late hint that was sent before the drain.
			picker.ObserveLoadHint(epoch, hint("lahore-1", 0, 0))
			require.Zero(t, pickMany(t, picker, epoch.Add(time.Second), snapshot)["lahore-1"])

			f.phases["host-lahore-1"] = state.HostLeaving
			require.Zero(t, pickMany(t, picker, epoch.Add(2*time.Second), snapshot)["lahore-1"])
			f.phases["host-lahore-1"] = state.HostLive
			back := pickMany(t, picker, epoch.Add(3*time.Second), snapshot)["lahore-1"]
			require.NotZero(t, back, "its host left and came back")
			require.Less(t, back, picks/5, "a cold server gets little at first")
		})
	}
}

// TestServerWhoseNodeHasRestartedIsUsedAtOnce has a node leave and start again
// between two picks, while its backend server goes on.
func TestServerWhoseNodeHasRestartedIsUsedAtOnce(t *testing.T) {
	f, snapshot := newFleet()
	snapshot = withServer(snapshot, "lahore-1", func(s *state.BackendServer) { s.Incarnation = 7 })
	picker := newPicker(f)
	pickMany(t, picker, epoch, snapshot)
	picker.ObserveRefusal(epoch, "lahore-1", state.NotRun(state.RefusedDraining, ""))
	now := epoch.Add(time.Second)
	require.Zero(t, pickMany(t, picker, now, snapshot)["lahore-1"])
	f.started["host-lahore-1"] = now
	now = now.Add(100 * time.Millisecond)
	require.Greater(t, pickMany(t, picker, now, snapshot)["lahore-1"], picks/5, "its backend server is not cold")
}

func TestServerThatStartsAgainUnderItsNameStartsAnew(t *testing.T) {
	f, snapshot := newFleet()
	picker := newPicker(f)
	picker.ObserveRefusal(epoch, "lahore-1", state.NotRun(state.RefusedDraining, ""))
	require.Zero(t, picksOf(picker, epoch, snapshot, "lahore-1", 200))
	again := withServer(snapshot, "lahore-1", func(server *state.BackendServer) { server.Incarnation = 2 })
	require.NotZero(t, picksOf(picker, epoch, again, "lahore-1", 200))
}

func TestServerThatIsStillSlowGetsLess(t *testing.T) {
	f, snapshot := newFleet()
	slow := withServer(snapshot, "lahore-1", func(server *state.BackendServer) {
		server.WarmAt = epoch.Add(time.Second).UnixMilli()
	})
	picked := picksOf(newPicker(f), epoch, slow, "lahore-1", picks)
	require.InDelta(t, picks/11, picked, picks/50, "half of a share")
	warm := picksOf(newPicker(f), epoch.Add(2*time.Second), slow, "lahore-1", picks)
	require.InDelta(t, picks/6, warm, picks/50)
}

func TestServerOfALeavingHostGetsNothing(t *testing.T) {
	f, snapshot := newFleet()
	for _, phase := range []state.HostPhase{state.HostLeaving, state.HostGone} {
		f.phases["host-lahore-1"] = phase
		f.phases["host-lahore-2"] = phase
		server, _ := newPicker(f).Pick(epoch, snapshot, request, nil)
		require.Equal(t, state.AvailabilityZone("multan"), server.Zone, "the own region has room")
		require.Zero(t, zoneShare(pickMany(t, newPicker(f), epoch, snapshot), "lahore"))
	}
}

func TestFailuresPushAServerOutForAGrowingTime(t *testing.T) {
	f, snapshot := newFleet()
	unreachable := state.NotRun(state.RefusedUnreachable, "")
	outFor := func(failures int) time.Duration {
		var total time.Duration
		for seed := range uint64(50) {
			picker := picking.NewPicker(picking.Config{Zone: "lahore"}, f, rand.New(rand.NewPCG(seed, 0)))
			for range failures {
				picker.ObserveRefusal(epoch, "lahore-1", unreachable)
			}
			after := epoch
			for picksOf(picker, after, snapshot, "lahore-1", 20) == 0 {
				after = after.Add(100 * time.Millisecond)
			}
			total += after.Sub(epoch)
		}
		return total / 50
	}
	once, often := outFor(1), outFor(6)
	require.LessOrEqual(t, once, picking.DefaultBaseEjectionTime)
	require.Greater(t, often, 8*once)

	picker := newPicker(f)
	picker.ObserveRefusal(epoch, "lahore-1", unreachable)
	picker.ObserveLoadHint(epoch, hint("lahore-1", 0, 0))
	require.NotZero(t, pickMany(t, picker, epoch, snapshot)["lahore-1"], "an answer ends it")
}

func TestFailedServersAreBetterThanNone(t *testing.T) {
	f, snapshot := newFleet()
	picker := newPicker(f)
	for _, server := range snapshot.BackendServersOf(service) {
		for range 8 {
			picker.ObserveRefusal(epoch, server.Name, state.NotRun(state.RefusedUnreachable, ""))
		}
	}
	_, refusal := picker.Pick(epoch, snapshot, request, nil)
	require.Nil(t, refusal)
}

// withServer returns the snapshot with one backend server changed.
func withServer(snapshot *state.Snapshot, name state.BackendServerName, change func(*state.BackendServer)) *state.Snapshot {
	server, _ := snapshot.BackendServer(name)
	change(&server)
	builder := state.NewSnapshotBuilder(snapshot)
	builder.Set(state.Resources{BackendServers: []state.BackendServer{server}})
	return builder.Build(snapshot.Evaluated()+1, snapshot.Evaluated()+1)
}
