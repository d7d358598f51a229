package admission

import (
	"container/list"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// Reservation is a request of one call for a slot at a Gate. Its fields are
// guarded by the lock of the gate until Decided is closed; refusal does not
// change afterwards.
type Reservation struct {
	class        state.PriorityClass
	route        state.RouteName
	caller       state.CallerName
	deadline     time.Time
	softDeadline time.Time
	exclusive    bool
	// mayPassOn is set when the call is refused instead of waiting.
	mayPassOn bool
	// knownLimit is the rate limit of the backend server that the entry node knows.
	knownLimit call.RateLimit
	// late is set when the call cannot be answered by its soft deadline.
	late    bool
	decided chan struct{}
	refusal *state.Refusal

	phase reservationPhase
	// grantedAt is the time at which the slot was granted.
	grantedAt time.Time
	// guaranteed is set when the slot was granted under the floor of the class.
	guaranteed bool
	// element is the position in the queue of the caller, or in the queue of
	// exclusive reservations.
	element *list.Element
	// latestStart is the latest time at which the call can start and still be
	// answered by its soft deadline or, for late calls, by its deadline.
	latestStart time.Time
	// heapIndex is the index in waitingHeap.
	heapIndex int
	// work is the expected service time. turn and arrival order reservations with the
	// same latest start, see classQueue.
	work    time.Duration
	turn    int
	arrival uint64

	// local is set when the answer does not use the link of the host.
	local bool
	// answerBytes is the expected size of the answer until answered is set, and then
	// its size.
	answerBytes float64
	answered    bool
	// long is set when the answer is expected to occupy the link for long, and
	// awaitsLink while the reservation waits for that.
	long, awaitsLink bool
	// admitted is set while charged bytes of the link are in use.
	admitted bool
	charged  float64
	// linkIndex is the index in linkHeap.
	linkIndex int
}

type reservationPhase uint8

const (
	reservationWaiting reservationPhase = iota
	reservationRunning
	reservationEnded
)

// alreadyDecided is the closed channel shared by all reservations that did not
// wait.
var alreadyDecided = closedChannel()

func closedChannel() chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}

func newReservation(head call.Head, exclusive bool) *Reservation {
	reservation := &Reservation{
		class:        head.Class,
		route:        head.Route,
		local:        head.Local,
		caller:       head.Caller,
		deadline:     head.Deadline,
		softDeadline: head.SoftDeadline,
		latestStart:  head.Deadline,
		exclusive:    exclusive,
		mayPassOn:    head.MayPassOn && !exclusive,
		knownLimit:   head.RateLimit,
		decided:      alreadyDecided,
	}
	if reservation.softDeadline.IsZero() || reservation.softDeadline.After(reservation.deadline) {
		reservation.softDeadline = reservation.deadline
	}
	return reservation
}

// Decided returns a channel that is closed when the reservation is granted or
// refused.
func (r *Reservation) Decided() <-chan struct{} { return r.decided }

// Refusal returns nil when the reservation was granted. It must not be called
// before Decided is closed.
func (r *Reservation) Refusal() *state.Refusal { return r.refusal }

func (r *Reservation) grant(now time.Time, guaranteed bool) {
	r.phase = reservationRunning
	r.grantedAt = now
	r.guaranteed = guaranteed
	r.signalDecided()
}

func (r *Reservation) refuse(refusal *state.Refusal) {
	r.phase = reservationEnded
	r.refusal = refusal
	r.signalDecided()
}

// setPending makes Decided block until the reservation is granted or refused.
func (r *Reservation) setPending() { r.decided = make(chan struct{}) }

func (r *Reservation) signalDecided() {
	if r.decided != alreadyDecided {
		close(r.decided)
	}
}

func (r *Reservation) expired(now time.Time) bool { return !now.Before(r.deadline) }

// pastLatestStart reports whether a waiting reservation has passed its latest
// start.
func (r *Reservation) pastLatestStart(now time.Time) bool { return !now.Before(r.latestStart) }

// canStillMeetDeadline reports whether the call can still be answered by its
// deadline, though not by its soft deadline.
func (r *Reservation) canStillMeetDeadline(now time.Time, service time.Duration) bool {
	return r.latestStart.Before(r.deadline.Add(-service)) && now.Before(r.deadline.Add(-service))
}

// waitingHeap is a min-heap of waiting reservations by latest start.
type waitingHeap []*Reservation

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *waitingHeap) Push(x any) {
	reservation := x.(*Reservation)
	reservation.heapIndex = len(*h)
	*h = append(*h, reservation)
}

func (h *waitingHeap) Pop() any {
	last := len(*h) - 1
	reservation := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return reservation
}
