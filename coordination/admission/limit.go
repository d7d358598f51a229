package admission

import "time"

// limit is the number of slots that may be used at present. It falls when the
// backend server sheds or slows down, and recovers while it answers.
type limit struct {
	// slots is the number of slots that the configuration gives.
	slots int
	// current is between 1 and slots.
	current   float64
	decreased time.Time
	shedding  shedding
	// coldSince is the time of the cold start that slowStart counts from.
	coldSince time.Time
	slowStart time.Duration
}

func (l *limit) configure(slots int, slowStart time.Duration) {
	grown := slots - l.slots
	l.slots = slots
	l.slowStart = slowStart
	l.current = max(1, min(float64(slots), l.current+float64(max(0, grown))))
}

// at returns the number of slots that may be used at now, at least one unless
// the configuration gives none.
func (l *limit) at(now time.Time, coldShare float64) int {
	usable := int(min(l.current, float64(l.slots)*l.warmth(now, coldShare)))
	return min(l.slots, max(1, usable))
}

// warmth grows from coldShare to 1 over the slow start.
func (l *limit) warmth(now time.Time, coldShare float64) float64 {
	if l.coldSince.IsZero() || l.slowStart <= 0 {
		return 1
	}
	share := float64(now.Sub(l.coldSince)) / float64(l.slowStart)
	return min(1, max(coldShare, share))
}

// decrease multiplies the limit by factor, at most once in every.
func (l *limit) decrease(now time.Time, factor float64, every time.Duration) {
	if now.Sub(l.decreased) < every {
		return
	}
	l.decreased = now
	l.current = max(1, l.current*factor)
}

// shed learns from a call that was shed.
func (l *limit) shed(now time.Time, factor float64, every time.Duration) {
	l.judge(true)
	if !l.shedding.anyway {
		l.decrease(now, factor, every)
	}
}

// answered learns from a call that was answered: it adds one slot for each
// round of answers.
func (l *limit) answered() {
	l.judge(false)
	l.current = min(float64(l.slots), l.current+1/l.current)
}

// judge finds out whether the backend server sheds whatever its load. All slots
// are used again from the moment that it is seen to.
func (l *limit) judge(shed bool) {
	before := l.shedding.anyway
	l.shedding.observe(shed, l.current <= reducedShare*float64(l.slots))
	if l.shedding.anyway && !before {
		l.current = float64(l.slots)
	}
}
