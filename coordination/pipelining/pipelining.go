// Package pipelining decides which requests of one HTTP/1.1 connection run at the same
// time. Their answers are sent in the order of the requests.
package pipelining

// Running is what is known of the request of a connection whose answer is next.
type Running struct {
	// Routed is set when the route of the request is known, and Idempotent if its calls
	// may run more than once.
	Routed, Idempotent bool
	// HasBody is set if the request has a body.
	HasBody bool
	// Closes is set if the connection ends after its answer.
	Closes bool
	// Answering is set when its answer has begun, and until the next request begins.
	Answering bool
}

// Next is what is known of the request that follows on the connection, before its route
// is.
type Next struct {
	// Plain is set if the request has no body and asks for nothing but an answer: no
	// other protocol, no confirmation before a body and no end of the connection.
	Plain bool
}

// MayStart reports whether a request starts while the one before it runs. A request
// whose predecessor can't be repeated waits: the client may not want it to run if the
// predecessor fails. One that arrives when the answer before it has begun waits too: if
// that answer is cut, the connection ends, and the request would have run without an
// answer.
func MayStart(running Running, next Next, leaving bool) bool {
	return !leaving && next.Plain && running.Routed && running.Idempotent && !running.HasBody && !running.Closes && !running.Answering
}
