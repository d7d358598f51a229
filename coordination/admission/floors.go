package admission

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// creditWindow bounds the credit of a class: what its floor gives it in this
// time.
const creditWindow = time.Second

// floors tells which classes have had less than their floor. Each class has a
// credit of slot time. It grows by the floor while the class has waiting
// calls, less the slots that the class uses anyway, and shrinks while calls
// run that were granted because of it.
type floors struct {
	share   [state.ClassCount]float64
	credit  [state.ClassCount]float64 // seconds of one slot
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
	for class := range f.credit {
		f.updateClass(class, elapsed, used)
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

// above returns the sum of the floors of the classes more urgent than class.
func (f *floors) above(class state.PriorityClass) float64 {
	var sum float64
	for _, share := range f.share[:class] {
		sum += share
	}
	return sum
}
