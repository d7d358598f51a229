package events

// Catalogue returns one event of each kind, ordered by number.
func Catalogue() []Event {
	return []Event{
		NodeStarted{},
		NodeReady{},
		NodeLeaving{},
		NodeStopped{},
		NodePaused{},
		SettingsReloaded{},
		SettingsRejected{},
		TicketAccepted{},
		TicketRejected{},
		TicketGap{},
		SnapshotTaken{},
		SnapshotRefused{},
		DigestDiverged{},
		SourceFailed{},
		SourceRecovered{},
		HostListChanged{},
		SourceAnsweredOld{},
		SourceValueIgnored{},
		BackendServerRegistered{},
		BackendServerUnregistered{},
		PeerConnected{},
		PeerDisconnected{},
		PeerRefused{},
		HostPhaseChanged{},
		ParentReplaced{},
		PeerMalformed{},
		HandshakeFailed{},
		BackendServerCrashed{},
		RequestQuarantined{},
		KeysReloaded{},
		KeysRejected{},
		KeysExpire{},
	}
}
