package state

// HostPhase is the membership state of a host.
type HostPhase uint8

// The phases of a host.
const (
	// HostLive means that the host is a member and accepts calls.
	HostLive HostPhase = iota
	// HostLeaving means that the host is shutting down: it completes the calls
	// in flight and accepts no new ones.
	HostLeaving
	// HostSuspect means that no messages from the host have been received
	// recently, so it may have failed.
	HostSuspect
	// HostGone means that no messages from the host have been received for so
	// long that other nodes no longer contact it.
	HostGone
)

// String returns the name of the phase as it appears in reports and logs.
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

// Host is a machine that runs one node of the mesh.
type Host struct {
	Name   HostName
	Zone   AvailabilityZone
	Region Region
	// PeerAddress is the IP address and port on which the node listens for
	// other nodes.
	PeerAddress string
	// Phase is HostLive or HostLeaving in a HostList. Nodes detect the other
	// phases themselves.
	Phase HostPhase
}

// HostList is the platform's list of hosts. It may be stale: hosts that have
// just started or stopped appear in it with a delay.
type HostList struct {
	// Version increases with each change of the list, see EpochOf.
	Version uint64
	Hosts   []Host
	// Registered are the backend servers that have registered themselves.
	Registered []BackendServer
}

// VersionsPerEpoch is the number of versions of the host list within an epoch. It is a
// power of ten, so that both parts can be read in a log line.
const VersionsPerEpoch = 1_000_000_000_000

// EpochOf returns the epoch of a version of the host list. An epoch begins when the
// platform returns from a copy of an earlier state, so that a list of it may hold what
// a list of the epoch before did not hold any more.
func EpochOf(version uint64) uint64 { return version / VersionsPerEpoch }

// Digest returns a hash of the hosts and backend servers that does not depend
// on their order. It does not cover Version. Of BackendServer.WarmAt, which each reader
// of the platform computes with its own clock, it covers only whether the backend server
// is registered as cold, so that a list in which this has changed is passed on.
func (l HostList) Digest() Digest {
	var sum uint64
	for _, host := range l.Hosts {
		encoder := newResourceEncoder('h')
		encoder.writeString(string(host.Name))
		encoder.writeString(string(host.Zone))
		encoder.writeString(string(host.Region))
		encoder.writeString(host.PeerAddress)
		encoder.writeInt(int64(host.Phase))
		sum += encoder.hash()
	}
	for _, server := range l.Registered {
		sum += hashBackendServer(server.withoutWarmTime())
	}
	return Digest(sum)
}

// withoutWarmTime returns the backend server with only whether it is registered as cold in
// WarmAt. For one that is not, the digest is that of earlier releases.
func (s BackendServer) withoutWarmTime() BackendServer {
	cold := s.WarmAt > AlreadyWarm
	s.WarmAt = 0
	if cold {
		s.WarmAt = 1
	}
	return s
}
