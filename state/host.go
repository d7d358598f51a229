package state

// HostPhase says whether a host takes part in the fleet.
type HostPhase uint8

// The phases of a host.
const (
	// HostLive takes part.
	HostLive HostPhase = iota
	// HostLeaving finishes its work and takes no more.
	HostLeaving
	// HostSuspect has been silent for a while.
	HostSuspect
	// HostGone has been silent for so long that it is not asked any more.
	HostGone
)

// String returns the name of the phase as it appears in reports.
func (p HostPhase) String() string {
	switch p {
	case HostLive:
		return "live"
	case HostLeaving:
		return "leaving"
	case HostSuspect:
		return "suspect"
	case HostGone:
		return "gone"
	default:
		return "invalid"
	}
}

// Host is a machine that runs one node.
type Host struct {
	Name   HostName
	Zone   AvailabilityZone
	Region Region
	// PeerAddress is the IP address and port on which the node listens for
	// other nodes.
	PeerAddress string
	// Phase is HostLive or HostLeaving in the platform's host list.
	Phase HostPhase
}

// HostList is the platform's list of hosts. It lags behind the fleet.
type HostList struct {
	// Version grows with each change of the list.
	Version uint64
	Hosts   []Host
	// Registered are the backend servers that have registered themselves.
	Registered []BackendServer
}

// Digest returns a hash of the list that does not depend on its order.
func (l HostList) Digest() Digest {
	var sum uint64
	for _, host := range l.Hosts {
		buffer := newResourceBuffer('h')
		buffer.text(string(host.Name))
		buffer.text(string(host.Zone))
		buffer.text(string(host.Region))
		buffer.text(host.PeerAddress)
		buffer.integer(int64(host.Phase))
		sum += buffer.sum()
	}
	for _, server := range l.Registered {
		sum += hashBackendServer(server)
	}
	return Digest(sum)
}
