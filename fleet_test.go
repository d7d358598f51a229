package wasabiport_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport"
	"github.com/wasabiport/wasabiport/internal/standin"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/protocol/ticketfile"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/network"
)

const platformAddress = "192.0.2.1:7000"

// fleet runs a platform, nodes and backend servers on an in-memory network.
type fleet struct {
	t        *testing.T
	network  *network.Memory
	networks map[int]network.Network
	platform *standin.Platform
	nodes    []*wasabiport.Node
	backends []*standin.BackendServer
	servers  []*http.Server
}

// newFleet starts count hosts, spread over three availability zones, each
// with a node and a backend server of the service "desk".
func newFleet(t *testing.T, count int) *fleet {
	return newFleetOn(t, count, network.NewMemory(), nil)
}

// newFleetOn starts a fleet on an in-memory network. The hosts in networks use
// networks of their own, which lead to the same addresses.
func newFleetOn(t *testing.T, count int, memory *network.Memory, networks map[int]network.Network) *fleet {
	f := &fleet{
		t:        t,
		network:  memory,
		networks: networks,
		platform: standin.NewPlatform(standin.PlatformConfig{}),
	}
	f.serve(platformAddress, f.platform)
	var hosts []state.Host
	for i := range count {
		hosts = append(hosts, hostOf(i))
		backend := standin.NewBackendServer(standin.BackendServerConfig{Slots: 6})
		f.backends = append(f.backends, backend)
		f.serve(backendAddress(i), backend)
	}
	f.platform.SetHosts(hosts)
	for i := range count {
		f.nodes = append(f.nodes, f.startNode(i))
	}
	return f
}

func hostOf(i int) state.Host {
	return state.Host{
		Name:        state.HostName(fmt.Sprintf("host-%d", i)),
		Zone:        state.AvailabilityZone(fmt.Sprintf("zone-%d", i%3)),
		Region:      "lakes",
		PeerAddress: fmt.Sprintf("192.0.2.%d:7001", 10+i),
	}
}

func backendAddress(i int) string  { return fmt.Sprintf("192.0.2.%d:8080", 10+i) }
func callerAddress(i int) string   { return fmt.Sprintf("192.0.2.%d:80", 10+i) }
func operatorAddress(i int) string { return fmt.Sprintf("192.0.2.%d:7002", 10+i) }

func (f *fleet) serve(address string, handler http.Handler) {
	listener, err := f.network.Listen(f.t.Context(), address)
	require.NoError(f.t, err)
	server := &http.Server{Handler: handler}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
}

func (f *fleet) startNode(i int) *wasabiport.Node {
	config := wasabiport.DefaultConfig()
	config.Plaintext = true
	config.Self = hostOf(i)
	config.CallerAddress = callerAddress(i)
	config.OperatorAddress = operatorAddress(i)
	config.PlatformURL = "http://" + platformAddress
	config.Seed = uint64(i + 1)
	config.Network = f.network
	if own, ok := f.networks[i]; ok {
		config.Network = own
	}
	config.HTTPClient = f.client()
	node, err := wasabiport.Create(f.t.Context(), config)
	require.NoError(f.t, err)
	return node
}

// client returns an HTTP client on the in-memory network.
func (f *fleet) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return f.network.Dial(ctx, address)
		},
	}}
}

func (f *fleet) fileTicket(ticket state.Ticket) {
	raw, err := ticketfile.Encode(ticket)
	require.NoError(f.t, err)
	_, err = f.platform.PublishTicket(raw)
	require.NoError(f.t, err)
}

// deskTicket returns a ticket that sets the service "desk", its route and a backend
// server on each host.
func (f *fleet) deskTicket(number state.TicketNumber) state.Ticket {
	ticket := state.Ticket{Number: number}
	ticket.Set.Services = []state.Service{{Name: "desk", QueueLimits: [state.ClassCount]int{8, 8, 8, 8}}}
	ticket.Set.Routes = []state.Route{{
		Name:    "status",
		Match:   state.Match{PathPrefix: "/"},
		Service: "desk",
		Class:   state.ClassHigh,
		Timeout: 5 * time.Second,
	}}
	for i := range f.backends {
		ticket.Set.BackendServers = append(ticket.Set.BackendServers, state.BackendServer{
			Name:        state.BackendServerName(fmt.Sprintf("desk-%d", i)),
			Service:     "desk",
			Host:        hostOf(i).Name,
			Zone:        hostOf(i).Zone,
			Address:     backendAddress(i),
			Slots:       6,
			Connections: 100,
		})
	}
	return ticket
}

// stop shuts down all nodes and servers, so that no goroutine is left.
func (f *fleet) stop() {
	for _, node := range f.nodes {
		require.NoError(f.t, node.Leave(f.t.Context()))
	}
	for _, server := range f.servers {
		require.NoError(f.t, server.Close())
	}
}

func TestTicketReachesEveryNodeAndCallsAreServed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.stop()
		f.fileTicket(f.deskTicket(1))
		time.Sleep(10 * time.Second)
		for _, node := range f.nodes {
			require.Equal(t, f.nodes[0].Version(), node.Version())
			require.NoError(t, node.Ready())
		}
		for i := range f.nodes {
			response, err := f.client().Get("http://" + callerAddress(i) + "/permits/7")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, "done", response.Header.Get("Wasabiport-Outcome"))
			require.NoError(t, response.Body.Close())
		}
	})
}

func TestCallsBeforeTheFirstTicketAreNotRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stop()
		time.Sleep(10 * time.Second)
		require.ErrorIs(t, f.nodes[0].Ready(), wasabiport.ErrNotReady)
		response, err := f.client().Get("http://" + callerAddress(0) + "/permits/7")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, "not-run", response.Header.Get("Wasabiport-Outcome"))
		require.Equal(t, "not-ready", response.Header.Get("Wasabiport-Reason"))
		require.NoError(t, response.Body.Close())
	})
}
