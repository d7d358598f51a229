package state

// Head says how far a node has come.
type Head struct {
	// Judged is the number of the latest ticket that was judged.
	Judged TicketNumber
	// Accepted is the number of the latest accepted ticket, which is in
	// force.
	Accepted TicketNumber
	// Digest is the digest of the configuration in force.
	Digest Digest
}

// Head returns how far the configuration has come.
func (s *Snapshot) Head() Head {
	return Head{Judged: s.judged, Accepted: s.accepted, Digest: s.digest}
}
