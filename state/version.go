package state

// Version identifies the configuration of a node. Nodes compare versions to find
// out which of them has the newer one, and whether two configurations with the
// same ticket numbers differ.
type Version struct {
	// Evaluated is the number of the latest ticket that was evaluated, whether
	// it was accepted or rejected.
	Evaluated TicketNumber
	// Accepted is the number of the latest ticket that was accepted.
	Accepted TicketNumber
	// Digest is the digest of the configuration in effect.
	Digest Digest
}

// Version returns the version of the configuration.
func (s *Snapshot) Version() Version {
	return Version{Evaluated: s.evaluated, Accepted: s.accepted, Digest: s.digest}
}
