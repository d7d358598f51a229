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
	// workersPerRoute is the number of callers that use a route at once.
	workersPerRoute = 2
	// pause is the time between two calls of one worker.
	pause = 10 * time.Millisecond
	// floodWorkers is the number of callers that flood at once.
	floodWorkers = 150
	// callerCount is the number of caller names.
	callerCount = 50
	// callTimeout bounds one call at the caller.
	callTimeout = 15 * time.Second
	// idleConnections is the number of connections kept to one entry.
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
	return t.fleet.running()[0].Snapshot().Resources().Routes
}

// during sends calls on every route while action runs, and returns what the
// callers saw. Calls that run when action ends are finished first.
func (t *traffic) during(ctx context.Context, action func() error) (*tally, error) {
	return t.mixed(ctx, t.routes(), workersPerRoute, action)
}

// flooded is like during, with a flood of background work on top. The flood is
// tallied apart.
func (t *traffic) flooded(ctx context.Context, action func() error) (usual, flood *tally, err error) {
	var background []state.Route
	for _, route := range t.routes() {
		if route.Class == state.ClassBackground {
			background = append(background, route)
		}
	}
	usual, err = t.during(ctx, func() error {
		var floodErr error
		flood, floodErr = t.mixed(ctx, background, floodWorkers, action)
		return floodErr
	})
	return usual, flood, err
}

func (t *traffic) mixed(ctx context.Context, routes []state.Route, workers int, action func() error) (*tally, error) {
	tally := newTally()
	done := make(chan struct{})
	var threads sync.WaitGroup
	for _, route := range routes {
		for range workers {
			threads.Go(func() { t.work(ctx, route, done, tally) })
		}
	}
	err := action()
	close(done)
	threads.Wait()
	return tally, err
}

func (t *traffic) work(ctx context.Context, route state.Route, done <-chan struct{}, tally *tally) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
			tally.add(t.request(route).do(ctx, t.client))
		}
	}
}

// request returns the next call on a route.
func (t *traffic) request(route state.Route) request {
	serial := t.serial.Add(1)
	entries := t.fleet.ready()
	call := request{
		route:  route,
		entry:  entries[serial%uint64(len(entries))].CallerAddress(),
		caller: fmt.Sprintf("caller-%d", serial%callerCount),
		serial: serial,
	}
	if !route.Idempotent {
		call.key = newKey()
	}
	if isLarge(route) {
		call.answerBytes = largeAnswerBytes
	}
	return call
}

// newKey returns an idempotency key that carries its time. Guards that have
// just started can tell that it is new.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }
