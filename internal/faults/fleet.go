package faults

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport"
	"github.com/wasabiport/wasabiport/internal/standin"
	"github.com/wasabiport/wasabiport/protocol/ticketfile"
	"github.com/wasabiport/wasabiport/state"
)

// Sizes of the fleet.
const (
	hostCount       = 6
	zoneCount       = 3
	slotsPerBackend = 2
	callTimeout     = 2 * time.Second
)

const (
	platformEndpoint = "192.0.2.1"
	platformAddress  = platformEndpoint + ":7000"
	callerEndpoint   = "203.0.113.1"
)

func endpointOf(i int) string      { return fmt.Sprintf("192.0.2.%d", 10+i) }
func backendAddress(i int) string  { return endpointOf(i) + ":8080" }
func callerAddress(i int) string   { return endpointOf(i) + ":80" }
func operatorAddress(i int) string { return endpointOf(i) + ":7002" }

func hostOf(i int) state.Host {
	return state.Host{
		Name:        state.HostName(fmt.Sprintf("host-%d", i)),
		Zone:        state.AvailabilityZone(fmt.Sprintf("zone-%d", i%zoneCount)),
		Region:      "lakes",
		PeerAddress: endpointOf(i) + ":7001",
	}
}

// endpointsOfZone returns the endpoints of the hosts of one availability zone.
func endpointsOfZone(zone int) []string {
	var endpoints []string
	for i := range hostCount {
		if i%zoneCount == zone {
			endpoints = append(endpoints, endpointOf(i))
		}
	}
	return endpoints
}

func endpointsOutsideZone(zone int) []string {
	var endpoints []string
	for i := range hostCount {
		if i%zoneCount != zone {
			endpoints = append(endpoints, endpointOf(i))
		}
	}
	return endpoints
}

// Fleet runs a platform, hosts with a node and a backend server each, callers
// and an operator.
type Fleet struct {
	Network  *Network
	Platform *standin.Platform
	History  *History

	seed uint64
	// sourceReads counts the reads of tickets that the platform answered.
	sourceReads atomic.Int64
	backends    []*standin.BackendServer
	servers     []*http.Server
	threads     sync.WaitGroup
	cancel      context.CancelFunc
	ctx         context.Context

	// mu guards nodes and processes, which faults stop and start.
	mu           sync.Mutex
	nodes        []*wasabiport.Node
	processes    []int
	latestTicket state.TicketNumber
	draining     map[int]bool
}

// StartFleet starts the platform, the backend servers and the nodes, without
// load. The returned fleet must be stopped even after an error.
func StartFleet(ctx context.Context, seed uint64) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{
		Network:   NewNetwork(),
		Platform:  standin.NewPlatform(standin.PlatformConfig{}),
		History:   NewHistory(),
		seed:      seed,
		ctx:       ctx,
		cancel:    cancel,
		nodes:     make([]*wasabiport.Node, hostCount),
		processes: make([]int, hostCount),
		draining:  make(map[int]bool),
	}
	if err := f.serve(platformAddress, f.observeReads()); err != nil {
		return f, err
	}
	f.Platform.SetHosts(f.hosts())
	for i := range hostCount {
		backend := standin.NewBackendServer(standin.BackendServerConfig{
			Name:        string(hostOf(i).Name),
			Slots:       slotsPerBackend,
			RestartTime: 500 * time.Millisecond,
		})
		f.backends = append(f.backends, backend)
		if err := f.serve(backendAddress(i), f.observeRuns(i, backend)); err != nil {
			return f, err
		}
	}
	for i := range hostCount {
		if err := f.StartNode(i); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *Fleet) hosts() []state.Host {
	hosts := make([]state.Host, 0, hostCount)
	for i := range hostCount {
		hosts = append(hosts, hostOf(i))
	}
	return hosts
}

func (f *Fleet) serve(address string, handler http.Handler) error {
	listener, err := f.Network.ForEndpoint(platformEndpoint).Listen(f.ctx, address)
	if err != nil {
		return errors.Wrap(err, "start stand-in server")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, server)
	f.threads.Go(func() { _ = server.Serve(listener) })
	return nil
}

