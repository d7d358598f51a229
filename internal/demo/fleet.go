package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport"
	"github.com/wasabiport/wasabiport/examples"
	"github.com/wasabiport/wasabiport/internal/loopback"
	"github.com/wasabiport/wasabiport/internal/standin"
	"github.com/wasabiport/wasabiport/protocol/ticketfile"
	"github.com/wasabiport/wasabiport/state"
)

const (
	loopbackAddress = "127.0.0.1:0"
	// peerPort is the port on which each node listens for peers.
	peerPort = "7001"
	// serviceTime is the default service time of the backend servers.
	serviceTime = 4 * time.Millisecond
	// waitInterval is the time between two checks of a condition.
	waitInterval = 10 * time.Millisecond
	// readHeaderTimeout limits the time for reading the headers of a request.
	readHeaderTimeout = 5 * time.Second
)

// fleet is a running deployment.
type fleet struct {
	deployment  examples.Deployment
	platform    *standin.Platform
	platformURL string
	servers     []*http.Server
	backends    map[state.BackendServerName]*backend
	hosts       []state.Host
	nodes       *state.ShardedMap[state.HostName, *wasabiport.Node]
	tickets     []state.Ticket
}

// backend is a running backend server and its address.
type backend struct {
	*standin.BackendServer
	address string
}

// startFleet starts the platform, the backend servers and the nodes of a
// deployment.
func startFleet(ctx context.Context, deployment examples.Deployment) (*fleet, error) {
	f := &fleet{
		deployment: deployment,
		platform:   standin.NewPlatform(standin.PlatformConfig{}),
		backends:   make(map[state.BackendServerName]*backend),
		nodes:      state.NewShardedMap[state.HostName, *wasabiport.Node](state.DefaultShardCount),
	}
	address, err := f.serve(ctx, f.platform.PublishingHandler())
	if err != nil {
		return nil, err
	}
	f.platformURL = "http://" + address
	if err := f.startBackends(ctx); err != nil {
		return nil, err
	}
	f.platform.SetHosts(f.hosts)
	for _, host := range f.hosts {
		if err := f.startNode(ctx, host); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// startBackends starts the backend servers of the deployment's tickets, each on
// a separate host.
func (f *fleet) startBackends(ctx context.Context) error {
	for i, raw := range f.deployment.Tickets {
		ticket := ticketfile.Decode(state.TicketNumber(i+1), raw)
		for j, server := range ticket.Set.BackendServers {
			config := standin.BackendServerConfig{
				Name:        string(server.Name),
				Slots:       server.Slots,
				ServiceTime: serviceTime,
			}
			backend := &backend{BackendServer: standin.NewBackendServer(config)}
			address, err := f.serve(ctx, backend)
			if err != nil {
				return err
			}
			backend.address = address
			f.backends[server.Name] = backend
			ticket.Set.BackendServers[j].Address = address
			f.hosts = append(f.hosts, state.Host{Name: server.Host, Zone: server.Zone, Region: state.Region(f.deployment.Name)})
		}
		f.tickets = append(f.tickets, ticket)
	}
	f.assignPeerAddresses()
	return nil
}

// assignPeerAddresses gives the node of each host an address that stays free while
// the node is stopped.
func (f *fleet) assignPeerAddresses() {
	for i := range f.hosts {
		f.hosts[i].PeerAddress = net.JoinHostPort(loopback.NewHostIP(), peerPort)
	}
}

// serve starts an HTTP server and returns its address.
func (f *fleet) serve(ctx context.Context, handler http.Handler) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", loopbackAddress)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (f *fleet) startNode(ctx context.Context, host state.Host) error {
	config := wasabiport.DefaultConfig()
	config.Plaintext = true
	config.KeySettle = keySettle
	config.Self = host
	config.CallerAddress = loopbackAddress
	config.OperatorAddress = loopbackAddress
	config.PlatformURL = f.platformURL
	node, err := wasabiport.Create(ctx, config)
	if err != nil {
		return fmt.Errorf("start the node of %s: %w", host.Name, err)
	}
	f.nodes.Set(host.Name, node)
	return nil
}

// runningNodes returns the running nodes in the order of the host list.
func (f *fleet) runningNodes() []*wasabiport.Node {
	var nodes []*wasabiport.Node
	for _, host := range f.hosts {
		if node, ok := f.nodes.Get(host.Name); ok {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// readyNodes returns the nodes that serve callers, that is, those that a load
// balancer with health checks on /readyz would use.
func (f *fleet) readyNodes() []*wasabiport.Node {
	unready := func(node *wasabiport.Node) bool { return node.Ready() != nil }
	return slices.DeleteFunc(f.runningNodes(), unready)
}

// publish publishes a ticket and returns its number.
func (f *fleet) publish(ticket state.Ticket) (state.TicketNumber, error) {
	raw, err := ticketfile.Encode(ticket)
	if err != nil {
		return 0, err
	}
	return f.platform.PublishTicket(raw)
}

// waitEvaluated waits until every node has evaluated a ticket and returns the
// elapsed time.
func (f *fleet) waitEvaluated(ctx context.Context, number state.TicketNumber) (time.Duration, error) {
	start := time.Now()
	for _, node := range f.runningNodes() {
		if err := node.AwaitTicket(ctx, number); err != nil {
			return 0, fmt.Errorf("%s: %w", f.deployment.Name, err)
		}
	}
	return time.Since(start), nil
}

// waitReady waits until every node serves callers.
func (f *fleet) waitReady(ctx context.Context) error {
	return waitUntil(ctx, func() bool { return len(f.readyNodes()) == len(f.runningNodes()) })
}

// waitUntil polls a condition until it holds or ctx is canceled.
func waitUntil(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// stop shuts down all nodes gracefully and concurrently, and then closes the
// servers of the platform and the backend servers.
func (f *fleet) stop(ctx context.Context) error {
	nodes := f.runningNodes()
	errs := make([]error, len(nodes))
	var threads sync.WaitGroup
	for i, node := range nodes {
		threads.Go(func() { errs[i] = node.Leave(ctx) })
	}
	threads.Wait()
	for _, server := range f.servers {
		_ = server.Close()
	}
	return errors.Join(errs...)
}

// keySettle is longer than a ticket takes to be in force everywhere on loopback.
const keySettle = 500 * time.Millisecond
