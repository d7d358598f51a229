package bench

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/wasabiport/wasabiport/internal/standin"
)

// Settings and targets of the bench of calls.
const (
	callHosts        = 2
	callCallers      = 32
	callSlots        = 256
	saturateDuration = 2 * time.Second
	rateDuration     = time.Second
	rateRounds       = 4
	chainCalls       = 300 * time.Millisecond
	// Latency that may be added to a call, in milliseconds.
	maxAddedMedian = 0.2
	maxAddedP99    = 0.83
)

// calls measures what two nodes add to a call: the caller's and the backend
// server's.
func calls(ctx context.Context, options Options) ([]Result, error) {
	c, err := startCallBench(ctx, options.Seed)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	capacity, results := c.capacity(ctx)
	for _, share := range []float64{0.1, 0.25, 0.5, 0.75} {
		results = append(results, c.added(ctx, share, capacity)...)
	}
	results = append(results, c.chains(ctx)...)
	results = append(results, atMost("calls failed", float64(c.failures), 0, unitCount))
	return results, nil
}

// callBench is two nodes with a backend server each.
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

// startBackends starts the backend servers and gives them many slots.
func (c *callBench) startBackends(ctx context.Context) error {
	for i := range callHosts {
		backend, err := startBackend(ctx, i, callHosts, standin.BackendServerConfig{})
		if err != nil {
			return err
		}
		c.backends = append(c.backends, backend)
	}
	if err := c.fleet.source.file(wideTicket(callHosts, callHosts, callSlots)); err != nil {
		return err
	}
	return c.fleet.await(ctx, 2)
}

func (c *callBench) stop() {
	for _, backend := range c.backends {
		backend.stop()
	}
	c.fleet.stop()
}

// through returns a load of calls from the node of host 0 to that of host 1.
func (c *callBench) through(callers int) *load {
	return &load{client: newLoadClient(), callers: callers, url: callURL(0, 1), seed: c.seed}
}

// direct returns a load of calls straight to the backend server of host 1.
func (c *callBench) direct(callers int) *load {
	return &load{client: newLoadClient(), callers: callers, url: "http://" + backendAddress(1) + "/", seed: c.seed}
}

func (c *callBench) warmUp(ctx context.Context) {
	for _, l := range []*load{c.through(callCallers), c.direct(callCallers)} {
		l.saturate(ctx, rateDuration)
		c.end(l)
	}
}

func (c *callBench) end(l *load) {
	c.failures += l.failures.Load()
	l.client.CloseIdleConnections()
}

// capacity measures the calls a second that the machine can do, with callers
// and backend server on the same processors.
func (c *callBench) capacity(ctx context.Context) (float64, []Result) {
	l := c.through(callCallers)
	defer c.end(l)
	before := processorTime()
	rate := l.saturate(ctx, saturateDuration)
	cores := (processorTime() - before).Seconds() / saturateDuration.Seconds()
	return rate, []Result{
		plain("capacity", rate, unitCallsPerSecond),
		plain("capacity a core, callers and backend server included", rate/cores, unitCallsPerSecond),
	}
}

// added measures at a share of the capacity what the nodes add to a call,
// against direct calls at the same rate. The two take turns.
func (c *callBench) added(ctx context.Context, share, capacity float64) []Result {
	through, direct := c.through(callCallers), c.direct(callCallers)
	defer c.end(through)
	defer c.end(direct)
	for range rateRounds {
		direct.offer(ctx, capacity*share, rateDuration)
		through.offer(ctx, capacity*share, rateDuration)
	}
	median := through.latencies.quantile(0.5) - direct.latencies.quantile(0.5)
	p99 := through.latencies.quantile(0.99) - direct.latencies.quantile(0.99)
	results := []Result{
		plain("direct p50", direct.latencies.quantile(0.5), unitMilliseconds),
		plain("direct p99", direct.latencies.quantile(0.99), unitMilliseconds),
		plain("added p50", median, unitMilliseconds),
		plain("added p99", p99, unitMilliseconds),
	}
	if share == 0.5 {
		results[2] = below("added p50", median, maxAddedMedian, unitMilliseconds)
		results[3] = below("added p99", p99, maxAddedP99, unitMilliseconds)
	}
	return prefixed(fmt.Sprintf("at %g%% of capacity:", share*100), results)
}

// chains measures calls that go through several services, one caller at a
// time.
func (c *callBench) chains(ctx context.Context) []Result {
	var results []Result
	var first, last float64
	depths := []int{1, 2, 4, 8, 12}
	for _, depth := range depths {
		l := c.through(1)
		l.header = http.Header{headerDepth: {strconv.Itoa(depth)}}
		l.saturate(ctx, chainCalls)
		last = l.latencies.quantile(0.5)
		if depth == 1 {
			first = last
		}
		results = append(results,
			plain(fmt.Sprintf("chain of %d: p50", depth), last, unitMilliseconds),
			plain(fmt.Sprintf("chain of %d: p99", depth), l.latencies.quantile(0.99), unitMilliseconds))
		c.end(l)
	}
	hops := float64(depths[len(depths)-1] - 1)
	return append(results, plain("chain: p50 of one more service", (last-first)/hops, unitMilliseconds))
}
