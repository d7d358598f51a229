package entry

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/pipelining"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// pipeline runs the request that follows on a connection while the one before it runs.
// The HTTP server reads a request only after the answer to the one before; inbound has
// its head earlier, from the read by which the HTTP server notices that a caller leaves.
type pipeline struct {
	conn  *callerConn
	early *earlyRequests

	mu sync.Mutex
	// begun is the number of requests that have begun, so that of the running one.
	begun   int
	running pipelining.Running
	// waiting is the request with the number waitingNumber, or nil. It starts early if it
	// follows the running one and the route of that is known.
	waiting       *http.Request
	waitingNumber int
	// next is the call of the request after the running one that was started early, or
	// nil.
	next   *earlyCall
	closed bool
}

func newPipeline(conn *callerConn, early *earlyRequests) *pipeline {
	return &pipeline{conn: conn, early: early, running: pipelining.Running{Answering: true}}
}

// earlyRequests is what the pipelines of a server have in common.
type earlyRequests struct {
	// handler is nil if no request is started early.
	handler *Handler
	started atomic.Int64
}

// pipelineOf returns the pipeline of the connection of a request, or nil for HTTP/2 and
// for requests that were started early.
func pipelineOf(r *http.Request) *pipeline {
	caller, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok || r.ProtoMajor != 1 || earlyCallOf(r) != nil {
		return nil
	}
	return caller.pipeline
}

// begin is called when the HTTP server passes on a request. It returns the call that was
// started early for it, or nil.
func (p *pipeline) begin(r *http.Request) *earlyCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	started := p.next
	p.next = nil
	p.begun++
	p.running = pipelining.Running{HasBody: r.ContentLength != 0, Closes: r.Close}
	if started != nil {
		p.running.Routed, p.running.Idempotent = started.route()
	}
	p.startWaiting()
	return started
}

// end is called when the handler of a request has returned. No request starts early until
// the next one has begun.
func (p *pipeline) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = pipelining.Running{Answering: true}
}

// setRoute records the route of the running request, and starts the following one if it
// waits for that.
func (p *pipeline) setRoute(idempotent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running.Routed, p.running.Idempotent = true, idempotent
	p.startWaiting()
}

// beginAnswer is called before the answer to the running request. No request starts early
// until the answer has ended. It reports whether one has started, which must be answered
// on the same connection.
func (p *pipeline) beginAnswer() (followed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running.Answering = true
	return p.next != nil
}

// offer is called with the head of a request and its number on the connection, while
// another request runs. The request starts early if that is allowed. The HTTP server may
// read the head before the handler of the request ahead of it has begun.
func (p *pipeline) offer(number int, head []byte) {
	if p.early.handler == nil {
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		// The HTTP server refuses the request in its turn.
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting, p.waitingNumber = request, number
	p.startWaiting()
}

// startWaiting starts the waiting request if that is allowed. The caller must hold p.mu.
func (p *pipeline) startWaiting() {
	if p.waiting == nil || p.waitingNumber != p.begun+1 || p.closed || p.next != nil || !p.running.Routed {
		return
	}
	request := p.waiting
	p.waiting = nil
	handler := p.early.handler
	if pipelining.MayStart(p.running, pipelining.Next{Plain: isPlain(request)}, handler.isLeaving()) {
		p.early.started.Add(1)
		p.next = startEarly(p.conn, handler, request)
	}
}

// isPlain reports whether a request asks for nothing but an answer. The HTTP server treats
// others in ways of its own.
func isPlain(r *http.Request) bool {
	return r.ProtoMajor == 1 && r.ProtoMinor == 1 && r.ContentLength == 0 && !r.Close && r.Host != "" &&
		len(r.TransferEncoding) == 0 && r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == ""
}

// close cancels the call that was started early, as its connection has ended.
func (p *pipeline) close() {
	p.mu.Lock()
	next := p.next
	p.next, p.waiting = nil, nil
	p.closed = true
	p.mu.Unlock()
	if next != nil {
		next.cancel()
	}
}

// earlyCallKey is the context key of the call that was started early for a request.
type earlyCallKey struct{}

func earlyCallOf(r *http.Request) *earlyCall {
	call, _ := r.Context().Value(earlyCallKey{}).(*earlyCall)
	return call
}

// earlyContext returns the context of a request that is started early.
func earlyContext(conn *callerConn, call *earlyCall) (context.Context, context.CancelFunc) {
	ctx := context.WithValue(context.Background(), callerConnKey{}, conn)
	return context.WithCancel(context.WithValue(ctx, earlyCallKey{}, call))
}

// recordRoute records the route of a request for the one that follows on its connection.
// It returns false if the request was started early, must wait for its turn and its
// connection has ended.
func (h *Handler) recordRoute(r *http.Request, route state.Route) bool {
	if call := earlyCallOf(r); call != nil {
		return call.setRoute(route.Idempotent)
	}
	if pipeline := pipelineOf(r); pipeline != nil {
		pipeline.setRoute(route.Idempotent)
	}
	return true
}

// holdIfFollowed reads an answer of unknown length as far as one of known length if the
// following request has started: if the answer were cut after its first part, both would
// be lost with the connection.
func (h *Handler) holdIfFollowed(r *http.Request, reply *callstream.Reply) error {
	pipeline := pipelineOf(r)
	if pipeline == nil || !pipeline.beginAnswer() {
		return nil
	}
	if err := reply.HoldMost(); err != nil {
		return errors.CombineErrors(err, reply.Body.Close())
	}
	return nil
}

func (h *Handler) isLeaving() bool { return h.calls.record.Load() != nil }

// isFollowed reports whether the request that follows on the connection has started. From
// then on none is started until the next answer.
func isFollowed(r *http.Request) bool {
	pipeline := pipelineOf(r)
	return pipeline != nil && pipeline.beginAnswer()
}
