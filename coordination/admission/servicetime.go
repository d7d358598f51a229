package admission

import (
	"math"
	"time"
)

// Weights of a new sample in the moving averages of the service time.
const (
	recentWeight = 1.0 / 16
	usualWeight  = 1.0 / 512
	// minSamples is how many samples are needed for a judgement.
	minSamples = 32
	// minSamplesForLong is less, as long calls give few samples.
	minSamplesForLong = 4
	// spreadsForNearlyAll is how many mean deviations above the mean hold
	// nearly all calls.
	spreadsForNearlyAll = 3
	// spreadsForMost is the same for most calls.
	spreadsForMost = 2
)

// serviceTime estimates how long the calls of one class run.
type serviceTime struct {
	samples int
	recent  float64 // seconds
	spread  float64 // mean absolute deviation from recent, seconds
	usual   float64 // seconds
}

func (s *serviceTime) observe(sample time.Duration) {
	seconds := max(0, sample.Seconds())
	s.samples++
	if s.samples == 1 {
		s.recent = seconds
	}
	s.spread += (math.Abs(seconds-s.recent) - s.spread) * max(recentWeight, 1/float64(s.samples))
	s.recent += (seconds - s.recent) * max(recentWeight, 1/float64(s.samples))
	s.usual += (seconds - s.usual) * max(usualWeight, 1/float64(s.samples))
}

// mean returns the recent service time, or 0 when too little is known.
func (s *serviceTime) mean() time.Duration {
	if s.samples < minSamples {
		return 0
	}
	return time.Duration(s.recent * float64(time.Second))
}

// nearlyAll returns a time within which nearly all calls end, or 0 when too
// little is known.
func (s *serviceTime) nearlyAll() time.Duration {
	if s.samples < minSamples {
		return 0
	}
	return time.Duration((s.recent + spreadsForNearlyAll*s.spread) * float64(time.Second))
}

// most returns a time within which most calls end, or 0 when too little is
// known.
func (s *serviceTime) most() time.Duration {
	if s.samples < minSamples {
		return 0
	}
	return time.Duration((s.recent + spreadsForMost*s.spread) * float64(time.Second))
}

// long reports whether calls take threshold or longer.
func (s *serviceTime) long(threshold time.Duration) bool {
	return s.samples >= minSamplesForLong && s.recent >= threshold.Seconds()
}

// slow reports whether calls take longer than usual by the factor tolerance.
func (s *serviceTime) slow(tolerance float64) bool {
	return s.samples >= minSamples && s.recent > tolerance*s.usual
}
