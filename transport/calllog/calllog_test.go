package calllog_test

import (
	"bytes"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/calllog"
	"github.com/wasabiport/wasabiport/transport/entry"
	"github.com/wasabiport/wasabiport/transport/events"
)

// nobody is an observer that does nothing.
type nobody struct{}

func (nobody) CallStarted()                  {}
func (nobody) CallFinished(entry.CallResult) {}
func (nobody) CallRetried()                  {}

// fixedAges is what the node goes by.
type fixedAges struct{}

func (fixedAges) Staleness(time.Time) (time.Duration, bool)         { return 700 * time.Millisecond, true }
func (fixedAges) HostListStaleness(time.Time) (time.Duration, bool) { return 0, false }

// count counts what is left out.
type count int

func (c *count) Inc() { *c++ }

func newLimit() *events.LineLimiter { return events.NewLineLimiter(100, 500, new(count)) }

func newObserver(t *testing.T) (*calllog.Observer, *bytes.Buffer) {
	var output bytes.Buffer
	logger, err := events.NewLogger(&output, events.FormatJSON, events.LevelInfo)
	require.NoError(t, err)
	return calllog.New(nobody{}, fixedAges{}, newLimit(), logger), &output
}

func failed(id state.CallID) entry.CallResult {
	refusal := state.MayHaveRun(state.RefusedBackendServerFailed, "the answer was cut")
	return entry.CallResult{
		ID: id, Route: "status", Class: state.ClassHigh, Ticket: 7, RegistryVersion: 31, Remaining: time.Second, Duration: 120 * time.Millisecond,
		Outcome: refusal.Outcome, Reason: refusal.Reason, Detail: refusal.Detail,
		Attempts: []entry.Attempt{
			{BackendServer: "desk-0", Duration: 20 * time.Millisecond, Refusal: state.NotRun(state.RefusedQueueFull, "")},
			{BackendServer: "desk-1", Duration: 100 * time.Millisecond, Refusal: refusal},
		},
	}
}

// TestFailedCallIsExplainedByItsLine finds the cause from the id alone.
func TestFailedCallIsExplainedByItsLine(t *testing.T) {
	observer, output := newObserver(t)
	observer.CallFinished(failed("id-1"))
	line := output.String()
	for _, part := range []string{
		`"call":"id-1"`, `"ticket":7,"ticket_age":"700ms","registry":31,"registry_age":"never","left":"1s"`, `"outcome":"may-have-run"`, `"reason":"backend-server-failed"`,
		"the answer was cut", "desk-0 20ms queue-full not-run; desk-1 100ms backend-server-failed may-have-run",
	} {
		require.Contains(t, line, part)
	}
}

func TestCallsThatGoWellHaveNoLine(t *testing.T) {
	observer, output := newObserver(t)
	observer.CallFinished(entry.CallResult{ID: "id-1", Attempts: []entry.Attempt{{BackendServer: "desk-0"}}})
	require.Empty(t, output.String())
}

// TestFloodOfFailuresIsBounded counts the lines of one second, and finds the
// number of those left out in the next one.
func TestFloodOfFailuresIsBounded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		observer, output := newObserver(t)
		const failures = 10_000
		for range failures {
			observer.CallFinished(failed("id-1"))
		}
		written := strings.Count(output.String(), "\n")
		require.LessOrEqual(t, written, 600)
		time.Sleep(time.Second)
		output.Reset()
		observer.CallFinished(failed("id-2"))
		require.Contains(t, output.String(), `"left_out":9500}`)
	})
}

// BenchmarkFailedCall compares a call that is logged with one whose line is left
// out, and with no log at all.
func BenchmarkFailedCall(b *testing.B) {
	logger, err := events.NewLogger(events.NewAsyncWriter(io.Discard), events.FormatJSON, events.LevelInfo)
	require.NoError(b, err)
	limits := map[string]*events.LineLimiter{
		"logged":   events.NewLineLimiter(math.Inf(1), 1, new(count)),
		"left out": events.NewLineLimiter(0, 0, new(count)),
	}
	for name, limit := range limits {
		observer := calllog.New(nobody{}, fixedAges{}, limit, logger)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				observer.CallFinished(failed("id-1"))
			}
		})
	}
	b.Run("not logged", func(b *testing.B) {
		for b.Loop() {
			nobody{}.CallFinished(failed("id-1"))
		}
	})
}
