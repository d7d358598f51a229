package events

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// PeerConnected is logged when a control session with a peer has opened.
type PeerConnected struct {
	Peer state.HostName `event:"peer"`
}

// Kind returns the description of the event.
func (PeerConnected) Kind() Kind {
	return Kind{401, LevelDebug, "peer-connected", "A session with the peer is open."}
}

// PeerDisconnected is logged when a control session with a peer has ended.
type PeerDisconnected struct {
	Peer state.HostName `event:"peer"`
}

// Kind returns the description of the event.
func (PeerDisconnected) Kind() Kind {
	return Kind{402, LevelDebug, "peer-disconnected", "The session with the peer has ended. The node redials as long as it needs the peer."}
}

// PeerRefused is logged when a handshake is refused, by this node or by the
// peer.
type PeerRefused struct {
	Peer       state.HostName `event:"peer"`
	Reason     string         `event:"reason"`
	RetryAfter time.Duration  `event:"retry_after"`
}

// Kind returns the description of the event.
func (PeerRefused) Kind() Kind {
	return Kind{403, LevelInfo, "peer-refused", "A handshake was refused. This is expected during a reconnect storm, when handshakes are rate limited."}
}

// KeysReloaded is logged when changed key files were loaded.
type KeysReloaded struct {
	NotAfter time.Time `event:"not_after"`
}

// Kind returns the description of the event.
func (KeysReloaded) Kind() Kind {
	return Kind{601, LevelInfo, "keys-reloaded", "New sessions use the reloaded certificate, which is valid until the given time."}
}

// KeysRejected is logged when changed key files can't be loaded.
type KeysRejected struct {
	Error error `event:"error"`
}

// Kind returns the description of the event.
func (KeysRejected) Kind() Kind {
	return Kind{602, LevelError, "keys-rejected", "The changed key files can't be used. The node continues with the previous ones."}
}

// PeerMalformed is logged when a peer violates the protocol.
type PeerMalformed struct {
	Peer  state.HostName `event:"peer"`
	Error error          `event:"error"`
}

// Kind returns the description of the event.
func (PeerMalformed) Kind() Kind {
	return Kind{406, LevelError, "peer-malformed", "The peer sent a message that violates the protocol. Only its session is closed."}
}

// HandshakeFailed is logged when a handshake fails.
type HandshakeFailed struct {
	// Peer is empty when the host name is not known.
	Peer    state.HostName `event:"peer"`
	Address string         `event:"address"`
	Error   error          `event:"error"`
}

// Kind returns the description of the event.
func (HandshakeFailed) Kind() Kind {
	return Kind{407, LevelInfo, "handshake-failed", "A handshake with a node failed: keys, names or the protocol did not match, or it timed out."}
}

// KeysExpire is logged when the certificate of the node expires soon.
type KeysExpire struct {
	NotAfter time.Time `event:"not_after"`
}

// Kind returns the description of the event.
func (KeysExpire) Kind() Kind {
	return Kind{603, LevelError, "keys-expire", "The certificate of the node expires at the given time. After that, no new session can be opened."}
}
