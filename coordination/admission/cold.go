package admission

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/wasabiport/wasabiport/state"
)

const (
	// coldBurst is the number of requests that a cold backend server may get at once. It
	// is small, as a cold backend server may crash well above its rate.
	coldBurst = 2
	// coldDebt is the time whose requests at the cold rate count as started before a
	// backend server became cold, at most. It is over a second, so that no span of a
	// second holds more than those before the change and the burst, also when requests
	// arrive a little later than they are counted.
	coldDebt = 1250 * time.Millisecond
	// defaultServiceTime is assumed of calls to a cold backend server that has answered too
	// few for an estimate.
	defaultServiceTime = 100 * time.Millisecond
	// healthCheckInterval is the minimum time between two health checks. A check is
	// repeated only while the backend server does not answer.
	healthCheckInterval = 500 * time.Millisecond
	// maxHealthCheckInterval is the interval to which it grows.
	maxHealthCheckInterval = 2 * time.Second
	// freshStart is the time around the start of the node within which a backend server
	// counts as started together with it, for example with the whole fleet. What the
	// platform knows of it is then more recent than its start.
	freshStart = 30 * time.Second
)

// coldLimit spaces the requests to a backend server while it is cold, and while it is not
// known to be warm. The zero value does not limit them.
type coldLimit struct {
	service state.Service
	// bucket is nil if the service sets no limit. It counts requests also while the
	// backend server is warm, down to a debt of coldDebt, because these count towards the
	// limit from the moment at which the backend server becomes cold.
	bucket *rate.Limiter
	// until is the time at which the backend server becomes warm, as it or the platform
	// has stated.
	until time.Time
	// assumed is set while a health check has to show whether the backend server is cold.
	assumed bool
	// epoch counts the assumptions. The answer to a check that began before the last of
	// them says nothing of the present.
	epoch uint64
	// checking is set while a health check runs, and checkedAt when the last one began.
	checking  bool
	checkedAt time.Time
	checks    uint64
	// unanswered is the number of health checks since the last one that was answered.
	unanswered int
}

// configure applies the settings of a service.
func (c *coldLimit) configure(now time.Time, service state.Service) {
	before := c.service.ColdPerSecond
	c.service = service
	switch {
	case !service.LimitsCold():
		c.bucket, c.assumed, c.until = nil, false, time.Time{}
	case c.bucket == nil:
		c.bucket = rate.NewLimiter(rate.Limit(service.ColdPerSecond), coldBurst)
	case service.ColdPerSecond != before:
		c.bucket.SetLimitAt(now, rate.Limit(service.ColdPerSecond))
	}
	if c.assumed && service.HealthPath == "" {
		// No health check can end the assumption any more.
		c.assumed = false
		c.assume(now)
	}
}

// observe applies settings and a registration of the backend server that replace others. A
// new incarnation is not known to be warm, and neither is a backend server whose
// registration does not tell.
func (c *coldLimit) observe(now time.Time, before, after state.BackendServer, service state.Service) {
	limitedBefore := c.bucket != nil
	c.configure(now, service)
	switch {
	case after.Incarnation != before.Incarnation:
		c.unanswered = 0
		c.state(now, after)
		c.assume(now)
	case after.WarmAt != before.WarmAt || !limitedBefore:
		c.state(now, after)
	}
}

// state applies what the registration of a backend server states.
func (c *coldLimit) state(now time.Time, server state.BackendServer) {
	if server.WarmAt == 0 {
		c.assume(now)
		return
	}
	c.epoch++
	c.setUntil(time.UnixMilli(server.WarmAt))
}

func (c *coldLimit) setUntil(until time.Time) {
	if c.bucket != nil {
		c.until = until
	}
}

// assume records that the backend server is not known to be warm. Without health checks,
// it counts as cold for as long as one that has just started.
func (c *coldLimit) assume(now time.Time) {
	switch {
	case c.bucket == nil:
	case c.service.HealthPath == "":
		if coldAfterStart := now.Add(c.service.ColdStart); coldAfterStart.After(c.until) {
			c.until = coldAfterStart
		}
	default:
		c.epoch++
		c.assumed = true
	}
}

// limits reports whether requests are limited at now.
func (c *coldLimit) limits(now time.Time) bool {
	return c.bucket != nil && (c.assumed || now.Before(c.until))
}

// wait returns the time until the given number of requests may have started. It is not
// longer than the time until the backend server is warm.
func (c *coldLimit) wait(now time.Time, requests int) time.Duration {
	if !c.limits(now) {
		return 0
	}
	missing := float64(requests) - c.bucket.TokensAt(now)
	wait := time.Duration(max(0, missing) / float64(c.bucket.Limit()) * float64(time.Second))
	if c.assumed {
		return wait
	}
	return min(wait, c.until.Sub(now))
}

