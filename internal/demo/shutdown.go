package demo

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

const (
	// slowCalls is the number of calls that are in flight while a node shuts
	// down.
	slowCalls = 8
	// slowServiceTime is the service time of each of them.
	slowServiceTime = 700 * time.Millisecond
)

// drain sets a backend server to draining under load and then reverts it.
func (s *scenario) drain(ctx context.Context) error {
	servers := s.fleet.runningNodes()[0].Snapshot().Resources().BackendServers
	server := servers[len(servers)-1]
	backend := s.fleet.backends[server.Name]
	runs := 0
	send := func(action func() error) (*callStats, error) { return s.traffic.sendDuring(ctx, action) }
	err := s.phase("drain", send, func() error {
		if err := s.setDraining(ctx, server, true); err != nil {
			return err
		}
		if err := sleep(ctx, drainTarget); err != nil {
			return err
		}
		before := backend.RunsTotal()
		if err := sleep(ctx, drainObserveTime); err != nil {
			return err
		}
		runs = backend.RunsTotal() - before
		return s.setDraining(ctx, server, false)
	})
	s.guarantees.check(runs == 0, "a leaving backend server gets no new work after a few seconds",
		"%s drained; %d calls ran there later than %s", server.Name, runs, drainTarget)
	return err
}

func (s *scenario) setDraining(ctx context.Context, server state.BackendServer, draining bool) error {
	server.Draining = draining
	number := state.TicketNumber(s.fleet.platform.TicketCount() + 1)
	set := state.Resources{BackendServers: []state.BackendServer{server}}
	return s.publishAndWait(ctx, state.Ticket{Number: number, Set: set})
}

// stopGracefully shuts down a node that has calls in flight and restarts it.
func (s *scenario) stopGracefully(ctx context.Context) error {
	host := s.fleet.hosts[0]
	node, _ := s.fleet.nodes.Get(host.Name)
	var slow *callStats
	var stopErr error
	send := func(action func() error) (*callStats, error) { return s.traffic.sendDuring(ctx, action) }
	err := s.phase("planned stop", send, func() error {
		finished := s.startSlowCalls(ctx, node.CallerAddress())
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
		s.publishPhase(host, state.HostLeaving)
		// Callers switch to other entry nodes before the node stops, which
		// operators are expected to arrange for a planned stop.
		s.fleet.nodes.Delete(host.Name)
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
		stopErr = node.Leave(ctx)
		slow = <-finished
		s.publishPhase(host, state.HostLive)
		return s.restart(ctx, host)
	})
	if err != nil {
		return err
	}
	interrupted := slow.total().interrupted + s.phases[len(s.phases)-1].stats.total().interrupted
	slowTotal := slow.total()
	// A refusal as not run doesn't count as an interrupted call if it is
	// accurate.
	inaccurate := s.countRun(slow.notRunIDs())
	complete := slowTotal.done > 0 && inaccurate == 0 && slowTotal.done+slowTotal.notRun == slowCalls
	s.guarantees.check(stopErr == nil && interrupted == 0 && complete,
		"every planned stop is graceful and cuts no request",
		"%s stopped with %d calls in it; %d finished, %d not run, %d cut",
		host.Name, slowCalls, slowTotal.done, slowTotal.notRun, interrupted)
	return nil
}

// startSlowCalls starts calls at an entry node. The returned channel receives
// their statistics once all of them have ended.
func (s *scenario) startSlowCalls(ctx context.Context, entry string) <-chan *callStats {
	routes := s.traffic.routes()
	index := slices.IndexFunc(routes, func(r state.Route) bool { return r.Idempotent && r.Timeout > 2*slowServiceTime })
	slow := newCallStats()
	finished := make(chan *callStats, 1)
	var threads sync.WaitGroup
	for range slowCalls {
		call := s.traffic.request(routes[index])
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

// publishPhase publishes the host list with a changed phase of one host.
func (s *scenario) publishPhase(host state.Host, phase state.HostPhase) {
	hosts := slices.Clone(s.fleet.hosts)
	for i := range hosts {
		if hosts[i].Name == host.Name {
			hosts[i].Phase = phase
		}
	}
	s.fleet.platform.SetHosts(hosts)
}

// restart starts a node without state and waits until it has evaluated the
// latest ticket and serves callers.
func (s *scenario) restart(ctx context.Context, host state.Host) error {
	if err := s.fleet.startNode(ctx, host); err != nil {
		return err
	}
	latest := state.TicketNumber(s.fleet.platform.TicketCount())
	if _, err := s.fleet.waitEvaluated(ctx, latest); err != nil {
		return err
	}
	return s.fleet.waitReady(ctx)
}

// killAndRestart kills a node under load and restarts it.
func (s *scenario) killAndRestart(ctx context.Context) error {
	host := s.fleet.hosts[1]
	node, _ := s.fleet.nodes.Get(host.Name)
	send := func(action func() error) (*callStats, error) { return s.traffic.sendDuring(ctx, action) }
	return s.phase("kill and restart", send, func() error {
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
		s.fleet.nodes.Delete(host.Name)
		node.Shutdown()
		if err := sleep(ctx, restartDelay); err != nil {
			return err
		}
		if err := s.restart(ctx, host); err != nil {
			return err
		}
		return sleep(ctx, settleTime)
	})
}
