package admission

import (
	"container/heap"
	"container/list"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// Gate admits calls to one backend server. It is one shard of the guard's
// state and has its own lock.
type Gate struct {
	mu      sync.Mutex
	config  Config
	server  state.BackendServer
	service state.Service
	limit   limit
	floors  floors
	times   [state.ClassCount]serviceTime

	overloads [state.ClassCount]overload

	// queues hold the passes that can be answered by the time they are wanted,
	// and lateQueues those that can't.
	queues, lateQueues [state.ClassCount]*classQueue
	// waiting holds the passes of all queues.
	waiting waitingHeap
	// solitary holds the passes that run alone, in order of arrival.
	solitary *list.List
	// alone is the pass that runs alone at present.
	alone     *Reservation
	aloneLast time.Time

	running  int
	entitled [state.ClassCount]int
	spare    [state.ClassCount]int
	leaving  bool
	drained  chan struct{}
}

// Result says how a call ended that had a slot.
type Result uint8

// The results.
const (
	// ResultSuccess means that the backend server answered.
	ResultSuccess Result = iota
	// ResultShed means that the backend server declined the call as it had
	// too much work, as with status 503 or 429.
	ResultShed
	// ResultFailed means that the backend server answered with a failure of its
	// own, which may have come much sooner than an answer.
	ResultFailed
	// ResultAborted means that the call ended early, as when its caller went
	// away or the connection was lost. It says nothing about the load.
	ResultAborted
)

// NewGate returns a gate with the default settings and all slots free.
func NewGate(server state.BackendServer, service state.Service) *Gate {
	return NewGateWithConfig(DefaultConfig(), server, service)
}

// NewGateWithConfig returns a gate with all slots free.
func NewGateWithConfig(config Config, server state.BackendServer, service state.Service) *Gate {
	gate := &Gate{config: config, solitary: list.New(), drained: make(chan struct{})}
	for class := range gate.queues {
		gate.queues[class] = newClassQueue()
		gate.lateQueues[class] = newClassQueue()
	}
	gate.configure(server, service)
	return gate
}

// Configure takes over changed settings. Calls that run are not affected.
func (g *Gate) Configure(now time.Time, server state.BackendServer, service state.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	g.configure(server, service)
	g.settle(now)
}

// BeginSlowStart begins a slow start: the backend server has just come up.
func (g *Gate) BeginSlowStart(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	g.limit.coldSince = now
}

// Request asks for a slot. The pass is decided at once or later; the caller
// waits on Decided and must then call Release or, when it gives up before,
// Abandon.
func (g *Gate) Request(now time.Time, head call.Head) *Reservation {
	return g.request(now, newPass(head, false))
}

// RequestExclusive is like Request for a call that runs while no other does.
func (g *Gate) RequestExclusive(now time.Time, head call.Head) *Reservation {
	return g.request(now, newPass(head, true))
}

// Cancel takes a pass that is not needed any more out of the queue, or gives
// its slot back. It returns true when the pass had been granted.
func (g *Gate) Cancel(now time.Time, pass *Reservation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	switch pass.phase {
	case passRunning:
		g.release(now, pass, ResultAborted)
		return true
	case passWaiting:
		g.unqueue(pass)
		pass.refuse(state.NotRun(state.RefusedCanceled, "the caller gave up"))
	default:
	}
	g.settle(now)
	return false
}

// Release gives back the slot of a granted pass whose call was answered.
func (g *Gate) Release(now time.Time, pass *Reservation) {
	g.ReleaseWithResult(now, pass, ResultSuccess)
}

// ReleaseWithResult gives back the slot of a granted pass and learns from how its
// call ended. A second release of the same pass does nothing.
func (g *Gate) ReleaseWithResult(now time.Time, pass *Reservation, result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	if pass.phase == passRunning {
		g.release(now, pass, result)
	}
}

// Tick refuses the passes for which it is too late to start and grants slots that a
// slow start has freed. Every other method does the same first, so that
// calling it is needed only while nothing else happens.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	g.settle(now)
}

