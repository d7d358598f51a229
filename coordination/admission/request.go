package admission

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

func (g *Gate) request(now time.Time, pass *Reservation) *Reservation {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	g.expire(now)
	if refusal := g.refuseRequest(now, pass); refusal != nil {
		pass.refuse(refusal)
		return pass
	}
	if g.canRunNow(now, pass) {
		g.start(now, pass, false)
		return pass
	}
	pass.wait()
	g.queue(now, pass)
	g.settle(now)
	return pass
}

func (g *Gate) refuseRequest(now time.Time, pass *Reservation) *state.Refusal {
	switch {
	case !pass.class.Valid():
		return state.NotRun(state.RefusedBadRequest, "the priority class is not defined")
	case g.draining():
		return notRunDraining()
	case pass.expired(now):
		return state.NotRun(state.RefusedDeadline, "the deadline has passed")
	case g.canRunNow(now, pass):
		return nil
	}
	if !g.limitWait(now, pass) {
		return g.notRunTooLate(now, pass)
	}
	return g.makeRoom(now, pass)
}

// limitWait decides how long a new pass may wait. It returns false when that is
// shorter than it would have to.
func (g *Gate) limitWait(now time.Time, pass *Reservation) bool {
	times := &g.times[pass.class]
	lastStart := pass.deadline.Add(-times.nearlyAll())
	inTimeStart := pass.wanted.Add(-times.most())
	if !now.Before(inTimeStart) {
		// Some would be late even if they started now.
		inTimeStart = pass.wanted.Add(-times.mean())
	}
	if pass.alone || inTimeStart.After(lastStart) {
		inTimeStart = lastStart
	}
	pass.startBy = inTimeStart
	if now.Add(g.estimateWait(now, pass)).Before(pass.startBy) {
		return true
	}
	if pass.alone || g.overloaded(now, pass.class) {
		return false
	}
	pass.late = true
	pass.startBy = lastStart
	return now.Add(g.estimateWait(now, pass)).Before(pass.startBy)
}

// canRunNow reports whether a new pass gets a slot without waiting.
func (g *Gate) canRunNow(now time.Time, pass *Reservation) bool {
	if len(g.waiting) > 0 || g.alone != nil {
		return false
	}
	if pass.alone {
		return g.running == 0 && g.usable(now) > 0
	}
	return g.hasSlotFor(now, pass.class)
}

// estimateWait estimates how long the pass would wait if no more urgent call
// came from now on.
func (g *Gate) estimateWait(now time.Time, pass *Reservation) time.Duration {
	ahead := g.queueOf(pass).ahead(pass.caller)
	if pass.late {
		ahead += g.queues[pass.class].size
	}
	work := g.times[pass.class].mean() * time.Duration(ahead)
	for class := range pass.class {
		work += g.times[class].mean() * time.Duration(g.waitingOf(class))
	}
	return work / time.Duration(max(1, g.usable(now)))
}

// makeRoom returns a refusal when the queue of the pass's class is full. A
// caller with fewer waiting calls than another of the same class takes the
// place of that one's newest call.
func (g *Gate) makeRoom(now time.Time, pass *Reservation) *state.Refusal {
	queueLimit := g.service.QueueLimits[pass.class]
	if pass.alone {
		if g.solitary.Len() < max(1, queueLimit) {
			return nil
		}
		return g.notRunQueueFull(now, pass)
	}
	queue := g.queueOf(pass)
	if queue.size < queueLimit {
		return nil
	}
	if queue.size == 0 {
		return g.notRunQueueFull(now, pass)
	}
	newest := queue.last()
	if queue.waitingOf(pass.caller)+1 >= queue.waitingOf(newest.caller) {
		return g.notRunQueueFull(now, pass)
	}
	g.unqueue(newest)
	newest.refuse(g.notRunQueueFull(now, newest))
	return nil
}

func notRunDraining() *state.Refusal {
	return state.NotRun(state.RefusedDraining, "the backend server takes no new calls")
}

func (g *Gate) notRunTooLate(now time.Time, pass *Reservation) *state.Refusal {
	return g.notRunOverloaded(now, pass, state.RefusedDeadline, "the call can't be answered in time")
}

func (g *Gate) notRunQueueFull(now time.Time, pass *Reservation) *state.Refusal {
	return g.notRunOverloaded(now, pass, state.RefusedQueueFull, "the queue of the priority class is full")
}

// notRunOverloaded refuses a pass for want of slots.
func (g *Gate) notRunOverloaded(now time.Time, pass *Reservation, reason state.RefusalReason, detail string) *state.Refusal {
	refusal := state.NotRun(reason, detail)
	refusal.RetryAfter = g.overloads[pass.class].refused(now)
	return refusal
}
