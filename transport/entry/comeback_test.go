package entry_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/callerlimit"
	"github.com/wasabiport/wasabiport/coordination/clientretry"
	"github.com/wasabiport/wasabiport/coordination/picking"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/protocol/handshake"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
	"github.com/wasabiport/wasabiport/transport/entry"
)

const ownHost = state.HostName("host-1")

// fleetOfOne is all that a handler has to know of the fleet: one host.
type fleetOfOne struct{}

func (fleetOfOne) Host(name state.HostName) (state.Host, bool) { return state.Host{Name: name}, true }
func (fleetOfOne) PhaseOf(state.HostName) state.HostPhase      { return state.HostLive }
func (fleetOfOne) StartSeenAt(state.HostName) time.Time        { return time.Time{} }
func (fleetOfOne) Ready(time.Time) (ready bool, reason string) { return true, "" }
func (fleetOfOne) CallStarted()                                {}
func (fleetOfOne) CallFinished(entry.CallResult)               {}
func (fleetOfOne) CallRetried()                                {}
func (fleetOfOne) OpenCall(context.Context, state.Host, handshake.Lane) (net.Conn, error) {
	return nil, net.ErrClosed
}

// refusingGuard refuses all calls and keeps their heads.
type refusingGuard struct{ heads []call.Head }

func (g *refusingGuard) Handle(_ context.Context, head call.Head, _ io.Reader) (*callstream.Reply, *state.Refusal) {
	g.heads = append(g.heads, head)
	return nil, state.NotRun(state.RefusedQueueFull, "no slot")
}

func (g *refusingGuard) Load(server state.BackendServerName) call.LoadHint {
	return call.LoadHint{BackendServer: server}
}

func newHandler(guard callstream.Handler) *entry.Handler {
	builder := state.NewSnapshotBuilder(nil)
	builder.Set(state.Resources{
		Services:       []state.Service{{Name: "desk"}},
		BackendServers: []state.BackendServer{{Name: "desk-1", Service: "desk", Host: ownHost, Slots: 1}},
		Routes: []state.Route{{
			Name: "status", Match: state.Match{PathPrefix: "/"}, Service: "desk",
			Timeout: 10 * time.Second, LatencyTarget: 500 * time.Millisecond,
		}},
	})
	snapshots := state.NewSnapshotStore(1)
	snapshots.Swap(builder.Build(1, 1))
	budget := retry.NewBudget(retry.BudgetConfig{})
	decisions := entry.Policies{
		Picker:        picking.NewPicker(picking.Config{}, fleetOfOne{}, rand.New(rand.NewPCG(1, 2))),
		Retries:       retry.NewPolicy(retry.Config{}, budget, rand.New(rand.NewPCG(3, 4))),
		Budget:        budget,
		CallerLimits:  callerlimit.New(callerlimit.Config{}),
		ClientRetries: clientretry.NewTracker(clientretry.Config{}),
	}
	fleet := fleetOfOne{}
	config := entry.Config{LocalHost: ownHost, MaxBodyBytes: 1 << 20, StallTimeout: time.Second}
	front := httpmap.Front{MaxHeaderFields: 10}
	return entry.NewHandler(config, front, decisions, snapshots, fleet, fleet, fleet, guard, fleet)
}

// TestAnswerIsWantedByTheTimeOfTheFirstAttempt has a client come again a second
// after a refusal, with what is left of the time that it gave.
func TestAnswerIsWantedByTheTimeOfTheFirstAttempt(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		guard := &refusingGuard{}
		handler := newHandler(guard)
		attempt := func(path, timeout string) time.Time {
			request := httptest.NewRequest(http.MethodGet, "http://desk"+path, http.NoBody)
			request.Header.Set(httpmap.HeaderTimeout, timeout)
			handler.ServeHTTP(httptest.NewRecorder(), request)
			return guard.heads[len(guard.heads)-1].SoftDeadline
		}
		first := attempt("/permits/7", "4s")
		require.Equal(t, time.Now().Add(500*time.Millisecond), first)
		time.Sleep(time.Second)
		require.Equal(t, first, attempt("/permits/7", "3s"))
		require.Equal(t, time.Now().Add(500*time.Millisecond), attempt("/permits/7", "4s"), "a request of its own")
	})
}
