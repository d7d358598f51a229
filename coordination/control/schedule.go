package control

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// redrawInterval bounds how often the trees are drawn again.
	redrawInterval = 200 * time.Millisecond
	// dampingCheckInterval is how often hosts are looked for that may take
	// part again.
	dampingCheckInterval = 10 * time.Second
	// statusDelay collects changes before they are reported.
	statusDelay = 300 * time.Millisecond
	// statusRetention is the number of status intervals for which a report
	// counts.
	statusRetention = 3
)

// schedule holds when what is due.
type schedule struct {
	config Config

	mu          sync.Mutex
	random      *rand.Rand
	latestAt    time.Time
	heartbeatAt time.Time
	// statusAt is when the next report is due; fullStatusAt is when the next
	// one with all availability zones is.
	statusAt     time.Time
	fullStatusAt time.Time
	redrawnAt    time.Time
	// drawn is the generation of the hosts from which the trees were drawn.
	drawn uint64
	// dueAt is when the next Tick was to come.
	dueAt time.Time
}

func newSchedule(config Config, random *rand.Rand) *schedule {
	return &schedule{config: config, random: random}
}

// due is what a Tick has to do.
type due struct {
	heartbeat bool
	status    bool
	// fullStatus says that the report has all availability zones.
	fullStatus bool
	redraw     bool
	next       time.Time
}

// tick returns what is due and plans the next times.
func (s *schedule) tick(now time.Time, generation uint64) due {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latestAt = now
	work := due{
		heartbeat: !now.Before(s.heartbeatAt),
		status:    !now.Before(s.statusAt),
		redraw:    s.redrawDue(now, generation),
	}
	work.fullStatus = work.status && !now.Before(s.fullStatusAt)
	if work.heartbeat {
		s.heartbeatAt = now.Add(s.around(s.config.HeartbeatInterval))
	}
	if work.status {
		if work.fullStatus {
			s.fullStatusAt = now.Add(s.around(s.config.StatusInterval))
		}
		s.statusAt = s.fullStatusAt
	}
	work.next = earliest(s.heartbeatAt, s.statusAt)
	if generation != s.drawn && !work.redraw {
		work.next = earliest(work.next, s.redrawnAt.Add(redrawInterval))
	}
	s.dueAt = work.next
	return work
}

func (s *schedule) redrawDue(now time.Time, generation uint64) bool {
	since := now.Sub(s.redrawnAt)
	if generation != s.drawn {
		return since >= redrawInterval
	}
	return since >= dampingCheckInterval
}

// around draws a time within a tenth of interval, so that nodes that started
// together drift apart.
func (s *schedule) around(interval time.Duration) time.Duration {
	return interval - interval/10 + time.Duration(s.random.Int64N(int64(interval)/5+1))
}

func (s *schedule) redrawn(now time.Time, generation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.redrawnAt = now
	s.drawn = generation
}

// hastenStatus has the next report made soon, because there is news.
func (s *schedule) hastenStatus(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statusAt = earliest(s.statusAt, now.Add(statusDelay))
}

// late returns by how much the next Tick is overdue when that is more than the
// pause threshold. It returns 0 from then on until the next Tick.
func (s *schedule) late(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := now.Sub(s.dueAt)
	if s.dueAt.IsZero() || late <= s.config.MaxTickDelay {
		return 0
	}
	s.dueAt = now
	s.latestAt = now
	return late
}

// latest returns the time of the latest Tick.
func (s *schedule) latest() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latestAt
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
