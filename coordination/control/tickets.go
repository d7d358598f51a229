package control

import (
	"fmt"
	"time"

	"github.com/wasabiport/wasabiport/coordination/validation"
	"github.com/wasabiport/wasabiport/state"
)

const (
	// maxPushBytes is the size of the largest batch that is pushed without a
	// request. Larger batches are requested by the peers, so that each node
	// receives them only once.
	maxPushBytes = 32 * 1024
	// maxBatchBytes bounds the tickets in one answer.
	maxBatchBytes = 256 * 1024
	// maxReplayTickets is the largest number of tickets that is replayed.
	// Beyond it, a snapshot is sent.
	maxReplayTickets = 512
)

// addTickets stores tickets, evaluates those that are next in order and
// forwards new ones. From is empty for tickets from the source.
func (p *Plane) addTickets(now time.Time, output *Output, from state.HostName, tickets []state.Ticket) {
	evaluated := p.Version().Evaluated
	var added []state.Ticket
	for _, ticket := range tickets {
		if ticket.Number > evaluated && p.log.Add(ticket, evaluated) {
			added = append(added, ticket)
		}
	}
	if len(added) == 0 {
		return
	}
	p.pendingRequests.ticketsReceived()
	p.evaluateBaselines(output, from, added)
	p.evaluatePending(output, from)
	p.forward(now, output, from, added)
	p.reportGap(now, output, from)
	p.requestMore(now, output, from, len(tickets))
	p.schedule.expediteStatus(now)
}

// requestMore requests further tickets if a batch did not bring the local node
// up to date with its peers.
func (p *Plane) requestMore(now time.Time, output *Output, from state.HostName, batch int) {
	if batch > 1 {
		p.requestNewer(now, output, from)
	}
}

// requestNewer requests what the local node lacks if a peer is ahead of it.
func (p *Plane) requestNewer(now time.Time, output *Output, from state.HostName) {
	if from != "" && p.peers.highestEvaluated() > p.Version().Evaluated {
		p.requestTickets(now, output, from)
	}
}

// evaluatePending evaluates all stored tickets that are next in order.
// Concurrent evaluations yield the same result, and the first one is put in
// force.
func (p *Plane) evaluatePending(output *Output, from state.HostName) {
	for {
		before := p.snapshots.Load()
		ticket, ok := p.log.Get(before.Evaluated() + 1)
		if !ok {
			return
		}
		p.evaluate(output, from, before, ticket)
	}
}

// evaluateBaselines puts accepted baselines in force even if tickets before
// them are missing, because the verdict on a baseline does not depend on them.
func (p *Plane) evaluateBaselines(output *Output, from state.HostName, added []state.Ticket) {
	for _, ticket := range added {
		before := p.snapshots.Load()
		if !ticket.Baseline || ticket.Number <= before.Evaluated()+1 {
			continue
		}
		if after, verdict := validation.Evaluate(before, ticket); verdict.Accepted() || p.config.FullStateSource {
			p.install(output, from, after, verdict)
		}
	}
}

func (p *Plane) evaluate(output *Output, from state.HostName, before *state.Snapshot, ticket state.Ticket) {
	after, verdict := validation.Evaluate(before, ticket)
	p.install(output, from, after, verdict)
}

// install stores the verdict on a ticket and puts the result in force, unless
// another goroutine has already done so.
func (p *Plane) install(output *Output, from state.HostName, after *state.Snapshot, verdict state.Verdict) {
	p.log.SetVerdict(verdict)
	if p.putInForce(after) {
		output.Verdicts = append(output.Verdicts, Verdict{Verdict: verdict, From: from})
	}
}

// forward pushes new tickets to the other peers, or an offer if they are too large.
// With a source of full configurations, the peers receive the difference instead.
func (p *Plane) forward(now time.Time, output *Output, from state.HostName, added []state.Ticket) {
	if p.config.FullStateSource {
		p.forwardDiff(now, output, from)
		return
	}
	size := 0
	for _, ticket := range added {
		size += ticket.ApproximateBytes()
	}
	if size > maxPushBytes {
		p.broadcast(output, p.offer(now), from)
		return
	}
	p.broadcast(output, Tickets{Tickets: added}, from)
}

// reportGap reports tickets that follow a gap and requests the missing ones.
func (p *Plane) reportGap(now time.Time, output *Output, from state.HostName) {
	evaluated := p.Version().Evaluated
	next := p.log.FirstAfter(evaluated)
	if next == 0 {
		return
	}
	output.report(TicketGap{Evaluated: evaluated, Next: next})
	if from != "" {
		p.requestTickets(now, output, from)
		return
	}
	for _, name := range p.peers.names() {
		p.requestTickets(now, output, name)
	}
}

// handleTicketsRequest sends the tickets after a number, the difference to the
// configuration in force, or a snapshot if neither is stored.
func (p *Plane) handleTicketsRequest(output *Output, from state.HostName, request TicketsRequest) {
	snapshot := p.snapshots.Load()
	if request.After >= snapshot.Evaluated() {
		return
	}
	if message, ok := p.messageSince(from, request, snapshot.Evaluated()); ok {
		output.send(from, message)
		return
	}
	output.send(from, Snapshot{Snapshot: snapshot, Digest: snapshot.Digest()})
}

// messageSince returns what leads a peer from the configuration that it has to the
// one in force, unless only a snapshot does.
func (p *Plane) messageSince(peer state.HostName, request TicketsRequest, evaluated state.TicketNumber) (Message, bool) {
	switch {
	case request.Whole:
		return nil, false
	case p.config.FullStateSource && request.After == 0:
		// A snapshot is encoded once for all nodes that have just started.
		return nil, false
	case p.config.FullStateSource:
		diff, ok := p.diffs.since(request.After)
		return SnapshotDiff{Diff: diff}, ok && p.peers.acceptsDiffs(peer)
	case evaluated-request.After > maxReplayTickets:
		return nil, false
	default:
		tickets, ok := p.log.Between(request.After, evaluated, maxBatchBytes)
		return Tickets{Tickets: tickets}, ok
	}
}

// applySnapshot puts a peer's configuration in force if it is newer, consistent
// and matches its digest.
func (p *Plane) applySnapshot(now time.Time, output *Output, from state.HostName, message Snapshot) {
	p.pendingRequests.ticketsReceived()
	snapshot := message.Snapshot
	if snapshot == nil || snapshot.Evaluated() <= p.Version().Evaluated {
		return
	}
	if errs := validateSnapshot(message); len(errs) > 0 {
		output.report(SnapshotRejected{Peer: from, Errors: errs})
		return
	}
	if !p.putInForce(snapshot) {
		return
	}
	output.report(SnapshotApplied{Peer: from, Version: snapshot.Version()})
	p.evaluatePending(output, from)
	p.forward(now, output, from, nil)
	p.requestNewer(now, output, from)
	p.schedule.expediteStatus(now)
}

func validateSnapshot(message Snapshot) []state.ValidationError {
	if message.Digest != message.Snapshot.Digest() {
		reason := fmt.Sprintf("digest is %v, announced as %v", message.Snapshot.Digest(), message.Digest)
		return []state.ValidationError{{Path: "digest", Reason: reason}}
	}
	if message.Snapshot.Accepted() > message.Snapshot.Evaluated() {
		return []state.ValidationError{{Path: "accepted", Reason: "the accepted ticket has not been evaluated"}}
	}
	return validation.CheckSnapshot(message.Snapshot)
}
