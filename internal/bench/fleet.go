package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport"
	"github.com/wasabiport/wasabiport/internal/loopback"
	"github.com/wasabiport/wasabiport/state"
)

// Ports of a node. Each node has a separate loopback address.
const (
	peerPort     = 7001
	operatorPort = 7002
	callerPort   = 7080
)

// startTimeout limits the time until the first ticket is in force on a started
// fleet.
const startTimeout = 60 * time.Second

// member is a host of the fleet and its node.
type member struct {
	index        int
	host         state.Host
	byteCounters byteCounters
	node         *wasabiport.Node
}

// fleet is a set of real nodes on loopback.
type fleet struct {
	seed     uint64
	services int
	source   *sourceServer
	members  []*member
}

// startFleet starts the nodes and waits until the first ticket, which contains
// the complete configuration, is in force on all of them.
func startFleet(ctx context.Context, seed uint64, nodes, services int) (*fleet, error) {
	source, err := newSourceServer(ctx)
	if err != nil {
		return nil, err
	}
	f := &fleet{seed: seed, services: services, source: source}
	var hosts []state.Host
	for i := range nodes {
		host := state.Host{
			Name:        hostName(i),
			Zone:        zoneOf(i),
			Region:      state.Region(fmt.Sprintf("region-%d", i%3)),
			PeerAddress: fmt.Sprintf("%s:%d", loopback.HostIP(i), peerPort),
		}
		hosts = append(hosts, host)
		f.members = append(f.members, &member{index: i, host: host})
	}
	source.platform.SetHosts(hosts)
	if err := f.source.publish(firstTicket(nodes, services)); err != nil {
		f.stop()
		return nil, err
	}
	for _, member := range f.members {
		if err := f.startNode(ctx, member); err != nil {
			f.stop()
			return nil, err
		}
	}
	if err := f.awaitTicket(ctx, 1); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// startNode starts the node of a host.
func (f *fleet) startNode(ctx context.Context, m *member) error {
	config := wasabiport.DefaultConfig()
	config.Plaintext = true
	config.Self = m.host
	config.CallerAddress = fmt.Sprintf("%s:%d", loopback.HostIP(m.index), callerPort)
	config.OperatorAddress = fmt.Sprintf("%s:%d", loopback.HostIP(m.index), operatorPort)
	config.PlatformURL = f.source.url
	config.Seed = f.seed + uint64(m.index) + 1
	config.Network = countingNetwork{bytes: &m.byteCounters.peers}
	config.HTTPClient = countingClient(&m.byteCounters.source)
	node, err := wasabiport.Create(ctx, config)
	if err != nil {
		return errors.Wrapf(err, "start node %s", m.host.Name)
	}
	m.node = node
	return nil
}

// awaitTicket waits until a ticket is in force on all nodes.
func (f *fleet) awaitTicket(ctx context.Context, number state.TicketNumber) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, member := range f.members {
		if err := member.node.AwaitTicket(ctx, number); err != nil {
			return errors.Wrapf(err, "%s is at ticket %d", member.host.Name, member.node.Version().Evaluated)
		}
	}
	return nil
}

// bytes returns the total control bytes of all nodes.
func (f *fleet) bytes() int64 {
	var total int64
	for _, member := range f.members {
		total += member.byteCounters.total()
	}
	return total
}

func (f *fleet) stop() {
	done := make(chan struct{})
	running := 0
	for _, member := range f.members {
		if member.node != nil {
			running++
			go func() {
				member.node.Shutdown()
				done <- struct{}{}
			}()
		}
	}
	for range running {
		<-done
	}
	f.source.close()
}
