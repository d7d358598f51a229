package admission

// shedDetector distinguishes a backend server that sheds calls because it is
// overloaded from one that declines some of its calls regardless of its load. A
// lower limit helps the former; for the latter it only leaves slots idle.
type shedDetector struct {
	// answered and shed count the calls since the last classification.
	answered, shed int
	// loadIndependent is set when the backend server sheds calls regardless of
	// its load.
	loadIndependent bool
}

const (
	// reducedLimitShare is the share of the slots at or below which shed calls
	// may have a cause other than load.
	reducedLimitShare = 0.5
	// minAnswersToClassify is the number of answers required for a
	// classification: a backend server that sheds everything is overloaded or
	// down.
	minAnswersToClassify = 8
	// minSheddingRatio and maxSheddingRatio are the bounds of the ratio of shed
	// to answered calls of a backend server that sheds regardless of its load.
	minSheddingRatio = 0.3
	maxSheddingRatio = 4
	// shedWindowCalls is the number of calls after which shedding is classified
	// again.
	shedWindowCalls = 32
)

// observe records whether a call was shed. reduced means that the limit is at
// or below reducedLimitShare of the slots.
func (s *shedDetector) observe(shed, reduced bool) {
	if !s.loadIndependent && !reduced {
		s.answered, s.shed = 0, 0
		return
	}
	if shed {
		s.shed++
	} else {
		s.answered++
	}
	if s.answered >= minAnswersToClassify && !s.loadIndependent {
		s.loadIndependent = s.ratioIsLoadIndependent()
	}
	if s.answered+s.shed >= shedWindowCalls {
		s.loadIndependent = s.ratioIsLoadIndependent()
		s.answered, s.shed = 0, 0
	}
}

// ratioIsLoadIndependent reports whether the ratio of shed to answered calls is
// one that load does not explain.
func (s *shedDetector) ratioIsLoadIndependent() bool {
	answered, shed := float64(s.answered), float64(s.shed)
	return shed >= minSheddingRatio*answered && shed <= maxSheddingRatio*answered
}
