package bench

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/coordination/validation"
	"github.com/wasabiport/wasabiport/protocol/frame"
	"github.com/wasabiport/wasabiport/protocol/peerwire"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/source"
)

const (
	baselineWatchWait = 25 * time.Second
	// pushFanout is the number of children of a node in the tree of the
	// full-state push baseline.
	pushFanout = 4
	// maxPushBytes limits the size of one message of that baseline.
	maxPushBytes = 16 << 20
)

// convergeBaselines measures two simpler designs with the same tickets: in one,
// every node watches the source; in the other, one reader pushes the full state
// along a tree.
func convergeBaselines(ctx context.Context, nodes int) ([]Result, error) {
	watch, err := runBaseline(ctx, nodes, startWatchers)
	if err != nil {
		return nil, err
	}
	push, err := runBaseline(ctx, nodes, startPushTree)
	if err != nil {
		return nil, err
	}
	return append(withPrefix("baseline_watch", watch), withPrefix("baseline_push", push)...), nil
}

// baselineRun is the state that the nodes of a baseline share.
type baselineRun struct {
	source  *sourceServer
	nodes   int
	bytes   byteCounters
	inForce latencies
	// arrived receives one value for each ticket in force on a node.
	arrived chan struct{}
	threads sync.WaitGroup
}

func (r *baselineRun) record(number state.TicketNumber) {
	r.inForce.add(time.Since(r.source.publishedAt(number)))
	r.arrived <- struct{}{}
}

func runBaseline(ctx context.Context, nodes int, start func(context.Context, *baselineRun) error) ([]Result, error) {
	source, err := newSourceServer(ctx)
	if err != nil {
		return nil, err
	}
	defer source.close()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	run := &baselineRun{source: source, nodes: nodes, arrived: make(chan struct{}, nodes*ticketsPerRun*2)}
	defer run.threads.Wait()
	defer cancel()
	services := serviceCount(nodes)
	if err := source.publish(firstTicket(nodes, services)); err != nil {
		return nil, err
	}
	if err := start(ctx, run); err != nil {
		return nil, err
	}
	if err := run.awaitAll(ctx, 1); err != nil {
		return nil, err
	}
	run.inForce = latencies{}
	return run.publishAndMeasure(ctx, services)
}

func (r *baselineRun) publishAndMeasure(ctx context.Context, services int) ([]Result, error) {
	reads, _ := r.source.platform.Reads()
	bytes, start := r.bytes.total(), time.Now()
	for i := range ticketsPerRun {
		if err := r.source.publish(changeTicket(state.TicketNumber(i+2), r.nodes, services)); err != nil {
			return nil, err
		}
		if err := sleep(ctx, ticketInterval); err != nil {
			return nil, err
		}
	}
	if err := r.awaitAll(ctx, ticketsPerRun); err != nil {
		return nil, err
	}
	length := time.Since(start).Seconds()
	readsAfter, peak := r.source.platform.Reads()
	return []Result{
		informational("in_force_p50", r.inForce.quantile(0.50), unitMilliseconds),
		informational("in_force_p99", r.inForce.quantile(0.99), unitMilliseconds),
		informational("in_force_max", r.inForce.quantile(1), unitMilliseconds),
		informational("control_bytes_per_node", float64(r.bytes.total()-bytes)/length/float64(r.nodes), unitBytesPerSecond),
		informational("source_reads", float64(readsAfter-reads)/length, unitReadsPerSecond),
		informational("source_reads_peak", float64(peak), unitReadsPerSecond),
	}, nil
}

func (r *baselineRun) awaitAll(ctx context.Context, tickets int) error {
	for range r.nodes * tickets {
		select {
		case <-r.arrived:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait until tickets are in force in the baseline")
		}
	}
	return nil
}

// startWatchers starts nodes that all watch the source.
func startWatchers(ctx context.Context, run *baselineRun) error {
	for range run.nodes {
		run.threads.Go(func() { run.watch(ctx, func(state.Ticket, *state.Snapshot) {}) })
	}
	return nil
}

// watch evaluates the tickets of the source as they arrive.
func (r *baselineRun) watch(ctx context.Context, accepted func(state.Ticket, *state.Snapshot)) {
	client := countingClient(&r.bytes.source)
	defer client.CloseIdleConnections()
	reader := source.NewClient(r.source.url, client, logr.Discard())
	snapshot := state.EmptySnapshot()
	for ctx.Err() == nil {
		tickets, err := reader.Tickets(ctx, snapshot.Evaluated(), baselineWatchWait)
		if err != nil && sleep(ctx, time.Second) != nil {
			return
		}
		for _, ticket := range tickets {
			snapshot, _ = validation.Evaluate(snapshot, ticket)
			accepted(ticket, snapshot)
			r.record(ticket.Number)
		}
	}
}

// startPushTree starts a tree of nodes. The root watches the source, and every
// node pushes the full state to its children.
func startPushTree(ctx context.Context, run *baselineRun) error {
	listeners := make([]net.Listener, run.nodes)
	for i := range listeners {
		var err error
		if listeners[i], err = (countingNetwork{bytes: &run.bytes.peers}).Listen(ctx, "127.0.0.1:0"); err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { _ = listeners[i].Close() })
	}
	for i, listener := range listeners {
		children, err := dialChildren(ctx, run, listeners, i)
		if err != nil {
			return err
		}
		if i > 0 {
			run.threads.Go(func() { run.relay(listener, children) })
			continue
		}
		run.threads.Go(func() {
			run.watch(ctx, func(ticket state.Ticket, after *state.Snapshot) {
				fullState := state.Ticket{Number: ticket.Number, Baseline: true, Set: after.Resources()}
				push(children, fullState)
			})
		})
	}
	return nil
}

func dialChildren(ctx context.Context, run *baselineRun, listeners []net.Listener, parent int) ([]net.Conn, error) {
	var children []net.Conn
	for child := parent*pushFanout + 1; child <= parent*pushFanout+pushFanout && child < run.nodes; child++ {
		conn, err := countingNetwork{bytes: &run.bytes.peers}.Dial(ctx, listeners[child].Addr().String())
		if err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		children = append(children, conn)
	}
	return children, nil
}

func push(children []net.Conn, ticket state.Ticket) {
	message, err := peerwire.Encode(control.Tickets{Tickets: []state.Ticket{ticket}})
	if err != nil {
		return
	}
	for _, child := range children {
		// The error is ignored: without the child, awaitAll times out.
		_ = frame.Write(child, message)
	}
}

func (r *baselineRun) relay(listener net.Listener, children []net.Conn) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := frame.NewReader(conn)
	snapshot := state.EmptySnapshot()
	for {
		var encoded wirepb.PeerMessage
		if frame.Read(reader, &encoded, maxPushBytes) != nil {
			return
		}
		message, err := peerwire.Decode(&encoded)
		if err != nil {
			return
		}
		for _, ticket := range message.(control.Tickets).Tickets {
			snapshot, _ = validation.Evaluate(snapshot, ticket)
			push(children, ticket)
			r.record(ticket.Number)
		}
	}
}
