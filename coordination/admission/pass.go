package admission

import (
	"container/list"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// Reservation is the place of one call at a Gate. Its fields are guarded by the lock
// of the gate until Decided is closed; refusal does not change afterwards.
type Reservation struct {
	class    state.PriorityClass
	caller   state.CallerName
	deadline time.Time
	wanted   time.Time
	alone    bool
	// late says that the pass can't be answered by the time it is wanted.
	late    bool
	decided chan struct{}
	refusal *state.Refusal

	phase passPhase
	// granted is the time at which the pass got its slot.
	granted time.Time
	// entitled says that the slot came out of the floor of the class.
	entitled bool
	// place is the element in the queue of the caller, or in the queue of the
	// calls that run alone.
	place *list.Element
	// startBy is the latest time at which the call can start, and still be
	// answered when it is wanted or, once that is given up, by its deadline.
	startBy time.Time
	// position is the index in the heap of waiting passes.
	position int
}

type passPhase uint8

const (
	passWaiting passPhase = iota
	passRunning
	passEnded
)

// decidedAtOnce is the channel of all passes that did not wait.
var decidedAtOnce = closedChannel()

func closedChannel() chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}

func newPass(head call.Head, alone bool) *Reservation {
	pass := &Reservation{
		class:    head.Class,
		caller:   head.Caller,
		deadline: head.Deadline,
		wanted:   head.SoftDeadline,
		startBy:  head.Deadline,
		alone:    alone,
		decided:  decidedAtOnce,
	}
	if pass.wanted.IsZero() || pass.wanted.After(pass.deadline) {
		pass.wanted = pass.deadline
	}
	return pass
}

// Decided returns a channel that is closed when the pass is granted or
// refused.
func (p *Reservation) Decided() <-chan struct{} { return p.decided }

// Refusal returns nil when the pass was granted. It must not be called before
// Decided is closed.
func (p *Reservation) Refusal() *state.Refusal { return p.refusal }

func (p *Reservation) grant(now time.Time, entitled bool) {
	p.phase = passRunning
	p.granted = now
	p.entitled = entitled
	p.wake()
}

func (p *Reservation) refuse(refusal *state.Refusal) {
	p.phase = passEnded
	p.refusal = refusal
	p.wake()
}

// wait makes Decided block until the pass is granted or refused.
func (p *Reservation) wait() { p.decided = make(chan struct{}) }

func (p *Reservation) wake() {
	if p.decided != decidedAtOnce {
		close(p.decided)
	}
}

func (p *Reservation) expired(now time.Time) bool { return !now.Before(p.deadline) }

// tooLate reports whether it is too late for a waiting pass to start.
func (p *Reservation) tooLate(now time.Time) bool { return !now.Before(p.startBy) }

// wantsMoreTime reports whether the pass can still meet its deadline, though
// not the time at which it is wanted.
func (p *Reservation) wantsMoreTime(now time.Time, service time.Duration) bool {
	return p.startBy.Before(p.deadline.Add(-service)) && now.Before(p.deadline.Add(-service))
}

// waitingHeap is a min-heap of waiting passes by the latest time to start.
type waitingHeap []*Reservation

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool { return h[i].startBy.Before(h[j].startBy) }

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

func (h *waitingHeap) Push(x any) {
	pass := x.(*Reservation)
	pass.position = len(*h)
	*h = append(*h, pass)
}

func (h *waitingHeap) Pop() any {
	last := len(*h) - 1
	pass := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return pass
}
