package guard

import (
	"io"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/drain"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// Leave tells the guard that its node has begun to leave. Until Drain it still takes
// calls, see drain.Schedule.AdmitPeerCall.
func (g *Guard) Leave(record *drain.Record) {
	g.peerCalls.Leave(record.Began())
	g.leaving.Store(record)
}

// PeerCallCounts returns the numbers of calls of other nodes since Leave.
func (g *Guard) PeerCallCounts() drain.PeerCounts { return g.peerCalls.Counts() }

// admitPeerCall returns the refusal of a call of another node that a leaving node does
// not take, or nil.
func (g *Guard) admitPeerCall(head call.Head, body io.Reader) *state.Refusal {
	record := g.leaving.Load()
	if _, local := body.(callstream.LocalBody); local || record == nil {
		return nil
	}
	return record.Schedule().AdmitPeerCall(head.Deadline, head.Idempotent)
}

// beginPeerCall counts a call that has its slot, if it comes from another node. The
// returned function counts its end once.
func (g *gate) beginPeerCall(body io.Reader) (end func()) {
	if _, local := body.(callstream.LocalBody); local {
		return func() {}
	}
	g.peerCalls.Begin(time.Now())
	return sync.OnceFunc(g.peerCalls.End)
}

// leavingTimes returns the times from the beginning of the leaving to the arrival and to
// the end of a refused call, and whether this node has broken it off. The times are nil
// if the node is not leaving.
func (g *Guard) leavingTimes(
	arrivedAt, now time.Time,
	head call.Head,
	refusal *state.Refusal,
) (arrived, ended *time.Duration, brokenOff bool) {
	record := g.leaving.Load()
	if record == nil {
		return nil, nil, false
	}
	sinceArrival, sinceEnd := record.Since(arrivedAt).Round(time.Microsecond), record.Since(now).Round(time.Microsecond)
	brokenOff = record.Schedule().GuardBrokeOff(now, head.Deadline, refusal, g.ctx.Err() != nil)
	return &sinceArrival, &sinceEnd, brokenOff
}
