package control

import (
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/coordination/dissemination"
	"github.com/wasabiport/wasabiport/state"
)

// Tick does what is due. The caller calls it again at the returned time, or
// earlier.
func (p *Plane) Tick(now time.Time) (Output, time.Time) {
	output := p.noticePause(now)
	p.readiness.started(now)
	work := p.schedule.tick(now, p.members.Generation())
	if work.redraw {
		p.redraw(now)
	}
	if work.heartbeat {
		p.checkPeers(now, &output)
		p.spread(&output, p.offer(now), "")
	}
	if work.status {
		p.reportStatus(now, &output, work.fullStatus)
	}
	return output, work.next
}

// checkPeers looks for silent peers and for suspicions that have lasted. A
// node that hears nobody accuses nobody.
func (p *Plane) checkPeers(now time.Time, output *Output) {
	sessions := p.peers.sessions()
	checked := p.links.Check(now, sessions)
	for _, parent := range checked.Replaced {
		output.report(ParentReplaced{Parent: parent})
	}
	silent, heard := p.silentPeers(now, sessions)
	if heard == 0 {
		p.tickets.Isolated(now)
		p.hostLists.Isolated(now)
	} else {
		for _, name := range append(silent, checked.Silent...) {
			p.spreadNews(output, p.members.Suspect(now, name), name)
		}
		p.spreadNews(output, p.members.Expire(now), "")
	}
	if isolated := heard == 0; p.links.RandomPeersDue(now, isolated) {
		p.links.ChooseRandomPeers(now, p.members.TreeHosts(now), isolated)
	}
}

// silentPeers returns the connected peers that are silent, and the number of
// those that are not.
func (p *Plane) silentPeers(
	now time.Time,
	sessions map[state.HostName]dissemination.Session,
) (silent []state.HostName, heard int) {
	for name, session := range sessions {
		if now.Sub(session.LastReceivedAt) > p.config.silenceTimeout() {
			silent = append(silent, name)
		} else {
			heard++
		}
	}
	slices.Sort(silent)
	return silent, heard
}

// noticePause finds that this process has not run for a while. What it
// believed of others is then worth nothing until it has heard them again.
func (p *Plane) noticePause(now time.Time) Output {
	var output Output
	late := p.schedule.late(now)
	if late == 0 {
		return output
	}
	output.report(Resumed{Delay: late})
	p.members.ResetTimers(now)
	p.peers.allHeard(now)
	p.links.ResetTimers(now)
	p.tickets.Resumed(now)
	p.hostLists.Resumed(now)
	p.readiness.resumed(now)
	offer := p.offer(now)
	offer.Reply = true
	p.spread(&output, offer, "")
	return output
}

// zonesOfHosts counts the hosts that take part, by availability zone.
func (p *Plane) zonesOfHosts() map[state.AvailabilityZone]int {
	zones := map[state.AvailabilityZone]int{p.config.Self.Zone: 1}
	for _, host := range p.members.List().Hosts {
		if host.Name == p.config.Self.Name {
			continue
		}
		phase := p.members.PhaseOf(host.Name)
		if phase == state.HostLive || phase == state.HostSuspect {
			zones[host.Zone]++
		}
	}
	return zones
}
