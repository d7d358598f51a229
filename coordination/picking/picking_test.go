package picking_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/coordination/picking"
	"github.com/wasabiport/wasabiport/state"
)

const (
	service = state.ServiceName("imaging")
	picks   = 2000

	// unknownIncarnation is that of a refusal without a load hint.
	unknownIncarnation = 0
)

var request = call.Head{Route: "scan", Service: service}

var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// fakeHosts provides the phases, starts and regions of hosts.
type fakeHosts struct {
	phases  map[state.HostName]state.HostPhase
	started map[state.HostName]time.Time
	regions map[state.HostName]state.Region
}

func (f fakeHosts) PhaseOf(host state.HostName) state.HostPhase { return f.phases[host] }

func (f fakeHosts) StartSeenAt(host state.HostName) time.Time { return f.started[host] }

func (f fakeHosts) RegionOf(host state.HostName) (state.Region, bool) {
	region, ok := f.regions[host]
	return region, ok
}

// newHosts returns two backend servers in each of lahore (the local zone),
// multan (same region) and north (another region).
func newHosts() (fakeHosts, *state.Snapshot) {
	hosts := fakeHosts{
		phases:  make(map[state.HostName]state.HostPhase),
		started: make(map[state.HostName]time.Time),
		regions: make(map[state.HostName]state.Region),
	}
	resources := state.Resources{Services: []state.Service{{Name: service, SlowStart: 10 * time.Second}}}
	for _, zone := range []state.AvailabilityZone{"lahore", "multan", "north"} {
		for i := 1; i <= 2; i++ {
			name := fmt.Sprintf("%s-%d", zone, i)
			host := state.HostName("host-" + name)
			hosts.regions[host] = "punjab"
			if zone == "north" {
				hosts.regions[host] = "lakes"
			}
			resources.BackendServers = append(resources.BackendServers, state.BackendServer{
				Name: state.BackendServerName(name), Service: service, Host: host, Zone: zone, Slots: 12,
			})
		}
	}
	builder := state.NewSnapshotBuilder(nil)
	builder.Set(resources)
	return hosts, builder.Build(1, 1)
}

func newPicker(hosts fakeHosts) *picking.Picker {
	return picking.NewPicker(picking.Config{Zone: "lahore", Region: "punjab", Regions: hosts}, hosts, rand.New(rand.NewPCG(1, 2)))
}

func pickMany(t require.TestingT, picker *picking.Picker, now time.Time, snapshot *state.Snapshot) map[state.BackendServerName]int {
	counts := make(map[state.BackendServerName]int)
	for range picks {
		server, refusal := picker.Pick(now, snapshot, request, nil)
		require.Nil(t, refusal)
		counts[server.Name]++
	}
	return counts
}

func countPicks(picker *picking.Picker, now time.Time, snapshot *state.Snapshot, name state.BackendServerName, n int) int {
	picked := 0
	for range n {
		if server, _ := picker.Pick(now, snapshot, request, nil); server.Name == name {
			picked++
		}
	}
	return picked
}

func zoneShare(counts map[state.BackendServerName]int, zone string) float64 {
	return float64(counts[state.BackendServerName(zone+"-1")]+counts[state.BackendServerName(zone+"-2")]) / picks
}

func hint(name state.BackendServerName, running, waiting int) call.LoadHint {
	return call.LoadHint{BackendServer: name, Running: running, Waiting: waiting, Slots: 12}
}

func TestLocalZoneServesWhileItHasCapacity(t *testing.T) {
	hosts, snapshot := newHosts()
	picker := newPicker(hosts)
	picker.ObserveLoadHint(epoch, hint("lahore-1", 12, 60))
	server, _ := picker.Pick(epoch, snapshot, request, nil)
	require.Equal(t, state.BackendServerName("lahore-2"), server.Name)
}

// TestCallsGoToLowestExpectedLatency has the local zone short of slots: another
// zone of the region gets calls until it is as busy, and another region only
// when both are.
func TestCallsGoToLowestExpectedLatency(t *testing.T) {
	hosts, snapshot := newHosts()
	picker := newPicker(hosts)
	picker.ObserveLoadHint(epoch, hint("lahore-1", 12, 12))
	picker.ObserveLoadHint(epoch, hint("lahore-2", 12, 12))
	for range 10 {
		server, _ := picker.Pick(epoch, snapshot, request, nil)
		require.Equal(t, state.AvailabilityZone("multan"), server.Zone)
	}
	counts := pickMany(t, picker, epoch, snapshot)
	for _, zone := range []string{"lahore", "multan", "north"} {
		require.InDelta(t, 0.33, zoneShare(counts, zone), 0.05, "%s: a flood must be spread over all zones", zone)
	}
	later := epoch.Add(8 * picking.DefaultHintHalfLife)
	server, _ := picker.Pick(later, snapshot, request, nil)
	require.Equal(t, state.AvailabilityZone("lahore"), server.Zone, "old hints must be ignored")
}

