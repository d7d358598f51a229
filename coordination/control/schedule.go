package control

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minRebuildInterval bounds how often the trees are rebuilt.
	minRebuildInterval = 200 * time.Millisecond
	// dampingCheckInterval is how often the trees are rebuilt without other
	// changes, to include hosts whose damping has ended.
	dampingCheckInterval = 10 * time.Second
	// statusDelay is how long changes are collected before they are reported.
	statusDelay = 300 * time.Millisecond
	// statusRetentionIntervals is the number of status intervals for which a
	// report is valid.
	statusRetentionIntervals = 3
)

// schedule holds the times of periodic work.
type schedule struct {
	config Config

	mu          sync.Mutex
	random      *rand.Rand
	lastTickAt  time.Time
	heartbeatAt time.Time
	// announcedAt is the time of the confirmation of the host list that the latest
	// heartbeat has carried.
	announcedAt time.Time
	// statusAt is when the next report is due; fullStatusAt is when the next
	// report with all availability zones is due.
	statusAt       time.Time
	fullStatusAt   time.Time
	treesRebuiltAt time.Time
	// treeGeneration is the generation of the membership table from which the
	// trees were built.
	treeGeneration uint64
	// nextTickAt is when the next Tick is expected.
	nextTickAt time.Time
}

func newSchedule(config Config, random *rand.Rand) *schedule {
	return &schedule{config: config, random: random}
}

// dueWork is the work that a Tick has to do.
type dueWork struct {
	heartbeat bool
	status    bool
	// fullStatus is true if the report covers all availability zones.
	fullStatus   bool
	rebuildTrees bool
	next         time.Time
}

// tick returns the work that is due and schedules the next times. A heartbeat carries
// the time at which the host list was confirmed.
func (s *schedule) tick(now time.Time, generation uint64, confirmedAt time.Time) dueWork {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastTickAt = now
	work := dueWork{
		heartbeat:    !now.Before(s.heartbeatAt),
		status:       !now.Before(s.statusAt),
		rebuildTrees: s.rebuildDue(now, generation),
	}
	work.fullStatus = work.status && !now.Before(s.fullStatusAt)
	if work.heartbeat {
		s.heartbeatAt = now.Add(s.jitter(s.config.HeartbeatInterval))
		s.announcedAt = confirmedAt
	}
	if work.status {
		if work.fullStatus {
			s.fullStatusAt = now.Add(s.jitter(s.config.StatusInterval))
		}
		s.statusAt = s.fullStatusAt
	}
	work.next = earliest(s.heartbeatAt, s.statusAt)
	if generation != s.treeGeneration && !work.rebuildTrees {
		work.next = earliest(work.next, s.treesRebuiltAt.Add(minRebuildInterval))
	}
	s.nextTickAt = work.next
	return work
}

func (s *schedule) rebuildDue(now time.Time, generation uint64) bool {
	since := now.Sub(s.treesRebuiltAt)
	if generation != s.treeGeneration {
		return since >= minRebuildInterval
	}
	return since >= dampingCheckInterval
}

// jitter returns interval changed at random by up to a tenth, so that nodes
// that started together do not keep sending at the same time.
func (s *schedule) jitter(interval time.Duration) time.Duration {
	return interval - interval/10 + time.Duration(s.random.Int64N(int64(interval)/5+1))
}

func (s *schedule) recordRebuild(now time.Time, generation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.treesRebuiltAt = now
	s.treeGeneration = generation
}

// expediteHeartbeat makes the next heartbeat due when the host list was confirmed
// much later than the latest heartbeat has announced. Confirmations then reach all
// nodes before they read the source themselves.
func (s *schedule) expediteHeartbeat(now, confirmedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if confirmedAt.Sub(s.announcedAt) >= s.config.HostListFallbackAfter/2 {
		s.heartbeatAt = earliest(s.heartbeatAt, now)
	}
}

// expediteStatus moves the next report to at most statusDelay from now because
// something has changed.
func (s *schedule) expediteStatus(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statusAt = earliest(s.statusAt, now.Add(statusDelay))
}

// overdue returns the delay of the next Tick if it exceeds MaxTickDelay. From
// then on it returns 0 until the next Tick.
func (s *schedule) overdue(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	overdue := now.Sub(s.nextTickAt)
	if s.nextTickAt.IsZero() || overdue <= s.config.MaxTickDelay {
		return 0
	}
	s.nextTickAt = now
	s.lastTickAt = now
	return overdue
}

// lastTick returns the time of the latest Tick.
func (s *schedule) lastTick() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastTickAt
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
