package peerwire

import (
	"time"

	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

func encodeLimits(limits state.RequestLimits) *wirepb.RequestLimits {
	if limits == (state.RequestLimits{}) {
		return nil
	}
	return &wirepb.RequestLimits{
		MaxHeaderBytes:     int64(limits.MaxHeaderBytes),
		MaxBodyBytes:       limits.MaxBodyBytes,
		HeaderTimeoutNanos: int64(limits.HeaderTimeout),
		IdleTimeoutNanos:   int64(limits.IdleTimeout),
	}
}

func decodeLimits(message *wirepb.RequestLimits) state.RequestLimits {
	return state.RequestLimits{
		MaxHeaderBytes: int(message.GetMaxHeaderBytes()),
		MaxBodyBytes:   message.GetMaxBodyBytes(),
		HeaderTimeout:  time.Duration(message.GetHeaderTimeoutNanos()),
		IdleTimeout:    time.Duration(message.GetIdleTimeoutNanos()),
	}
}
