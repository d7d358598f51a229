// Package protocol is the layer between sockets and decisions: the messages
// that nodes exchange, the mapping of messages and HTTP requests to the types
// of package coordination, and the rules of a session's handshake.
package protocol
