package admission

import (
	"math"
	"time"
)

// Weights of a new sample in the moving averages of the service time.
const (
	recentWeight   = 1.0 / 16
	longTermWeight = 1.0 / 512
	// minSamples is the number of samples required for an estimate.
	minSamples = 32
	// minSamplesOfRoute is lower than minSamples, because until then the calls of a
	// route count as average ones of their class, and heavy ones start too late.
	minSamplesOfRoute = 8
	// minSamplesForLong is lower than minSamples because long calls yield few
	// samples.
	minSamplesForLong = 4
	// upperBoundDeviations is the number of mean deviations above the mean
	// below which nearly all calls lie.
	upperBoundDeviations = 3
	// likelyBoundDeviations is the same for most calls.
	likelyBoundDeviations = 2
)

// serviceTime estimates the service time of the calls of one class or route.
type serviceTime struct {
	// ofRoute is set for the calls of one route, which are more alike than those of a
	// class.
	ofRoute       bool
	samples       int
	recentMean    float64 // seconds
	meanDeviation float64 // mean absolute deviation from recentMean, seconds
	longTermMean  float64 // seconds
}

func (s *serviceTime) observe(sample time.Duration) {
	seconds := max(0, sample.Seconds())
	s.samples++
	if s.samples == 1 {
		s.recentMean = seconds
	}
	s.meanDeviation += (math.Abs(seconds-s.recentMean) - s.meanDeviation) * max(recentWeight, 1/float64(s.samples))
	s.recentMean += (seconds - s.recentMean) * max(recentWeight, 1/float64(s.samples))
	s.longTermMean += (seconds - s.longTermMean) * max(longTermWeight, 1/float64(s.samples))
}

// known reports whether there are enough samples for an estimate.
func (s *serviceTime) known() bool {
	if s.ofRoute {
		return s.samples >= minSamplesOfRoute
	}
	return s.samples >= minSamples
}

// mean returns the recent mean service time, or 0 with too few samples.
func (s *serviceTime) mean() time.Duration {
	if !s.known() {
		return 0
	}
	return time.Duration(s.recentMean * float64(time.Second))
}

// upperBound returns a time within which nearly all calls end, or 0 with too
// few samples.
func (s *serviceTime) upperBound() time.Duration {
	if !s.known() {
		return 0
	}
	return time.Duration((s.recentMean + upperBoundDeviations*s.meanDeviation) * float64(time.Second))
}

// likelyBound returns a time within which most calls end, or 0 with too few
// samples.
func (s *serviceTime) likelyBound() time.Duration {
	if !s.known() {
		return 0
	}
	return time.Duration((s.recentMean + likelyBoundDeviations*s.meanDeviation) * float64(time.Second))
}

// isLong reports whether the mean service time is at least threshold.
func (s *serviceTime) isLong(threshold time.Duration) bool {
	return s.samples >= minSamplesForLong && s.recentMean >= threshold.Seconds()
}

// isSlow reports whether the recent mean service time exceeds the long-term
// mean by the factor tolerance.
func (s *serviceTime) isSlow(tolerance float64) bool {
	return s.samples >= minSamples && s.recentMean > tolerance*s.longTermMean
}
