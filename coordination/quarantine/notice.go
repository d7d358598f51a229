package quarantine

import (
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Notice tells another guard of a suspect or quarantined request.
type Notice struct {
	Fingerprint state.Fingerprint
	Phase       Phase
	// Remaining is how long the phase lasts. Clocks of two hosts differ, so
	// no time of day is sent.
	Remaining time.Duration
}

// Notices returns the requests that are suspect or quarantined, for a guard
// that has just come up. It is bounded; quarantined requests go first.
func (s *Tracker) Notices(now time.Time) []Notice {
	var quarantined, suspected []Notice
	s.known.Range(now, func(fingerprint state.Fingerprint, held suspicion) bool {
		notice := held.notice(now, fingerprint)
		switch {
		case held.quarantined(now):
			quarantined = append(quarantined, notice)
		case held.phase == PhaseSuspect:
			suspected = append(suspected, notice)
		default:
		}
		return len(quarantined) < maxNotices
	})
	all := slices.Concat(quarantined, suspected)
	return all[:min(len(all), maxNotices)]
}

// Merge takes over notices of another guard and returns those that were news,
// which have to be passed on. A request that was cleared here
// does not become a suspect by a notice, and no notice makes a phase shorter
// or longer than the settings say.
func (s *Tracker) Merge(now time.Time, notices []Notice) []Notice {
	var news []Notice
	for _, notice := range notices[:min(len(notices), maxNotices)] {
		s.known.Update(now, notice.Fingerprint, func(held suspicion, present bool) state.Change[suspicion] {
			change := s.learn(now, held, present, notice)
			if change.Kind == state.ChangePut {
				news = append(news, notice)
			}
			return change
		})
	}
	return news
}

func (s *Tracker) learn(now time.Time, held suspicion, present bool, notice Notice) state.Change[suspicion] {
	longest := s.config.SuspectRetention
	if notice.Phase == PhaseQuarantined {
		longest = s.config.QuarantineDuration
	}
	told := suspicion{phase: notice.Phase, until: now.Add(min(notice.Remaining, longest))}
	weaker := present && (notice.Phase < held.phase || held.phase == PhaseCleared && notice.Phase == PhaseSuspect)
	same := present && notice.Phase == held.phase && told.until.Before(held.until.Add(minExtension))
	unknown := notice.Phase != PhaseSuspect && notice.Phase != PhaseQuarantined
	if weaker || same || unknown || notice.Remaining <= 0 {
		return state.Change[suspicion]{}
	}
	return s.keep(told)
}

func (s suspicion) notice(now time.Time, fingerprint state.Fingerprint) Notice {
	return Notice{Fingerprint: fingerprint, Phase: s.phase, Remaining: s.until.Sub(now)}
}
