package calllog

import (
	"net"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabiport/wasabiport/coordination/intake"
	"github.com/wasabiport/wasabiport/transport/events"
)

// IntakeObserver logs connections of callers that are closed or refused because of a
// limit.
type IntakeObserver struct {
	limiter *events.LineLimiter
	logger  logr.Logger
}

// NewIntakeObserver returns an observer that writes to a logger.
func NewIntakeObserver(limiter *events.LineLimiter, logger logr.Logger) *IntakeObserver {
	return &IntakeObserver{limiter: limiter, logger: logger}
}

// ConnectionClosed logs a connection, within the limit on log lines.
func (o *IntakeObserver) ConnectionClosed(remote net.Addr, cause intake.Cause) {
	suppressed, ok := o.limiter.Allow(time.Now())
	if !ok {
		return
	}
	events.Log(o.logger, events.CallerConnectionClosed{Remote: remote.String(), Cause: cause.String(), LeftOut: suppressed})
}
