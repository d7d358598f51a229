package admission

// shedding tells a backend server that sheds what it has no room for from one
// that declines some of its calls whatever its load. For the first a lower
// limit helps; for the second it only leaves slots idle.
type shedding struct {
	// answered and shed count the calls since the last judgement.
	answered, shed int
	// anyway says that the backend server sheds whatever its load.
	anyway bool
}

const (
	// reducedShare is the share of the slots up to which sheds say that their
	// cause may be another one than load.
	reducedShare = 0.5
	// minAnsweredBesideSheds is the number of answers that a judgement needs:
	// a backend server that sheds everything is short of room, or is down.
	minAnsweredBesideSheds = 8
	// shedsWhateverLoad is the least number of sheds for each answer of a backend
	// server that sheds whatever its load, and maxShedsWhateverLoad the most.
	shedsWhateverLoad    = 0.3
	maxShedsWhateverLoad = 4
	// judgedCalls is the number of calls after which sheds are judged again.
	judgedCalls = 32
)

// observe takes over how a call ended. reduced says that the limit is at
// reducedShare of the slots or below.
func (s *shedding) observe(shed, reduced bool) {
	if !s.anyway && !reduced {
		s.answered, s.shed = 0, 0
		return
	}
	if shed {
		s.shed++
	} else {
		s.answered++
	}
	if s.answered >= minAnsweredBesideSheds && !s.anyway {
		s.anyway = s.steady()
	}
	if s.answered+s.shed >= judgedCalls {
		s.anyway = s.steady()
		s.answered, s.shed = 0, 0
	}
}

// steady reports whether sheds and answers are so mixed as they are when the
// load has no part in it.
func (s *shedding) steady() bool {
	answered, shed := float64(s.answered), float64(s.shed)
	return shed >= shedsWhateverLoad*answered && shed <= maxShedsWhateverLoad*answered
}
