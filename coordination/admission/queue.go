package admission

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// classQueue holds the waiting reservations of one priority class. Callers are
// served round-robin, one reservation per turn; the reservations of one caller
// stay in order.
type classQueue struct {
	size int
	// nonEmptySince is the time since which the queue has not been empty.
	nonEmptySince time.Time
	callers       map[state.CallerName]*callerQueue
	// rotation holds the callers with waiting reservations; the first is served
	// next.
	rotation *list.List
	// byLength is a max-heap of the callers by number of waiting reservations.
	byLength lengthHeap
}

type callerQueue struct {
	name            state.CallerName
	reservations    *list.List
	rotationElement *list.Element
	// heapIndex is the index in lengthHeap.
	heapIndex int
}

func newClassQueue() *classQueue {
	return &classQueue{callers: make(map[state.CallerName]*callerQueue), rotation: list.New()}
}

func (q *classQueue) push(now time.Time, reservation *Reservation) {
	if q.size == 0 {
		q.nonEmptySince = now
	}
	caller, ok := q.callers[reservation.caller]
	if !ok {
		caller = &callerQueue{name: reservation.caller, reservations: list.New()}
		caller.rotationElement = q.rotation.PushBack(caller)
		q.callers[reservation.caller] = caller
		heap.Push(&q.byLength, caller)
	}
	reservation.element = caller.reservations.PushBack(reservation)
	heap.Fix(&q.byLength, caller.heapIndex)
	q.size++
}

// hasStandingQueue reports whether the queue has not been empty for at least
// interval: calls arrive faster than the class gets slots.
func (q *classQueue) hasStandingQueue(now time.Time, interval time.Duration) bool {
	return q.size > 0 && now.Sub(q.nonEmptySince) >= interval
}

// pop removes and returns the next reservation and moves its caller to the end
// of the rotation.
func (q *classQueue) pop() *Reservation {
	if q.size == 0 {
		return nil
	}
	caller := q.rotation.Front().Value.(*callerQueue)
	reservation := caller.reservations.Front().Value.(*Reservation)
	q.rotation.MoveToBack(caller.rotationElement)
	q.remove(reservation)
	return reservation
}

func (q *classQueue) remove(reservation *Reservation) {
	caller := q.callers[reservation.caller]
	caller.reservations.Remove(reservation.element)
	reservation.element = nil
	q.size--
	if caller.reservations.Len() > 0 {
		heap.Fix(&q.byLength, caller.heapIndex)
		return
	}
	heap.Remove(&q.byLength, caller.heapIndex)
	q.rotation.Remove(caller.rotationElement)
	delete(q.callers, caller.name)
}

// waitingOf returns the number of waiting reservations of a caller.
func (q *classQueue) waitingOf(name state.CallerName) int {
	if caller, ok := q.callers[name]; ok {
		return caller.reservations.Len()
	}
	return 0
}

// countAhead returns how many waiting reservations are granted before a new one
// of the caller.
func (q *classQueue) countAhead(name state.CallerName) int {
	return min(q.size, (q.waitingOf(name)+1)*len(q.callers))
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