// Load returns the hint that rides on replies.
func (g *Gate) Load() call.LoadHint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.LoadHint{
		BackendServer: g.server.Name,
		Running:       g.running,
		Waiting:       len(g.waiting),
		Slots:         g.usable(g.floors.updated),
		Draining:      g.draining(),
	}
}

// Drain refuses all waiting and new calls from now on. Calls that run finish.
func (g *Gate) Drain(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	g.leaving = true
	g.settle(now)
}

// Drained returns a channel that is closed once the gate drains and no call
// runs.
func (g *Gate) Drained() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drained
}

// usable returns the number of slots that may be used at now.
func (g *Gate) usable(now time.Time) int { return g.limit.at(now, g.config.SlowStartInitialShare) }

func (g *Gate) draining() bool { return g.leaving || g.server.Draining }

func (g *Gate) configure(server state.BackendServer, service state.Service) {
	g.server = server
	g.service = service
	g.floors.share = service.Floors
	slots := server.Slots
	if server.Connections > 0 {
		slots = min(slots, server.Connections)
	}
	g.limit.configure(slots, service.SlowStart)
}

// advance brings the credits of the classes to now, before anything changes.
func (g *Gate) advance(now time.Time) {
	used := usage{
		limit:    g.usable(now),
		entitled: g.entitled,
		spare:    g.spare,
	}
	for _, class := range state.Classes() {
		used.waiting[class] = g.waitingOf(class) > 0
	}
	g.floors.update(now, used)
}

// settle brings the gate to rest after a change.
func (g *Gate) settle(now time.Time) {
	g.expire(now)
	if g.draining() {
		g.refuseWaiting()
	}
	g.grant(now)
	g.signalDrained()
}

// expire takes out the passes that have waited for as long as they may. Unless
// the class is overloaded, those that can still be answered by their deadline
// wait on among the late ones.
func (g *Gate) expire(now time.Time) {
	for len(g.waiting) > 0 && g.waiting[0].tooLate(now) {
		pass := g.waiting[0]
		service := g.times[pass.class].nearlyAll()
		mayBeLate := !pass.alone && !g.overloaded(now, pass.class) && pass.wantsMoreTime(now, service)
		g.unqueue(pass)
		if !mayBeLate {
			pass.refuse(g.notRunTooLate(now, pass))
			continue
		}
		pass.late = true
		pass.startBy = pass.deadline.Add(-service)
		g.queue(now, pass)
	}
}

// overloaded reports whether a class gets more calls than slots.
func (g *Gate) overloaded(now time.Time, class state.PriorityClass) bool {
	return g.queues[class].standing(now, g.config.StandingQueueInterval) ||
		g.lateQueues[class].standing(now, g.config.StandingQueueInterval)
}

func (g *Gate) refuseWaiting() {
	for len(g.waiting) > 0 {
		pass := g.waiting[0]
		g.unqueue(pass)
		pass.refuse(notRunDraining())
	}
}

func (g *Gate) signalDrained() {
	closed := isClosed(g.drained)
	switch {
	case g.draining() && g.running == 0 && !closed:
		close(g.drained)
	case !g.draining() && closed:
		g.drained = make(chan struct{})
	default:
	}
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// queue has a pass wait in its queue.
func (g *Gate) queue(now time.Time, pass *Reservation) {
	if pass.alone {
		pass.place = g.solitary.PushBack(pass)
	} else {
		g.queueOf(pass).push(now, pass)
	}
	heap.Push(&g.waiting, pass)
}

func (g *Gate) unqueue(pass *Reservation) {
	if pass.alone {
		g.solitary.Remove(pass.place)
	} else {
		g.queueOf(pass).remove(pass)
	}
	heap.Remove(&g.waiting, pass.position)
}

// waitingOf returns the number of passes of a class in both of its queues.
func (g *Gate) waitingOf(class state.PriorityClass) int {
	return g.queues[class].size + g.lateQueues[class].size
}

// queueOf returns the queue of a pass that does not run alone.
func (g *Gate) queueOf(pass *Reservation) *classQueue {
	if pass.late {
		return g.lateQueues[pass.class]
	}
	return g.queues[pass.class]
}
