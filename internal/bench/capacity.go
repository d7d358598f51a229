package bench

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/wasabiport/wasabiport/state"
)

// Settings of the bench of capacity.
const (
	// settleTime lets a fleet that has just started come to rest.
	settleTime = 3 * time.Second
	// observeTime is how long a point is measured.
	observeTime = 5 * time.Second
	// sweepNodes is the fleet size at which the other sweeps are taken.
	sweepNodes = 40
	callTime   = 3 * time.Second
)

// Limits of what a node may spend for control.
const (
	maxCorePercent = 2.8
	maxNodeMiB     = 128
	bytesPerMiB    = 1 << 20
)

// capacity measures how the cost of a node grows with the size of the fleet,
// the number of services, the rate of tickets and the rate of calls. The
// figures of a node are those of the process without the stand-ins' share
// taken out, divided by the nodes, and so an upper bound.
func capacity(ctx context.Context, options Options) ([]Result, error) {
	sweeps := []func(context.Context, Options) ([]Result, error){
		sweepFleetSize, sweepServices, sweepTicketRate, sweepCallRate,
	}
	var results []Result
	for _, sweep := range sweeps {
		swept, err := sweep(ctx, options)
		if err != nil {
			return nil, err
		}
		results = append(results, swept...)
	}
	return results, nil
}

// cost is what one node spends.
type cost struct {
	corePercent float64
	bytes       float64
	mebibytes   float64
}

// costOf measures a fleet while phase runs. before is the memory in use
// without the fleet.
func (f *fleet) costOf(ctx context.Context, before uint64, phase func() error) (cost, error) {
	used := processorTime()
	window := f.measure(ctx, phase)
	if window.err != nil {
		return cost{}, window.err
	}
	nodes := float64(len(f.members))
	cores := (processorTime() - used).Seconds() / window.length.Seconds()
	return cost{
		corePercent: 100 * cores / nodes,
		bytes:       window.bytesPerNode,
		mebibytes:   (float64(memoryInUse()) - float64(before)) / bytesPerMiB / nodes,
	}, nil
}

// memoryInUse returns the bytes of heap and stacks after a collection.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// slope collects the points of one sweep.
type slope struct {
	name                   string
	x, core, bytes, memory []float64
}

func (s *slope) add(x float64, point cost) []Result {
	s.x = append(s.x, x)
	s.core = append(s.core, point.corePercent)
	s.bytes = append(s.bytes, point.bytes)
	s.memory = append(s.memory, point.mebibytes)
	return prefixed(fmt.Sprintf("%s=%g", s.name, x), []Result{
		below("core_percent_per_node", point.corePercent, maxCorePercent, unitPercent),
		plain("control_bytes_per_node", point.bytes, unitBytesPerSecond),
		below("memory_per_node", point.mebibytes, maxNodeMiB, unitMebibytes),
	})
}

// fits returns the straight lines through the points.
func (s *slope) fits() []Result {
	results := fit(s.name, "core_percent_per_node", s.x, s.core)
	results = append(results, fit(s.name, "control_bytes_per_node", s.x, s.bytes)...)
	return append(results, fit(s.name, "memory_per_node", s.x, s.memory)...)
}

// fit returns the line through points and the share of the variance that it
// explains.
func fit(sweep, figure string, x, y []float64) []Result {
	intercept, gradient := stat.LinearRegression(x, y, nil, false)
	return prefixed(fmt.Sprintf("fit %s against %s:", figure, sweep), []Result{
		plain("intercept", intercept, unitAsMeasured),
		plain("gradient", gradient, unitAsMeasured),
		plain("r_squared", stat.RSquared(x, y, nil, intercept, gradient), unitShare),
	})
}

func sweepFleetSize(ctx context.Context, options Options) ([]Result, error) {
	line := &slope{name: "nodes"}
	var results []Result
	for _, nodes := range options.nodes(20, 40, 80, 120, 160) {
		point, err := calmCost(ctx, options.Seed, nodes, serviceCount(nodes))
		if err != nil {
			return nil, err
		}
		results = append(results, line.add(float64(nodes), point)...)
	}
	return append(results, line.fits()...), nil
}

func sweepServices(ctx context.Context, options Options) ([]Result, error) {
	line := &slope{name: "services"}
	var results []Result
	for _, services := range []int{5, 20, 60, 110} {
		point, err := calmCost(ctx, options.Seed, sweepNodes, services)
		if err != nil {
			return nil, err
		}
		results = append(results, line.add(float64(services), point)...)
	}
	return append(results, line.fits()...), nil
}

// calmCost measures a fleet in which nothing happens.
func calmCost(ctx context.Context, seed uint64, nodes, services int) (cost, error) {
	before := memoryInUse()
	f, err := startFleet(ctx, seed, nodes, services)
	if err != nil {
		return cost{}, err
	}
	defer f.stop()
	if err := sleep(ctx, settleTime); err != nil {
		return cost{}, err
	}
	return f.costOf(ctx, before, func() error { return sleep(ctx, observeTime) })
}

func sweepTicketRate(ctx context.Context, options Options) ([]Result, error) {
	before := memoryInUse()
	f, err := startFleet(ctx, options.Seed, sweepNodes, serviceCount(sweepNodes))
	if err != nil {
		return nil, err
	}
	defer f.stop()
	line := &slope{name: "tickets_per_second"}
	var results []Result
	for _, rate := range []int{0, 1, 2, 4, 8} {
		if err := sleep(ctx, settleTime); err != nil {
			return nil, err
		}
		point, err := f.costOf(ctx, before, func() error { return f.fileAtRate(ctx, rate) })
		if err != nil {
			return nil, err
		}
		results = append(results, line.add(float64(rate), point)...)
	}
	return append(results, line.fits()...), nil
}

// fileAtRate files tickets evenly over the time of a point.
func (f *fleet) fileAtRate(ctx context.Context, perSecond int) error {
	if perSecond == 0 {
		return sleep(ctx, observeTime)
	}
	count := perSecond * int(observeTime/time.Second)
	for range count {
		number := state.TicketNumber(f.source.platform.TicketCount() + 1)
		if err := f.source.file(changeTicket(number, len(f.members), f.services)); err != nil {
			return err
		}
		if err := sleep(ctx, observeTime/time.Duration(count)); err != nil {
			return err
		}
	}
	return nil
}

// sweepCallRate measures the processor time of a call, callers and backend
// server included.
func sweepCallRate(ctx context.Context, options Options) ([]Result, error) {
	c, err := startCallBench(ctx, options.Seed)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	through, direct := c.through(callCallers), c.direct(callCallers)
	defer c.end(through)
	defer c.end(direct)
	results := append(coresAtRates(ctx, "calls_per_second through two nodes", through),
		coresAtRates(ctx, "calls_per_second direct", direct)...)
	return append(results, atMost("calls failed", float64(through.failures.Load()+direct.failures.Load()), 0, unitCount)), nil
}

func coresAtRates(ctx context.Context, name string, l *load) []Result {
	var results []Result
	var rates, cores []float64
	for _, rate := range []float64{500, 1000, 2000, 4000} {
		used := processorTime()
		l.offer(ctx, rate, callTime)
		busy := (processorTime() - used).Seconds() / callTime.Seconds()
		rates, cores = append(rates, rate), append(cores, busy)
		results = append(results, plain(fmt.Sprintf("%s=%g cores", name, rate), busy, unitCores))
	}
	return append(results, fit(name, "cores", rates, cores)...)
}
