package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Settings of the phases of the converge benchmark.
const (
	calmTime       = 5 * time.Second
	ticketInterval = 250 * time.Millisecond
	ticketsPerRun  = 20
	// restartInterval is the time between two restarts during churn.
	restartInterval = 500 * time.Millisecond
	// churnDivisor means that one host in this many is restarted during churn.
	churnDivisor = 10
)

// Targets of the converge benchmark.
const (
	maxInForceP99Millis  = 1000
	maxInForceMillis     = 3000
	maxControlBytes      = 5000
	maxCalmReadsPerSec   = 50
	maxSourceReadsPerSec = 2000
)

// Rate of changes at the design size of 1,000 hosts.
const (
	secondsPerDay  = 24 * 60 * 60
	ticketsPerDay  = 1100
	restartsPerDay = 240
	designHosts    = 1000
)

// converge measures, at each fleet size, the product and the two baselines.
func converge(ctx context.Context, options Options) ([]Result, error) {
	var results []Result
	for _, nodes := range options.nodes(25, 50, 100, 200) {
		product, err := convergeNodes(ctx, options.Seed, nodes)
		if err != nil {
			return nil, err
		}
		results = append(results, withPrefix(fmt.Sprintf("nodes=%d", nodes), product)...)
		baselines, err := convergeBaselines(ctx, nodes)
		if err != nil {
			return nil, err
		}
		results = append(results, withPrefix(fmt.Sprintf("nodes=%d", nodes), baselines)...)
	}
	return results, nil
}

func convergeNodes(ctx context.Context, seed uint64, nodes int) ([]Result, error) {
	f, err := startFleet(ctx, seed, nodes, serviceCount(nodes))
	if err != nil {
		return nil, err
	}
	defer f.stop()
	_, startPeak := f.source.platform.Reads()
	calm := f.measure(ctx, func() error { return sleep(ctx, calmTime) })
	results := []Result{
		below("start source_reads_peak", float64(startPeak), maxSourceReadsPerSec, unitReadsPerSecond),
		below("calm control_bytes_per_node", calm.bytesPerNode, maxControlBytes, unitBytesPerSecond),
		below("calm source_reads", calm.reads, maxCalmReadsPerSec, unitReadsPerSecond),
	}
	steady, err := f.convergeTickets(ctx, 2, f.members)
	if err != nil {
		return nil, err
	}
	results = append(results, withPrefix("tickets", steady.results())...)
	results = append(results, designBytes(calm, steady))
	churned, err := f.convergeUnderChurn(ctx, 2+ticketsPerRun)
	if err != nil {
		return nil, err
	}
	return append(results, withPrefix("churn", churned.results())...), nil
}

// measurement holds the rates that were measured during one phase, per second.
type measurement struct {
	length       time.Duration
	bytesPerNode float64
	reads        float64
	err          error
}

func (f *fleet) measure(_ context.Context, phase func() error) measurement {
	start, bytes := time.Now(), f.bytes()
	reads, _ := f.source.platform.Reads()
	err := phase()
	length := time.Since(start)
	readsAfter, _ := f.source.platform.Reads()
	return measurement{
		length:       length,
		bytesPerNode: float64(f.bytes()-bytes) / length.Seconds() / float64(len(f.members)),
		reads:        float64(readsAfter-reads) / length.Seconds(),
		err:          err,
	}
}

// convergence is the result of publishing a series of tickets.
type convergence struct {
	measurement
	inForce  *latencies
	restarts *latencies
}

