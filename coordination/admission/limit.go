package admission

import "time"

// limit is the number of slots that may be used. It decreases when the backend
// server sheds calls or slows down, and recovers as the backend server answers.
type limit struct {
	// slots is the number of configured slots.
	slots int
	// current is between 1 and slots.
	current     float64
	decreasedAt time.Time
	shedding    shedDetector
	// slowStartedAt is the time at which the last slow start began.
	slowStartedAt time.Time
	slowStart     time.Duration
}

func (l *limit) configure(slots int, slowStart time.Duration) {
	added := slots - l.slots
	l.slots = slots
	l.slowStart = slowStart
	l.current = max(1, min(float64(slots), l.current+float64(max(0, added))))
}

// slotsAt returns the number of slots that may be used at now: at least one,
// unless no slots are configured.
func (l *limit) slotsAt(now time.Time, initialShare float64) int {
	usable := int(min(l.current, float64(l.slots)*l.slowStartShare(now, initialShare)))
	return min(l.slots, max(1, usable))
}

// slowStartShare increases from initialShare to 1 over the slow start.
func (l *limit) slowStartShare(now time.Time, initialShare float64) float64 {
	if l.slowStartedAt.IsZero() || l.slowStart <= 0 {
		return 1
	}
	share := float64(now.Sub(l.slowStartedAt)) / float64(l.slowStart)
	return min(1, max(initialShare, share))
}

// decrease multiplies the limit by factor, at most once per minInterval.
func (l *limit) decrease(now time.Time, factor float64, minInterval time.Duration) {
	if now.Sub(l.decreasedAt) < minInterval {
		return
	}
	l.decreasedAt = now
	l.current = max(1, l.current*factor)
}

// recordShed records a call that the backend server shed.
func (l *limit) recordShed(now time.Time, factor float64, minInterval time.Duration) {
	l.classifyShedding(true)
	if !l.shedding.loadIndependent {
		l.decrease(now, factor, minInterval)
	}
}

// recordResponse records an answered call. It increases the limit additively,
// by about one slot for each round of responses.
func (l *limit) recordResponse() {
	l.classifyShedding(false)
	l.current = min(float64(l.slots), l.current+1/l.current)
}

// classifyShedding records whether a call was shed, and detects a backend server
// that sheds calls regardless of its load. From the detection on, all slots are
// usable again.
func (l *limit) classifyShedding(shed bool) {
	before := l.shedding.loadIndependent
	l.shedding.observe(shed, l.current <= reducedLimitShare*float64(l.slots))
	if l.shedding.loadIndependent && !before {
		l.current = float64(l.slots)
	}
}
