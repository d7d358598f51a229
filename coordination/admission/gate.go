package admission

import (
	"container/heap"
	"container/list"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// Gate admits calls to one backend server. It is one shard of the state of the
// guard and has its own lock.
type Gate struct {
	mu           sync.Mutex
	config       Config
	server       state.BackendServer
	service      state.Service
	limit        limit
	floors       floors
	serviceTimes [state.ClassCount]serviceTime
	// serviceTimeOfAll is that of the calls of all classes.
	serviceTimeOfAll serviceTime

	overloads [state.ClassCount]overload
	refused   RefusalCounts

	// routes holds what calls need, by route.
	routes routeWorks
	// callers holds when a call of each caller started last.
	callers recentCallers
	// stage holds the calls that wait for the link of the host.
	stage linkStage

	// queues hold the reservations that can be answered by their soft deadline,
	// and lateQueues those that cannot.
	queues, lateQueues [state.ClassCount]*classQueue
	// waiting holds the reservations of all queues, ordered by latest start.
	waiting waitingHeap
	// exclusiveQueue holds the waiting exclusive reservations in order of
	// arrival.
	exclusiveQueue *list.List
	// runningExclusive is the exclusive reservation that is running, if any.
	runningExclusive *Reservation
	exclusiveEndedAt time.Time

	reported reported
	// rate spaces the calls as reported by the backend server or, until it has
	// reported anything, by entry nodes.
	rate rateLimit
	// cold limits the calls while the backend server is cold or not known to be warm.
	cold           coldLimit
	startedTotal   uint64
	running        int
	guaranteed     [state.ClassCount]int
	spare          [state.ClassCount]int
	drainRequested bool
	// zoneDrained is set while the availability zone of the backend server is drained,
	// as of version zoneVersion of the drained zones.
	zoneDrained bool
	zoneVersion uint64
	drained     chan struct{}
}

// Result is the outcome of a call that held a slot.
type Result uint8

// The results of a call.
const (
	// ResultSuccess means that the backend server answered.
	ResultSuccess Result = iota
	// ResultShed means that the backend server declined the call because it was
	// overloaded, for example with status 503 or 429.
	ResultShed
	// ResultFailed means that the backend server answered with an error of its
	// own. Errors may arrive much sooner than regular responses, so they do not
	// count as service time.
	ResultFailed
	// ResultAborted means that the call ended early, for example because the
	// caller disconnected or the connection was lost. It carries no information
	// about the load.
	ResultAborted
)

// NewGate returns a gate with the default settings and all slots free.
func NewGate(server state.BackendServer, service state.Service) *Gate {
	return NewGateWithConfig(DefaultConfig(), server, service)
}

// NewGateWithConfig returns a gate with all slots free.
func NewGateWithConfig(config Config, server state.BackendServer, service state.Service) *Gate {
	gate := &Gate{config: config, exclusiveQueue: list.New(), drained: make(chan struct{}), routes: newRouteWorks(), callers: newRecentCallers()}
	gate.stage.link = config.Link
	for class := range gate.queues {
		gate.queues[class] = newClassQueue()
		gate.lateQueues[class] = newClassQueue()
	}
	gate.cold.configure(time.Time{}, service)
	gate.configure(server, service)
	return gate
}

// Configure applies changed settings. Running calls are not affected.
func (g *Gate) Configure(now time.Time, server state.BackendServer, service state.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateCredits(now)
	g.cold.observe(now, g.server, server, service)
	g.configure(server, service)
	g.reschedule(now)
}

// BeginSlowStart begins a slow start because the backend server has just
// started.
func (g *Gate) BeginSlowStart(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateCredits(now)
	g.limit.slowStartedAt = now
}

// Request asks for a slot. The reservation is decided immediately or later; the
// caller waits for Decided and must then call Release, or Cancel when it gives
// up before that. A call that may be passed on does not wait: without a free slot it
// is refused, and nothing else changes.
func (g *Gate) Request(now time.Time, head call.Head) *Reservation {
	return g.request(now, newReservation(head, false))
}

// RequestExclusive is like Request for a call that must not run at the same
// time as any other.
func (g *Gate) RequestExclusive(now time.Time, head call.Head) *Reservation {
	return g.request(now, newReservation(head, true))
}

// Cancel removes a reservation that is no longer needed from its queue, or
// returns its slot. It returns true when the reservation had been granted.
func (g *Gate) Cancel(now time.Time, reservation *Reservation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateCredits(now)
	switch reservation.phase {
	case reservationRunning:
		g.release(now, reservation, ResultAborted)
		return true
	case reservationWaiting:
		g.unqueue(reservation)
		g.refuse(now, reservation, state.NotRun(state.RefusedCanceled, "the caller gave up"))
	default:
	}
	g.reschedule(now)
	return false
}

// Release returns the slot of a granted reservation whose call was answered.
func (g *Gate) Release(now time.Time, reservation *Reservation) {
	g.ReleaseWithResult(now, reservation, ResultSuccess)
}

// ReleaseWithResult returns the slot of a granted reservation and adapts the
// limit to the result of the call. Releasing the same reservation again has no
// effect.
func (g *Gate) ReleaseWithResult(now time.Time, reservation *Reservation, result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateCredits(now)
	if reservation.phase == reservationRunning {
		g.release(now, reservation, result)
	}
}

// Tick refuses the reservations that have passed their latest start and grants
// slots that a slow start, the rate limit or the link has made usable. Every other
// method does this as well, so Tick is needed only while there is no other activity.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateCredits(now)
	g.reschedule(now)
}

