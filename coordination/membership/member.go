package membership

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// member is the state of one host.
type member struct {
	// host is the host as listed by the platform.
	host state.Host
	// listedLeavingAt is when the platform's list first showed the host as
	// leaving; zero if it does not.
	listedLeavingAt time.Time
	update          HostUpdate
	// incarnationAt is when the current incarnation was first seen.
	incarnationAt time.Time
	// suspectSince is when the suspicion started; zero if there is none.
	suspectSince time.Time
	// lastReceivedAt is when the last message from the host itself arrived.
	lastReceivedAt time.Time
	// damping excludes a flapping host from the push trees.
	damping damping
}

// phase combines the platform's list with the latest update. A listed phase of
// leaving is ignored if a newer incarnation was seen after it.
func (m member) phase() state.HostPhase {
	listedLeaving := !m.listedLeavingAt.IsZero() && !m.incarnationAt.After(m.listedLeavingAt)
	if listedLeaving && m.update.Phase != state.HostGone {
		return state.HostLeaving
	}
	return m.update.Phase
}

// withListing returns the member with the host as in a new host list.
func (m member) withListing(now time.Time, host state.Host) member {
	m.host = host
	if host.Phase == state.HostLive {
		m.listedLeavingAt = time.Time{}
	} else if m.listedLeavingAt.IsZero() {
		m.listedLeavingAt = now
	}
	return m
}

// withUpdate returns the member with an update that supersedes the stored one.
func (m member) withUpdate(now time.Time, update HostUpdate) member {
	if update.Incarnation != m.update.Incarnation {
		m.incarnationAt = now
	}
	if update.Phase != state.HostSuspect {
		m.suspectSince = time.Time{}
	} else if m.suspectSince.IsZero() {
		m.suspectSince = now
	}
	if m.update.Phase == state.HostGone && update.Phase == state.HostLive {
		m.damping = m.damping.afterReturn(now)
	}
	m.update = update
	return m
}

// Damping of flapping hosts.
const (
	// firstDampingDelay is how long a host stays out of the trees after its
	// second return.
	firstDampingDelay = 30 * time.Second
	maxDampingDelay   = 10 * time.Minute
	// dampingMemory is the time without a return after which the count of
	// returns starts again.
	dampingMemory = 20 * time.Minute
)

// damping counts how often a host was live again after it was gone, and holds
// the end of its exclusion from the trees.
type damping struct {
	returns    int
	returnedAt time.Time
	until      time.Time
}

// afterReturn returns the damping of a host that has just become live again.
func (d damping) afterReturn(now time.Time) damping {
	if now.Sub(d.returnedAt) > dampingMemory {
		d.returns = 0
	}
	d.returns++
	d.returnedAt = now
	if d.returns == 1 {
		return d
	}
	delay := firstDampingDelay
	for range d.returns - 2 {
		delay = min(2*delay, maxDampingDelay)
	}
	d.until = now.Add(delay)
	return d
}
