package callwire

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

// EncodeRefusal returns the protobuf form of the refusal of a call.
func EncodeRefusal(id state.CallID, refusal *state.Refusal, load call.LoadHint) *wirepb.Refusal {
	return &wirepb.Refusal{
		Reason:          uint32(refusal.Reason),
		Outcome:         uint32(refusal.Outcome),
		Detail:          refusal.Detail,
		RetryAfterNanos: int64(refusal.RetryAfter),
		Id:              string(id),
		Load:            encodeLoad(load),
		Arrived:         refusal.ReachedBackendServer,
	}
}

// DecodeRefusal returns a refusal and its load hint. Any outcome other than
// "not run" is decoded as "may have run", the safe assumption.
func DecodeRefusal(message *wirepb.Refusal) (*state.Refusal, call.LoadHint) {
	outcome := state.OutcomeMayHaveRun
	if message.GetOutcome() == uint32(state.OutcomeNotRun) {
		outcome = state.OutcomeNotRun
	}
	refusal := &state.Refusal{
		Reason:               state.RefusalReason(message.GetReason()),
		Outcome:              outcome,
		Detail:               message.GetDetail(),
		RetryAfter:           time.Duration(message.GetRetryAfterNanos()),
		ReachedBackendServer: message.GetArrived(),
	}
	return refusal, decodeLoad(message.GetLoad())
}

func encodeLoad(load call.LoadHint) *wirepb.LoadHint {
	return &wirepb.LoadHint{
		BackendServer: string(load.BackendServer),
		Running:       uint32(load.Running),
		Waiting:       uint32(load.Waiting),
		Slots:         uint32(load.Slots),
		Draining:      load.Draining,
	}
}

func decodeLoad(message *wirepb.LoadHint) call.LoadHint {
	return call.LoadHint{
		BackendServer: state.BackendServerName(message.GetBackendServer()),
		Running:       int(message.GetRunning()),
		Waiting:       int(message.GetWaiting()),
		Slots:         int(message.GetSlots()),
		Draining:      message.GetDraining(),
	}
}
