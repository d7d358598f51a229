package admission

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// classQueue holds the waiting passes of one priority class. Callers take
// turns, one pass each; the passes of one caller keep their order.
type classQueue struct {
	size int
	// since is the time from which passes have been waiting without a break.
	since   time.Time
	callers map[state.CallerName]*callerQueue
	// turns holds the callers with waiting passes; the first is next.
	turns *list.List
	// longest is a max-heap of the callers by number of waiting passes.
	longest lengthHeap
}

type callerQueue struct {
	name   state.CallerName
	passes *list.List
	turn   *list.Element
	// position is the index in the heap of lengths.
	position int
}

func newClassQueue() *classQueue {
	return &classQueue{callers: make(map[state.CallerName]*callerQueue), turns: list.New()}
}

func (q *classQueue) push(now time.Time, pass *Reservation) {
	if q.size == 0 {
		q.since = now
	}
	caller, ok := q.callers[pass.caller]
	if !ok {
		caller = &callerQueue{name: pass.caller, passes: list.New()}
		caller.turn = q.turns.PushBack(caller)
		q.callers[pass.caller] = caller
		heap.Push(&q.longest, caller)
	}
	pass.place = caller.passes.PushBack(pass)
	heap.Fix(&q.longest, caller.position)
	q.size++
}

// standing reports whether passes have been waiting for longer than after
// without a break: more calls come than the class gets slots for.
func (q *classQueue) standing(now time.Time, after time.Duration) bool {
	return q.size > 0 && now.Sub(q.since) >= after
}

// pop removes the next pass and ends the turn of its caller.
func (q *classQueue) pop() *Reservation {
	if q.size == 0 {
		return nil
	}
	caller := q.turns.Front().Value.(*callerQueue)
	pass := caller.passes.Front().Value.(*Reservation)
	q.turns.MoveToBack(caller.turn)
	q.remove(pass)
	return pass
}

func (q *classQueue) remove(pass *Reservation) {
	caller := q.callers[pass.caller]
	caller.passes.Remove(pass.place)
	pass.place = nil
	q.size--
	if caller.passes.Len() > 0 {
		heap.Fix(&q.longest, caller.position)
		return
	}
	heap.Remove(&q.longest, caller.position)
	q.turns.Remove(caller.turn)
	delete(q.callers, caller.name)
}

// waitingOf returns the number of waiting passes of a caller.
func (q *classQueue) waitingOf(name state.CallerName) int {
	if caller, ok := q.callers[name]; ok {
		return caller.passes.Len()
	}
	return 0
}

// ahead returns how many passes are granted before a new one of the caller.
func (q *classQueue) ahead(name state.CallerName) int {
	return min(q.size, (q.waitingOf(name)+1)*len(q.callers))
}

// last returns the newest pass of the caller that has the most.
func (q *classQueue) last() *Reservation {
	return q.longest[0].passes.Back().Value.(*Reservation)
}

// lengthHeap is a max-heap of callers by number of waiting passes.
type lengthHeap []*callerQueue

func (h lengthHeap) Len() int { return len(h) }

func (h lengthHeap) Less(i, j int) bool { return h[i].passes.Len() > h[j].passes.Len() }

func (h lengthHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

func (h *lengthHeap) Push(x any) {
	caller := x.(*callerQueue)
	caller.position = len(*h)
	*h = append(*h, caller)
}

func (h *lengthHeap) Pop() any {
	last := len(*h) - 1
	caller := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return caller
}
