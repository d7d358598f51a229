package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wasabiport/wasabiport/coordination/drain"
	"github.com/wasabiport/wasabiport/state"
)

// LeavingEnd describes a call that ended while its node was leaving.
type LeavingEnd struct {
	// Arrived and Ended are the times from the beginning of the leaving to the arrival and
	// to the end of the call. Arrived is negative if the call arrived earlier.
	Arrived, Ended time.Duration
	Result         drain.Result
}

// callCounts counts the calls of a handler, and those of a leaving node by result.
type callCounts struct {
	running atomic.Int64
	// record is nil until Drain is called.
	record atomic.Pointer[drain.Record]
}

// arrival is the arrival of a call.
type arrival struct {
	at time.Time
	// leaving is nil if the node was not leaving.
	leaving *drain.Record
}

// arrive counts a call.
func (c *callCounts) arrive(at time.Time) arrival {
	c.running.Add(1)
	record := c.record.Load()
	if record != nil {
		record.Arrive()
	}
	return arrival{at: at, leaving: record}
}

// take counts a call that a leaving node takes.
func (a arrival) take() {
	if a.leaving != nil {
		a.leaving.Take(a.at)
	}
}

// end counts the end of a call, and adds it to the result if the node is leaving.
func (c *callCounts) end(r *http.Request, arrived arrival, result *CallResult) {
	defer c.running.Add(-1)
	record := c.record.Load()
	if record == nil {
		return
	}
	end := callEnd(r, *result)
	result.Leaving = &LeavingEnd{
		Arrived: record.Since(arrived.at),
		Ended:   record.Since(end.At),
		Result:  record.End(end),
	}
}

// explain returns the refusal of a call with the explanation of a leaving node if it has
// broken the call off, or else the refusal itself.
func (c *callCounts) explain(r *http.Request, result CallResult, refusal *state.Refusal) *state.Refusal {
	record := c.record.Load()
	if record == nil {
		return refusal
	}
	if record.Schedule().Classify(callEnd(r, result)) != drain.ResultBrokenOff {
		return refusal
	}
	return drain.BrokenOff(refusal)
}

func callEnd(r *http.Request, result CallResult) drain.CallEnd {
	at := result.refusedAt
	if at.IsZero() {
		at = time.Now()
	}
	return drain.CallEnd{
		At:         at,
		Deadline:   result.Deadline,
		Attempted:  len(result.Attempts) > 0,
		CallerLeft: r.Context().Err() != nil,
		Truncated:  result.Truncated,
		Reason:     result.Reason,
		Outcome:    result.Outcome,
	}
}

// LeavingPhase returns how far the leaving of the node has come.
func (h *Handler) LeavingPhase(now time.Time) drain.Phase {
	record := h.calls.record.Load()
	if record == nil {
		return drain.PhaseServing
	}
	return record.Schedule().Phase(now)
}

// LeavingCounts returns the numbers of calls since Drain was called. They are 0 before.
func (h *Handler) LeavingCounts() drain.Counts {
	record := h.calls.record.Load()
	if record == nil {
		return drain.Counts{}
	}
	return record.Counts(h.calls.running.Load())
}