// take counts a request that starts.
func (c *coldLimit) take(now time.Time) {
	if c.bucket == nil {
		return
	}
	if c.bucket.TokensAt(now) > -float64(c.bucket.Limit())*coldDebt.Seconds() {
		c.bucket.ReserveN(now, 1)
	}
}

// slots returns how many slots calls of the given service time keep in use at the limit,
// at most the given number.
func (c *coldLimit) slots(now time.Time, slots int, service time.Duration) int {
	if !c.limits(now) {
		return slots
	}
	if service <= 0 {
		service = defaultServiceTime
	}
	inUse := float64(c.bucket.Limit()) * service.Seconds()
	return min(slots, max(1, int(inUse+0.5)))
}

// nextCheck returns when the next health check is due, or false if none is needed.
func (c *coldLimit) nextCheck(now time.Time) (at time.Time, needed bool) {
	if !c.assumed || c.checking {
		return time.Time{}, false
	}
	interval := min(healthCheckInterval<<min(max(0, c.unanswered-1), 8), maxHealthCheckInterval)
	at = c.checkedAt.Add(interval)
	if at.Before(now) {
		at = now
	}
	return at, true
}

// paceWait returns the time until the backend server takes the given number of calls at
// the rates that limit it.
func (g *Gate) paceWait(now time.Time, calls int) time.Duration {
	return max(g.rate.wait(now, calls), g.cold.wait(now, calls))
}

// takePace counts a call that starts towards the rates that limit the backend server.
func (g *Gate) takePace(now time.Time) {
	g.rate.take(now)
	g.cold.take(now)
}

// Begin applies what is known of the backend server at a gate that is new. Its
// registration decides if it has started with the node or later: it is more recent than
// that. Otherwise it may be of an incarnation that has ended while the node did not run.
func (g *Gate) Begin(now, nodeStarted time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cold.state(now, g.server)
	if time.UnixMilli(g.server.Incarnation).Before(nodeStarted.Add(-freshStart)) {
		g.cold.assume(now)
	}
}

// SetCold records that the backend server is cold until a time. The zero time, and any
// other that is over, means that it is warm.
func (g *Gate) SetCold(now, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateCredits(now)
	g.cold.assumed = false
	g.cold.setUntil(until)
	g.reschedule(now)
}

// AssumeCold records that the backend server is not known to be warm: its limit is in
// force until a health check has told. It has no effect if the service sets no limit.
func (g *Gate) AssumeCold(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateCredits(now)
	g.cold.assume(now)
	g.reschedule(now)
}

// HealthCheck is a health check that has begun.
type HealthCheck struct{ epoch uint64 }

// BeginHealthCheck returns the health check that is due, if any. Otherwise it returns when
// the next one is due, or the zero time if none is needed. The check counts as a request
// to the backend server, but does not wait: it ends the time in which calls do.
func (g *Gate) BeginHealthCheck(now time.Time) (check HealthCheck, due bool, next time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, needed := g.cold.nextCheck(now)
	if !needed || g.draining() {
		return HealthCheck{}, false, time.Time{}
	}
	if at.After(now) {
		return HealthCheck{}, false, at
	}
	g.cold.take(now)
	g.cold.checking, g.cold.checkedAt = true, now
	g.cold.checks++
	return HealthCheck{epoch: g.cold.epoch}, true, time.Time{}
}

// EndHealthCheck records the end of a health check. With answered, the backend server has
// stated that it is cold until a time, or warm if that is over.
func (g *Gate) EndHealthCheck(now time.Time, check HealthCheck, answered bool, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateCredits(now)
	g.cold.checking = false
	g.cold.unanswered++
	if answered {
		g.cold.unanswered = 0
	}
	if answered && check.epoch == g.cold.epoch {
		g.cold.assumed = false
		g.cold.setUntil(until)
	}
	g.reschedule(now)
}

// Coldness is what a gate knows of whether its backend server is cold.
type Coldness struct {
	// Limited is set while the limit of a cold backend server is in force, and Assumed if
	// that is because the backend server is not known to be warm. Until is the time at
	// which it becomes warm, if that is known.
	Limited, Assumed bool
	Until            time.Time
}

// Coldness returns what is known at now.
func (g *Gate) Coldness(now time.Time) Coldness {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.cold.limits(now) {
		return Coldness{}
	}
	return Coldness{Limited: true, Assumed: g.cold.assumed, Until: g.cold.until}
}
