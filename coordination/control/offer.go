package control

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/sourcereading"
	"github.com/wasabiport/wasabiport/state"
)

// offer increments the heartbeat of the local node and returns its next offer.
func (p *Plane) offer(now time.Time) Offer {
	self := p.members.NextHeartbeat()
	listVersion, listDigest := p.offeredHostList(now)
	drained := p.DrainedZones()
	return Offer{
		Version:         p.Version(),
		Incarnation:     self.Incarnation,
		Heartbeat:       self.Heartbeat,
		Phase:           self.Phase,
		HostListVersion: listVersion,
		HostListDigest:  listDigest,
		TicketsAge:      ageOf(now, p.ticketReads.ConfirmedAt()),
		HostListAge:     ageOf(now, p.hostListReads.ConfirmedAt()),
		AcceptsDiffs:    true,

		AcceptsDrainedZones: true,
		DrainedZonesVersion: drained.Version(),
		DrainedZonesDigest:  drained.Digest(),
	}
}

// offeredHostList returns the version of the host list that peers may request, or 0
// while the list is provisional, and the digest of what the source has answered. A
// peer with the same list then need not ask the source.
func (p *Plane) offeredHostList(now time.Time) (uint64, state.Digest) {
	if p.expiredServers.retains() {
		return 0, 0
	}
	version, digest := p.members.ListVersion()
	if p.expiredServers.isProvisional(now) {
		return 0, digest
	}
	return version, digest
}

func ageOf(now, confirmedAt time.Time) time.Duration {
	if confirmedAt.IsZero() {
		return NeverConfirmed
	}
	return max(0, now.Sub(confirmedAt))
}

func (p *Plane) handleOffer(now time.Time, output *Output, from state.HostName, offer Offer) {
	p.peers.recordOffer(from, offer)
	p.applyMergeResult(output, from, p.members.MergeDirect(now, HostUpdate{
		Host: from, Incarnation: offer.Incarnation, Heartbeat: offer.Heartbeat, Phase: offer.Phase,
	}))
	p.compareDrainedZones(output, from, offer)
	p.compareVersions(now, output, from, offer)
	p.compareHostLists(now, output, from, offer)
	if offer.Reply {
		output.send(from, p.offer(now))
	}
}

// compareVersions requests the tickets that the local node lacks. Only the node
// that is behind sends a request, so that no ticket is transferred twice. A node
// that watches a source of full configurations waits for the source, unless the
// peer can send a difference.
func (p *Plane) compareVersions(now time.Time, output *Output, from state.HostName, offer Offer) {
	local := p.Version()
	if offer.Version.Evaluated > local.Evaluated {
		sendsDiff := offer.AcceptsDiffs && local.Evaluated > 0
		if sendsDiff || !p.expectsFromSource(p.ticketReads) || p.pendingRequests.ticketLagPersists(now, local.Evaluated) {
			p.requestTickets(now, output, from)
		}
		return
	}
	if offer.Version.Evaluated < local.Evaluated {
		return
	}
	if offer.Version != local {
		output.report(DigestDiverged{Peer: from, Version: offer.Version, Local: local})
		return
	}
	if offer.TicketsAge != NeverConfirmed {
		p.ticketReads.RecordPeerConfirmation(now, now.Add(-offer.TicketsAge))
	}
}

// compareHostLists requests the host list of a peer if it is newer and differs from
// the local one. A peer with the same list confirms it as of its last read.
func (p *Plane) compareHostLists(now time.Time, output *Output, from state.HostName, offer Offer) {
	if p.isSameHostList(offer) {
		p.recordHostListConfirmation(now, offer.HostListAge)
		return
	}
	local, _ := p.members.ListVersion()
	switch {
	case offer.HostListVersion <= local:
		// The peer has an older list, or only a provisional one.
	case p.expectsFromSource(p.hostListReads) && !p.pendingRequests.hostListLagPersists(now, local):
	case p.pendingRequests.mayRequestHostList(now):
		output.send(from, HostListRequest{Have: local})
	}
}

// isSameHostList reports whether a peer has the same host list as this node. Nodes of
// earlier releases offer no digest, and have the same list if it has the same version.
func (p *Plane) isSameHostList(offer Offer) bool {
	if offer.HostListDigest != 0 {
		return p.members.ConfirmList(offer.HostListVersion, offer.HostListDigest)
	}
	local, _ := p.members.ListVersion()
	return local > 0 && offer.HostListVersion == local
}

// recordHostListConfirmation records that the source has confirmed the local host
// list to a peer.
func (p *Plane) recordHostListConfirmation(now time.Time, age time.Duration) {
	if age == NeverConfirmed {
		return
	}
	confirmedAt := now.Add(-age)
	p.hostListReads.RecordPeerConfirmation(now, confirmedAt)
	p.expiredServers.recordPeerConfirmation(confirmedAt)
	p.schedule.expediteHeartbeat(now, p.hostListReads.ConfirmedAt())
}

// expectsFromSource reports whether the source itself is expected to deliver a
// change that a peer already has.
func (p *Plane) expectsFromSource(scheduler *sourcereading.Scheduler) bool {
	return p.config.FullStateSource && scheduler.Watches()
}

func (p *Plane) requestTickets(now time.Time, output *Output, from state.HostName) {
	if p.pendingRequests.mayRequestTickets(now) {
		output.send(from, TicketsRequest{After: p.Version().Evaluated})
	}
}