// NextGrant returns the time at which the rate limit or the link allows the next
// waiting call to start, or false if no call waits for them. The caller calls Tick at
// that time.
func (g *Gate) NextGrant(now time.Time) (at time.Time, waiting bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wait := g.paceWait(now, 1)
	if wait == 0 {
		wait = g.waitForLink(now)
	}
	if wait == 0 || len(g.waiting) == 0 {
		return time.Time{}, false
	}
	return now.Add(wait), true
}

// Load returns the load hint that is sent with replies.
func (g *Gate) Load() call.LoadHint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.LoadHint{
		BackendServer: g.server.Name,
		Running:       g.running,
		Waiting:       len(g.waiting) - g.stage.waiting,
		Slots:         g.sustainable(g.floors.updatedAt),
		Draining:      g.drainingForGood(),
		Incarnation:   g.server.Incarnation,
		RateLimit:     g.rate.limit,
		Reported:      g.reported.heard,
		Leaving:       g.reported.leaving,
		Link:          g.linkLoad(g.floors.updatedAt),
	}
}

// Drain refuses all waiting and new calls from now on. Running calls finish.
func (g *Gate) Drain(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateCredits(now)
	g.drainRequested = true
	g.reschedule(now)
}

// SetZoneDrained sets whether the availability zone of the backend server is drained, as
// of a version of the drained zones. Versions that are older than an earlier one have no
// effect. While it is, all waiting and new calls are refused, and running calls finish.
// In contrast to Drain, this can end.
func (g *Gate) SetZoneDrained(now time.Time, version uint64, drained bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version < g.zoneVersion {
		return
	}
	g.zoneVersion = version
	if g.zoneDrained == drained {
		return
	}
	g.updateCredits(now)
	g.zoneDrained = drained
	g.reschedule(now)
}

// ZoneDrained reports whether the availability zone of the backend server is drained, and
// as of which version of the drained zones.
func (g *Gate) ZoneDrained() (drained bool, version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.zoneDrained, g.zoneVersion
}

// Drained returns a channel that is closed once the gate is draining and no
// call runs.
func (g *Gate) Drained() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drained
}

// usable returns the number of slots that may be used at now.
func (g *Gate) usable(now time.Time) int { return g.limit.slotsAt(now, g.config.SlowStartInitialShare) }

// sustainable returns the number of slots that can be kept in use: the usable ones, or
// fewer under a rate limit.
func (g *Gate) sustainable(now time.Time) int {
	slots := g.rate.slots(g.usable(now), g.serviceTimeOfAll.mean())
	return g.cold.slots(now, slots, g.serviceTimeOfAll.mean())
}

func (g *Gate) draining() bool { return g.zoneDrained || g.drainingForGood() }

