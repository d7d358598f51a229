package control

import (
	"fmt"
	"time"

	"github.com/wasabiport/wasabiport/coordination/validation"
	"github.com/wasabiport/wasabiport/state"
)

const (
	// eagerPushBytes is the size of the largest batch that is pushed unasked.
	// Peers ask for larger ones, so that each travels to a node once.
	eagerPushBytes = 32 * 1024
	// maxBatchBytes bounds the tickets in one answer.
	maxBatchBytes = 256 * 1024
	// maxReplayTickets is the number of tickets above which a snapshot is
	// sent in place of a replay.
	maxReplayTickets = 512
)

// takeTickets stores tickets, judges those whose turn it is and passes on the
// ones that are new. From is empty for tickets that the source has answered.
func (p *Plane) takeTickets(now time.Time, output *Output, from state.HostName, tickets []state.Ticket) {
	judged := p.Version().Evaluated
	var fresh []state.Ticket
	for _, ticket := range tickets {
		if ticket.Number > judged && p.log.Add(ticket, judged) {
			fresh = append(fresh, ticket)
		}
	}
	if len(fresh) == 0 {
		return
	}
	p.inquiries.ticketsAnswered()
	p.judgeBaselines(output, fresh)
	p.judgeWaiting(output)
	p.passOn(now, output, from, fresh)
	p.noticeGap(now, output, from)
	p.requestRest(now, output, from, len(tickets))
	p.schedule.hastenStatus(now)
}

// requestRest asks for what follows a batch that did not bring this node to
// where its peers are.
func (p *Plane) requestRest(now time.Time, output *Output, from state.HostName, batch int) {
	if from != "" && batch > 1 && p.peers.highest() > p.Version().Evaluated {
		p.requestTickets(now, output, from)
	}
}

// judgeWaiting judges every ticket whose turn it is. Threads that do so at the
// same time come to the same result, of which the first is put in force.
func (p *Plane) judgeWaiting(output *Output) {
	for {
		before := p.snapshots.Load()
		ticket, ok := p.log.Get(before.Evaluated() + 1)
		if !ok {
			return
		}
		p.judge(output, before, ticket)
	}
}

// judgeBaselines puts accepted baselines in force whose predecessors are
// missing: the verdict on a baseline does not depend on them.
func (p *Plane) judgeBaselines(output *Output, fresh []state.Ticket) {
	for _, ticket := range fresh {
		before := p.snapshots.Load()
		if !ticket.Baseline || ticket.Number <= before.Evaluated()+1 {
			continue
		}
		if _, verdict := validation.Evaluate(before, ticket); verdict.Accepted() || p.config.FullStateSource {
			p.judge(output, before, ticket)
		}
	}
}

func (p *Plane) judge(output *Output, before *state.Snapshot, ticket state.Ticket) {
	after, verdict := validation.Evaluate(before, ticket)
	p.log.SetVerdict(verdict)
	if p.snapshots.Swap(after) {
		output.Verdicts = append(output.Verdicts, verdict)
	}
}

func (p *Plane) passOn(now time.Time, output *Output, from state.HostName, fresh []state.Ticket) {
	if p.config.FullStateSource {
		p.spread(output, p.offer(now), from)
		return
	}
	size := 0
	for _, ticket := range fresh {
		size += ticket.ApproximateBytes()
	}
	if size > eagerPushBytes {
		p.spread(output, p.offer(now), from)
		return
	}
	p.spread(output, Tickets{Tickets: fresh}, from)
}

// noticeGap reports tickets that wait for others and asks for those.
func (p *Plane) noticeGap(now time.Time, output *Output, from state.HostName) {
	judged := p.Version().Evaluated
	next := p.log.FirstAfter(judged)
	if next == 0 {
		return
	}
	output.report(TicketGap{Evaluated: judged, Next: next})
	if from != "" {
		p.requestTickets(now, output, from)
		return
	}
	for _, name := range p.peers.names() {
		p.requestTickets(now, output, name)
	}
}

// answerRequest sends the tickets after a number, or the whole configuration
// when they are not held any more or are too many.
func (p *Plane) answerRequest(output *Output, from state.HostName, after state.TicketNumber) {
	snapshot := p.snapshots.Load()
	if after >= snapshot.Evaluated() {
		return
	}
	if snapshot.Evaluated()-after <= maxReplayTickets {
		if tickets, ok := p.log.Between(after, snapshot.Evaluated(), maxBatchBytes); ok {
			output.send(from, Tickets{Tickets: tickets})
			return
		}
	}
	output.send(from, Snapshot{Snapshot: snapshot, Digest: snapshot.Digest()})
}

// takeSnapshot puts a peer's configuration in force when it is newer,
// consistent and what the peer says it is.
func (p *Plane) takeSnapshot(now time.Time, output *Output, from state.HostName, message Snapshot) {
	p.inquiries.ticketsAnswered()
	snapshot := message.Snapshot
	if snapshot == nil || snapshot.Evaluated() <= p.Version().Evaluated {
		return
	}
	if faults := checkSnapshot(message); len(faults) > 0 {
		output.report(SnapshotRejected{Peer: from, Errors: faults})
		return
	}
	if !p.snapshots.Swap(snapshot) {
		return
	}
	output.report(SnapshotApplied{Peer: from, Version: snapshot.Version()})
	p.judgeWaiting(output)
	p.spread(output, p.offer(now), from)
	p.schedule.hastenStatus(now)
}

func checkSnapshot(message Snapshot) []state.ValidationError {
	if message.Digest != message.Snapshot.Digest() {
		reason := fmt.Sprintf("digest is %v, announced as %v", message.Snapshot.Digest(), message.Digest)
		return []state.ValidationError{{Path: "digest", Reason: reason}}
	}
	if message.Snapshot.Accepted() > message.Snapshot.Evaluated() {
		return []state.ValidationError{{Path: "accepted", Reason: "a ticket was accepted that was not judged"}}
	}
	return validation.CheckSnapshot(message.Snapshot)
}
