package control

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/dissemination"
	"github.com/wasabiport/wasabiport/coordination/membership"
	"github.com/wasabiport/wasabiport/state"
)

// maxPushedHosts is the number of changed hosts up to which changes of the
// host list are pushed unasked.
const maxPushedHosts = 64

// takeMerged tells others the news and the sender what it has wrong.
func (p *Plane) takeMerged(output *Output, from state.HostName, merged membership.MergeResult) {
	if len(merged.Corrections) > 0 && from != "" {
		output.send(from, HostUpdates{Updates: merged.Corrections})
	}
	p.spreadNews(output, merged.Updates, from)
}

func (p *Plane) spreadNews(output *Output, news []HostUpdate, except state.HostName) {
	if len(news) == 0 {
		return
	}
	for _, sighting := range news {
		output.report(HostPhaseChanged{Host: sighting.Host, Phase: sighting.Phase})
	}
	p.spread(output, HostUpdates{Updates: news}, except)
}

// HandleHostList takes the answer to a read of the host list. It is called
// for every answer, whether the list is newer or not.
func (p *Plane) HandleHostList(now time.Time, list state.HostList) Output {
	output := p.noticePause(now)
	known := p.members.List()
	answer := classifyHostList(list.Version, known.Version)
	goBy, doubtful := p.lapses.answered(now, known, list)
	p.takeHostList(now, &output, "", goBy)
	p.hostLists.Answered(now, answer)
	if doubtful {
		p.spread(&output, HostListRequest{}, "")
	}
	return output
}

// HandleHostListReadFailure tells that a read of the host list failed.
func (p *Plane) HandleHostListReadFailure(now time.Time) Output {
	p.hostLists.Failed(now)
	p.lapses.failed()
	return Output{}
}

// NextHostListRead returns when and how to read the host list next.
func (p *Plane) NextHostListRead(now time.Time) HostListRead {
	next := p.hostLists.Next(now)
	read := HostListRead{At: next.At, After: p.members.List().Version, Watch: next.Watch}
	recheckAt, due := p.lapses.recheck()
	if due && !recheckAt.After(next.At) {
		return HostListRead{At: recheckAt}
	}
	if due {
		read.WatchUntil = recheckAt
	}
	return read
}

func (p *Plane) takeHostList(now time.Time, output *Output, from state.HostName, list state.HostList) {
	p.inquiries.hostListAnswered()
	changes, newer := p.members.ApplyList(now, list)
	if !newer {
		return
	}
	p.listChanged(now, output, list)
	p.spreadChanges(now, output, from, changes)
}

func (p *Plane) takeHostListChanges(now time.Time, output *Output, from state.HostName, changes membership.Changes) {
	own := p.members.List()
	if changes.Version <= own.Version {
		return
	}
	list, ok := membership.Apply(own, changes)
	if !ok {
		if p.inquiries.mayAskHostList(now) {
			output.send(from, HostListRequest{Have: own.Version})
		}
		return
	}
	if _, newer := p.members.ApplyList(now, list); newer {
		p.listChanged(now, output, list)
		p.spreadChanges(now, output, from, changes)
	}
}

// listChanged puts what has come with a host list in force.
func (p *Plane) listChanged(now time.Time, output *Output, list state.HostList) {
	p.redraw(now)
	before := p.snapshots.Load().Registry()
	registry := state.NewRegistry(list.Version, list.Registered)
	if p.snapshots.SwapRegistry(registry) {
		reportRegistry(output, before, registry)
	}
}

// reportRegistry tells which backend servers have come, changed and gone.
func reportRegistry(output *Output, before, after *state.Registry) {
	for _, server := range after.Servers() {
		if known, ok := before.Server(server.Name); !ok || known != server {
			output.report(BackendServerRegistered{Version: after.Version(), Server: server})
		}
	}
	for _, server := range before.Servers() {
		if _, ok := after.Server(server.Name); !ok {
			output.report(BackendServerUnregistered{Version: after.Version(), Server: server})
		}
	}
}

func (p *Plane) spreadChanges(now time.Time, output *Output, from state.HostName, changes membership.Changes) {
	if p.config.FullStateSource || len(changes.Set)+len(changes.Remove) > maxPushedHosts {
		p.spread(output, p.offer(now), from)
		return
	}
	p.spread(output, HostListChanges{Changes: changes}, from)
}

// takePeersHostList takes the host list of a peer, which may be older than this
// node's own.
func (p *Plane) takePeersHostList(now time.Time, output *Output, from state.HostName, list state.HostList) {
	p.lapses.compare(now, list)
	p.takeHostList(now, output, from, list)
}

func (p *Plane) answerHostListRequest(now time.Time, output *Output, from state.HostName, have uint64) {
	if list := p.members.List(); list.Version > have && !p.lapses.guesses(now) {
		output.send(from, HostList{List: list})
	}
}

// redraw draws the trees again from the hosts that take part.
func (p *Plane) redraw(now time.Time) {
	generation := p.members.Generation()
	hosts := p.members.TreeHosts(now)
	topology := dissemination.BuildTopology(p.config.Self, hosts)
	p.links.SetTopology(now, topology)
	leaving := p.members.Self().Phase != state.HostLive
	list := p.members.List()
	reader := topology.Reader || dissemination.RankInZone(p.config.Self, hosts) < p.config.ReadersPerZone
	reader = reader && !leaving && list.Version > 0
	p.tickets.SetRole(now, reader, len(list.Hosts))
	p.hostLists.SetRole(now, reader, len(list.Hosts))
	p.schedule.redrawn(now, generation)
}
