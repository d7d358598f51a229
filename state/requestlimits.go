package state

import "time"

// RequestLimits are the limits on the requests of callers. A field that is zero sets no
// limit of its own: the node's setting applies.
type RequestLimits struct {
	// MaxHeaderBytes is the maximum size of the head of a request.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of the body of a request.
	MaxBodyBytes int64
	// HeaderTimeout is the maximum time from the first byte of a head to its last one.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration
}

// Or returns the limits, with those of defaults in place of the fields that are zero.
func (l RequestLimits) Or(defaults RequestLimits) RequestLimits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaults.MaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaults.MaxBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaults.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaults.IdleTimeout
	}
	return l
}
