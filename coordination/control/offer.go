package control

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/sourcereading"

	"github.com/wasabiport/wasabiport/state"
)

// offer returns this node's next announcement.
func (p *Plane) offer(now time.Time) Offer {
	self := p.members.NextHeartbeat()
	return Offer{
		Version:         p.Version(),
		Incarnation:     self.Incarnation,
		Heartbeat:       self.Heartbeat,
		Phase:           self.Phase,
		HostListVersion: p.offeredHostList(now),
		TicketsAge:      ageOf(now, p.tickets.ConfirmedAt()),
		HostListAge:     ageOf(now, p.hostLists.ConfirmedAt()),
	}
}

// offeredHostList returns the version of the host list that peers may ask for.
func (p *Plane) offeredHostList(now time.Time) uint64 {
	if p.lapses.guesses(now) {
		return 0
	}
	return p.members.List().Version
}

func ageOf(now, confirmedAt time.Time) time.Duration {
	if confirmedAt.IsZero() {
		return NeverConfirmed
	}
	return max(0, now.Sub(confirmedAt))
}

func (p *Plane) takeOffer(now time.Time, output *Output, from state.HostName, offer Offer) {
	p.peers.offered(from, offer.Version)
	p.takeMerged(output, from, p.members.MergeDirect(now, HostUpdate{
		Host: from, Incarnation: offer.Incarnation, Heartbeat: offer.Heartbeat, Phase: offer.Phase,
	}))
	p.compareHeads(now, output, from, offer)
	p.compareHostLists(now, output, from, offer)
	if offer.Reply {
		output.send(from, p.offer(now))
	}
}

// compareHeads asks for what this node lacks. Only the one behind asks, so
// that nothing travels twice.
func (p *Plane) compareHeads(now time.Time, output *Output, from state.HostName, offer Offer) {
	own := p.Version()
	if offer.Version.Evaluated > own.Evaluated {
		if !p.sourceTells(p.tickets) || p.inquiries.behindTickets(now, own.Evaluated) {
			p.requestTickets(now, output, from)
		}
		return
	}
	if offer.Version.Evaluated < own.Evaluated {
		return
	}
	if offer.Version != own {
		output.report(DigestDiverged{Peer: from, Version: offer.Version, Local: own})
		return
	}
	if offer.TicketsAge != NeverConfirmed {
		p.tickets.PeerConfirmed(now, now.Add(-offer.TicketsAge))
	}
}

func (p *Plane) compareHostLists(now time.Time, output *Output, from state.HostName, offer Offer) {
	own := p.members.List().Version
	switch {
	case offer.HostListVersion == 0:
		// The peer has none, or none that proves anything.
	case offer.HostListVersion > own:
		if p.sourceTells(p.hostLists) && !p.inquiries.behindHostList(now, own) {
			return
		}
		if p.inquiries.mayAskHostList(now) {
			output.send(from, HostListRequest{Have: own})
		}
	case offer.HostListVersion == own && offer.HostListAge != NeverConfirmed:
		p.hostLists.PeerConfirmed(now, now.Add(-offer.HostListAge))
	}
}

// sourceTells reports whether this node may expect to hear from the source
// what a peer has heard.
func (p *Plane) sourceTells(plan *sourcereading.Scheduler) bool {
	return p.config.FullStateSource && plan.Watches()
}

func (p *Plane) requestTickets(now time.Time, output *Output, from state.HostName) {
	if p.inquiries.mayAskTickets(now) {
		output.send(from, TicketsRequest{After: p.Version().Evaluated})
	}
}
