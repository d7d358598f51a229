package callrecord

import "github.com/wasabiport/wasabiport/state"

func conflictingRequest() *state.Refusal {
	return state.NotRun(state.RefusedConflict, "the idempotency key belongs to another request")
}

func mayHaveRunBeforeRecords() *state.Refusal {
	return state.MayHaveRun(state.RefusedConflict,
		"the idempotency key may be older than the records of this node")
}

func mayHaveRunRecordExpired() *state.Refusal {
	return state.MayHaveRun(state.RefusedConflict,
		"the idempotency key is older than the time for which outcomes are kept")
}

func mayHaveRunElsewhere() *state.Refusal {
	return state.MayHaveRun(state.RefusedBehind, "another node keeps the record of the idempotency key")
}

func replyNotKept() *state.Refusal {
	return state.MayHaveRun(state.RefusedConflict,
		"the call with this idempotency key is done; its reply was too large to be kept")
}

func notRunRecordsFull() *state.Refusal {
	return state.NotRun(state.RefusedQueueFull, "the records of calls with an idempotency key are full")
}

// withMayHaveRun returns a copy of refusal with OutcomeMayHaveRun.
func withMayHaveRun(refusal *state.Refusal) *state.Refusal {
	changed := *refusal
	changed.Outcome = state.OutcomeMayHaveRun
	return &changed
}
