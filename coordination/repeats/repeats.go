// Package repeats attributes the calls that backend servers make to the runs that
// are in progress on their host.
//
// A retry runs the whole call again, with all calls that it makes to other
// services. To these services the calls are repeats too, although each is the first
// attempt of a call of its own. Nothing in a call names the run that makes it, but
// a call expires no later than that run. So a call counts as a repeat with the
// probability that a run in progress with the same or a later deadline is one.
package repeats

import (
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/state"
)

const (
	// shardCount is small, as a host has few backend servers and each call of a
	// caller reads all shards.
	shardCount = 4
	// deadlineTolerance is by how much a call may seem to outlive the run that makes
	// it, as remaining times are rounded and take time to arrive.
	deadlineTolerance = 20 * time.Millisecond
	// maxRunHistory is the number of runs of a backend server after which older
	// ones lose half of their weight.
	maxRunHistory = 1000
	// maxOverdraft is the number of calls by which the repeats that are admitted
	// may exceed the budget of a service on one node.
	maxOverdraft = 1
)

// Run is a run of a call at a backend server.
type Run struct {
	BackendServer state.BackendServerName
	// Deadline is the deadline that the backend server was given.
	Deadline time.Time
	// RepeatShare is the probability that the run is a repeat.
	RepeatShare float64
}

// Tracker knows the runs that are in progress on a host, and charges the calls of
// repeated runs to the retry budget. It is safe for concurrent use; runs are
// sharded by backend server.
type Tracker struct {
	budget  *retry.Budget
	servers *state.ShardedMap[state.BackendServerName, *serverRuns]
	charged *state.ShardedMap[state.ServiceName, float64]
}

// serverRuns describes the runs of one backend server. It is accessed under the
// lock of its shard.
type serverRuns struct {
	inProgress map[*Run]struct{}
	// ended is the number of runs that have ended, and calls the expected number of
	// calls of all runs to each service. Old runs weigh less.
	ended float64
	calls map[state.ServiceName]float64
}

// NewTracker returns a tracker without runs that charges calls to budget.
func NewTracker(budget *retry.Budget) *Tracker {
	return &Tracker{
		budget:  budget,
		servers: state.NewShardedMap[state.BackendServerName, *serverRuns](shardCount),
		charged: state.NewShardedMap[state.ServiceName, float64](shardCount),
	}
}

// Begin records the begin of a run. The returned function must be called when the
// run has ended; further calls of it have no effect.
func (t *Tracker) Begin(run Run) (end func()) {
	t.update(run.BackendServer, func(runs *serverRuns) { runs.inProgress[&run] = struct{}{} })
	return sync.OnceFunc(func() {
		t.update(run.BackendServer, func(runs *serverRuns) {
			delete(runs.inProgress, &run)
			runs.countEnd()
		})
	})
}

// RecordCall records that a caller on this host sends a call to a service, and
// returns the probability that the call belongs to a repeat. The budget of the
// service is charged by that share of a call, and credited by the rest. deadline is
// the one that the caller has stated. A call without one, the zero time, is not
// attributed to a run.
func (t *Tracker) RecordCall(now time.Time, service state.ServiceName, deadline time.Time) float64 {
	share := 0.0
	if !deadline.IsZero() {
		share = t.attribute(service, deadline.Add(-deadlineTolerance))
	}
	t.budget.RecordCall(now, service, share)
	if share > 0 {
		t.charged.Update(service, func(charged float64, _ bool) (float64, bool) { return charged + share, true })
	}
	return share
}

// Admit returns nil if a repeat may run at a backend server, or a refusal if the
// calls that it is expected to make exceed the budget of a service.
func (t *Tracker) Admit(now time.Time, server state.BackendServerName) *state.Refusal {
	for service, calls := range t.expectedCalls(server) {
		if t.budget.Balance(now, service) < calls-maxOverdraft {
			return state.NotRun(state.RefusedRetryBudget,
				"the retry budget of "+string(service)+" does not cover the calls of a repeat")
		}
	}
	return nil
}

// Charged returns the number of calls of repeats that were charged so far, by
// service.
func (t *Tracker) Charged() map[state.ServiceName]float64 {
	charged := make(map[state.ServiceName]float64)
	t.charged.Range(func(service state.ServiceName, calls float64) bool {
		charged[service] = calls
		return true
	})
	return charged
}

// attribute adds a call to the runs in progress that end at minDeadline or later, in
// equal parts, and returns the expected share of repeats among these runs.
func (t *Tracker) attribute(service state.ServiceName, minDeadline time.Time) float64 {
	byServer := make(map[state.BackendServerName]int)
	total, repeats := 0, 0.0
	t.servers.Range(func(server state.BackendServerName, runs *serverRuns) bool {
		for run := range runs.inProgress {
			if !run.Deadline.Before(minDeadline) {
				byServer[server]++
				total++
				repeats += run.RepeatShare
			}
		}
		return true
	})
	for server, count := range byServer {
		t.update(server, func(runs *serverRuns) { runs.calls[service] += float64(count) / float64(total) })
	}
	return repeats / float64(max(1, total))
}

// expectedCalls returns the number of calls to each service that are expected of
// another repeat at a backend server and of all that are running there.
func (t *Tracker) expectedCalls(server state.BackendServerName) map[state.ServiceName]float64 {
	expected := make(map[state.ServiceName]float64)
	t.update(server, func(runs *serverRuns) {
		repeats := 1.0
		for run := range runs.inProgress {
			repeats += run.RepeatShare
		}
		for service, calls := range runs.calls {
			expected[service] = repeats * calls / max(1, runs.ended)
		}
	})
	return expected
}

func (t *Tracker) update(server state.BackendServerName, change func(*serverRuns)) {
	t.servers.Update(server, func(runs *serverRuns, present bool) (*serverRuns, bool) {
		if !present {
			runs = &serverRuns{inProgress: make(map[*Run]struct{}), calls: make(map[state.ServiceName]float64)}
		}
		change(runs)
		return runs, true
	})
}

// countEnd counts a run, and halves the weight of the history when it is full.
func (r *serverRuns) countEnd() {
	r.ended++
	if r.ended < maxRunHistory {
		return
	}
	r.ended /= 2
	for service := range r.calls {
		r.calls[service] /= 2
	}
}
