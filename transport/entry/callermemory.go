package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/wasabiport/wasabiport/coordination/intake"
)

// callerConnKey is the context key of the connection of a request.
type callerConnKey struct{}

// withCallerConn is the http.Server.ConnContext hook.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	if caller, ok := conn.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, caller)
	}
	return ctx
}

// callerMemory accounts for what is held for one request of a caller. The zero value
// accounts for nothing.
type callerMemory struct {
	intake  *intakeConfig
	tracked *intake.Conn
}

// memoryOf returns the memory of the connection of a request.
func memoryOf(ctx context.Context) callerMemory {
	caller, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return callerMemory{}
	}
	return callerMemory{intake: caller.inbound.intake, tracked: caller.inbound.tracked}
}

// hold accounts for bytes. It returns false if there is no memory for them.
func (m callerMemory) hold(bytes int64) bool {
	if m.tracked == nil {
		return true
	}
	held, evicted := m.tracked.Hold(time.Now(), bytes)
	m.intake.close(evicted)
	return held
}

// tryHold is hold without closing other connections.
func (m callerMemory) tryHold(bytes int64) bool { return m.tracked == nil || m.tracked.TryHold(bytes) }

func (m callerMemory) release(bytes int64) {
	if m.tracked != nil && bytes > 0 {
		m.tracked.Release(bytes)
	}
}

// http2RequestBytes is the memory of a request over HTTP/2. One over HTTP/1.1 is accounted
// for by inbound.
const http2RequestBytes = 16 << 10

// holdRequest accounts for a request. It returns false if there is no memory for it.
func holdRequest(r *http.Request) (release func(), held bool) {
	memory := memoryOf(r.Context())
	if r.ProtoMajor < 2 || memory.tracked == nil {
		return func() {}, true
	}
	if !memory.hold(http2RequestBytes) {
		return nil, false
	}
	return func() { memory.release(http2RequestBytes) }, true
}
