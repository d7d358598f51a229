package admission

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

func (g *Gate) request(now time.Time, reservation *Reservation) *Reservation {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateCredits(now)
	g.expire(now)
	g.adoptRateLimit(now, reservation.knownLimit)
	g.expectAnswer(now, reservation)
	if reservation.class.Valid() {
		reservation.work = g.timesOf(reservation).mean()
	}
	if refusal := g.checkRequest(now, reservation); refusal != nil {
		reservation.refuse(refusal)
		return reservation
	}
	if g.canStartNow(now, reservation) {
		g.start(now, reservation, false)
		return reservation
	}
	reservation.setPending()
	g.enqueue(now, reservation)
	if g.overloaded(now, reservation.class) {
		g.refuseExcess(now, reservation.class)
	}
	g.reschedule(now)
	return reservation
}

func (g *Gate) checkRequest(now time.Time, reservation *Reservation) *state.Refusal {
	switch {
	case !reservation.class.Valid():
		return state.NotRun(state.RefusedBadRequest, "the priority class is not defined")
	case g.draining():
		return g.notRunDraining()
	case reservation.expired(now):
		return state.NotRun(state.RefusedDeadline, "the deadline has passed")
	case g.canStartNow(now, reservation):
		return nil
	case reservation.mayPassOn:
		return state.NotRun(state.RefusedBusy, "the backend server has no free slot for the call")
	}
	if !g.setLatestStart(now, reservation) || g.crowdedOut(now, reservation) {
		return g.notRunTooLate(now, reservation)
	}
	return g.makeQueueRoom(now, reservation)
}

// setLatestStart sets the latest start of a new reservation. It returns false
// if the reservation is not expected to get a slot by then.
func (g *Gate) setLatestStart(now time.Time, reservation *Reservation) bool {
	times := g.timesOf(reservation)
	latestDeadlineStart := reservation.deadline.Add(-times.upperBound())
	latestInTimeStart := reservation.softDeadline.Add(-times.likelyBound())
	if !now.Before(latestInTimeStart) {
		// Some calls would be late even if they started now.
		latestInTimeStart = reservation.softDeadline.Add(-times.mean())
	}
	if reservation.exclusive || latestInTimeStart.After(latestDeadlineStart) {
		latestInTimeStart = latestDeadlineStart
	}
	reservation.latestStart = latestInTimeStart
	if now.Add(g.estimateWait(now, reservation)).Before(reservation.latestStart) {
		return true
	}
	if reservation.exclusive {
		return false
	}
	if g.overloadedFor(now, reservation) {
		return g.fitsIfOthersAreRefused(now, reservation)
	}
	reservation.late = true
	reservation.latestStart = latestDeadlineStart
	return now.Add(g.estimateWait(now, reservation)).Before(reservation.latestStart)
}

// fitsIfOthersAreRefused reports whether a reservation of an overloaded class would be
// in time as the first of its class, so that refuseExcess decides which one is refused.
func (g *Gate) fitsIfOthersAreRefused(now time.Time, reservation *Reservation) bool {
	if reservation.awaitsLink {
		return false
	}
	ahead, work := g.aheadOfClass(reservation.class)
	return now.Add(g.startDelay(now, ahead, work)).Before(reservation.latestStart)
}

// canStartNow reports whether a new reservation gets a slot without waiting.
func (g *Gate) canStartNow(now time.Time, reservation *Reservation) bool {
	if g.waitingForSlot() > 0 || g.runningExclusive != nil || g.paceWait(now, 1) > 0 || !g.linkAllows(now, reservation) {
		return false
	}
	if reservation.exclusive {
		return g.running == 0 && g.usable(now) > 0
	}
	return g.hasSlotFor(now, reservation.class)
}

// estimateWait estimates the wait of the reservation if no more urgent call
// arrives from now on.
func (g *Gate) estimateWait(now time.Time, reservation *Reservation) time.Duration {
	ahead, work := g.aheadOfClass(reservation.class)
	count, workOfClass := g.queueOf(reservation).ahead(reservation)
	ahead += count
	work += workOfClass
	if reservation.late {
		ahead += g.queues[reservation.class].size
		work += g.queues[reservation.class].work
	}
	return g.startDelay(now, ahead, work) + g.estimateLinkWait(now, reservation)
}

// makeQueueRoom returns a refusal when the queue of the class is full. If the
// caller has fewer waiting calls than the caller with the most in the class,
// the newest call of the latter is refused in its place.
func (g *Gate) makeQueueRoom(now time.Time, reservation *Reservation) *state.Refusal {
	queueLimit := g.service.QueueLimits[reservation.class]
	if reservation.exclusive {
		if g.exclusiveQueue.Len() < max(1, queueLimit) {
			return nil
		}
		return g.notRunQueueFull(now, reservation)
	}
	if reservation.awaitsLink {
		return g.makeLinkQueueRoom(now, reservation, queueLimit)
	}
	queue := g.queueOf(reservation)
	if queue.size < queueLimit {
		return nil
	}
	if queue.size == 0 {
		return g.notRunQueueFull(now, reservation)
	}
	newest := queue.newestOfLongest()
	if queue.waitingOf(reservation.caller)+1 >= queue.waitingOf(newest.caller) {
		return g.notRunQueueFull(now, reservation)
	}
	g.unqueue(newest)
	g.refuse(now, newest, g.notRunQueueFull(now, newest))
	return nil
}

func (g *Gate) notRunDraining() *state.Refusal {
	if g.drainingForGood() {
		return state.NotRun(state.RefusedDraining, "the backend server takes no new calls")
	}
	return state.NotRunZoneDrained()
}

func (g *Gate) notRunTooLate(now time.Time, reservation *Reservation) *state.Refusal {
	if reservation.awaitsLink {
		return g.notRunOverloaded(now, reservation, CauseLink, state.RefusedDeadline, "the link of the host can't carry the answer in time")
	}
	return g.notRunOverloaded(now, reservation, CauseTooLate, state.RefusedDeadline, "the call can't be answered in time")
}

func (g *Gate) notRunExcess(now time.Time, reservation *Reservation) *state.Refusal {
	return g.notRunOverloaded(now, reservation, CauseExcess, state.RefusedDeadline, "other calls can be answered in time instead of this one")
}

func (g *Gate) notRunQueueFull(now time.Time, reservation *Reservation) *state.Refusal {
	return g.notRunOverloaded(now, reservation, CauseQueueFull, state.RefusedQueueFull, "the queue of the priority class is full")
}

// notRunOverloaded returns the refusal of a reservation for lack of capacity.
func (g *Gate) notRunOverloaded(
	now time.Time,
	reservation *Reservation,
	cause RefusalCause,
	reason state.RefusalReason,
	detail string,
) *state.Refusal {
	g.refused[reservation.class][cause]++
	refusal := state.NotRun(reason, detail)
	refusal.RetryAfter = g.overloads[reservation.class].recordRefusal(now)
	return refusal
}
