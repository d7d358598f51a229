package admission

import (
	"math"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// creditWindow bounds the credit of a class to what its floor yields in this
// time.
const creditWindow = time.Second

// useWindow is the time constant of the moving average of slots in use.
const useWindow = 10 * time.Second

// headroomSlots is the number of slots kept free for urgent classes beyond
// their recent use.
const headroomSlots = 1

// floors tracks which classes have received less than their floor. Each class
// has a credit of slot time. While the class has waiting calls, the credit
// grows by the floor less the slots that the class uses outside its guarantee.
// It shrinks while calls that were granted under the guarantee run.
type floors struct {
	share     [state.ClassCount]float64
	credit    [state.ClassCount]float64 // seconds of one slot
	used      [state.ClassCount]float64 // slots, averaged over useWindow
	updatedAt time.Time
}

// usage describes the slots and queues of the classes since the last update.
type usage struct {
	limit int
	// waiting is true for classes that have waiting calls.
	waiting [state.ClassCount]bool
	// guaranteed is the number of running calls that were granted under the
	// floor, and spare the number of the other running calls.
	guaranteed [state.ClassCount]int
	spare      [state.ClassCount]int
}

// update advances the credits to now.
func (f *floors) update(now time.Time, used usage) {
	elapsed := now.Sub(f.updatedAt).Seconds()
	if f.updatedAt.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	f.updatedAt = now
	weight := min(1, elapsed/useWindow.Seconds())
	for class := range f.credit {
		f.updateClass(class, elapsed, used)
		running := float64(used.guaranteed[class] + used.spare[class])
		f.used[class] += (running - f.used[class]) * weight
	}
}

func (f *floors) updateClass(class int, elapsed float64, used usage) {
	floor := f.share[class] * float64(used.limit)
	credit := f.credit[class] - float64(used.guaranteed[class])*elapsed
	if !used.waiting[class] {
		// Without demand, a class accrues no credit, but it still pays off
		// debt.
		f.credit[class] = min(credit+floor*elapsed, 0)
		return
	}
	earned := max(0, floor-float64(used.spare[class])) * elapsed
	f.credit[class] = min(credit+earned, floor*creditWindow.Seconds())
}

// isBelowFloor reports whether class has received less than its floor.
func (f *floors) isBelowFloor(class state.PriorityClass) bool { return f.credit[class] > 0 }

// keptFree returns the number of slots that long calls of class leave to more
// urgent classes: the recent use of those classes plus headroomSlots, but at
// most their floors.
func (f *floors) keptFree(class state.PriorityClass, limit int) int {
	var floor, used float64
	for urgent := range class {
		floor += f.share[urgent] * float64(limit)
		used += f.used[urgent]
	}
	return int(math.Ceil(min(floor, used+headroomSlots)))
}
