package state

// Version says how far a node has come.
type Version struct {
	// Evaluated is the number of the latest ticket that was judged.
	Evaluated TicketNumber
	// Accepted is the number of the latest accepted ticket, which is in
	// force.
	Accepted TicketNumber
	// Digest is the digest of the configuration in force.
	Digest Digest
}

// Version returns how far the configuration has come.
func (s *Snapshot) Version() Version {
	return Version{Evaluated: s.judged, Accepted: s.accepted, Digest: s.digest}
}
