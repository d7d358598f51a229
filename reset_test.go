package wasabiport_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/standin"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/transport/network"
)

// resettableNetwork is an in-memory network that can close all connections that
// were dialed through it.
type resettableNetwork struct {
	*network.Memory

	mu   sync.Mutex
	open []net.Conn
}

func (n *resettableNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Memory.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open = append(n.open, conn)
	return conn, nil
}

func (n *resettableNetwork) reset() {
	n.mu.Lock()
	open := n.open
	n.open = nil
	n.mu.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}

// Guards against calls that ran on more backend servers than their route allows: an
// attempt that was lost with the connection between two nodes did not count.
func TestCallsLostBetweenNodesCountAsAttempts(t *testing.T) {
	const (
		hosts       = 4
		calls       = 50
		maxAttempts = 2
	)
	virtualtime.Test(t, func(t *testing.T) {
		memory := network.NewMemory()
		resettable := &resettableNetwork{Memory: memory}
		f := newFleetOn(t, hosts, memory, map[int]network.Network{0: resettable})
		defer f.stop()
		ticket := f.deskTicket(1)
		// The first host has no backend server, so that all calls leave it.
		ticket.Set.BackendServers = ticket.Set.BackendServers[1:]
		ticket.Set.Routes[0].Idempotent = true
		ticket.Set.Routes[0].MaxAttempts = maxAttempts
		f.fileTicket(ticket)
		time.Sleep(10 * time.Second)

		var running sync.WaitGroup
		for range calls {
			running.Go(func() { f.getSlowly(20 * time.Millisecond) })
			time.Sleep(8 * time.Millisecond)
			resettable.reset()
		}
		running.Wait()
		runs := make(map[string]int)
		for _, backend := range f.backends {
			for id := range backend.RunsByKey() {
				runs[id]++
			}
		}
		for id, servers := range runs {
			require.LessOrEqual(t, servers, maxAttempts, "call %s ran on too many backend servers", id)
		}
	})
}

// getSlowly sends a call with a service time to the first node. Any answer will do.
func (f *fleet) getSlowly(serviceTime time.Duration) {
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+callerAddress(0)+"/", nil)
	require.NoError(f.t, err)
	request.Header.Set(standin.HeaderServiceTime, serviceTime.String())
	response, err := f.client().Do(request)
	require.NoError(f.t, err)
	require.NoError(f.t, response.Body.Close())
}
