package admission

import (
	"math"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// creditWindow bounds the credit of a class: what its floor gives it in this
// time.
const creditWindow = time.Second

// useWindow is the time over which the use of a class is averaged.
const useWindow = 10 * time.Second

// headroomSlots is what is kept free for urgent calls beyond their recent use.
const headroomSlots = 1

// floors tells which classes have had less than their floor. Each class has a
// credit of slot time. It grows by the floor while the class has waiting
// calls, less the slots that the class uses anyway, and shrinks while calls
// run that were granted because of it.
type floors struct {
	share   [state.ClassCount]float64
	credit  [state.ClassCount]float64 // seconds of one slot
	used    [state.ClassCount]float64 // slots, averaged over useWindow
	updated time.Time
}

// usage is what the classes did since the last update.
type usage struct {
	limit int
	// waiting says whether the class has waiting calls.
	waiting [state.ClassCount]bool
	// entitled is the number of running calls that were granted because of
	// the floor; spare is the number of the others.
	entitled [state.ClassCount]int
	spare    [state.ClassCount]int
}

// update brings the credits to now.
func (f *floors) update(now time.Time, used usage) {
	elapsed := now.Sub(f.updated).Seconds()
	if f.updated.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	f.updated = now
	passed := min(1, elapsed/useWindow.Seconds())
	for class := range f.credit {
		f.updateClass(class, elapsed, used)
		running := float64(used.entitled[class] + used.spare[class])
		f.used[class] += (running - f.used[class]) * passed
	}
}

func (f *floors) updateClass(class int, elapsed float64, used usage) {
	floor := f.share[class] * float64(used.limit)
	credit := f.credit[class] - float64(used.entitled[class])*elapsed
	if !used.waiting[class] {
		// Nothing is saved up without work, but a debt is still paid off.
		f.credit[class] = min(credit+floor*elapsed, 0)
		return
	}
	earned := max(0, floor-float64(used.spare[class])) * elapsed
	f.credit[class] = min(credit+earned, floor*creditWindow.Seconds())
}

// entitled reports whether class has had less than its floor.
func (f *floors) entitled(class state.PriorityClass) bool { return f.credit[class] > 0 }

// keptFree returns the number of slots that long calls of class leave to more
// urgent classes: what those have used of late and some headroom, but no more
// than their floors.
func (f *floors) keptFree(class state.PriorityClass, limit int) int {
	var floor, used float64
	for urgent := range class {
		floor += f.share[urgent] * float64(limit)
		used += f.used[urgent]
	}
	return int(math.Ceil(min(floor, used+headroomSlots)))
}
