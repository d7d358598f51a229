package admission

import (
	"cmp"
	"container/heap"
	"container/list"
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// classQueue holds the waiting reservations of one priority class, ordered by latest
// start: the one with the least slack is next. Those with the same latest start are
// ordered by caller, one reservation per turn.
type classQueue struct {
	size int
	// work is the expected service time of all reservations.
	work time.Duration
	// nonEmptySince is the time since which the queue has not been empty.
	nonEmptySince time.Time
	// ordered holds the reservations in order.
	ordered []*Reservation
	// pushed is the number of reservations so far.
	pushed  uint64
	callers map[state.CallerName]*callerQueue
	// byLength is a max-heap of the callers by number of waiting reservations.
	byLength lengthHeap
}

// callerQueue holds the waiting reservations of one caller in order of arrival.
type callerQueue struct {
	name         state.CallerName
	reservations *list.List
	// heapIndex is the index in lengthHeap.
	heapIndex int
}

func newClassQueue() *classQueue {
	return &classQueue{callers: make(map[state.CallerName]*callerQueue)}
}

// compareSlack is the order of the reservations of a class.
func compareSlack(a, b *Reservation) int {
	return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(a.turn, b.turn), cmp.Compare(a.arrival, b.arrival))
}

func (q *classQueue) push(now time.Time, reservation *Reservation) {
	if q.size == 0 {
		q.nonEmptySince = now
	}
	caller, ok := q.callers[reservation.caller]
	if !ok {
		caller = &callerQueue{name: reservation.caller, reservations: list.New()}
		q.callers[reservation.caller] = caller
		heap.Push(&q.byLength, caller)
	}
	q.prepare(reservation)
	q.pushed++
	reservation.element = caller.reservations.PushBack(reservation)
	heap.Fix(&q.byLength, caller.heapIndex)
	q.ordered = slices.Insert(q.ordered, q.position(reservation), reservation)
	q.work += reservation.work
	q.size++
}

// prepare gives a reservation that is to be pushed its place among those with the same
// latest start.
func (q *classQueue) prepare(reservation *Reservation) {
	reservation.turn = q.waitingOf(reservation.caller)
	reservation.arrival = q.pushed
}

// position returns the index at which a reservation is or would be.
func (q *classQueue) position(reservation *Reservation) int {
	index, _ := slices.BinarySearchFunc(q.ordered, reservation, compareSlack)
	return index
}

// hasStandingQueue reports whether the queue has not been empty for at least
// interval: calls arrive faster than the class gets slots.
func (q *classQueue) hasStandingQueue(now time.Time, interval time.Duration) bool {
	return q.size > 0 && now.Sub(q.nonEmptySince) >= interval
}

// pop removes and returns the next reservation.
func (q *classQueue) pop() *Reservation {
	if q.size == 0 {
		return nil
	}
	reservation := q.ordered[0]
	q.remove(reservation)
	return reservation
}

func (q *classQueue) remove(reservation *Reservation) {
	q.removeOrdered(q.position(reservation))
	q.work -= reservation.work
	q.size--
	caller := q.callers[reservation.caller]
	caller.reservations.Remove(reservation.element)
	reservation.element = nil
	if caller.reservations.Len() > 0 {
		heap.Fix(&q.byLength, caller.heapIndex)
		return
	}
	heap.Remove(&q.byLength, caller.heapIndex)
	delete(q.callers, caller.name)
}

// removeOrdered removes the reservation at an index. The first one, which is removed
// most often, is removed without moving the others.
func (q *classQueue) removeOrdered(index int) {
	if index > 0 {
		q.ordered = slices.Delete(q.ordered, index, index+1)
		return
	}
	q.ordered[0] = nil
	q.ordered = q.ordered[1:]
}

// waitingOf returns the number of waiting reservations of a caller.
func (q *classQueue) waitingOf(name state.CallerName) int {
	if caller, ok := q.callers[name]; ok {
		return caller.reservations.Len()
	}
	return 0
}

// ahead returns how many waiting reservations are granted before a new one, and their
// expected service time.
func (q *classQueue) ahead(reservation *Reservation) (count int, work time.Duration) {
	q.prepare(reservation)
	count = q.position(reservation)
	for _, earlier := range q.ordered[:count] {
		work += earlier.work
	}
	return count, work
}

// newestOfLongest returns the newest reservation of the caller with the most
// waiting reservations.
func (q *classQueue) newestOfLongest() *Reservation {
	return q.byLength[0].reservations.Back().Value.(*Reservation)
}

// lengthHeap is a max-heap of callers by number of waiting reservations.
type lengthHeap []*callerQueue

func (h lengthHeap) Len() int { return len(h) }

func (h lengthHeap) Less(i, j int) bool { return h[i].reservations.Len() > h[j].reservations.Len() }

func (h lengthHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *lengthHeap) Push(x any) {
	caller := x.(*callerQueue)
	caller.heapIndex = len(*h)
	*h = append(*h, caller)
}

func (h *lengthHeap) Pop() any {
	last := len(*h) - 1
	caller := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return caller
}
