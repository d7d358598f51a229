package bench

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/wasabiport/wasabiport/state"
)

// Settings of the capacity benchmark.
const (
	// settleTime lets a fleet that has just started reach a steady state.
	settleTime = 3 * time.Second
	// observeTime is the duration of the measurement of one point.
	observeTime = 5 * time.Second
	// sweepNodes is the fleet size of the sweeps over other parameters.
	sweepNodes = 40
	callTime   = 3 * time.Second
)

// Limits of the control-plane cost of a node.
const (
	maxCorePercent = 2.8
	maxNodeMiB     = 128
	bytesPerMiB    = 1 << 20
)

// capacity measures how the cost of a node grows with the size of the fleet, the
// number of services, the rate of tickets and the rate of calls. The figures of a
// node are those of the whole process, including the stand-ins, divided by the
// number of nodes, and thus an upper bound.
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

// cost is the resource usage of one node.
type cost struct {
	corePercent float64
	bytes       float64
	mebibytes   float64
}

// measureCost measures the cost of a node while phase runs. before is the memory
// in use before the fleet was started.
func (f *fleet) measureCost(ctx context.Context, before uint64, phase func() error) (cost, error) {
	used := processorTime()
	measurement := f.measure(ctx, phase)
	if measurement.err != nil {
		return cost{}, measurement.err
	}
	nodes := float64(len(f.members))
	cores := (processorTime() - used).Seconds() / measurement.length.Seconds()
	return cost{
		corePercent: 100 * cores / nodes,
		bytes:       measurement.bytesPerNode,
		mebibytes:   (float64(memoryInUse()) - float64(before)) / bytesPerMiB / nodes,
	}, nil
}

// memoryInUse returns the size of heap and stacks after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// sweepPoints collects the points of one sweep.
type sweepPoints struct {
	name                   string
	x, core, bytes, memory []float64
}

func (s *sweepPoints) add(x float64, point cost) []Result {
	s.x = append(s.x, x)
	s.core = append(s.core, point.corePercent)
	s.bytes = append(s.bytes, point.bytes)
	s.memory = append(s.memory, point.mebibytes)
	return withPrefix(fmt.Sprintf("%s=%g", s.name, x), []Result{
		below("core_percent_per_node", point.corePercent, maxCorePercent, unitPercent),
		informational("control_bytes_per_node", point.bytes, unitBytesPerSecond),
		below("memory_per_node", point.mebibytes, maxNodeMiB, unitMebibytes),
	})
}

// regressions returns the linear regressions of all figures of the sweep.
func (s *sweepPoints) regressions() []Result {
	results := regression(s.name, "core_percent_per_node", s.x, s.core)
	results = append(results, regression(s.name, "control_bytes_per_node", s.x, s.bytes)...)
	return append(results, regression(s.name, "memory_per_node", s.x, s.memory)...)
}

// regression returns the linear regression of y on x and its coefficient of
// determination.
func regression(sweep, figure string, x, y []float64) []Result {
	intercept, gradient := stat.LinearRegression(x, y, nil, false)
	return withPrefix(fmt.Sprintf("fit %s against %s:", figure, sweep), []Result{
		informational("intercept", intercept, unitAsMeasured),
		informational("gradient", gradient, unitAsMeasured),
		informational("r_squared", stat.RSquared(x, y, nil, intercept, gradient), unitShare),
	})
}

func sweepFleetSize(ctx context.Context, options Options) ([]Result, error) {
	points := &sweepPoints{name: "nodes"}
	var results []Result
	for _, nodes := range options.nodes(20, 40, 80, 120, 160) {
		point, err := idleCost(ctx, options.Seed, nodes, serviceCount(nodes))
		if err != nil {
			return nil, err
		}
		results = append(results, points.add(float64(nodes), point)...)
	}
	return append(results, points.regressions()...), nil
}

func sweepServices(ctx context.Context, options Options) ([]Result, error) {
	points := &sweepPoints{name: "services"}
	var results []Result
	for _, services := range []int{5, 20, 60, 110} {
		point, err := idleCost(ctx, options.Seed, sweepNodes, services)
		if err != nil {
			return nil, err
		}
		results = append(results, points.add(float64(services), point)...)
	}
	return append(results, points.regressions()...), nil
}

// idleCost measures a fleet without tickets or calls.
func idleCost(ctx context.Context, seed uint64, nodes, services int) (cost, error) {
	before := memoryInUse()
	f, err := startFleet(ctx, seed, nodes, services)
	if err != nil {
		return cost{}, err
	}
	defer f.stop()
	if err := sleep(ctx, settleTime); err != nil {
		return cost{}, err
	}
	return f.measureCost(ctx, before, func() error { return sleep(ctx, observeTime) })
}

func sweepTicketRate(ctx context.Context, options Options) ([]Result, error) {
	before := memoryInUse()
	f, err := startFleet(ctx, options.Seed, sweepNodes, serviceCount(sweepNodes))
	if err != nil {
		return nil, err
	}
	defer f.stop()
	points := &sweepPoints{name: "tickets_per_second"}
	var results []Result
	for _, rate := range []int{0, 1, 2, 4, 8} {
		if err := sleep(ctx, settleTime); err != nil {
			return nil, err
		}
		point, err := f.measureCost(ctx, before, func() error { return f.publishAtRate(ctx, rate) })
		if err != nil {
			return nil, err
		}
		results = append(results, points.add(float64(rate), point)...)
	}
	return append(results, points.regressions()...), nil
}

// publishAtRate publishes tickets at a constant rate for the duration of one
// point.
func (f *fleet) publishAtRate(ctx context.Context, perSecond int) error {
	if perSecond == 0 {
		return sleep(ctx, observeTime)
	}
	count := perSecond * int(observeTime/time.Second)
	for range count {
		number := state.TicketNumber(f.source.platform.TicketCount() + 1)
		if err := f.source.publish(changeTicket(number, len(f.members), f.services)); err != nil {
			return err
		}
		if err := sleep(ctx, observeTime/time.Duration(count)); err != nil {
			return err
		}
	}
	return nil
}

// sweepCallRate measures the processor time of a call, including that of callers
// and backend server.
func sweepCallRate(ctx context.Context, options Options) ([]Result, error) {
	c, err := startCallBench(ctx, options.Seed)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	throughNodes, direct := c.throughNodes(callCallers), c.direct(callCallers)
	defer c.finish(throughNodes)
	defer c.finish(direct)
	results := append(coresAtRates(ctx, "calls_per_second through two nodes", throughNodes),
		coresAtRates(ctx, "calls_per_second direct", direct)...)
	return append(results, atMost("calls failed", float64(throughNodes.failures.Load()+direct.failures.Load()), 0, unitCount)), nil
}

func coresAtRates(ctx context.Context, name string, l *loadGenerator) []Result {
	var results []Result
	var rates, cores []float64
	for _, rate := range []float64{500, 1000, 2000, 4000} {
		used := processorTime()
		l.runOpenLoop(ctx, rate, callTime)
		busy := (processorTime() - used).Seconds() / callTime.Seconds()
		rates, cores = append(rates, rate), append(cores, busy)
		results = append(results, informational(fmt.Sprintf("%s=%g cores", name, rate), busy, unitCores))
	}
	return append(results, regression(name, "cores", rates, cores)...)
}
