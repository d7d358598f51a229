package quarantine

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Tracker tracks the requests that may crash backend servers, on one guard. It is
// safe for concurrent use; requests are sharded by fingerprint.
type Tracker struct {
	config   Config
	requests *state.ExpiringMap[state.Fingerprint, requestState]
}

// requestState is the state of one tracked request.
type requestState struct {
	phase Phase
	// until is when the phase ends.
	until time.Time
}

// Phase is the assessment of a tracked request.
type Phase uint8

// The phases of a request.
const (
	// PhaseCleared means that a backend server survived the request when it ran
	// exclusively as a suspect.
	PhaseCleared Phase = iota
	// PhaseSuspect means that the request was in flight when a backend server
	// crashed.
	PhaseSuspect
	// PhaseQuarantined means that the request was the only one in flight at a
	// crash while it was a suspect.
	PhaseQuarantined
)

// NewTracker returns a tracker without requests.
func NewTracker(config Config) *Tracker {
	config = config.withDefaults()
	return &Tracker{
		config: config,
		requests: state.NewExpiringMap[state.Fingerprint, requestState](state.ExpiringMapConfig{
			Shards:    state.DefaultShardCount,
			MaxValues: config.MaxFingerprints,
		}),
	}
}

// Check reports whether a request must run exclusively. It returns a refusal if the
// request is quarantined and must not run.
func (t *Tracker) Check(now time.Time, fingerprint state.Fingerprint) (exclusive bool, refusal *state.Refusal) {
	current, ok := t.requests.Get(now, fingerprint)
	if !ok || current.phase == PhaseCleared {
		return false, nil
	}
	if !current.quarantined(now) {
		return true, nil
	}
	refusal = state.NotRun(state.RefusedQuarantined, "requests like this one have crashed backend servers")
	refusal.RetryAfter = current.until.Sub(now)
	return false, refusal
}

// RecordCrash records that a backend server crashed while the requests with the
// given fingerprints were in flight. It returns the notices to send to the other
// guards immediately.
func (t *Tracker) RecordCrash(now time.Time, inFlight []state.Fingerprint) []Notice {
	notices := make([]Notice, 0, len(inFlight))
	for _, fingerprint := range inFlight {
		t.requests.Update(now, fingerprint, func(current requestState, present bool) state.Change[requestState] {
			next := t.afterCrash(now, current, present, len(inFlight) == 1)
			notices = append(notices, next.notice(now, fingerprint))
			return t.putChange(next)
		})
	}
	return notices
}

// MarkSuspect records that an earlier attempt of a request was in flight when the
// backend server of another guard crashed. The retry carries this information
// itself, as it may arrive before the notice.
func (t *Tracker) MarkSuspect(now time.Time, fingerprint state.Fingerprint) {
	t.Merge(now, []Notice{{
		Fingerprint: fingerprint,
		Phase:       PhaseSuspect,
		Remaining:   t.config.SuspectRetention,
	}})
}

// RecordSurvival records that the backend server survived a request that ran
// exclusively.
func (t *Tracker) RecordSurvival(now time.Time, fingerprint state.Fingerprint) {
	t.requests.Update(now, fingerprint, func(current requestState, present bool) state.Change[requestState] {
		if !present || current.quarantined(now) {
			return state.Change[requestState]{}
		}
		return t.putChange(requestState{phase: PhaseCleared, until: now.Add(t.config.SuspectRetention)})
	})
}

// afterCrash returns the state of a request after a crash. The cause of the crash
// is certain only if a suspect was the only request in flight.
func (t *Tracker) afterCrash(now time.Time, current requestState, present, onlyInFlight bool) requestState {
	suspected := present && current.phase != PhaseCleared
	if (suspected && onlyInFlight) || current.quarantined(now) {
		return requestState{phase: PhaseQuarantined, until: now.Add(t.config.QuarantineDuration)}
	}
	return requestState{phase: PhaseSuspect, until: now.Add(t.config.SuspectRetention)}
}

// putChange returns the change that stores the state of a request. A quarantined
// request is kept for the suspect retention after its quarantine, as a suspect.
func (t *Tracker) putChange(next requestState) state.Change[requestState] {
	expires := next.until
	if next.phase == PhaseQuarantined {
		expires = expires.Add(t.config.SuspectRetention)
	}
	return state.Change[requestState]{Kind: state.ChangePut, Value: next, Expires: expires}
}

func (s requestState) quarantined(now time.Time) bool {
	return s.phase == PhaseQuarantined && now.Before(s.until)
}