// observeReads returns the platform's handler, which counts reads of tickets.
func (f *Fleet) observeReads() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.Platform.ServeHTTP(w, r)
		if r.URL.Path == "/v1/tickets" {
			f.sourceReads.Add(1)
		}
	})
}

// observeRuns returns a backend server's handler, which records every call that
// the backend server receives.
func (f *Fleet) observeRuns(host int, backend http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.History.addRun(RunRecord{
			Host:   host,
			At:     time.Now(),
			CallID: r.Header.Get(standin.HeaderCallID),
			Key:    r.Header.Get(standin.HeaderIdempotencyKey),
		})
		backend.ServeHTTP(w, r)
	})
}

// StartNode starts the node of a host.
func (f *Fleet) StartNode(i int) error {
	endpoint := endpointOf(i)
	f.Network.Rejoin(endpoint)
	config := wasabiport.DefaultConfig()
	config.Plaintext = true
	config.Self = hostOf(i)
	config.CallerAddress = callerAddress(i)
	config.OperatorAddress = operatorAddress(i)
	config.PlatformURL = "http://" + platformAddress
	config.Seed = f.seed*hostCount + uint64(i) + 1
	config.Network = f.Network.ForEndpoint(endpoint)
	config.HTTPClient = f.client(endpoint)
	node, err := wasabiport.Create(f.ctx, config)
	if err != nil {
		return errors.Wrapf(err, "start node %d", i)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i] = node
	f.processes[i]++
	return nil
}

// KillNode stops the node of a host abruptly: its peers see only that the
// connections are lost.
func (f *Fleet) KillNode(i int) {
	node := f.removeNode(i)
	if node == nil {
		return
	}
	f.Network.Isolate(endpointOf(i))
	node.Shutdown()
}

// StopNode shuts down the node of a host gracefully.
func (f *Fleet) StopNode(i int) error {
	node := f.removeNode(i)
	if node == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(f.ctx, stopTimeout)
	defer cancel()
	return node.Leave(ctx)
}

// stopTimeout limits a graceful shutdown.
const stopTimeout = 10 * time.Second

func (f *Fleet) removeNode(i int) *wasabiport.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	node := f.nodes[i]
	f.nodes[i] = nil
	return node
}

func (f *Fleet) node(i int) (node *wasabiport.Node, process int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[i], f.processes[i]
}

// client returns an HTTP client that connects from an endpoint.
func (f *Fleet) client(endpoint string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return f.Network.ForEndpoint(endpoint).Dial(ctx, address)
		},
	}}
}

// PublishTicket publishes the next valid ticket.
func (f *Fleet) PublishTicket() error {
	f.latestTicket++
	f.History.LatestAccepted = f.latestTicket
	return f.publish(newTicket(f.latestTicket, hostCount, f.draining))
}

// PublishInvalidTicket publishes a ticket that must be rejected.
func (f *Fleet) PublishInvalidTicket() error {
	f.latestTicket++
	f.History.Rejected[f.latestTicket] = true
	return f.publish(newInvalidTicket(f.latestTicket, hostCount))
}

// Drain publishes a ticket that sets the backend server of a host to draining.
func (f *Fleet) Drain(host int) error {
	f.draining[host] = true
	f.History.addDrain(Drain{Host: host, At: time.Now()})
	return f.PublishTicket()
}

func (f *Fleet) publish(ticket state.Ticket) error {
	raw, err := ticketfile.Encode(ticket)
	if err != nil {
		return errors.Wrap(err, "publish ticket")
	}
	_, err = f.Platform.PublishTicket(raw)
	return errors.Wrap(err, "publish ticket")
}

// Stop stops all components and waits for their goroutines.
func (f *Fleet) Stop() {
	f.cancel()
	f.Network.Heal()
	for i := range hostCount {
		if node := f.removeNode(i); node != nil {
			node.Shutdown()
		}
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
	f.threads.Wait()
	// Gives calls that backend servers still run the time to end.
	time.Sleep(callTimeout)
}