func (c convergence) results() []Result {
	results := []Result{
		informational("in_force_p50", c.inForce.quantile(0.50), unitMilliseconds),
		below("in_force_p99", c.inForce.quantile(0.99), maxInForceP99Millis, unitMilliseconds),
		below("in_force_max", c.inForce.quantile(1), maxInForceMillis, unitMilliseconds),
		informational("samples", float64(c.inForce.count()), unitCount),
		informational("control_bytes_per_node", c.bytesPerNode, unitBytesPerSecond),
		informational("source_reads", c.reads, unitReadsPerSecond),
	}
	if c.restarts != nil {
		results = append(results,
			informational("restarts", float64(c.restarts.count()), unitCount),
			informational("restart_to_in_force_p50", c.restarts.quantile(0.50), unitMilliseconds),
			informational("restart_to_in_force_max", c.restarts.quantile(1), unitMilliseconds))
	}
	return results
}

// convergeTickets publishes tickets and waits until all of them are in force on
// the observed hosts.
func (f *fleet) convergeTickets(ctx context.Context, first state.TicketNumber, observed []*member) (convergence, error) {
	outcome := convergence{inForce: &latencies{}}
	outcome.measurement = f.measure(ctx, func() error {
		var threads sync.WaitGroup
		ctx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		for _, member := range observed {
			threads.Go(func() { f.observe(ctx, member, first, outcome.inForce) })
		}
		defer threads.Wait()
		return f.publishTickets(ctx, first)
	})
	return outcome, outcome.err
}

func (f *fleet) publishTickets(ctx context.Context, first state.TicketNumber) error {
	for i := range ticketsPerRun {
		ticket := changeTicket(first+state.TicketNumber(i), len(f.members), f.services)
		if err := f.source.publish(ticket); err != nil {
			return err
		}
		if err := sleep(ctx, ticketInterval); err != nil {
			return err
		}
	}
	return nil
}

// observe records the time from the publication of each ticket until it is in
// force on one host.
func (f *fleet) observe(ctx context.Context, m *member, first state.TicketNumber, inForce *latencies) {
	for i := range ticketsPerRun {
		number := first + state.TicketNumber(i)
		if m.node.AwaitTicket(ctx, number) != nil {
			return
		}
		inForce.add(time.Since(f.source.publishedAt(number)))
	}
}

// convergeUnderChurn publishes tickets while nodes are killed and restarted. The
// hosts of these nodes are not observed.
func (f *fleet) convergeUnderChurn(ctx context.Context, first state.TicketNumber) (convergence, error) {
	churned := f.members[len(f.members)-max(1, len(f.members)/churnDivisor):]
	observed := f.members[:len(f.members)-len(churned)]
	restarts := &latencies{}
	churnCtx, cancel := context.WithCancel(ctx)
	var failure error
	var threads sync.WaitGroup
	threads.Go(func() { failure = f.restartHosts(churnCtx, churned, restarts) })
	outcome, err := f.convergeTickets(ctx, first, observed)
	cancel()
	threads.Wait()
	outcome.restarts = restarts
	if err == nil {
		err = failure
	}
	return outcome, err
}

func (f *fleet) restartHosts(ctx context.Context, hosts []*member, restarts *latencies) error {
	random := rand.New(rand.NewPCG(f.seed, uint64(len(f.members))))
	for sleep(ctx, restartInterval) == nil {
		member := hosts[random.IntN(len(hosts))]
		latest := state.TicketNumber(f.source.platform.TicketCount())
		member.node.Shutdown()
		start := time.Now()
		if err := f.startNode(context.WithoutCancel(ctx), member); err != nil {
			return err
		}
		if member.node.AwaitTicket(ctx, latest) == nil {
			restarts.add(time.Since(start))
		}
	}
	return nil
}

// designBytes extrapolates the control bytes to the change rate of the design
// size: the idle rate plus the cost of one ticket times the ticket rate.
func designBytes(calm measurement, tickets convergence) Result {
	perTicket := (tickets.bytesPerNode - calm.bytesPerNode) * tickets.length.Seconds() / ticketsPerRun
	rate := calm.bytesPerNode + perTicket*ticketsPerDay/secondsPerDay
	return below("design control_bytes_per_node", rate, maxControlBytes, unitBytesPerSecond)
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
