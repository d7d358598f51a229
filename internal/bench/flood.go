package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/internal/standin"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
)

// Settings and targets of the flood benchmark.
const (
	floodServiceTime = 20 * time.Millisecond
	floodDuration    = 5 * time.Second
	floodFactor      = 5
	// floodBaseShare is the offered load of each class that does not flood, as
	// a share of the capacity.
	floodBaseShare   = 0.15
	floodCallers     = 250
	minUrgentPercent = 99
	minGoodPercent   = 95
)

// floodCapacity is the capacity of one backend server in calls per second.
const floodCapacity = slotsPerServer * float64(time.Second) / float64(floodServiceTime)

var (
	floodFloors  = [state.ClassCount]float64{0.1, 0.1, 0.1, 0.05}
	floodTargets = [state.ClassCount]time.Duration{
		100 * time.Millisecond, 250 * time.Millisecond, time.Second, 2 * time.Second,
	}
)

// flood measures the throughput and latency of each class while one of them
// offers five times the capacity, compared with a FIFO queue.
func flood(ctx context.Context, options Options) ([]Result, error) {
	f, err := startFleet(ctx, options.Seed, callHosts, callHosts)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	server, err := startBackend(ctx, 1, callHosts, standin.BackendServerConfig{ServiceTime: floodServiceTime})
	if err != nil {
		return nil, err
	}
	defer server.stop()
	if err := f.source.publish(floodTicket()); err != nil {
		return nil, err
	}
	if err := f.awaitTicket(ctx, 2); err != nil {
		return nil, err
	}
	var results []Result
	for _, class := range []state.PriorityClass{state.ClassBackground, state.ClassCritical} {
		run := &floodRun{seed: options.Seed, flooding: class, url: callURL(0, 1)}
		run.run(ctx)
		results = append(results, withPrefix(fmt.Sprintf("flood of %s:", class), run.results(true))...)

		fifoQueue, err := startFIFOQueue(ctx, server)
		if err != nil {
			return nil, err
		}
		run = &floodRun{seed: options.Seed, flooding: class, url: fifoQueue.URL + "/"}
		run.run(ctx)
		_ = fifoQueue.Close()
		results = append(results, withPrefix(fmt.Sprintf("flood of %s, plain queue:", class), run.results(false))...)
	}
	return append(results, atMost("calls run twice", float64(countRunTwice(server)), 0, unitCount)), nil
}

func countRunTwice(server *backend) int {
	runTwice := 0
	for _, runs := range server.RunsByKey() {
		if runs > 1 {
			runTwice++
		}
	}
	return runTwice
}

// floodTicket defines a route for each class to the service on host 1.
func floodTicket() state.Ticket {
	ticket := state.Ticket{Number: 2}
	ticket.Set.Services = []state.Service{{
		Name:        serviceName(1),
		Floors:      floodFloors,
		QueueLimits: [state.ClassCount]int{queueLength, queueLength, queueLength, queueLength},
	}}
	for _, class := range state.Classes() {
		ticket.Set.Routes = append(ticket.Set.Routes, state.Route{
			Name:          state.RouteName("flood-" + class.String()),
			Match:         state.Match{PathPrefix: "/001/" + class.String()},
			Service:       serviceName(1),
			Class:         class,
			LatencyTarget: floodTargets[class],
			Timeout:       routeTimeout,
		})
	}
	return ticket
}

// floodRun is one run in which one class floods.
type floodRun struct {
	seed     uint64
	flooding state.PriorityClass
	url      string
	loads    [state.ClassCount]*loadGenerator
}

func (r *floodRun) run(ctx context.Context) {
	var threads sync.WaitGroup
	for _, class := range state.Classes() {
		rate := floodCapacity * floodBaseShare
		if class == r.flooding {
			rate = floodCapacity * floodFactor
		}
		l := &loadGenerator{client: newLoadClient(), callers: floodCallers, url: r.url + class.String(), seed: r.seed + uint64(class)}
		r.loads[class] = l
		threads.Go(func() { l.runOpenLoop(ctx, rate, floodDuration) })
	}
	threads.Wait()
	for _, l := range r.loads {
		l.client.CloseIdleConnections()
	}
}

func (r *floodRun) results(withTargets bool) []Result {
	var results []Result
	withinTarget := 0.0
	for _, class := range state.Classes() {
		count := r.loads[class].latencies.count()
		withinTarget += float64(count) * r.loads[class].latencies.shareWithin(floodTargets[class])
		offered := count + int(r.loads[class].failures.Load())
		within := 100 * r.loads[class].latencies.shareWithin(floodTargets[class])
		answeredPercent := 100 * float64(count) / float64(max(1, offered))
		rate := float64(count) / floodDuration.Seconds()
		inTarget := informational(class.String()+" answers within target", within, unitPercent)
		served := informational(class.String()+" served", rate, unitCallsPerSecond)
		if withTargets && class == state.ClassCritical {
			inTarget = atLeast(inTarget.Name, within, minUrgentPercent, unitPercent)
		}
		if withTargets && class != r.flooding {
			wanted := floodCapacity * min(floodBaseShare, floodFloors[class])
			served = atLeast(served.Name, rate, wanted, unitCallsPerSecond)
		}
		results = append(results, inTarget, served, informational(class.String()+" answered of offered", answeredPercent, unitPercent))
	}
	goodput := 100 * withinTarget / floodDuration.Seconds() / floodCapacity
	if withTargets {
		return append(results, atLeast("answers within target, of capacity", goodput, minGoodPercent, unitPercent))
	}
	return append(results, informational("answers within target, of capacity", goodput, unitPercent))
}

// fifoQueue is the baseline without priority classes. It runs calls in order of
// arrival, at most as many concurrently as the backend server has slots.
type fifoQueue struct {
	*http.Server
	URL string
}

func startFIFOQueue(ctx context.Context, server *backend) (*fifoQueue, error) {
	slots := make(chan struct{}, slotsPerServer)
	handler := func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		defer func() { <-slots }()
		r.Header.Del(httpmap.HeaderCallID)
		server.ServeHTTP(w, r)
	}
	var listen net.ListenConfig
	listener, err := listen.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start the FIFO queue")
	}
	q := &fifoQueue{Server: &http.Server{Handler: http.HandlerFunc(handler)}, URL: "http://" + listener.Addr().String()}
	go func() { _ = q.Serve(listener) }()
	return q, nil
}
