package guard

import (
	"sync"
	"time"
)

// tickTimer calls a function once at the earliest of the times that it is asked for.
type tickTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	at    time.Time
}

// schedule calls tick at a time, unless it will be called earlier.
func (t *tickTimer) schedule(now, at time.Time, tick func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.at.IsZero() && !t.at.After(at) {
		return
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	t.at = at
	t.timer = time.AfterFunc(at.Sub(now), func() {
		t.mu.Lock()
		if t.at.Equal(at) {
			t.at = time.Time{}
		}
		t.mu.Unlock()
		tick()
	})
}

// awaitGrant makes sure that a call that waits for the rate limit or the link gets its
// slot also when nothing else happens at the gate.
func (g *gate) awaitGrant() {
	now := time.Now()
	if at, waiting := g.admission.NextGrant(now); waiting {
		g.ticks.schedule(now, at, g.tick)
	}
}

func (g *gate) tick() {
	g.admission.Tick(time.Now())
	g.awaitGrant()
}
