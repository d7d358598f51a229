package wasabiport

import (
	"context"
	"time"

	"github.com/wasabiport/wasabiport/coordination/drain"
	"github.com/wasabiport/wasabiport/transport/events"
)

// logLeaving logs the schedule of a node that begins to leave.
func (n *Node) logLeaving(ctx context.Context, record *drain.Record) {
	event := events.NodeLeaving{Drain: record.LeaveDelay(n.config.LeaveDelay)}
	if schedule := record.Schedule(); schedule.Bounded() {
		deadline, _ := ctx.Deadline()
		event.Grace = sinceLeaving(record, deadline)
		event.Withdraw = sinceLeaving(record, schedule.WithdrawAt)
		event.LastReply = sinceLeaving(record, schedule.ReplyBy)
	}
	events.Log(n.config.Logger, event)
}

// logStopped logs what became of the calls of a node that has left.
func (n *Node) logStopped(record *drain.Record, callers drain.Counts, peers drain.PeerCounts, err error) {
	event := events.NodeStopped{
		Took:           record.Since(time.Now()).Round(time.Millisecond),
		ListenerClosed: record.Since(n.callers.ListenerClosed()).Round(time.Millisecond),
		Before:         callers.Before,
		Taken:          callers.Taken,
		LastTaken:      callers.LastTaken.Round(time.Millisecond),
		Answered:       callers.Results[drain.ResultAnswered],
		TooLate:        callers.Results[drain.ResultTooLate],
		Withdrawn:      callers.Results[drain.ResultWithdrawn],
		BrokenOff:      callers.Results[drain.ResultBrokenOff],
		Expired:        callers.Results[drain.ResultExpired],
		Failed:         callers.Results[drain.ResultFailed],
		Cut:            callers.Results[drain.ResultCut],
		CallerLeft:     callers.Results[drain.ResultCallerLeft],
		Other:          callers.Results[drain.ResultOther],
		Unfinished:     callers.Running,
		PeersTaken:     peers.Taken,
		PeersLastTaken: peers.LastTaken.Round(time.Millisecond),
		PeersAtDrain:   peers.AtDrain,
		PeersBrokenOff: peers.Running,
		Suppressed:     n.limiters.Pending(),
	}
	if err != nil {
		event.Error = err.Error()
	}
	if dropped := n.config.Adapter.DroppedLogLines; dropped != nil {
		event.Dropped = dropped()
	}
	events.Log(n.config.Logger, event)
}

// sinceLeaving returns a time as the time since a node began to leave.
func sinceLeaving(record *drain.Record, at time.Time) *time.Duration {
	since := record.Since(at).Round(time.Millisecond)
	return &since
}