func TestLargeResponsesStayInLocalZoneLonger(t *testing.T) {
	hosts, snapshot := newHosts()
	for bytes, zone := range map[int64]state.AvailabilityZone{1 << 10: "multan", 90 << 10: "lahore"} {
		picker := newPicker(hosts)
		picker.ObserveLoadHint(epoch, hint("lahore-1", 12, 6))
		picker.ObserveLoadHint(epoch, hint("lahore-2", 12, 6))
		for range 100 {
			picker.ObserveResponse(epoch, request, picking.Response{Bytes: bytes})
		}
		server, _ := picker.Pick(epoch, snapshot, request, nil)
		require.Equal(t, zone, server.Zone, "%d bytes", bytes)
	}
}

// observeResponses records responses of each backend server on a route, in
// turn.
func observeResponses(picker *picking.Picker, route state.RouteName, serviceTime map[state.BackendServerName]time.Duration, rounds int) {
	for range rounds {
		for name, time := range serviceTime {
			head := call.Head{Route: route, Service: service, BackendServer: name}
			picker.ObserveResponse(epoch, head, picking.Response{ServiceTime: time})
		}
	}
}

func TestFasterServerGetsMoreCalls(t *testing.T) {
	hosts, snapshot := newHosts()
	picker := newPicker(hosts)
	const slow, fast = 350 * time.Millisecond, 150 * time.Millisecond
	observeResponses(picker, request.Route, map[state.BackendServerName]time.Duration{
		"lahore-1": slow, "lahore-2": fast, "multan-1": slow, "multan-2": slow, "north-1": slow, "north-2": slow,
	}, 100)
	require.Equal(t, 12, countPicks(picker, epoch, snapshot, "lahore-2", 12), "it has a slot for each call")
	rest := countPicks(picker, epoch, snapshot, "lahore-2", 60)
	require.Greater(t, rest, 10)
	require.Less(t, rest, 50)
}

// TestServerWithLongerCallsIsNotTreatedAsSlower has two backend servers run
// calls of different length with the same latency ratio.
func TestServerWithLongerCallsIsNotTreatedAsSlower(t *testing.T) {
	hosts, snapshot := newHosts()
	picker := newPicker(hosts)
	for route, serviceTime := range map[state.RouteName]time.Duration{"scan": 70 * time.Millisecond, "browse": 360 * time.Millisecond} {
		observeResponses(picker, route, map[state.BackendServerName]time.Duration{"lahore-1": serviceTime, "lahore-2": serviceTime}, 10)
	}
	observeResponses(picker, "browse", map[state.BackendServerName]time.Duration{"lahore-1": 360 * time.Millisecond}, 200)
	observeResponses(picker, "scan", map[state.BackendServerName]time.Duration{"lahore-2": 70 * time.Millisecond}, 200)
	require.InDelta(t, 6, countPicks(picker, epoch, snapshot, "lahore-1", 12), 2)
}

func TestFailingServerGetsFewerCallsThoughFast(t *testing.T) {
	hosts, snapshot := newHosts()
	picker := newPicker(hosts)
	failing := request
	failing.BackendServer = "lahore-1"
	for range 40 {
		picker.ObserveResponse(epoch, failing, picking.Response{Failed: true})
	}
	require.Zero(t, countPicks(picker, epoch, snapshot, "lahore-1", 12))
	for range 100 {
		picker.ObserveResponse(epoch, failing, picking.Response{})
	}
	require.NotZero(t, countPicks(picker, epoch, snapshot, "lahore-1", 40), "it has recovered")
}

func TestSheddingServerGetsFewerCalls(t *testing.T) {
	hosts, snapshot := newHosts()
	picker := newPicker(hosts)
	for range 40 {
		picker.ObserveRefusal(epoch, "lahore-1", unknownIncarnation, state.NotRun(state.RefusedShed, "declined"))
	}
	require.Zero(t, countPicks(picker, epoch, snapshot, "lahore-1", 12))
	require.NotZero(t, countPicks(picker, epoch.Add(20*time.Second), snapshot, "lahore-1", 40), "the refusals have decayed")
}

