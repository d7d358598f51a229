package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/wasabiport/wasabiport/state"
)

const (
	// workersPerRoute is the number of concurrent callers per route.
	workersPerRoute = 2
	// callInterval is the time between two calls of one worker.
	callInterval = 10 * time.Millisecond
	// floodWorkers is the number of concurrent callers per flooded route.
	floodWorkers = 150
	// callerCount is the number of distinct caller names.
	callerCount = 50
	// callTimeout limits the duration of one call at the caller.
	callTimeout = 15 * time.Second
	// idleConnections is the number of idle connections kept per entry node.
	idleConnections = 256
)

// traffic sends calls to a fleet.
type traffic struct {
	fleet  *fleet
	client *http.Client
	serial atomic.Uint64
}

func newTraffic(fleet *fleet) *traffic {
	return &traffic{
		fleet: fleet,
		client: &http.Client{
			Timeout:   callTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections},
		},
	}
}

// routes returns the routes in force.
func (t *traffic) routes() []state.Route {
	return t.fleet.runningNodes()[0].Snapshot().Resources().Routes
}

// sendDuring sends calls on every route while action runs and returns their
// statistics. It waits for calls that are in flight when action ends.
func (t *traffic) sendDuring(ctx context.Context, action func() error) (*callStats, error) {
	return t.sendOnRoutes(ctx, t.routes(), workersPerRoute, action)
}

// floodDuring is like sendDuring with an additional flood of background calls,
// whose statistics are returned separately.
func (t *traffic) floodDuring(ctx context.Context, action func() error) (regular, flood *callStats, err error) {
	var background []state.Route
	for _, route := range t.routes() {
		if route.Class == state.ClassBackground {
			background = append(background, route)
		}
	}
	regular, err = t.sendDuring(ctx, func() error {
		var floodErr error
		flood, floodErr = t.sendOnRoutes(ctx, background, floodWorkers, action)
		return floodErr
	})
	return regular, flood, err
}

func (t *traffic) sendOnRoutes(ctx context.Context, routes []state.Route, workers int, action func() error) (*callStats, error) {
	stats := newCallStats()
	done := make(chan struct{})
	var threads sync.WaitGroup
	for _, route := range routes {
		for range workers {
			threads.Go(func() { t.runWorker(ctx, route, done, stats) })
		}
	}
	err := action()
	close(done)
	threads.Wait()
	return stats, err
}

func (t *traffic) runWorker(ctx context.Context, route state.Route, done <-chan struct{}, stats *callStats) {
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
			stats.add(t.request(route).do(ctx, t.client))
		}
	}
}

// request returns the next call on a route.
func (t *traffic) request(route state.Route) request {
	serial := t.serial.Add(1)
	entries := t.fleet.readyNodes()
	call := request{
		route:  route,
		entry:  entries[serial%uint64(len(entries))].CallerAddress(),
		caller: fmt.Sprintf("caller-%d", serial%callerCount),
		serial: serial,
	}
	if !route.Idempotent {
		call.key = newKey()
	}
	if servesLargeAnswers(route) {
		call.answerBytes = largeAnswerBytes
	}
	return call
}

// newKey returns a UUIDv7, an idempotency key that contains the current time.
// From the time, a guard that has just started can determine that the key is
// new.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }
