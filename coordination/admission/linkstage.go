package admission

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// linkStage decides at one gate when calls with long answers may ask for a slot. A
// nil link admits all of them at once.
type linkStage struct {
	link   *Link
	queues [state.ClassCount]linkQueue
	floors linkFloors
	// waiting is the number of reservations in queues, and admitted the number of
	// admitted calls with long answers that have not ended.
	waiting, admitted int
	// long is the work of the calls with long answers of all routes.
	long routeWork
}

// floorRates returns the floors of the classes in bytes per second.
func (s *linkStage) floorRates(share [state.ClassCount]float64) (rates [state.ClassCount]float64) {
	for class := range rates {
		rates[class] = share[class] * s.link.perSecond
	}
	return rates
}

func (s *linkStage) load() call.LinkLoad {
	if s.link == nil {
		return call.LinkLoad{}
	}
	return call.LinkLoad{BytesPerSecond: s.link.perSecond, LongCalls: s.admitted + s.waiting}
}

// expectAnswer sets the expected size of the answer of a new reservation. An unknown
// size counts as small.
func (g *Gate) expectAnswer(now time.Time, reservation *Reservation) {
	if g.stage.link == nil || reservation.local || !reservation.class.Valid() {
		return
	}
	if work := g.routes.get(reservation.key()); work != nil {
		reservation.answerBytes = work.bytes
	}
	reservation.long = g.stage.load().IsLong(reservation.answerBytes)
	reservation.awaitsLink = reservation.long && !reservation.exclusive
	if reservation.awaitsLink && !g.linkAllows(now, reservation) {
		g.stage.floors.demandAt[reservation.class] = now
	}
}

// linkAllows reports whether a new reservation needs not wait for the link.
func (g *Gate) linkAllows(now time.Time, reservation *Reservation) bool {
	return !reservation.awaitsLink || g.stage.waiting == 0 && (g.stage.link.wait(now) == 0 || g.isBelowLinkFloor(reservation))
}

// updateLinkCredits advances the link credits of the classes to now.
func (g *Gate) updateLinkCredits(now time.Time) {
	if g.stage.link == nil {
		return
	}
	rates := g.stage.floorRates(g.floors.share)
	g.stage.floors.update(now, rates)
}

// linkFloor returns the floor of a class in bytes per second.
func (g *Gate) linkFloor(class state.PriorityClass) float64 {
	return g.floors.share[class] * g.stage.link.perSecond
}

// isBelowLinkFloor reports whether the class of a reservation has received so much less
// of the link than its floor that the answer is admitted regardless of the debt.
func (g *Gate) isBelowLinkFloor(reservation *Reservation) bool {
	class := reservation.class
	return g.stage.floors.covers(class, reservation.answerBytes, g.linkFloor(class))
}

// admitToLink moves the reservations whose answers the link can carry to the queues
// for slots.
func (g *Gate) admitToLink(now time.Time) {
	for g.stage.waiting > 0 {
		reservation := g.nextForLink(now)
		if reservation == nil {
			return
		}
		g.unqueue(reservation)
		g.takeLink(now, reservation)
		g.enqueue(now, reservation)
	}
}

// nextForLink returns the next reservation that the link can carry: from the most
// urgent class that has received less of the link than its floor or else, if the link
// has no debt, from the most urgent class.
func (g *Gate) nextForLink(now time.Time) *Reservation {
	free := g.stage.link.wait(now) == 0
	var next *Reservation
	for _, class := range state.Classes() {
		queue := &g.stage.queues[class]
		if len(queue.reservations) == 0 || g.waitingOf(class) >= max(1, g.service.QueueLimits[class]) {
			continue
		}
		if g.isBelowLinkFloor(queue.reservations[0]) {
			return queue.reservations[0]
		}
		if next == nil && free {
			next = queue.reservations[0]
		}
	}
	return next
}

// waitForLink returns the time until the link can carry the answer of the next waiting
// reservation, or 0 if none waits for it.
func (g *Gate) waitForLink(now time.Time) time.Duration {
	if g.stage.waiting == 0 {
		return 0
	}
	wait := g.stage.link.wait(now)
	for _, class := range state.Classes() {
		queue, floor := &g.stage.queues[class], g.linkFloor(class)
		if len(queue.reservations) == 0 || floor <= 0 {
			continue
		}
		missing := max(0, g.stage.floors.missing(class, queue.reservations[0].answerBytes, floor))
		wait = min(wait, time.Duration(missing/floor*float64(time.Second))+1)
	}
	return wait
}

// takeLink charges the expected answer of an admitted reservation to the link.
func (g *Gate) takeLink(now time.Time, reservation *Reservation) {
	if g.stage.link == nil || reservation.local || reservation.admitted {
		return
	}
	reservation.awaitsLink = false
	reservation.admitted = true
	if reservation.long {
		g.stage.admitted++
	}
	reservation.charged = g.stage.link.take(now, reservation.answerBytes, reservation.long)
	g.chargeFloor(reservation.class, reservation.charged)
}

