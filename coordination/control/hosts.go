package control

import (
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/coordination/dissemination"
	"github.com/wasabiport/wasabiport/coordination/membership"
	"github.com/wasabiport/wasabiport/coordination/sourcereading"
	"github.com/wasabiport/wasabiport/state"
)

// maxPushedHosts is the largest number of changed hosts and backend servers for
// which host list changes are pushed without a request.
const maxPushedHosts = 64

// applyMergeResult broadcasts the updates and sends corrections back to the
// sender.
func (p *Plane) applyMergeResult(output *Output, from state.HostName, result membership.MergeResult) {
	if len(result.Corrections) > 0 && from != "" {
		output.send(from, HostUpdates{Updates: result.Corrections})
	}
	p.broadcastUpdates(output, result.Updates, from)
}

func (p *Plane) broadcastUpdates(output *Output, updates []HostUpdate, except state.HostName) {
	if len(updates) == 0 {
		return
	}
	for _, update := range updates {
		output.report(HostPhaseChanged{Host: update.Host, Phase: update.Phase})
	}
	p.broadcast(output, HostUpdates{Updates: updates}, except)
}

// HandleHostList processes the answer to a read of the host list. It is called
// for every answer, whether or not the list is newer.
func (p *Plane) HandleHostList(now time.Time, list state.HostList) Output {
	output := p.detectPause(now)
	known := p.members.List()
	answer := classifyHostList(list.Version, known.Version)
	if p.readiness.isReady() && answer != sourcereading.AnswerStale {
		// A node that is not a reader itself reads the host list because it has lost
		// the readers that feed it, so it may have missed a configuration too.
		p.ticketReads.RequestRead(now)
	}
	effective, uncertain := p.expiredServers.reconcile(now, known, list)
	p.applyHostList(now, &output, "", effective)
	p.hostListReads.RecordAnswer(now, answer)
	p.ticketReads.RecordSourceAnswer(now)
	p.schedule.expediteHeartbeat(now, p.hostListReads.ConfirmedAt())
	if uncertain {
		p.broadcast(&output, HostListRequest{}, "")
	}
	return output
}

// HandleHostListReadFailure records that a read of the host list failed.
func (p *Plane) HandleHostListReadFailure(now time.Time) Output {
	p.hostListReads.RecordFailure(now)
	p.expiredServers.recordReadFailure(now)
	return Output{}
}

// NextHostListRead returns the time and kind of the next read of the host list.
func (p *Plane) NextHostListRead(now time.Time) HostListRead {
	next := p.hostListReads.Next(now)
	version, _ := p.members.ListVersion()
	read := HostListRead{
		At:         next.At,
		After:      version,
		Watch:      next.Watch,
		MayBeStale: !p.readiness.isReady(),
		Reason:     next.Reason,
	}
	recheckAt, due := p.expiredServers.recheckTime()
	if due && !recheckAt.After(next.At) {
		return HostListRead{At: recheckAt, Reason: sourcereading.ReasonRecheck}
	}
	if due {
		read.WatchUntil = recheckAt
	}
	return read
}

func (p *Plane) applyHostList(now time.Time, output *Output, from state.HostName, list state.HostList) {
	p.pendingRequests.hostListReceived()
	changes, newer := p.members.ApplyList(now, list)
	if !newer {
		return
	}
	p.installHostList(now, output, list)
	p.broadcastHostListChanges(now, output, from, changes)
}

func (p *Plane) applyHostListChanges(now time.Time, output *Output, from state.HostName, changes membership.Changes) {
	local := p.members.List()
	if changes.Version <= local.Version {
		return
	}
	list, ok := membership.Apply(local, changes)
	if !ok {
		if p.pendingRequests.mayRequestHostList(now) {
			output.send(from, HostListRequest{Have: local.Version})
		}
		return
	}
	if _, newer := p.members.ApplyList(now, list); newer {
		p.installHostList(now, output, list)
		p.broadcastHostListChanges(now, output, from, changes)
	}
}

// installHostList rebuilds the trees from a new host list and puts its
// registered backend servers in force.
func (p *Plane) installHostList(now time.Time, output *Output, list state.HostList) {
	p.rebuildTrees(now)
	before := p.snapshots.Load().Registry()
	registry := state.NewRegistry(list.Version, list.Registered)
	if p.snapshots.SwapRegistry(registry) {
		reportRegistryChanges(output, before, registry)
	}
}

// reportRegistryChanges reports the backend servers that were registered,
// changed or unregistered.
func reportRegistryChanges(output *Output, before, after *state.Registry) {
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

func (p *Plane) broadcastHostListChanges(now time.Time, output *Output, from state.HostName, changes membership.Changes) {
	if p.expiredServers.isProvisional(now) || changes.Size() > maxPushedHosts {
		p.broadcast(output, p.offer(now), from)
		return
	}
	p.broadcast(output, HostListChanges{Changes: changes}, from)
}

// receiveHostList applies the host list of a peer, which may be older than the
// local one.
func (p *Plane) receiveHostList(now time.Time, output *Output, from state.HostName, list state.HostList) {
	p.expiredServers.applyPeerList(now, list)
	p.applyHostList(now, output, from, list)
}

func (p *Plane) handleHostListRequest(now time.Time, output *Output, from state.HostName, have uint64) {
	if list := p.members.List(); list.Version > have && !p.expiredServers.isProvisional(now) {
		output.send(from, HostList{List: list})
	}
}

// rebuildTrees computes the local position in the trees from the hosts that
// take part, and decides whether the node is a reader of the source.
func (p *Plane) rebuildTrees(now time.Time) {
	generation := p.members.Generation()
	hosts := p.members.TreeHosts(now)
	topology := dissemination.BuildTopology(p.config.Self, hosts)
	p.links.SetTopology(now, topology)
	leaving := p.members.Self().Phase != state.HostLive
	list := p.members.List()
	reader := topology.Reader && !leaving && listsHost(list, p.config.Self.Name)
	p.ticketReads.SetRole(now, reader, len(list.Hosts))
	p.hostListReads.SetRole(now, reader, len(list.Hosts))
	p.schedule.recordRebuild(now, generation)
}

// listsHost reports whether a host is in the list. A node that is not takes no role
// that its peers don't expect of it.
func listsHost(list state.HostList, name state.HostName) bool {
	return slices.ContainsFunc(list.Hosts, func(host state.Host) bool { return host.Name == name })
}
