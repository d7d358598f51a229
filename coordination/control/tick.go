package control

import (
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/coordination/dissemination"
	"github.com/wasabiport/wasabiport/state"
)

// Tick does the periodic work that is due. The caller calls it again at the
// returned time or earlier.
func (p *Plane) Tick(now time.Time) (Output, time.Time) {
	output := p.detectPause(now)
	p.readiness.recordStart(now)
	work := p.schedule.tick(now, p.members.Generation(), p.hostListReads.ConfirmedAt())
	if work.rebuildTrees {
		p.rebuildTrees(now)
	}
	if work.heartbeat {
		p.checkPeers(now, &output)
		p.broadcast(&output, p.offer(now), "")
	}
	if work.status {
		p.reportStatus(now, &output, work.fullStatus)
	}
	return output, work.next
}

// checkPeers detects silent peers and expired suspicions. An isolated node,
// which no peer responds to, suspects no other hosts.
func (p *Plane) checkPeers(now time.Time, output *Output) {
	sessions := p.peers.sessions()
	checked := p.links.Check(now, sessions)
	for _, parent := range checked.Replaced {
		output.report(ParentReplaced{Parent: parent})
	}
	silent, responsive := p.silentPeers(now, sessions)
	if responsive == 0 {
		p.ticketReads.RecordIsolation(now)
		p.hostListReads.RecordIsolation(now)
	} else {
		for _, name := range append(silent, checked.Silent...) {
			p.broadcastUpdates(output, p.members.Suspect(now, name), name)
		}
		p.broadcastUpdates(output, p.members.Expire(now), "")
	}
	if isolated := responsive == 0; p.links.RandomPeersDue(now, isolated) {
		p.links.ChooseRandomPeers(now, p.members.TreeHosts(now), isolated)
	}
}

// silentPeers returns the connected peers that are silent and the number of
// those that are not.
func (p *Plane) silentPeers(
	now time.Time,
	sessions map[state.HostName]dissemination.Session,
) (silent []state.HostName, responsive int) {
	for name, session := range sessions {
		if now.Sub(session.LastReceivedAt) > p.config.silenceTimeout() {
			silent = append(silent, name)
		} else {
			responsive++
		}
	}
	slices.Sort(silent)
	return silent, responsive
}

// detectPause detects that the process was paused. It then restarts the silence
// timers, because they don't show that other hosts were silent.
func (p *Plane) detectPause(now time.Time) Output {
	var output Output
	overdue := p.schedule.overdue(now)
	if overdue == 0 {
		return output
	}
	output.report(Resumed{Delay: overdue})
	p.members.ResetTimers(now)
	p.peers.resetSilenceTimers(now)
	p.links.ResetTimers(now)
	p.ticketReads.RecordResume(now)
	p.hostListReads.RecordResume(now)
	p.readiness.recordResume(now)
	offer := p.offer(now)
	offer.Reply = true
	p.broadcast(&output, offer, "")
	return output
}

// hostsPerZone counts the hosts that take part by availability zone.
func (p *Plane) hostsPerZone() map[state.AvailabilityZone]int {
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
