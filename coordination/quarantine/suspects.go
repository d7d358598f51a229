package quarantine

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Tracker holds what a guard knows of requests that may crash backend
// servers. It is safe for use by many threads; requests are in shards by
// fingerprint.
type Tracker struct {
	config Config
	known  *state.ExpiringMap[state.Fingerprint, suspicion]
}

type suspicion struct {
	phase Phase
	// until is when the quarantine ends, or when a suspect is forgotten.
	until time.Time
}

// Phase says what is thought of a request.
type Phase uint8

// The phases of a request.
const (
	// PhaseCleared means that a backend server has survived the request since
	// it became a suspect.
	PhaseCleared Phase = iota
	// PhaseSuspect means that the request was in flight at a crash.
	PhaseSuspect
	// PhaseQuarantined means that the request has crashed a backend server
	// alone, after it was a suspect.
	PhaseQuarantined
)

// NewTracker returns suspects of which none is known.
func NewTracker(config Config) *Tracker {
	config = config.withDefaults()
	return &Tracker{
		config: config,
		known: state.NewExpiringMap[state.Fingerprint, suspicion](state.ExpiringMapConfig{
			Shards:    state.DefaultShardCount,
			MaxValues: config.MaxFingerprints,
		}),
	}
}

// Check says whether a request must run alone, or why it must not run at all.
func (s *Tracker) Check(now time.Time, fingerprint state.Fingerprint) (alone bool, refusal *state.Refusal) {
	held, ok := s.known.Get(now, fingerprint)
	if !ok || held.phase == PhaseCleared {
		return false, nil
	}
	if !held.quarantined(now) {
		return true, nil
	}
	refusal = state.NotRun(state.RefusedQuarantined, "requests like this one have crashed backend servers")
	refusal.RetryAfter = held.until.Sub(now)
	return false, refusal
}

// BroadcastCrashNotices notes that the backend server crashed while it had the requests with
// the given fingerprints. It returns the notices that have to be sent to the
// other guards of the availability zone at once.
func (s *Tracker) RecordCrash(now time.Time, inFlight []state.Fingerprint) []Notice {
	notices := make([]Notice, 0, len(inFlight))
	for _, fingerprint := range inFlight {
		s.known.Update(now, fingerprint, func(held suspicion, present bool) state.Change[suspicion] {
			next := s.afterCrash(now, held, present, len(inFlight) == 1)
			notices = append(notices, next.notice(now, fingerprint))
			return s.keep(next)
		})
	}
	return notices
}

// MarkSuspect notes that an attempt of a request was in flight when the backend
// server of another guard crashed. The retry tells so itself, as it may
// overtake the notice.
func (s *Tracker) MarkSuspect(now time.Time, fingerprint state.Fingerprint) {
	s.Merge(now, []Notice{{
		Fingerprint: fingerprint,
		Phase:       PhaseSuspect,
		Remaining:   s.config.SuspectRetention,
	}})
}

// RecordSurvival notes that the backend server answered a request that ran alone.
func (s *Tracker) RecordSurvival(now time.Time, fingerprint state.Fingerprint) {
	s.known.Update(now, fingerprint, func(held suspicion, present bool) state.Change[suspicion] {
		if !present || held.quarantined(now) {
			return state.Change[suspicion]{}
		}
		return s.keep(suspicion{phase: PhaseCleared, until: now.Add(s.config.SuspectRetention)})
	})
}

// afterCrash returns what is thought of a request after a crash. Only a
// suspect that was alone is known to be the cause.
func (s *Tracker) afterCrash(now time.Time, held suspicion, present, wasAlone bool) suspicion {
	suspected := present && held.phase != PhaseCleared
	if (suspected && wasAlone) || held.quarantined(now) {
		return suspicion{phase: PhaseQuarantined, until: now.Add(s.config.QuarantineDuration)}
	}
	return suspicion{phase: PhaseSuspect, until: now.Add(s.config.SuspectRetention)}
}

// keep stores a suspicion. One that was quarantined stays a suspect for a
// while after its release.
func (s *Tracker) keep(next suspicion) state.Change[suspicion] {
	expires := next.until
	if next.phase == PhaseQuarantined {
		expires = expires.Add(s.config.SuspectRetention)
	}
	return state.Change[suspicion]{Kind: state.ChangePut, Value: next, Expires: expires}
}

func (s suspicion) quarantined(now time.Time) bool {
	return s.phase == PhaseQuarantined && now.Before(s.until)
}
