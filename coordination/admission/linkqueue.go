package admission

import (
	"container/heap"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// linkQueue holds the reservations of one class whose answers are long, until the
// link can carry them. They hold no slot and take no place in the queue for slots.
type linkQueue struct {
	reservations linkHeap
	// bytes is the expected size of the answers.
	bytes float64
	// nonEmptySince is the time since which the queue has not been empty.
	nonEmptySince time.Time
}

func (q *linkQueue) push(now time.Time, reservation *Reservation) {
	if len(q.reservations) == 0 {
		q.nonEmptySince = now
	}
	heap.Push(&q.reservations, reservation)
	q.bytes += reservation.answerBytes
}

func (q *linkQueue) remove(reservation *Reservation) {
	heap.Remove(&q.reservations, reservation.linkIndex)
	q.bytes = max(0, q.bytes-reservation.answerBytes)
}

// hasStandingQueue reports whether the queue has not been empty for at least
// interval: long answers are asked for faster than the link carries them.
func (q *linkQueue) hasStandingQueue(now time.Time, interval time.Duration) bool {
	return len(q.reservations) > 0 && now.Sub(q.nonEmptySince) >= interval
}

// linkHeap is a min-heap of reservations: those that can be answered by their soft
// deadline first, then by latest start.
type linkHeap []*Reservation

func (h linkHeap) Len() int { return len(h) }

func (h linkHeap) Less(i, j int) bool {
	if h[i].late != h[j].late {
		return h[j].late
	}
	return h[i].latestStart.Before(h[j].latestStart)
}

func (h linkHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].linkIndex = i
	h[j].linkIndex = j
}

func (h *linkHeap) Push(x any) {
	reservation := x.(*Reservation)
	reservation.linkIndex = len(*h)
	*h = append(*h, reservation)
}

func (h *linkHeap) Pop() any {
	last := len(*h) - 1
	reservation := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return reservation
}

// linkFloors tracks which classes have received less of the link than their floor. The
// credit of a class grows by its floor while long answers of the class are asked for,
// and shrinks by each answer that is admitted, small or long.
type linkFloors struct {
	credit [state.ClassCount]float64 // bytes
	// demandAt is the time at which a long answer was last asked for that had to wait
	// or was refused. Refused ones count, because with a small floor none may be worth
	// waiting for until the credit has grown.
	demandAt  [state.ClassCount]time.Time
	updatedAt time.Time
}

// update advances the credits to now. floors holds the floors in bytes per second.
func (f *linkFloors) update(now time.Time, floors [state.ClassCount]float64) {
	elapsed := now.Sub(f.updatedAt).Seconds()
	if f.updatedAt.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	f.updatedAt = now
	for _, class := range state.Classes() {
		bound := floors[class] * creditWindow.Seconds()
		if now.Sub(f.demandAt[class]) > creditWindow {
			bound = 0
		}
		f.credit[class] = min(f.credit[class]+floors[class]*elapsed, bound)
	}
}

// covers reports whether the credit of a class covers an answer, or is complete.
func (f *linkFloors) covers(class state.PriorityClass, bytes, floor float64) bool {
	return floor > 0 && f.missing(class, bytes, floor) <= 0
}

// missing returns the credit that a class lacks for an answer.
func (f *linkFloors) missing(class state.PriorityClass, bytes, floor float64) float64 {
	return min(bytes, floor*creditWindow.Seconds()) - f.credit[class]
}

// charge records an answer of a class. The debt is bounded like the credit, so that a
// class that had more than its floor earlier gets its floor again within creditWindow.
func (f *linkFloors) charge(class state.PriorityClass, bytes, floor float64) {
	if bytes <= 0 {
		return
	}
	bound := max(floor*creditWindow.Seconds(), bytes)
	f.credit[class] = max(f.credit[class]-bytes, min(f.credit[class], -bound))
}

func (s *linkStage) push(now time.Time, reservation *Reservation) {
	s.waiting++
	s.queues[reservation.class].push(now, reservation)
	s.link.addWaiting(reservation.class, reservation.answerBytes)
}

func (s *linkStage) remove(reservation *Reservation) {
	s.waiting--
	s.queues[reservation.class].remove(reservation)
	s.link.addWaiting(reservation.class, -reservation.answerBytes)
}
