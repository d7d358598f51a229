package admission

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wasabiport/wasabiport/state"
)

const (
	// starvationShare is the part of its fair share of the slots of a class below which
	// the calls of a caller are refused last, whatever their work. A larger part serves
	// callers more evenly and refuses more calls in total.
	starvationShare = 0.25
	// callerUseWindow is the time constant of the moving average of the slots that a
	// caller uses.
	callerUseWindow = 5 * time.Second
	// maxRecentCallers bounds the callers whose use is known. A caller that was
	// forgotten counts as one without use.
	maxRecentCallers = 1024
	// equalWork is the ratio from which on two calls count as having the same work:
	// the means of routes vary, and the caller matters more than such a difference.
	equalWork = 0.8
)

// callerOfClass identifies the calls of a caller in one class.
type callerOfClass struct {
	class  state.PriorityClass
	caller state.CallerName
}

// recentCallers holds the work of the calls of each caller that got a slot.
type recentCallers struct {
	started *simplelru.LRU[callerOfClass, decayingWork]
}

func newRecentCallers() recentCallers {
	// The error is returned only for a size that is not positive.
	started, _ := simplelru.NewLRU[callerOfClass, decayingWork](maxRecentCallers, nil)
	return recentCallers{started: started}
}

func (r recentCallers) recordStart(now time.Time, reservation *Reservation) {
	key := callerOfClass{reservation.class, reservation.caller}
	work, _ := r.started.Peek(key)
	work.add(now, callerUseWindow, reservation.work)
	r.started.Add(key, work)
}

// starves reports whether the caller of a waiting or new reservation uses much less
// than its fair share of the slots that its class uses.
func (g *Gate) starves(now time.Time, reservation *Reservation) bool {
	work, _ := g.callers.started.Peek(callerOfClass{reservation.class, reservation.caller})
	callers := max(1, len(g.queues[reservation.class].callers))
	fairShare := g.floors.used[reservation.class] / float64(callers)
	return work.slots(now, callerUseWindow) < starvationShare*fairShare
}

// refuseExcess refuses reservations of an overloaded class until all others are
// expected to be in time. It goes through the queue in order; when a reservation is
// too late, the one with the most work among those up to it is refused. This is the rule of
// Moore and Hodgson, which leaves the fewest late calls on one server.
func (g *Gate) refuseExcess(now time.Time, class state.PriorityClass) {
	for {
		late := g.firstTooLate(now, class)
		if late < 0 {
			return
		}
		victim := g.costliest(now, g.queues[class], late)
		g.unqueue(victim)
		g.refuse(now, victim, g.notRunExcess(now, victim))
	}
}

// crowdedOut reports whether a new reservation of an overloaded class would be too late
// because of later ones: those of routes with less slack go first, and if they also
// have no more work, they are not refused in its favor. Without this, calls with much
// work were refused after a wait. Callers that starve are not crowded out.
func (g *Gate) crowdedOut(now time.Time, reservation *Reservation) bool {
	if reservation.late || reservation.exclusive || reservation.awaitsLink || !g.overloaded(now, reservation.class) {
		return false
	}
	slack := reservation.latestStart.Sub(now)
	g.routes.getOrAdd(reservation.key()).recordSlack(slack)
	queue := g.queues[reservation.class]
	if g.starves(now, reservation) {
		return false
	}
	_, work := g.aheadOfClass(reservation.class)
	for _, earlier := range queue.ordered[:queue.position(reservation)] {
		if earlier.work <= reservation.work {
			work += earlier.work
		}
	}
	return work > 0 && work.Seconds() >= g.slotsBeside(now, reservation, slack)*slack.Seconds()
}

// slotsBeside returns the number of slots that more urgent classes, and routes of the
// class with less slack and no more work than a reservation, leave.
func (g *Gate) slotsBeside(now time.Time, reservation *Reservation, slack time.Duration) float64 {
	slots := float64(g.usable(now))
	for urgent := range reservation.class {
		slots -= g.floors.used[urgent]
	}
	for _, key := range g.routes.routes.Keys() {
		work, _ := g.routes.routes.Peek(key)
		if key.class != reservation.class || work.slack >= slack.Seconds() || work.service.mean() >= reservation.work {
			continue
		}
		slots -= work.started.slots(now, startedWindow)
	}
	return max(0, slots)
}

// firstTooLate returns the index of the first reservation of a class that is not
// expected to start in time, or -1.
func (g *Gate) firstTooLate(now time.Time, class state.PriorityClass) int {
	ahead, work := g.aheadOfClass(class)
	for index, reservation := range g.queues[class].ordered {
		if !now.Add(g.startDelay(now, ahead, work)).Before(reservation.latestStart) {
			return index
		}
		ahead++
		work += reservation.work
	}
	return -1
}

// costliest returns the reservation to refuse among those up to an index.
func (g *Gate) costliest(now time.Time, queue *classQueue, late int) *Reservation {
	victim := queue.ordered[late]
	for index := late - 1; index >= 0; index-- {
		if g.costsMore(now, queue, queue.ordered[index], victim) {
			victim = queue.ordered[index]
		}
	}
	return victim
}

// costsMore reports whether a should be refused rather than b, which is later in the
// queue: if only b's caller starves, if a has more work or, with about the same work,
// if a's caller has more waiting calls. Otherwise b is less likely to be in time.
func (g *Gate) costsMore(now time.Time, queue *classQueue, a, b *Reservation) bool {
	starvesA, starvesB := g.starves(now, a), g.starves(now, b)
	switch {
	case starvesA != starvesB:
		return starvesB
	case float64(b.work) < equalWork*float64(a.work):
		return true
	case float64(a.work) < equalWork*float64(b.work):
		return false
	default:
		return queue.waitingOf(a.caller) > queue.waitingOf(b.caller)+1
	}
}

// aheadOfClass returns the number of reservations of more urgent classes, which are
// granted before those of a class, and their expected service time.
func (g *Gate) aheadOfClass(class state.PriorityClass) (count int, work time.Duration) {
	for urgent := range class {
		count += g.waitingOf(urgent)
		work += g.queues[urgent].work + g.lateQueues[urgent].work
	}
	return count, work
}

// startDelay estimates when a reservation starts that has the given number of others
// ahead of it, with the given work.
func (g *Gate) startDelay(now time.Time, ahead int, work time.Duration) time.Duration {
	return max(work/time.Duration(max(1, g.usable(now))), g.paceWait(now, ahead+1))
}
