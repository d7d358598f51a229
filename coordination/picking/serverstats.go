package picking

import (
	"math"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// serverStats holds what this node has observed of one backend server.
type serverStats struct {
	// incarnation is the incarnation of the backend server that the statistics
	// describe.
	incarnation int64

	hint     call.LoadHint
	hintedAt time.Time
	// rateLimit is the limit of the incarnation rateLimitOf, as its guard last knew
	// it.
	rateLimit   call.RateLimit
	rateLimitOf int64
	// picked is the number of picks since the hint; it decays like the hint.
	picked   float64
	pickedAt time.Time
	// pickedLong is the same for calls with long answers.
	pickedLong   float64
	pickedLongAt time.Time

	// leaving is set when the incarnation leavingOf has reported that it is about to
	// exit, last at leavingAt. It gets no more calls, whatever its host or node does.
	leaving   bool
	leavingOf int64
	leavingAt time.Time

	registration registration
	// listedAs is the incarnation that is registered, or 0.
	listedAs int64

	// drainingSince is set when the backend server was observed draining.
	drainingSince time.Time
	// hostLeft is set when its host was observed to leave after that.
	hostLeft bool
	// returnedAt is when it was first considered available after that.
	returnedAt time.Time

	consecutiveFailures int
	ejectedUntil        time.Time
	// latencyRatio is the service time of calls relative to the average of
	// their routes, or 0 when it is unknown.
	latencyRatio float64
	// spreadRatio is latencyRatio with the mean of the first responses. It converges
	// sooner at a backend server that gets few calls from this node.
	spreadRatio   float64
	spreadSamples int
	// failureRate is the share of failures among recent responses. It decays
	// over time.
	failureRate   float64
	failureRateAt time.Time
}

func decay(value float64, age, halfLife time.Duration) float64 {
	return value * math.Exp2(-max(0, age.Seconds())/halfLife.Seconds())
}

// load estimates the number of running and waiting calls.
func (s serverStats) load(now time.Time, halfLife time.Duration) float64 {
	hinted := float64(s.hint.Running + s.hint.Waiting)
	return decay(hinted, now.Sub(s.hintedAt), halfLife) + decay(s.picked, now.Sub(s.pickedAt), halfLife)
}

// slots returns the number of slots that may be used for calls of a typical service time.
func (s serverStats) slots(
	now time.Time,
	server *state.BackendServer,
	service state.Service,
	typical, halfLife time.Duration,
) float64 {
	slots := float64(server.Slots)
	if now.Sub(s.hintedAt) <= halfLife && s.hint.Slots > 0 {
		slots = float64(s.hint.Slots)
	}
	cold := now.UnixMilli() < server.WarmAt
	if cold && service.LimitsCold() {
		// The slots that calls at the cold rate keep in use. That can be less than one.
		return max(minColdSlots, min(slots, service.ColdPerSecond*typical.Seconds()))
	}
	if cold {
		slots *= warmingWeight
	}
	return max(1, slots*s.slowStartFactor(now, service.SlowStart))
}

// longLoadPerSlot is the load of calls with long answers per slot that the link of the
// host sustains, including the next one. It is 0 if the answer is not long there, as far
// as is known. The bandwidth of a link rarely changes, so an old hint of it counts.
func (s serverStats) longLoadPerSlot(now time.Time, answerBytes float64, halfLife time.Duration) float64 {
	link := s.hint.Link
	if !link.IsLong(answerBytes) || link.LongSlots <= 0 {
		return 0
	}
	calls := decay(float64(link.LongCalls), now.Sub(s.hintedAt), halfLife) + decay(s.pickedLong, now.Sub(s.pickedLongAt), halfLife)
	return (calls + 1) / link.LongSlots
}

// expectedLatency estimates the latency of the next call, including the wait
// for a slot. typical is the typical service time of the call.
func (s serverStats) expectedLatency(now time.Time, loadPerSlot float64, typical time.Duration) time.Duration {
	delay := s.expectedDelay(now, loadPerSlot, typical)
	if s.latencyRatio > 0 {
		return time.Duration(float64(delay) * s.latencyRatio)
	}
	return delay
}

// spreadWeight is the weight of a backend server with the given number of slots when
// calls are spread: the calls that it finishes in a typical service time.
func (s serverStats) spreadWeight(slots float64) float64 {
	if s.spreadSamples == 0 {
		return slots
	}
	return slots / max(s.spreadRatio, minSpreadRatio)
}

// expectedDelay is expectedLatency for a backend server of average speed.
func (s serverStats) expectedDelay(now time.Time, loadPerSlot float64, typical time.Duration) time.Duration {
	wait := max(0, loadPerSlot-1)
	congestion := min(1, max(0, loadPerSlot-congestionStart)/(1-congestionStart))
	return time.Duration((1 + wait + congestionPenalty*congestion + failurePenalty*s.currentFailureRate(now)) * float64(typical))
}

func (s serverStats) slowStartFactor(now time.Time, slowStart time.Duration) float64 {
	if s.returnedAt.IsZero() || slowStart <= 0 {
		return 1
	}
	return min(1, max(slowStartMinWeight, float64(now.Sub(s.returnedAt))/float64(slowStart)))
}

func (s serverStats) draining() bool { return !s.drainingSince.IsZero() }

func (s serverStats) isEjected(now time.Time) bool { return now.Before(s.ejectedUntil) }

func (s serverStats) withPick(now time.Time, halfLife time.Duration) serverStats {
	s.picked = decay(s.picked, now.Sub(s.pickedAt), halfLife) + 1
	s.pickedAt = now
	return s
}

// withLongPick records the pick for a call whose answer is long there.
func (s serverStats) withLongPick(now time.Time, answerBytes float64, halfLife time.Duration) serverStats {
	if s.hint.Link.IsLong(answerBytes) {
		s.pickedLong = decay(s.pickedLong, now.Sub(s.pickedLongAt), halfLife) + 1
		s.pickedLongAt = now
	}
	return s
}

// isOfOther reports whether the statistics are known to describe another incarnation
// than the given one.
func (s serverStats) isOfOther(incarnation int64) bool {
	return incarnation != 0 && s.incarnation != 0 && s.incarnation != incarnation
}

// withHint records a hint. Hints may arrive out of order: a hint without
// Draining does not undo an observed drain, and one that another incarnation is
// draining does not count.
func (s serverStats) withHint(now time.Time, load call.LoadHint) serverStats {
	s.hint = load
	s.hintedAt = now
	s.picked, s.pickedLong = 0, 0
	s.consecutiveFailures = 0
	s.ejectedUntil = time.Time{}
	if load.Reported || load.RateLimit.Limited {
		s.rateLimit, s.rateLimitOf = load.RateLimit, load.Incarnation
	}
	if load.Leaving {
		s.leaving, s.leavingOf, s.leavingAt = true, load.Incarnation, now
	}
	if load.Draining && !s.isOfOther(load.Incarnation) {
		s = s.withDraining(now)
	}
	return s
}

// isLeaving reports whether an incarnation has reported that it is about to exit.
func (s serverStats) isLeaving(incarnation int64) bool {
	return s.leaving && s.leavingOf == incarnation
}

// isRemembered reports whether the statistics still matter though the backend server is
// not registered.
func (s serverStats) isRemembered(now time.Time, retention time.Duration) bool {
	return s.leaving && now.Sub(s.leavingAt) < retention || s.registration.isRemembered(now, retention)
}

// forIncarnation returns statistics of another incarnation, with nothing but what is
// known of single incarnations.
func (s serverStats) forIncarnation(incarnation int64) serverStats {
	return serverStats{
		incarnation: incarnation,
		rateLimit:   s.rateLimit, rateLimitOf: s.rateLimitOf,
		leaving: s.leaving, leavingOf: s.leavingOf, leavingAt: s.leavingAt,
		registration: s.registration, listedAs: s.listedAs,
	}
}

// withResponse updates the failure rate with a response.
func (s serverStats) withResponse(now time.Time, failed bool) serverStats {
	var failure float64
	if failed {
		failure = 1
	}
	s.failureRate = s.currentFailureRate(now)
	s.failureRate += (failure - s.failureRate) * failureRateWeight
	s.failureRateAt = now
	return s
}

// withLatencyRatio updates the latency ratio with the ratio of one call.
func (s serverStats) withLatencyRatio(latencyRatio float64) serverStats {
	if s.latencyRatio == 0 {
		s.latencyRatio = 1
	}
	latencyRatio = min(latencyRatio, maxLatencyRatio)
	s.latencyRatio += (latencyRatio - s.latencyRatio) * latencyRatioWeight
	if s.spreadSamples == 0 {
		s.spreadRatio = 1
	}
	s.spreadSamples++
	weight := max(latencyRatioWeight, 1/float64(s.spreadSamples+1))
	s.spreadRatio += (latencyRatio - s.spreadRatio) * weight
	return s
}

func (s serverStats) currentFailureRate(now time.Time) float64 {
	return decay(s.failureRate, now.Sub(s.failureRateAt), failureRateHalfLife)
}

func (s serverStats) withDraining(now time.Time) serverStats {
	if !s.draining() {
		s.hostLeft = false
	}
	s.drainingSince = now
	return s
}

// withPhase updates whether a backend server that was observed draining is
// available again: because its host has left and returned, its node has
// restarted, or the drain was observed at least retention ago.
func (s serverStats) withPhase(now time.Time, phase state.HostPhase, restarted bool, retention time.Duration) serverStats {
	switch {
	case phase == state.HostLeaving || phase == state.HostGone:
		s.hostLeft = true
	case s.hostLeft || restarted || now.Sub(s.drainingSince) >= retention:
		s.drainingSince = time.Time{}
		s.hostLeft = false
		s.returnedAt = now
		s.hint = call.LoadHint{}
		s.hintedAt = time.Time{}
	default:
	}
	return s
}
