package control

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/quarantine"
	"github.com/wasabiport/wasabiport/state"
)

// SuspectRequests is what the guard knows of requests that crash backend
// servers.
type SuspectRequests interface {
	// Merge takes over notices and returns those that were news.
	Merge(now time.Time, notices []quarantine.Notice) []quarantine.Notice
	// Notices returns what a guard that has just come up has to know.
	Notices(now time.Time) []quarantine.Notice
}

// BroadcastCrashNotices tells the other guards of the fleet of requests that were in flight at
// a crash: such a request may come again anywhere.
func (p *Plane) BroadcastCrashNotices(notices []quarantine.Notice) Output {
	var output Output
	p.spread(&output, CrashNotices{Notices: notices}, "")
	return output
}

// takeCrashNotices passes on what is news, so that each notice crosses each
// session once at most in each direction.
func (p *Plane) takeCrashNotices(now time.Time, output *Output, from state.HostName, message CrashNotices) {
	if p.config.Suspects == nil {
		return
	}
	if news := p.config.Suspects.Merge(now, message.Notices); len(news) > 0 {
		p.spread(output, CrashNotices{Notices: news}, from)
	}
}

// tellCrashNotices brings a newly connected guard up to date.
func (p *Plane) tellCrashNotices(now time.Time, output *Output, host state.HostName) {
	if p.config.Suspects == nil {
		return
	}
	if notices := p.config.Suspects.Notices(now); len(notices) > 0 {
		output.send(host, CrashNotices{Notices: notices})
	}
}
