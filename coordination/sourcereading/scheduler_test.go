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

// budget is the number of reads a second that the platform answers.
const budget = 2000

var start = time.Unix(1_700_000_000, 0)

func newPlan(hosts int, seed uint64) *sourcereading.Scheduler {
	return sourcereading.NewScheduler(sourcereading.Config{
		FallbackRate:  200,
		ExpectedHosts: hosts,
		FallbackAfter: time.Minute,
		WatchPause:    time.Second,
		BusyPause:     200 * time.Millisecond,
		Retry:         backoff.Policy{Base: 500 * time.Millisecond, Max: 30 * time.Second},
	}, rand.New(rand.NewPCG(seed, 3)))
}

// readsBySecond lets plans read for a time. The answer to each read comes at
// once and is given by read.
func readsBySecond(plans []*sourcereading.Scheduler, duration time.Duration, read func(*sourcereading.Scheduler, time.Time)) []int {
	const step = 200 * time.Millisecond
	reads := make([]int, duration/time.Second)
	for offset := time.Duration(0); offset < duration; offset += step {
		now := start.Add(offset)
		for _, plan := range plans {
			if !plan.Next(now).At.After(now) {
				reads[offset/time.Second]++
				read(plan, now)
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

// TestWholeFleetStaysWithinTheBudget has no node hear anything from peers, so
// that all of them read for themselves: tickets and the host list.
func TestWholeFleetStaysWithinTheBudget(t *testing.T) {
	answers := map[string]func(*sourcereading.Scheduler, time.Time){
		"up": func(p *sourcereading.Scheduler, now time.Time) {
			p.Answered(now, sourcereading.AnswerUnchanged)
			p.Isolated(now)
		},
		"old answers": func(p *sourcereading.Scheduler, now time.Time) { p.Answered(now, sourcereading.AnswerStale) },
		"down":        func(p *sourcereading.Scheduler, now time.Time) { p.Failed(now) },
		"flapping": func(p *sourcereading.Scheduler, now time.Time) {
			if now.Unix()%2 == 0 {
				p.Failed(now)
				return
			}
			p.Answered(now, sourcereading.AnswerNewer)
			p.Isolated(now)
		},
	}
	for _, hosts := range []int{1000, 10_000} {
		for name, read := range answers {
			t.Run(fmt.Sprintf("%d hosts, source %s", hosts, name), func(t *testing.T) {
				var plans []*sourcereading.Scheduler
				for i := range 2 * hosts {
					plan := newPlan(hosts, uint64(i))
					plan.SetRole(start, i < 2*18, hosts)
					plans = append(plans, plan)
				}
				reads := readsBySecond(plans, time.Minute, read)
				require.Less(t, peak(reads), budget/2)
				require.Positive(t, peak(reads))
			})
		}
	}
}

func TestFreshNewsFromPeersKeepsNodesFromReading(t *testing.T) {
	plan := newPlan(1000, 1)
	plan.SetRole(start, false, 1000)
	reads := 0
	for second := range 600 {
		now := start.Add(time.Duration(second) * time.Second)
		plan.PeerConfirmed(now, now.Add(-20*time.Second))
		if !plan.Next(now).At.After(now) {
			reads++
			plan.Answered(now, sourcereading.AnswerUnchanged)
		}
	}
	require.Zero(t, reads)
	silent := start.Add(600 * time.Second)
	at := plan.Next(silent).At
	require.True(t, at.After(silent.Add(30*time.Second)), "the state is still fresh enough")
	require.True(t, at.Before(silent.Add(2*time.Minute)), "an orphan reads in the end")
}
