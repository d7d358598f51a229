package bench

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/wasabiport/wasabiport/internal/standin"
)

// Settings and targets of the calls benchmark.
const (
	callHosts        = 2
	callCallers      = 32
	callSlots        = 256
	saturateDuration = 2 * time.Second
	rateDuration     = time.Second
	rateRounds       = 4
	chainDuration    = 300 * time.Millisecond
	// Limits of the latency that the nodes add to a call, in milliseconds.
	maxAddedMedian = 0.2
	maxAddedP99    = 0.83
)

// calls measures the latency that two nodes, the entry node and the node of the
// backend server, add to a call.
func calls(ctx context.Context, options Options) ([]Result, error) {
	c, err := startCallBench(ctx, options.Seed)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	capacity, results := c.capacity(ctx)
	for _, share := range []float64{0.1, 0.25, 0.5, 0.75} {
		results = append(results, c.addedLatency(ctx, share, capacity)...)
	}
	results = append(results, c.callChains(ctx)...)
	results = append(results, atMost("calls failed", float64(c.failures), 0, unitCount))
	return results, nil
}

// callBench is a fleet of two nodes with a backend server each.
type callBench struct {
	seed     uint64
	fleet    *fleet
	backends []*backend
	failures int64
}

func startCallBench(ctx context.Context, seed uint64) (*callBench, error) {
	f, err := startFleet(ctx, seed, callHosts, callHosts)
	if err != nil {
		return nil, err
	}
	c := &callBench{seed: seed, fleet: f}
	if err := c.startBackends(ctx); err != nil {
		c.stop()
		return nil, err
	}
	c.warmUp(ctx)
	return c, nil
}

// startBackends starts the backend servers and gives them more slots than the
// load can fill.
func (c *callBench) startBackends(ctx context.Context) error {
	for i := range callHosts {
		backend, err := startBackend(ctx, i, callHosts, standin.BackendServerConfig{})
		if err != nil {
			return err
		}
		c.backends = append(c.backends, backend)
	}
	if err := c.fleet.source.publish(largeSlotsTicket(callHosts, callHosts, callSlots)); err != nil {
		return err
	}
	return c.fleet.awaitTicket(ctx, 2)
}

func (c *callBench) stop() {
	for _, backend := range c.backends {
		backend.stop()
	}
	c.fleet.stop()
}

// throughNodes returns a load generator for calls that enter at the node of host
// 0 and run on host 1.
func (c *callBench) throughNodes(callers int) *loadGenerator {
	return &loadGenerator{client: newLoadClient(), callers: callers, url: callURL(0, 1), seed: c.seed}
}

// direct returns a load generator for calls sent directly to the backend server
// of host 1.
func (c *callBench) direct(callers int) *loadGenerator {
	return &loadGenerator{client: newLoadClient(), callers: callers, url: "http://" + backendAddress(1) + "/", seed: c.seed}
}

func (c *callBench) warmUp(ctx context.Context) {
	for _, l := range []*loadGenerator{c.throughNodes(callCallers), c.direct(callCallers)} {
		l.runClosedLoop(ctx, rateDuration)
		c.finish(l)
	}
}

func (c *callBench) finish(l *loadGenerator) {
	c.failures += l.failures.Load()
	l.client.CloseIdleConnections()
}

// capacity measures the call rate that the machine can sustain with callers and
// backend server on the same processors.
func (c *callBench) capacity(ctx context.Context) (float64, []Result) {
	l := c.throughNodes(callCallers)
	defer c.finish(l)
	before := processorTime()
	rate := l.runClosedLoop(ctx, saturateDuration)
	cores := (processorTime() - before).Seconds() / saturateDuration.Seconds()
	return rate, []Result{
		informational("capacity", rate, unitCallsPerSecond),
		informational("capacity a core, callers and backend server included", rate/cores, unitCallsPerSecond),
	}
}

// addedLatency measures, at a share of the capacity, the latency of calls through
// the nodes minus that of direct calls at the same rate. The two alternate.
func (c *callBench) addedLatency(ctx context.Context, share, capacity float64) []Result {
	throughNodes, direct := c.throughNodes(callCallers), c.direct(callCallers)
	defer c.finish(throughNodes)
	defer c.finish(direct)
	for range rateRounds {
		direct.runOpenLoop(ctx, capacity*share, rateDuration)
		throughNodes.runOpenLoop(ctx, capacity*share, rateDuration)
	}
	median := throughNodes.latencies.quantile(0.5) - direct.latencies.quantile(0.5)
	p99 := throughNodes.latencies.quantile(0.99) - direct.latencies.quantile(0.99)
	results := []Result{
		informational("direct p50", direct.latencies.quantile(0.5), unitMilliseconds),
		informational("direct p99", direct.latencies.quantile(0.99), unitMilliseconds),
		informational("added p50", median, unitMilliseconds),
		informational("added p99", p99, unitMilliseconds),
	}
	if share == 0.5 {
		results[2] = below("added p50", median, maxAddedMedian, unitMilliseconds)
		results[3] = below("added p99", p99, maxAddedP99, unitMilliseconds)
	}
	return withPrefix(fmt.Sprintf("at %g%% of capacity:", share*100), results)
}

// callChains measures calls that pass through several services, with a single
// caller.
func (c *callBench) callChains(ctx context.Context) []Result {
	var results []Result
	var first, last float64
	depths := []int{1, 2, 4, 8, 12}
	for _, depth := range depths {
		l := c.throughNodes(1)
		l.header = http.Header{headerDepth: {strconv.Itoa(depth)}}
		l.runClosedLoop(ctx, chainDuration)
		last = l.latencies.quantile(0.5)
		if depth == 1 {
			first = last
		}
		results = append(results,
			informational(fmt.Sprintf("chain of %d: p50", depth), last, unitMilliseconds),
			informational(fmt.Sprintf("chain of %d: p99", depth), l.latencies.quantile(0.99), unitMilliseconds))
		c.finish(l)
	}
	hops := float64(depths[len(depths)-1] - 1)
	return append(results, informational("chain: p50 of one more service", (last-first)/hops, unitMilliseconds))
}
