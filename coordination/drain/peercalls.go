package drain

import (
	"sync/atomic"
	"time"
)

// PeerCalls counts the calls of other nodes at the guard of a node. It is safe for
// concurrent use.
type PeerCalls struct {
	running atomic.Int64
	// leaving is nil until Leave is called.
	leaving atomic.Pointer[peerLeaving]
}

// peerLeaving holds the numbers of a leaving node.
type peerLeaving struct {
	began     time.Time
	taken     atomic.Int64
	lastTaken atomic.Int64
	// atDrain is the number of calls that ran when the guard began to drain.
	atDrain atomic.Int64
}

// Leave starts the counting of the calls of a leaving node.
func (p *PeerCalls) Leave(began time.Time) {
	p.leaving.CompareAndSwap(nil, &peerLeaving{began: began})
}

// Begin counts a call that has got its slot.
func (p *PeerCalls) Begin(now time.Time) {
	p.running.Add(1)
	if leaving := p.leaving.Load(); leaving != nil {
		leaving.taken.Add(1)
		storeMax(&leaving.lastTaken, int64(now.Sub(leaving.began)))
	}
}

// End counts the end of a call.
func (p *PeerCalls) End() { p.running.Add(-1) }

// Drain records the number of calls that run when the guard begins to drain.
func (p *PeerCalls) Drain() {
	if leaving := p.leaving.Load(); leaving != nil {
		leaving.atDrain.Store(p.running.Load())
	}
}

// PeerCounts are the numbers of calls of other nodes at the guard of a leaving node.
type PeerCounts struct {
	// Taken is the number of calls that got their slot since the node began to leave, and
	// LastTaken the time from the beginning to the last of them.
	Taken     int64
	LastTaken time.Duration
	// AtDrain is the number of calls that ran when the guard began to drain.
	AtDrain int64
	// Running is the number of calls that have not ended. The end of the node breaks them
	// off.
	Running int64
}

// Counts returns the current numbers, which are 0 until Leave.
func (p *PeerCalls) Counts() PeerCounts {
	leaving := p.leaving.Load()
	if leaving == nil {
		return PeerCounts{}
	}
	return PeerCounts{
		Taken:     leaving.taken.Load(),
		LastTaken: time.Duration(leaving.lastTaken.Load()),
		AtDrain:   leaving.atDrain.Load(),
		Running:   p.running.Load(),
	}
}
