package callwire

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

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
		ZoneDrained:     refusal.ZoneDrained,
	}
}

// DecodeRefusal returns a refusal and its load hint. Any outcome other than
// "not run" is decoded as "may have run", the safe assumption, and a call that may
// have run as one that has reached its backend server.
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
		ReachedBackendServer: message.GetArrived() || outcome == state.OutcomeMayHaveRun,
		ZoneDrained:          message.GetZoneDrained(),
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
		Incarnation:   load.Incarnation,
		RateLimit:     encodeRateLimit(load.RateLimit),
		Reported:      load.Reported,
		Leaving:       load.Leaving,

		LinkBytesPerSecond: load.Link.BytesPerSecond,
		LinkLongSlots:      load.Link.LongSlots,
		LinkLongCalls:      uint32(load.Link.LongCalls),
	}
}

func decodeLoad(message *wirepb.LoadHint) call.LoadHint {
	if message == nil {
		return call.LoadHint{}
	}
	return call.LoadHint{
		BackendServer: state.BackendServerName(message.GetBackendServer()),
		Running:       int(message.GetRunning()),
		Waiting:       int(message.GetWaiting()),
		Slots:         int(message.GetSlots()),
		Draining:      message.GetDraining(),
		Incarnation:   message.GetIncarnation(),
		RateLimit:     decodeRateLimit(message.RateLimit),
		Reported:      message.GetReported(),
		Leaving:       message.GetLeaving(),
		Link:          decodeLink(message),
	}
}

// decodeLink returns no limit for values that are not finite numbers of at least 0.
func decodeLink(message *wirepb.LoadHint) call.LinkLoad {
	perSecond, slots := message.GetLinkBytesPerSecond(), message.GetLinkLongSlots()
	if !isFinite(perSecond) || !isFinite(slots) {
		return call.LinkLoad{}
	}
	return call.LinkLoad{BytesPerSecond: perSecond, LongSlots: slots, LongCalls: int(message.GetLinkLongCalls())}
}

// isFinite reports whether a number is finite and not negative.
func isFinite(number float64) bool { return number >= 0 && !math.IsInf(number, 0) }

func encodeRateLimit(limit call.RateLimit) *float64 {
	if !limit.Limited {
		return nil
	}
	return proto.Float64(limit.PerSecond)
}

// decodeRateLimit returns no limit for one that is not a number of calls per second.
func decodeRateLimit(perSecond *float64) call.RateLimit {
	if perSecond == nil || !(*perSecond >= 0) || math.IsInf(*perSecond, 0) {
		return call.RateLimit{}
	}
	return call.RateLimit{Limited: true, PerSecond: *perSecond}
}
