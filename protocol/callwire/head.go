// Package callwire converts call headers, replies and refusals to and from
// protobuf.
package callwire

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/protocol/frame"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

// EncodeHead returns the protobuf form of a call's header. Deadlines are encoded
// as the time that remains at now.
func EncodeHead(now time.Time, head call.Head) *wirepb.CallHead {
	message := &wirepb.CallHead{
		Id:             string(head.ID),
		Ticket:         uint64(head.Ticket),
		Route:          string(head.Route),
		BackendServer:  string(head.BackendServer),
		PriorityClass:  uint32(head.Class),
		Caller:         string(head.Caller),
		RemainingNanos: int64(head.Deadline.Sub(now)),
		Fingerprint:    uint64(head.Fingerprint),
		IdempotencyKey: head.IdempotencyKey,
		Idempotent:     head.Idempotent,
		Suspect:        head.Suspect,
		Method:         head.Method,
		Target:         head.Target,
		Authority:      head.Authority,
		Fields:         encodeFields(head.Fields),
		ContentLength:  head.ContentLength,
		RepeatShare:    head.RepeatShare,

		ReachedAttempts: uint32(head.ReachedAttempts),
		MayPassOn:       head.MayPassOn,
	}
	if !head.SoftDeadline.IsZero() {
		message.WantedNanos = proto.Int64(int64(head.SoftDeadline.Sub(now)))
	}
	message.RateLimit = encodeRateLimit(head.RateLimit)
	return message
}

// maxRemaining limits the remaining times in a call header, positive or
// negative.
const maxRemaining = 24 * time.Hour

func inDeadlineRange(nanos int64) bool {
	return time.Duration(nanos).Abs() <= maxRemaining
}

// DecodeHead returns the header of a call, with deadlines relative to now. Its
// errors are marked with frame.ErrMalformed.
func DecodeHead(now time.Time, message *wirepb.CallHead) (call.Head, error) {
	if message.GetPriorityClass() >= state.ClassCount {
		return call.Head{}, malformed("call has unknown priority class %d", message.GetPriorityClass())
	}
	if message.GetId() == "" || message.GetBackendServer() == "" {
		return call.Head{}, malformed("call has no id or no backend server")
	}
	if !inDeadlineRange(message.GetRemainingNanos()) || !inDeadlineRange(message.GetWantedNanos()) {
		return call.Head{}, malformed("call has a deadline more than %s in the future or past", maxRemaining)
	}
	if message.GetContentLength() < -1 {
		return call.Head{}, malformed("call has invalid content length %d", message.GetContentLength())
	}
	head := call.Head{
		ID:             state.CallID(message.GetId()),
		Ticket:         state.TicketNumber(message.GetTicket()),
		Route:          state.RouteName(message.GetRoute()),
		BackendServer:  state.BackendServerName(message.GetBackendServer()),
		Class:          state.PriorityClass(message.GetPriorityClass()),
		Caller:         state.CallerName(message.GetCaller()),
		Deadline:       now.Add(time.Duration(message.GetRemainingNanos())),
		Fingerprint:    state.Fingerprint(message.GetFingerprint()),
		IdempotencyKey: message.GetIdempotencyKey(),
		Idempotent:     message.GetIdempotent(),
		Suspect:        message.GetSuspect(),
		Method:         message.GetMethod(),
		Target:         message.GetTarget(),
		Authority:      message.GetAuthority(),
		Fields:         decodeFields(message.GetFields()),
		ContentLength:  message.GetContentLength(),
		RateLimit:      decodeRateLimit(message.RateLimit),
		RepeatShare:    decodeProbability(message.GetRepeatShare()),

		ReachedAttempts: int(message.GetReachedAttempts()),
		MayPassOn:       message.GetMayPassOn(),
	}
	if message.WantedNanos != nil {
		head.SoftDeadline = now.Add(time.Duration(message.GetWantedNanos()))
	}
	return head, nil
}

// decodeProbability returns 0 for a number that is no probability.
func decodeProbability(value float64) float64 {
	if !(value >= 0 && value <= 1) {
		return 0
	}
	return value
}

// EncodeReplyHead returns the protobuf form of a reply's header.
func EncodeReplyHead(head call.ReplyHead) *wirepb.ReplyHead {
	return &wirepb.ReplyHead{
		Id:            string(head.ID),
		Status:        uint32(head.Status),
		Fields:        encodeFields(head.Fields),
		ContentLength: head.ContentLength,
		ServiceNanos:  int64(head.ServiceTime),
		Load:          encodeLoad(head.Load),
	}
}

// DecodeReplyHead returns the header of a reply.
func DecodeReplyHead(message *wirepb.ReplyHead) call.ReplyHead {
	return call.ReplyHead{
		ID:            state.CallID(message.GetId()),
		Status:        int(message.GetStatus()),
		Fields:        decodeFields(message.GetFields()),
		ContentLength: message.GetContentLength(),
		ServiceTime:   max(0, time.Duration(message.GetServiceNanos())),
		Load:          decodeLoad(message.GetLoad()),
	}
}

// EncodeEnd returns the end marker of a body of the given length.
func EncodeEnd(bodyBytes uint64, trailers []call.Field) *wirepb.End {
	return &wirepb.End{BodyBytes: bodyBytes, Trailers: encodeFields(trailers)}
}

// DecodeTrailers returns the trailers of an end marker.
func DecodeTrailers(message *wirepb.End) []call.Field {
	return decodeFields(message.GetTrailers())
}

func encodeFields(fields []call.Field) []*wirepb.Field {
	messages := make([]*wirepb.Field, 0, len(fields))
	for _, field := range fields {
		messages = append(messages, &wirepb.Field{Name: field.Name, Value: field.Value})
	}
	return messages
}

func decodeFields(messages []*wirepb.Field) []call.Field {
	fields := make([]call.Field, 0, len(messages))
	for _, message := range messages {
		fields = append(fields, call.Field{Name: message.GetName(), Value: message.GetValue()})
	}
	return fields
}

func malformed(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), frame.ErrMalformed)
}
