// Package protocol groups the packages of the protocol layer, between transport
// and coordination: the wire format of messages between nodes, the mapping of
// messages and HTTP requests to the types of the coordination layer, and the
// handshake that opens a session.
package protocol
