package control

import (
	"time"

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
		p.reportStatus(now, &output)
	}
	return output, work.next
}

// checkPeers looks for silent peers and for suspicions that have lasted.
func (p *Plane) checkPeers(now time.Time, output *Output) {
	sessions := p.peers.sessions()
	heard := 0
	for _, name := range p.peers.names() {
		if now.Sub(sessions[name].HeardAt) <= p.config.silenceTimeout() {
			heard++
			continue
		}
		p.spreadNews(output, p.members.Silent(now, name), name)
	}
	for _, parent := range p.links.Check(now, sessions) {
		output.report(ParentReplaced{Parent: parent})
		p.spreadNews(output, p.members.Silent(now, parent), parent)
	}
	p.spreadNews(output, p.members.Expire(now, heard > 0), "")
	if heard == 0 {
		p.tickets.Isolated(now)
		p.hostLists.Isolated(now)
	}
	p.links.Repair(now, p.members.TreeHosts(now), heard == 0)
}

// noticePause finds that this process has not run for a while. What it
// believed of others is then worth nothing until it has heard them again.
func (p *Plane) noticePause(now time.Time) Output {
	var output Output
	late := p.schedule.late(now)
	if late == 0 {
		return output
	}
	output.report(Resumed{Late: late})
	p.members.Distrust(now)
	p.peers.allHeard(now)
	p.links.Resumed(now)
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
