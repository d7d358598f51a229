package control

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/validation"
	"github.com/wasabiport/wasabiport/state"
)

// putInForce replaces the configuration in force, unless that is as new. Peers then
// receive the difference.
func (p *Plane) putInForce(after *state.Snapshot) bool {
	before := p.snapshots.Load()
	if !p.snapshots.Swap(after) {
		return false
	}
	if p.config.FullStateSource {
		p.diffs.add(state.Diff(before, after))
	}
	return true
}

// forwardDiff pushes the latest difference to the other peers. Those that can't use
// it, and all if it is large, receive an offer, so that each of them requests it
// only once.
func (p *Plane) forwardDiff(now time.Time, output *Output, from state.HostName) {
	diff, ok := p.diffs.latest()
	push := ok && diff.ApproximateBytes() <= maxPushBytes
	offer := p.offer(now)
	for _, name := range p.peers.names() {
		switch {
		case name == from:
		case push && p.peers.acceptsDiffs(name):
			output.send(name, SnapshotDiff{Diff: diff})
		default:
			output.send(name, offer)
		}
	}
}

// receiveDiff puts the configuration in force to which a peer's difference leads. A
// difference from a later configuration than the local one has to be requested
// again, and one that does not lead to its digest is replaced by a snapshot.
func (p *Plane) receiveDiff(now time.Time, output *Output, from state.HostName, diff state.SnapshotDiff) {
	p.peers.recordVersion(from, diff.Version)
	before := p.snapshots.Load()
	if diff.Version.Evaluated <= before.Evaluated() {
		return
	}
	if diff.Base > before.Evaluated() {
		p.requestTickets(now, output, from)
		return
	}
	p.pendingRequests.ticketsReceived()
	after := before.Apply(diff)
	if after.Version() != diff.Version {
		p.requestSnapshot(now, output, from)
		return
	}
	if errs := validation.CheckDiff(before, after, diff); len(errs) > 0 {
		output.report(SnapshotRejected{Peer: from, Errors: errs})
		return
	}
	if !p.putInForce(after) {
		return
	}
	output.report(DiffApplied{Peer: from, Version: diff.Version})
	p.forwardDiff(now, output, from)
	p.requestNewer(now, output, from)
	p.schedule.expediteStatus(now)
}

func (p *Plane) requestSnapshot(now time.Time, output *Output, from state.HostName) {
	if p.pendingRequests.mayRequestTickets(now) {
		output.send(from, TicketsRequest{After: p.Version().Evaluated, Whole: true})
	}
}