// drainingForGood reports whether the incarnation of the backend server, or this node,
// takes no more calls. Entry nodes exclude such a backend server for a while.
func (g *Gate) drainingForGood() bool {
	return g.drainRequested || g.server.Draining || g.reported.leaving
}

func (g *Gate) configure(server state.BackendServer, service state.Service) {
	if server.Incarnation != g.server.Incarnation {
		g.reported = reported{}
		g.rate = rateLimit{}
	}
	g.server = server
	g.service = service
	g.floors.share = service.Floors
	slots := server.Slots
	if server.Connections > 0 {
		slots = min(slots, server.Connections)
	}
	g.limit.configure(slots, service.SlowStart)
}

// updateCredits advances the credits of the classes to now. It must run before
// any other change.
func (g *Gate) updateCredits(now time.Time) {
	used := usage{
		limit:      g.sustainable(now),
		guaranteed: g.guaranteed,
		spare:      g.spare,
	}
	for _, class := range state.Classes() {
		used.waiting[class] = g.waitingOf(class) > 0
	}
	g.floors.update(now, used)
	g.updateLinkCredits(now)
}

// reschedule restores the invariants of the gate after a change: it expires,
// refuses and grants reservations as far as possible.
func (g *Gate) reschedule(now time.Time) {
	g.expire(now)
	if g.draining() {
		g.refuseWaiting(now)
	}
	g.admitToLink(now)
	g.grant(now)
	g.signalDrained()
}

// expire removes the reservations that have passed their latest start. Unless
// the class is overloaded, those that can still be answered by their deadline
// move to the late queue.
func (g *Gate) expire(now time.Time) {
	for len(g.waiting) > 0 && g.waiting[0].pastLatestStart(now) {
		reservation := g.waiting[0]
		service := g.timesOf(reservation).upperBound()
		requeueLate := !reservation.exclusive && !g.overloadedFor(now, reservation) && reservation.canStillMeetDeadline(now, service)
		g.unqueue(reservation)
		if !requeueLate {
			g.refuse(now, reservation, g.notRunTooLate(now, reservation))
			continue
		}
		reservation.late = true
		reservation.latestStart = reservation.deadline.Add(-service)
		g.enqueue(now, reservation)
	}
}

// overloaded reports whether the calls of a class have been arriving faster
// than slots become free.
func (g *Gate) overloaded(now time.Time, class state.PriorityClass) bool {
	return g.queues[class].hasStandingQueue(now, g.config.StandingQueueInterval) ||
		g.lateQueues[class].hasStandingQueue(now, g.config.StandingQueueInterval)
}

func (g *Gate) refuseWaiting(now time.Time) {
	for len(g.waiting) > 0 {
		reservation := g.waiting[0]
		g.unqueue(reservation)
		g.refuse(now, reservation, g.notRunDraining())
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

// enqueue adds a reservation to its queue.
func (g *Gate) enqueue(now time.Time, reservation *Reservation) {
	switch {
	case reservation.exclusive:
		reservation.element = g.exclusiveQueue.PushBack(reservation)
	case reservation.awaitsLink:
		g.stage.push(now, reservation)
	default:
		g.queueOf(reservation).push(now, reservation)
	}
	heap.Push(&g.waiting, reservation)
}

func (g *Gate) unqueue(reservation *Reservation) {
	switch {
	case reservation.exclusive:
		g.exclusiveQueue.Remove(reservation.element)
	case reservation.awaitsLink:
		g.stage.remove(reservation)
	default:
		g.queueOf(reservation).remove(reservation)
	}
	heap.Remove(&g.waiting, reservation.heapIndex)
}

// refuse refuses a reservation that is in no queue.
func (g *Gate) refuse(now time.Time, reservation *Reservation, refusal *state.Refusal) {
	g.leaveLink(now, reservation)
	reservation.refuse(refusal)
}

// waitingOf returns the number of reservations of a class that wait for a slot in
// both of its queues.
func (g *Gate) waitingOf(class state.PriorityClass) int {
	return g.queues[class].size + g.lateQueues[class].size
}

// queueOf returns the queue of a reservation that is not exclusive.
func (g *Gate) queueOf(reservation *Reservation) *classQueue {
	if reservation.late {
		return g.lateQueues[reservation.class]
	}
	return g.queues[reservation.class]
}
