package sourcereading

import "time"

// meanInterval is the mean time between two reads of one host at which all
// hosts together read at FallbackRate.
func (s *Scheduler) meanInterval() time.Duration {
	hosts := s.hosts
	if hosts == 0 {
		hosts = s.config.ExpectedHosts
	}
	return time.Duration(float64(hosts) / s.config.FallbackRate * float64(time.Second))
}

// interval returns a random time between half and one and a half times the mean
// interval.
func (s *Scheduler) interval() time.Duration {
	mean := s.meanInterval()
	return mean/2 + s.randomUpTo(mean)
}

// spread returns the random delay of a read of a node whose state is too old.
func (s *Scheduler) spread() time.Duration {
	if s.config.FallbackSpread == 0 {
		return s.interval()
	}
	return s.randomUpTo(s.config.FallbackSpread)
}

func (s *Scheduler) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit) + 1))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
