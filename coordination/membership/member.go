package membership

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// member is what a node knows of one host.
type member struct {
	// host is the host as the platform lists it.
	host state.Host
	// listedLeavingAt is when the platform's list first said that the host
	// leaves; zero when it does not.
	listedLeavingAt time.Time
	sighting        HostUpdate
	// incarnationAt is when the current incarnation was first heard of.
	incarnationAt time.Time
	// suspectSince is when the suspicion arose; zero when there is none.
	suspectSince time.Time
	// heardAt is when the host was last seen directly.
	heardAt time.Time
	// damping keeps a host that comes and goes out of the push trees.
	damping damping
}

// phase joins the list and the sightings. The list's word that a host leaves
// is set aside when a newer incarnation was seen since.
func (m member) phase() state.HostPhase {
	listedLeaving := !m.listedLeavingAt.IsZero() && !m.incarnationAt.After(m.listedLeavingAt)
	if listedLeaving && m.sighting.Phase != state.HostGone {
		return state.HostLeaving
	}
	return m.sighting.Phase
}

// listed returns the member after the platform's list was read.
func (m member) listed(now time.Time, host state.Host) member {
	m.host = host
	if host.Phase == state.HostLive {
		m.listedLeavingAt = time.Time{}
	} else if m.listedLeavingAt.IsZero() {
		m.listedLeavingAt = now
	}
	return m
}

// sighted returns the member after a sighting that supersedes the old one.
func (m member) sighted(now time.Time, sighting HostUpdate) member {
	if sighting.Incarnation != m.sighting.Incarnation {
		m.incarnationAt = now
	}
	if sighting.Phase != state.HostSuspect {
		m.suspectSince = time.Time{}
	} else if m.suspectSince.IsZero() {
		m.suspectSince = now
	}
	if m.sighting.Phase == state.HostGone && sighting.Phase == state.HostLive {
		m.damping = m.damping.returned(now)
	}
	m.sighting = sighting
	return m
}

// Damping of hosts that come and go.
const (
	// firstDampingDelay is how long a host stays out of the trees after it
	// came back a second time.
	firstDampingDelay = 30 * time.Second
	maxDampingDelay   = 10 * time.Minute
	// dampingMemory is the quiet time after which returns are forgotten.
	dampingMemory = 20 * time.Minute
)

// damping counts how often a host was gone and came back.
type damping struct {
	returns    int
	returnedAt time.Time
	until      time.Time
}

func (d damping) returned(now time.Time) damping {
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