func TestLessLoadedServerIsPicked(t *testing.T) {
	hosts, snapshot := newHosts()
	picker := newPicker(hosts)
	now := epoch
	counts := make(map[state.BackendServerName]int)
	for range picks {
		picker.ObserveLoadHint(now, hint("lahore-1", 10, 0))
		picker.ObserveLoadHint(now, hint("lahore-2", 2, 0))
		server, _ := picker.Pick(now, snapshot, request, nil)
		counts[server.Name]++
	}
	require.Equal(t, picks, counts["lahore-2"])
}

func TestPicksBetweenHintsAreSpread(t *testing.T) {
	hosts, snapshot := newHosts()
	picker := newPicker(hosts)
	picker.ObserveLoadHint(epoch, hint("lahore-1", 6, 0))
	picker.ObserveLoadHint(epoch, hint("lahore-2", 0, 0))
	counts := pickMany(t, picker, epoch, snapshot)
	require.InDelta(t, counts["lahore-2"], counts["lahore-1"], picks/50, "a stale hint must not attract a thundering herd")
}

func TestPruneRemovesUnconfiguredStats(t *testing.T) {
	hosts, snapshot := newHosts()
	picker := newPicker(hosts)
	for _, name := range []state.BackendServerName{"lahore-1", "gone"} {
		answered := request
		answered.BackendServer = name
		answered.Route = state.RouteName("route-of-" + name)
		picker.ObserveResponse(epoch, answered, picking.Response{Bytes: 1})
	}
	picker.ObserveSnapshot(epoch, snapshot)
	servers, routes := picker.TrackedCounts()
	require.Equal(t, 1, servers)
	require.Zero(t, routes)
}

func TestPickKeyedIgnoresHealthOfOwner(t *testing.T) {
	hosts, snapshot := newHosts()
	picker := newPicker(hosts)
	key := keyowner.Key{Caller: "clinic-7", Value: "k"}
	owner, refusal := picker.PickKeyed(snapshot, service, key, nil)
	require.Nil(t, refusal)
	hosts.phases[owner.Host] = state.HostGone
	picker.ObserveRefusal(epoch, owner.Name, unknownIncarnation, state.NotRun(state.RefusedUnreachable, ""))
	again, _ := picker.PickKeyed(snapshot, service, key, nil)
	require.Equal(t, owner.Name, again.Name)
	next, _ := picker.PickKeyed(snapshot, service, key, []state.BackendServerName{owner.Name})
	require.NotEqual(t, owner.Name, next.Name)
}

// TestPickMatchesModel compares the picker with a model of the backend servers
// that must not be picked.
func TestPickMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, snapshot := newHosts()
		picker := newPicker(hosts)
		now := epoch
		servers := snapshot.BackendServersOf(service)
		excluded := make(map[state.BackendServerName]bool)
		draw := func(t *rapid.T) state.BackendServer { return rapid.SampledFrom(servers).Draw(t, "server") }
		t.Repeat(map[string]func(*rapid.T){
			"drain": func(t *rapid.T) {
				server := draw(t)
				picker.ObserveRefusal(now, server.Name, unknownIncarnation, state.NotRun(state.RefusedDraining, ""))
				excluded[server.Name] = true
			},
			"fail": func(t *rapid.T) {
				picker.ObserveRefusal(now, draw(t).Name, unknownIncarnation, state.NotRun(state.RefusedUnreachable, ""))
			},
			"leave": func(t *rapid.T) {
				server := draw(t)
				hosts.phases[server.Host] = state.HostGone
				excluded[server.Name] = true
			},
			"hint": func(t *rapid.T) {
				picker.ObserveLoadHint(now, hint(draw(t).Name, rapid.IntRange(0, 12).Draw(t, "running"), rapid.IntRange(0, 50).Draw(t, "waiting")))
			},
			"wait": func(t *rapid.T) { now = now.Add(50 * time.Millisecond) },
			"": func(t *rapid.T) {
				if now.Sub(epoch) >= picking.DefaultDrainRetention {
					return // observed drains have expired
				}
				tried := []state.BackendServerName{draw(t).Name}
				server, refusal := picker.Pick(now, snapshot, request, tried)
				usable := len(servers) - len(excluded)
				if !excluded[tried[0]] {
					usable--
				}
				require.Equal(t, usable == 0, refusal != nil)
				if refusal == nil {
					require.False(t, excluded[server.Name])
					require.NotEqual(t, tried[0], server.Name)
				}
			},
		})
	})
}

func BenchmarkPick(b *testing.B) {
	hosts, snapshot := newHosts()
	picker := newPicker(hosts)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = picker.Pick(epoch, snapshot, request, nil)
	}
}

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "1", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
