package entry

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/state"
)

// maxEarlyBytes is how much of the answer to a call that was started early is held until
// its turn. The rest waits at the guard.
const maxEarlyBytes = 64 << 10

// errAnswerNotNeeded is returned by writes of an answer whose connection has ended.
var errAnswerNotNeeded = errors.New("the connection of the caller has ended")

// earlyCall is a call that runs before its turn on the connection. It is the
// http.ResponseWriter of its handler: it holds the answer, and passes it on when the HTTP
// server has come to the request.
type earlyCall struct {
	ctx    context.Context
	cancel context.CancelFunc
	memory callerMemory

	// turn is closed when the HTTP server has come to the request, full when the answer
	// exceeds maxEarlyBytes, passed when the held part was passed on, and done when the
	// handler has returned.
	turn, full, passed, done chan struct{}
	fullOnce                 sync.Once
	// target is the response of the HTTP server. It is set before passed is closed.
	target http.ResponseWriter

	// Only the handler accesses the fields below, and relay after done or full.
	header  http.Header
	status  int
	body    bytes.Buffer
	held    int64
	aborted bool
	// panicked is the value with which the handler has panicked in another way, or nil.
	panicked any

	mu                 sync.Mutex
	routed, idempotent bool
}

// startEarly runs a request of a connection in a goroutine of its own.
func startEarly(conn *callerConn, handler *Handler, request *http.Request) *earlyCall {
	call := &earlyCall{
		memory: callerMemory{intake: conn.inbound.intake, tracked: conn.inbound.tracked},
		turn:   make(chan struct{}), full: make(chan struct{}),
		passed: make(chan struct{}), done: make(chan struct{}),
		header: make(http.Header), status: http.StatusOK,
	}
	call.ctx, call.cancel = earlyContext(conn, call)
	request.RemoteAddr = conn.RemoteAddr().String()
	go call.run(handler, request.WithContext(call.ctx))
	return call
}

func (c *earlyCall) run(handler *Handler, request *http.Request) {
	defer close(c.done)
	defer func() {
		// A handler panics to abort its answer, as it does for the HTTP server, which
		// gets any other panic from relay.
		reason := recover()
		err, isError := reason.(error)
		c.aborted = isError && errors.Is(err, http.ErrAbortHandler)
		if !c.aborted {
			c.panicked = reason
		}
	}()
	handler.serveCall(c, request)
}

// setRoute records the route of the call. One that is not idempotent waits for its turn;
// setRoute returns false if the connection ends before.
func (c *earlyCall) setRoute(idempotent bool) bool {
	c.mu.Lock()
	c.routed, c.idempotent = true, idempotent
	c.mu.Unlock()
	if idempotent {
		return true
	}
	select {
	case <-c.turn:
		return true
	case <-c.ctx.Done():
		return false
	}
}

func (c *earlyCall) route() (routed, idempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routed, c.idempotent
}

// relay passes the answer on. It returns when the handler has returned, and panics if the
// answer was aborted after a part of it was passed on.
func (c *earlyCall) relay(w http.ResponseWriter, r *http.Request, handler *Handler) {
	defer c.cancel()
	defer func() { c.memory.release(c.held) }()
	stop := context.AfterFunc(r.Context(), c.cancel)
	defer stop()
	close(c.turn)
	select {
	case <-c.done:
	case <-c.full:
	}
	followed := pipelineOf(r).beginAnswer()
	if c.isDone() {
		c.passWhole(w, r, followed, handler)
		return
	}
	c.passHeld(w, followed)
	c.target = w
	close(c.passed)
	<-c.done
	c.panicAgain()
	if c.aborted {
		panic(http.ErrAbortHandler)
	}
	c.passTrailers(w)
}

// panicAgain passes a panic of the handler on to the HTTP server, which logs it.
func (c *earlyCall) panicAgain() {
	if c.panicked != nil {
		panic(c.panicked)
	}
}

func (c *earlyCall) isDone() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// passWhole passes on an answer that is complete, or a refusal if it was cut.
func (c *earlyCall) passWhole(w http.ResponseWriter, r *http.Request, followed bool, handler *Handler) {
	c.panicAgain()
	if c.aborted {
		refusal := state.MayHaveRun(state.RefusedBackendServerFailed, "the answer was cut before any of it was passed on")
		handler.mapper.WriteRefusal(w, r, state.CallID(""), refusal)
		return
	}
	c.passHeld(w, followed)
	c.passTrailers(w)
}

// passHeld passes on the head and the held part of the body. The connection stays open if
// the following request has started.
func (c *earlyCall) passHeld(w http.ResponseWriter, followed bool) {
	header := w.Header()
	for name, values := range c.header {
		header[name] = values
	}
	if followed {
		header.Del("Connection")
	}
	w.WriteHeader(c.status)
	// An error means that the caller has left, which ends the connection.
	_, _ = w.Write(c.body.Bytes())
}

// passTrailers passes on the trailers that the handler has added to the header.
func (c *earlyCall) passTrailers(w http.ResponseWriter) {
	header := w.Header()
	for name, values := range c.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			header[name] = values
		}
	}
}

// Header implements http.ResponseWriter.
func (c *earlyCall) Header() http.Header { return c.header }

// WriteHeader implements http.ResponseWriter.
func (c *earlyCall) WriteHeader(status int) { c.status = status }

// Write holds a part of the answer, or passes it on once the held part was.
func (c *earlyCall) Write(p []byte) (int, error) {
	if c.isPassed() {
		return c.target.Write(p)
	}
	if c.body.Len()+len(p) <= maxEarlyBytes && c.memory.tryHold(int64(len(p))) {
		c.held += int64(len(p))
		return c.body.Write(p)
	}
	c.fullOnce.Do(func() { close(c.full) })
	select {
	case <-c.passed:
		return c.target.Write(p)
	case <-c.ctx.Done():
		return 0, errAnswerNotNeeded
	}
}

func (c *earlyCall) isPassed() bool {
	select {
	case <-c.passed:
		return true
	default:
		return false
	}
}

// FlushError implements the flushing of http.ResponseController. A held part is passed on
// when it is complete.
func (c *earlyCall) FlushError() error {
	if c.isPassed() {
		return http.NewResponseController(c.target).Flush()
	}
	return nil
}

// SetWriteDeadline implements that of http.ResponseController.
func (c *earlyCall) SetWriteDeadline(deadline time.Time) error {
	if c.isPassed() {
		return http.NewResponseController(c.target).SetWriteDeadline(deadline)
	}
	return nil
}
