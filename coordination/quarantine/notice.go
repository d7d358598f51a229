package quarantine

import (
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Notice informs another guard of a suspect or quarantined request.
type Notice struct {
	Fingerprint state.Fingerprint
	Phase       Phase
	// Remaining is the time until the phase ends. It is a duration because the
	// clocks of two hosts differ.
	Remaining time.Duration
}

// Notices returns notices of the suspect and quarantined requests, for a guard that
// has just started. The number of notices is limited; quarantined requests take
// precedence.
func (t *Tracker) Notices(now time.Time) []Notice {
	var quarantined, suspected []Notice
	t.requests.Range(now, func(fingerprint state.Fingerprint, current requestState) bool {
		notice := current.notice(now, fingerprint)
		switch {
		case current.quarantined(now):
			quarantined = append(quarantined, notice)
		case current.phase == PhaseSuspect:
			suspected = append(suspected, notice)
		default:
		}
		return len(quarantined) < maxNotices
	})
	all := slices.Concat(quarantined, suspected)
	return all[:min(len(all), maxNotices)]
}

// Merge applies notices from another guard and returns those that changed the state
// of this tracker, which have to be forwarded. A notice does not make a request
// suspect that was cleared here, does not shorten a phase, and does not extend it
// beyond the configured duration.
func (t *Tracker) Merge(now time.Time, notices []Notice) []Notice {
	var applied []Notice
	for _, notice := range notices[:min(len(notices), maxNotices)] {
		t.requests.Update(now, notice.Fingerprint, func(current requestState, present bool) state.Change[requestState] {
			change := t.mergeNotice(now, current, present, notice)
			if change.Kind == state.ChangePut {
				applied = append(applied, notice)
			}
			return change
		})
	}
	return applied
}

// mergeNotice returns the change that a notice makes to the state of its request.
func (t *Tracker) mergeNotice(now time.Time, current requestState, present bool, notice Notice) state.Change[requestState] {
	maxRemaining := t.config.SuspectRetention
	if notice.Phase == PhaseQuarantined {
		maxRemaining = t.config.QuarantineDuration
	}
	reported := requestState{phase: notice.Phase, until: now.Add(min(notice.Remaining, maxRemaining))}
	lowerPhase := present && (notice.Phase < current.phase || current.phase == PhaseCleared && notice.Phase == PhaseSuspect)
	notExtended := present && notice.Phase == current.phase && reported.until.Before(current.until.Add(minExtension))
	invalid := notice.Phase != PhaseSuspect && notice.Phase != PhaseQuarantined
	if lowerPhase || notExtended || invalid || notice.Remaining <= 0 {
		return state.Change[requestState]{}
	}
	return t.putChange(reported)
}

func (s requestState) notice(now time.Time, fingerprint state.Fingerprint) Notice {
	return Notice{Fingerprint: fingerprint, Phase: s.phase, Remaining: s.until.Sub(now)}
}