func (g *Gate) chargeFloor(class state.PriorityClass, bytes float64) {
	g.stage.floors.charge(class, bytes, g.linkFloor(class))
}

// RecordAnswerSize corrects the expected size of the answer of a granted reservation:
// when the head of the answer states its size, and when the answer has ended.
func (g *Gate) RecordAnswerSize(now time.Time, reservation *Reservation, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reservation.phase != reservationRunning || bytes < 0 {
		return
	}
	reservation.answered = true
	reservation.answerBytes = float64(bytes)
	g.updateCredits(now)
	if reservation.admitted && !reservation.long && g.stage.load().IsLong(float64(bytes)) {
		reservation.long = true
		g.stage.admitted++
	}
	g.correctCharge(now, reservation, float64(bytes))
	g.reschedule(now)
}

// correctCharge changes the bytes that are charged for an admitted reservation.
func (g *Gate) correctCharge(now time.Time, reservation *Reservation, bytes float64) {
	if !reservation.admitted || bytes == reservation.charged {
		return
	}
	charged := g.stage.link.correct(now, bytes-reservation.charged, reservation.long)
	g.chargeFloor(reservation.class, charged)
	reservation.charged += charged
}

// leaveLink ends the use of the link by a reservation that ends, and returns what it
// did not use.
func (g *Gate) leaveLink(now time.Time, reservation *Reservation) {
	if !reservation.admitted {
		return
	}
	if reservation.long {
		g.stage.admitted--
	}
	if !reservation.answered {
		g.correctCharge(now, reservation, 0)
	}
	reservation.admitted = false
}

// observeWork records the work of an answered call for its route.
func (g *Gate) observeWork(now time.Time, reservation *Reservation) {
	took := now.Sub(reservation.grantedAt)
	work := g.routes.getOrAdd(reservation.key())
	work.service.observe(took)
	if !reservation.answered {
		return
	}
	work.observeAnswer(reservation.answerBytes)
	if reservation.long {
		g.stage.long.observeAnswer(reservation.answerBytes)
		g.stage.long.service.observe(took)
	}
}

// linkLoad returns the load of the link as reported in load hints.
func (g *Gate) linkLoad(now time.Time) call.LinkLoad {
	load := g.stage.load()
	if g.stage.link == nil {
		return load
	}
	slots := float64(g.sustainable(now))
	load.LongSlots = slots
	if long := &g.stage.long; long.bytes > 0 && long.service.mean() > 0 {
		perSecond := g.stage.link.longRate(now) / long.bytes
		load.LongSlots = min(slots, perSecond*long.service.mean().Seconds())
	}
	return load
}

// waitingForSlot returns the number of waiting reservations that do not wait for the
// link.
func (g *Gate) waitingForSlot() int { return len(g.waiting) - g.stage.waiting }

// timesOf returns the service times that are expected of a reservation: those of its
// route, or of its class if few calls of the route have been answered.
func (g *Gate) timesOf(reservation *Reservation) *serviceTime {
	work := g.routes.get(reservation.key())
	if work != nil && work.service.known() {
		return &work.service
	}
	return &g.serviceTimes[reservation.class]
}

// overloadedFor reports whether calls like that of the reservation have been arriving
// faster than slots become free, or than the link carries their answers.
func (g *Gate) overloadedFor(now time.Time, reservation *Reservation) bool {
	if reservation.awaitsLink && g.stage.queues[reservation.class].hasStandingQueue(now, g.config.StandingQueueInterval) {
		return true
	}
	return g.overloaded(now, reservation.class)
}

// estimateLinkWait estimates how long a reservation waits for the link: until the link
// has no debt, or until the floor of its class covers its answer.
func (g *Gate) estimateLinkWait(now time.Time, reservation *Reservation) time.Duration {
	if !reservation.awaitsLink {
		return 0
	}
	class := reservation.class
	floor := g.linkFloor(class)
	wait := g.stage.link.estimateWait(now, class)
	if floor <= 0 {
		return wait
	}
	ahead := g.stage.queues[class].bytes + max(0, g.stage.floors.missing(class, reservation.answerBytes, floor))
	return min(wait, time.Duration(waitMargin*ahead/floor*float64(time.Second)))
}

// makeLinkQueueRoom returns a refusal when the queue of the class for the link is full.
func (g *Gate) makeLinkQueueRoom(now time.Time, reservation *Reservation, queueLimit int) *state.Refusal {
	if len(g.stage.queues[reservation.class].reservations) < max(1, queueLimit) {
		return nil
	}
	return g.notRunQueueFull(now, reservation)
}
