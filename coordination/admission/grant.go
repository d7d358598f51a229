package admission

import (
	"container/heap"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// grant assigns free slots to waiting reservations.
func (g *Gate) grant(now time.Time) {
	for g.runningExclusive == nil && g.running < g.usable(now) && g.paceWait(now, 1) == 0 {
		if g.exclusiveIsNext(now) {
			g.grantExclusive(now)
			return
		}
		reservation, guaranteed := g.dequeueNext(now)
		if reservation == nil {
			return
		}
		g.start(now, reservation, guaranteed)
	}
}

// start assigns a slot to a reservation that is in no queue.
func (g *Gate) start(now time.Time, reservation *Reservation, guaranteed bool) {
	g.running++
	g.takePace(now)
	g.takeLink(now, reservation)
	g.callers.recordStart(now, reservation)
	g.routes.getOrAdd(reservation.key()).started.add(now, startedWindow, reservation.work)
	g.startedTotal++
	g.reported.started++
	if guaranteed {
		g.guaranteed[reservation.class]++
	} else {
		g.spare[reservation.class]++
	}
	if reservation.exclusive {
		g.runningExclusive = reservation
	}
	reservation.grant(now, guaranteed)
}

// dequeueNext removes and returns the next reservation: from the most urgent
// class that has received less than its floor, or else from the most urgent
// class that may take a slot. Long calls leave no slots free while their class is
// below its floor: while urgent calls wait, slots become free one at a time.
func (g *Gate) dequeueNext(now time.Time) (reservation *Reservation, guaranteed bool) {
	for _, class := range state.Classes() {
		if g.floors.isBelowFloor(class) && g.waitingOf(class) > 0 {
			reservation = g.dequeue(now, class)
		}
		if reservation != nil {
			return reservation, true
		}
	}
	for _, class := range state.Classes() {
		if g.isEligible(now, class) {
			reservation = g.dequeue(now, class)
		}
		if reservation != nil {
			return reservation, false
		}
	}
	return nil, false
}

// isEligible reports whether class has a waiting reservation that may get a
// slot beyond its floor.
func (g *Gate) isEligible(now time.Time, class state.PriorityClass) bool {
	return g.waitingOf(class) > 0 && g.hasSlotFor(now, class)
}

// hasSlotFor reports whether a slot is free for a call of class. Long calls
// leave some slots to more urgent classes.
func (g *Gate) hasSlotFor(now time.Time, class state.PriorityClass) bool {
	usable := g.usable(now)
	if !g.serviceTimes[class].isLong(g.config.LongCallThreshold) {
		return g.running < usable
	}
	kept := g.floors.keptFree(class, usable)
	return g.running < min(usable, max(1, usable-kept))
}

// dequeue removes and returns the next reservation of class, or nil: one that
// can be answered in time, or else a late one. When the class is overloaded, it
// refuses the reservations that have become late.
func (g *Gate) dequeue(now time.Time, class state.PriorityClass) *Reservation {
	queue := g.queues[class]
	overloaded := g.overloaded(now, class)
	for queue.size > 0 {
		reservation := queue.pop()
		heap.Remove(&g.waiting, reservation.heapIndex)
		if !overloaded || !reservation.pastLatestStart(now) {
			return reservation
		}
		g.refuse(now, reservation, g.notRunTooLate(now, reservation))
	}
	if g.lateQueues[class].size == 0 {
		return nil
	}
	reservation := g.lateQueues[class].pop()
	heap.Remove(&g.waiting, reservation.heapIndex)
	return reservation
}

// exclusiveIsNext reports whether the next slot is for an exclusive
// reservation. While it is, no other reservation is granted, so that the
// running calls can finish.
func (g *Gate) exclusiveIsNext(now time.Time) bool {
	if g.exclusiveQueue.Len() == 0 {
		return false
	}
	othersWait := g.waitingForSlot() > g.exclusiveQueue.Len()
	return !othersWait || now.Sub(g.exclusiveEndedAt) >= g.config.ExclusiveInterval
}

func (g *Gate) grantExclusive(now time.Time) {
	if g.running > 0 {
		return
	}
	reservation := g.exclusiveQueue.Front().Value.(*Reservation)
	g.unqueue(reservation)
	g.start(now, reservation, false)
}

func (g *Gate) release(now time.Time, reservation *Reservation, result Result) {
	reservation.phase = reservationEnded
	g.running--
	if reservation.guaranteed {
		g.guaranteed[reservation.class]--
	} else {
		g.spare[reservation.class]--
	}
	if g.runningExclusive == reservation {
		g.runningExclusive = nil
		g.exclusiveEndedAt = now
	}
	if result == ResultSuccess {
		g.observeWork(now, reservation)
	}
	g.leaveLink(now, reservation)
	g.adaptLimit(now, reservation, result)
	g.reschedule(now)
}

// adaptLimit adjusts the limit to the result of a call.
func (g *Gate) adaptLimit(now time.Time, reservation *Reservation, result Result) {
	times := &g.serviceTimes[reservation.class]
	switch result {
	case ResultShed:
		g.limit.recordShed(now, g.config.ShedDecreaseFactor, max(times.mean(), g.config.MinDecreaseInterval))
	case ResultSuccess:
		times.observe(now.Sub(reservation.grantedAt))
		g.serviceTimeOfAll.observe(now.Sub(reservation.grantedAt))
		if times.isSlow(g.config.SlowTolerance) {
			g.limit.decrease(now, g.config.SlowDecreaseFactor, max(times.mean(), g.config.MinDecreaseInterval))
			return
		}
		g.limit.recordResponse()
	case ResultFailed:
		g.limit.recordResponse()
	case ResultAborted:
	}
}
