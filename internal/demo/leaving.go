package demo

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

const (
	// slowCalls is the number of calls that run while a node stops.
	slowCalls = 8
	// slowServiceTime is how long each of them takes.
	slowServiceTime = 700 * time.Millisecond
)

// drain drains a backend server during calls and brings it back.
func (s *show) drain(ctx context.Context) error {
	servers := s.fleet.running()[0].Snapshot().Resources().BackendServers
	server := servers[len(servers)-1]
	backend := s.fleet.backends[server.Name]
	runs := 0
	during := func(action func() error) (*tally, error) { return s.traffic.during(ctx, action) }
	err := s.phase("drain", during, func() error {
		if err := s.setDraining(ctx, server, true); err != nil {
			return err
		}
		if err := sleep(ctx, drainTarget); err != nil {
			return err
		}
		before := backend.RunsTotal()
		if err := sleep(ctx, drainLook); err != nil {
			return err
		}
		runs = backend.RunsTotal() - before
		return s.setDraining(ctx, server, false)
	})
	s.promises.look(runs == 0, "a leaving backend server gets no new work after a few seconds",
		"%s drained; %d calls ran there later than %s", server.Name, runs, drainTarget)
	return err
}

func (s *show) setDraining(ctx context.Context, server state.BackendServer, draining bool) error {
	server.Draining = draining
	number := state.TicketNumber(s.fleet.platform.TicketCount() + 1)
	set := state.Resources{BackendServers: []state.BackendServer{server}}
	return s.fileAndWait(ctx, state.Ticket{Number: number, Set: set})
}

// stopGracefully stops a node while it has calls to finish, and starts it
// again.
func (s *show) stopGracefully(ctx context.Context) error {
	host := s.fleet.hosts[0]
	node, _ := s.fleet.nodes.Get(host.Name)
	var slow *tally
	var stopErr error
	during := func(action func() error) (*tally, error) { return s.traffic.during(ctx, action) }
	err := s.phase("planned stop", during, func() error {
		finished := s.startSlowCalls(ctx, node.CallerAddress())
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
		s.announce(host, state.HostLeaving)
		// Callers choose another entry before the node stops, as operators
		// arrange it for a planned stop.
		s.fleet.nodes.Delete(host.Name)
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
		stopErr = node.Leave(ctx)
		slow = <-finished
		s.announce(host, state.HostLive)
		return s.restart(ctx, host)
	})
	if err != nil {
		return err
	}
	cut := slow.total().cut + s.phases[len(s.phases)-1].tally.total().cut
	ended := slow.total()
	// A call that was refused before it ran was not cut, if that is true.
	untrue := s.ran(slow.notRunIDs())
	whole := ended.done > 0 && untrue == 0 && ended.done+ended.notRun == slowCalls
	s.promises.look(stopErr == nil && cut == 0 && whole,
		"every planned stop is graceful and cuts no request",
		"%s stopped with %d calls in it; %d finished, %d not run, %d cut",
		host.Name, slowCalls, ended.done, ended.notRun, cut)
	return nil
}

// startSlowCalls starts calls through an entry and returns their tally once
// all have ended.
func (s *show) startSlowCalls(ctx context.Context, entry string) <-chan *tally {
	routes := s.traffic.routes()
	at := slices.IndexFunc(routes, func(r state.Route) bool { return r.Idempotent && r.Timeout > 2*slowServiceTime })
	slow := newTally()
	finished := make(chan *tally, 1)
	var threads sync.WaitGroup
	for range slowCalls {
		call := s.traffic.request(routes[at])
		call.entry = entry
		call.serviceTime = slowServiceTime
		threads.Go(func() { slow.add(call.do(ctx, s.traffic.client)) })
	}
	go func() {
		threads.Wait()
		finished <- slow
	}()
	return finished
}

// announce publishes the host list with another phase for one host.
func (s *show) announce(host state.Host, phase state.HostPhase) {
	hosts := slices.Clone(s.fleet.hosts)
	for i := range hosts {
		if hosts[i].Name == host.Name {
			hosts[i].Phase = phase
		}
	}
	s.fleet.platform.SetHosts(hosts)
}

// restart starts a node that knows nothing and waits until it has caught up.
func (s *show) restart(ctx context.Context, host state.Host) error {
	if err := s.fleet.startNode(ctx, host); err != nil {
		return err
	}
	latest := state.TicketNumber(s.fleet.platform.TicketCount())
	if _, err := s.fleet.waitJudged(ctx, latest); err != nil {
		return err
	}
	return s.fleet.waitReady(ctx)
}

// killAndRestart ends a node without notice during calls and starts it again.
func (s *show) killAndRestart(ctx context.Context) error {
	host := s.fleet.hosts[1]
	node, _ := s.fleet.nodes.Get(host.Name)
	during := func(action func() error) (*tally, error) { return s.traffic.during(ctx, action) }
	return s.phase("kill and restart", during, func() error {
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
		s.fleet.nodes.Delete(host.Name)
		node.Shutdown()
		if err := sleep(ctx, downTime); err != nil {
			return err
		}
		if err := s.restart(ctx, host); err != nil {
			return err
		}
		return sleep(ctx, settleTime)
	})
}
