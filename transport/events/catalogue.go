package events

// Catalogue returns one event of each kind, ordered by number.
func Catalogue() []Event {
	return []Event{
		NodeStarted{},
		NodeReady{},
		NodeLeaving{},
		NodeStopped{},
		NodePaused{},
		TicketAccepted{},
		TicketRejected{},
		SourceFailed{},
		SourceRecovered{},
		HostListChanged{},
		PeerConnected{},
		PeerDisconnected{},
		PeerRefused{},
		BackendServerCrashed{},
		RequestQuarantined{},
		KeysReloaded{},
		KeysRejected{},
	}
}
