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
	"github.com/wasabiport/wasabiport/internal/standin"
	"github.com/wasabiport/wasabiport/protocol/ticketfile"
	"github.com/wasabiport/wasabiport/state"
)

const (
	loopback = "127.0.0.1:0"
	// serviceTime is the time for which a backend server works on a call.
	serviceTime = 4 * time.Millisecond
	// waitInterval is the time between two looks at whether a condition holds.
	waitInterval = 10 * time.Millisecond
	// readHeaderTimeout bounds the time in which a caller sends its headers.
	readHeaderTimeout = 5 * time.Second
)

// fleet is one deployment at work.
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

// backend is a backend server at work.
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

// startBackends starts the backend servers of the deployment's tickets, each
// on a host of its own.
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
	return f.choosePeerAddresses(ctx)
}

// choosePeerAddresses gives each host a free port for its node.
func (f *fleet) choosePeerAddresses(ctx context.Context) error {
	var config net.ListenConfig
	for i := range f.hosts {
		listener, err := config.Listen(ctx, "tcp", loopback)
		if err != nil {
			return fmt.Errorf("choose a port: %w", err)
		}
		f.hosts[i].PeerAddress = listener.Addr().String()
		// The port is held until all are chosen, so that no two are equal.
		defer func() { _ = listener.Close() }()
	}
	return nil
}

// serve starts an HTTP server and returns its address.
func (f *fleet) serve(ctx context.Context, handler http.Handler) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", loopback)
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
	config.CallerAddress = loopback
	config.OperatorAddress = loopback
	config.PlatformURL = f.platformURL
	node, err := wasabiport.Create(ctx, config)
	if err != nil {
		return fmt.Errorf("start the node of %s: %w", host.Name, err)
	}
	f.nodes.Set(host.Name, node)
	return nil
}

// running returns the nodes that run, in the order of the host list.
func (f *fleet) running() []*wasabiport.Node {
	var nodes []*wasabiport.Node
	for _, host := range f.hosts {
		if node, ok := f.nodes.Get(host.Name); ok {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// ready returns the nodes that serve callers, which are the ones that a load
// balancer that asks /readyz would choose from.
func (f *fleet) ready() []*wasabiport.Node {
	unready := func(node *wasabiport.Node) bool { return node.Ready() != nil }
	return slices.DeleteFunc(f.running(), unready)
}

// file publishes a ticket and returns its number.
func (f *fleet) file(ticket state.Ticket) (state.TicketNumber, error) {
	raw, err := ticketfile.Encode(ticket)
	if err != nil {
		return 0, err
	}
	return f.platform.FileTicket(raw)
}

// waitJudged waits until every node has judged a ticket, and returns the time
// that it took.
func (f *fleet) waitJudged(ctx context.Context, number state.TicketNumber) (time.Duration, error) {
	start := time.Now()
	for _, node := range f.running() {
		if err := node.AwaitTicket(ctx, number); err != nil {
			return 0, fmt.Errorf("%s: %w", f.deployment.Name, err)
		}
	}
	return time.Since(start), nil
}

// waitReady waits until every node serves callers.
func (f *fleet) waitReady(ctx context.Context) error {
	return waitUntil(ctx, func() bool { return len(f.ready()) == len(f.running()) })
}

// waitUntil looks at intervals whether a condition holds.
func waitUntil(ctx context.Context, holds func() bool) error {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// stop ends all nodes gracefully at the same time, and everything else at once
// after them.
func (f *fleet) stop(ctx context.Context) error {
	nodes := f.running()
	problems := make([]error, len(nodes))
	var threads sync.WaitGroup
	for i, node := range nodes {
		threads.Go(func() { problems[i] = node.Leave(ctx) })
	}
	threads.Wait()
	for _, server := range f.servers {
		_ = server.Close()
	}
	return errors.Join(problems...)
}

// keySettle is longer than a ticket takes to be in force on loopback.
const keySettle = 500 * time.Millisecond
