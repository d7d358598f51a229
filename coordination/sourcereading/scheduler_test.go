package sourcereading_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/backoff"
	"github.com/wasabiport/wasabiport/coordination/sourcereading"
)

// readCapacity is the number of reads per second that the platform can answer.
const readCapacity = 2000

var start = time.Unix(1_700_000_000, 0)

func newScheduler(hosts int, seed uint64) *sourcereading.Scheduler {
	return sourcereading.NewScheduler(sourcereading.Config{
		FallbackRate:  200,
		ExpectedHosts: hosts,
		FallbackAfter: time.Minute,
		WatchPause:    time.Second,
		BusyPause:     200 * time.Millisecond,
		Retry:         backoff.Policy{Base: 500 * time.Millisecond, Max: 30 * time.Second},
	}, rand.New(rand.NewPCG(seed, 3)))
}

// readsBySecond runs the schedulers for duration and returns the number of
// reads in each second. Each read is answered at once by calling read.
func readsBySecond(schedulers []*sourcereading.Scheduler, duration time.Duration, read func(*sourcereading.Scheduler, time.Time)) []int {
	const step = 200 * time.Millisecond
	reads := make([]int, duration/time.Second)
	for offset := time.Duration(0); offset < duration; offset += step {
		now := start.Add(offset)
		for _, scheduler := range schedulers {
			if !scheduler.Next(now).At.After(now) {
				reads[offset/time.Second]++
				read(scheduler, now)
			}
		}
	}
	return reads
}

func peak(reads []int) int {
	highest := 0
	for _, count := range reads {
		highest = max(highest, count)
	}
	return highest
}

// TestFleetStaysWithinReadBudget covers a fleet in which no node receives state
// from peers, so that all nodes read tickets and the host list from the source.
// It guards against a thundering herd when the source fails or recovers.
func TestFleetStaysWithinReadBudget(t *testing.T) {
	answers := map[string]func(*sourcereading.Scheduler, time.Time){
		"up": func(s *sourcereading.Scheduler, now time.Time) {
			s.RecordAnswer(now, sourcereading.AnswerUnchanged)
			s.RecordIsolation(now)
		},
		"stale answers": func(s *sourcereading.Scheduler, now time.Time) { s.RecordAnswer(now, sourcereading.AnswerStale) },
		"down":          func(s *sourcereading.Scheduler, now time.Time) { s.RecordFailure(now) },
		"flapping": func(s *sourcereading.Scheduler, now time.Time) {
			if now.Unix()%2 == 0 {
				s.RecordFailure(now)
				return
			}
			s.RecordAnswer(now, sourcereading.AnswerNewer)
			s.RecordIsolation(now)
		},
	}
	for _, hosts := range []int{1000, 10_000} {
		for name, read := range answers {
			t.Run(fmt.Sprintf("%d hosts, source %s", hosts, name), func(t *testing.T) {
				var schedulers []*sourcereading.Scheduler
				for i := range 2 * hosts {
					scheduler := newScheduler(hosts, uint64(i))
					scheduler.SetRole(start, i < 2*18, hosts)
					schedulers = append(schedulers, scheduler)
				}
				reads := readsBySecond(schedulers, time.Minute, read)
				require.Less(t, peak(reads), readCapacity/2)
				require.Positive(t, peak(reads))
			})
		}
	}
}

func TestRecentPeerConfirmationsPreventReads(t *testing.T) {
	scheduler := newScheduler(1000, 1)
	scheduler.SetRole(start, false, 1000)
	reads := 0
	for second := range 600 {
		now := start.Add(time.Duration(second) * time.Second)
		scheduler.RecordPeerConfirmation(now, now.Add(-20*time.Second))
		if !scheduler.Next(now).At.After(now) {
			reads++
			scheduler.RecordAnswer(now, sourcereading.AnswerUnchanged)
		}
	}
	require.Zero(t, reads)
	afterConfirmations := start.Add(600 * time.Second)
	at := scheduler.Next(afterConfirmations).At
	require.True(t, at.After(afterConfirmations.Add(30*time.Second)), "the state is still recent")
	require.True(t, at.Before(afterConfirmations.Add(2*time.Minute)), "the node reads after FallbackAfter")
}

func TestReaderReadsSoonAfterTheSourceAnsweredAnotherRead(t *testing.T) {
	scheduler := newScheduler(10, 1)
	scheduler.SetRole(start, true, 10)
	for range 20 {
		scheduler.RecordFailure(start)
	}
	now := start.Add(10 * time.Millisecond)
	scheduler.RecordSourceAnswer(now)
	require.False(t, scheduler.Next(now).At.After(now.Add(time.Second)))
	scheduler.SetRole(now, false, 10)
	before := scheduler.Next(now).At
	scheduler.RecordSourceAnswer(now)
	require.Equal(t, before, scheduler.Next(now).At, "nodes that are no readers keep to their rate")
}
