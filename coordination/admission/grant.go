package admission

import (
	"container/heap"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// grant gives free slots to waiting passes.
func (g *Gate) grant(now time.Time) {
	for g.alone == nil && g.running < g.usable(now) {
		if g.aloneIsNext(now) {
			g.grantAlone(now)
			return
		}
		pass, entitled := g.next(now)
		if pass == nil {
			return
		}
		g.start(now, pass, entitled)
	}
}

// start gives a slot to a pass that is in no queue.
func (g *Gate) start(now time.Time, pass *Reservation, entitled bool) {
	g.running++
	if entitled {
		g.entitled[pass.class]++
	} else {
		g.spare[pass.class]++
	}
	if pass.alone {
		g.alone = pass
	}
	pass.grant(now, entitled)
}

// next takes the next pass out of its queue: of the most urgent class that has
// had less than its floor, or else of the most urgent class.
func (g *Gate) next(now time.Time) (pass *Reservation, entitled bool) {
	for _, class := range state.Classes() {
		if g.floors.entitled(class) && g.mayTakeSlot(now, class) {
			pass = g.dequeue(now, class)
		}
		if pass != nil {
			return pass, true
		}
	}
	for _, class := range state.Classes() {
		if g.mayTakeSlot(now, class) {
			pass = g.dequeue(now, class)
		}
		if pass != nil {
			return pass, false
		}
	}
	return nil, false
}

// mayTakeSlot reports whether class has a waiting pass that may have a slot.
func (g *Gate) mayTakeSlot(now time.Time, class state.PriorityClass) bool {
	return g.waitingOf(class) > 0 && g.hasSlotFor(now, class)
}

// hasSlotFor reports whether a slot is free for a call of class. Long calls
// leave some slots to more urgent classes.
func (g *Gate) hasSlotFor(now time.Time, class state.PriorityClass) bool {
	usable := g.usable(now)
	if !g.times[class].long(g.config.LongCallThreshold) {
		return g.running < usable
	}
	kept := g.floors.keptFree(class, usable)
	return g.running < min(usable, max(1, usable-kept))
}

// dequeue takes the next pass of class out of its queue, or returns nil: one
// that can be answered in time, or else a late one. When the class is
// overloaded, it refuses those that have become late.
func (g *Gate) dequeue(now time.Time, class state.PriorityClass) *Reservation {
	queue := g.queues[class]
	overloaded := g.overloaded(now, class)
	for queue.size > 0 {
		pass := queue.pop()
		heap.Remove(&g.waiting, pass.position)
		if !overloaded || !pass.tooLate(now) {
			return pass
		}
		pass.refuse(g.notRunTooLate(now, pass))
	}
	if g.lateQueues[class].size == 0 {
		return nil
	}
	pass := g.lateQueues[class].pop()
	heap.Remove(&g.waiting, pass.position)
	return pass
}

// aloneIsNext reports whether the next slot is for a pass that runs alone.
// While it is, no other pass is granted, so that the running calls come to an
// end.
func (g *Gate) aloneIsNext(now time.Time) bool {
	if g.solitary.Len() == 0 {
		return false
	}
	othersWait := len(g.waiting) > g.solitary.Len()
	return !othersWait || now.Sub(g.aloneLast) >= g.config.ExclusiveInterval
}

func (g *Gate) grantAlone(now time.Time) {
	if g.running > 0 {
		return
	}
	pass := g.solitary.Front().Value.(*Reservation)
	g.unqueue(pass)
	g.start(now, pass, false)
}

func (g *Gate) release(now time.Time, pass *Reservation, result Result) {
	pass.phase = passEnded
	g.running--
	if pass.entitled {
		g.entitled[pass.class]--
	} else {
		g.spare[pass.class]--
	}
	if g.alone == pass {
		g.alone = nil
		g.aloneLast = now
	}
	g.learn(now, pass, result)
	g.settle(now)
}

// learn adapts the limit to how a call ended.
func (g *Gate) learn(now time.Time, pass *Reservation, result Result) {
	times := &g.times[pass.class]
	switch result {
	case ResultShed:
		g.limit.shed(now, g.config.ShedDecreaseFactor, max(times.mean(), g.config.MinDecreaseInterval))
	case ResultSuccess:
		times.observe(now.Sub(pass.granted))
		if times.slow(g.config.SlowTolerance) {
			g.limit.decrease(now, g.config.SlowDecreaseFactor, max(times.mean(), g.config.MinDecreaseInterval))
			return
		}
		g.limit.answered()
	case ResultFailed:
		g.limit.answered()
	case ResultAborted:
	}
}
