package control

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/state"
)

// SuspectRequests stores the requests that the guard suspects of crashing
// backend servers.
type SuspectRequests interface {
	// Merge adds notices and returns those that are newer than the stored ones.
	Merge(now time.Time, notices []quarantine.Notice) []quarantine.Notice
	// Notices returns the notices to send to a guard that has just started.
	Notices(now time.Time) []quarantine.Notice
}

// BroadcastCrashNotices sends notices of requests that were in flight during a
// crash to all connected guards, because such a request may be repeated on any
// host.
func (p *Plane) BroadcastCrashNotices(notices []quarantine.Notice) Output {
	var output Output
	p.broadcast(&output, CrashNotices{Notices: notices}, "")
	return output
}

// handleCrashNotices forwards only notices that are newer than the stored ones,
// so each notice crosses a session at most once in each direction.
func (p *Plane) handleCrashNotices(now time.Time, output *Output, from state.HostName, message CrashNotices) {
	if p.config.Suspects == nil {
		return
	}
	if added := p.config.Suspects.Merge(now, message.Notices); len(added) > 0 {
		p.broadcast(output, CrashNotices{Notices: added}, from)
	}
}

// sendCrashNotices sends the stored notices to a newly connected guard.
func (p *Plane) sendCrashNotices(now time.Time, output *Output, host state.HostName) {
	if p.config.Suspects == nil {
		return
	}
	if notices := p.config.Suspects.Notices(now); len(notices) > 0 {
		output.send(host, CrashNotices{Notices: notices})
	}
}
