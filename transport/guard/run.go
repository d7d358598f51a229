package guard

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

// backendIdleTimeout is how long an idle connection to a backend server is
// kept. It is shorter than the idle timeouts of backend servers, so that a call
// is rarely sent on a connection that is just being closed.
const backendIdleTimeout = 4 * time.Second

// maxReplyHeadBytes is the maximum size of the head of a reply.
const maxReplyHeadBytes = 64 << 10

func (g *Guard) newTransport(server state.BackendServer) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := g.network.Dial(ctx, address)
			if err != nil {
				if ctx.Err() == nil {
					g.assumeColdOf(server.Name)
				}
				return nil, err
			}
			return &backendConn{Conn: conn, onLost: func() { g.assumeColdOf(server.Name) }}, nil
		},
		MaxConnsPerHost:     server.Connections,
		MaxIdleConnsPerHost: server.Connections,
		DisableCompression:  true,
		IdleConnTimeout:     backendIdleTimeout,

		MaxResponseHeaderBytes: maxReplyHeadBytes,
	}
}

// run sends a call to the backend server. It calls beforeSend before the first
// byte is written, and release when the body of the reply is closed.
func (g *gate) run(
	ctx context.Context,
	head call.Head,
	body io.Reader,
	beforeSend func(),
	release func(admission.Result),
) (*callstream.Reply, *state.Refusal) {
	ctx, cancel := context.WithCancelCause(ctx)
	delivery := &delivery{cancel: cancel, beforeSend: beforeSend}
	request, err := g.newRequest(httptrace.WithClientTrace(ctx, delivery.trace()), head, body)
	if err != nil {
		cancel(err)
		return nil, state.NotRun(state.RefusedBadRequest, "the request can't be passed on")
	}
	response, err := g.transport.RoundTrip(request) //nolint:bodyclose // closed with the reply's body
	if err != nil {
		refusal := failureRefusal(ctx, delivery.endUnsent())
		if refusal.Reason == state.RefusedBackendServerFailed && refusal.Outcome == state.OutcomeMayHaveRun {
			g.handleLostConnection(head.ID)
		}
		cancel(err)
		return nil, refusal
	}
	if refusal := checkHead(response); refusal != nil {
		delivery.discard(response, true)
		cancel(nil)
		return nil, refusal
	}
	assessment := g.mapper.Classify(head, response)
	g.applyReport(assessment.Report)
	if assessment.Refusal != nil {
		delivery.discard(response, assessment.DiscardConnection)
		cancel(nil)
		if assessment.Shed {
			release(admission.ResultShed)
		}
		if assessment.Replaced {
			g.replaced.Store(true)
		}
		return nil, assessment.Refusal
	}
	onTruncated := func() {
		if ctx.Err() == nil {
			g.handleLostConnection(head.ID)
		}
	}
	reply := newReply(head.ID, response, assessment.Shed, onTruncated, func(result admission.Result) {
		cancel(nil)
		release(result)
	})
	return holdReply(ctx, reply)
}

// checkHead returns a refusal for a response whose head is not valid, although
// http.Transport has accepted it. Its connection can't be used any more.
func checkHead(response *http.Response) *state.Refusal {
	switch {
	case !httpmap.IsFinalStatus(response.StatusCode):
		return state.MayHaveRun(state.RefusedBackendServerFailed, "the backend server changed the protocol")
	case !httpmap.HasValidNames(response.Header):
		return state.MayHaveRun(state.RefusedBackendServerFailed, "the answer has a header field with an invalid name")
	default:
		return nil
	}
}

// holdReply reads the start of a reply before the entry node receives any part.
func holdReply(ctx context.Context, reply *callstream.Reply) (*callstream.Reply, *state.Refusal) {
	if err := reply.Hold(); err != nil {
		refusal := failureRefusal(ctx, false)
		// The error of the truncated body takes precedence.
		_ = reply.Body.Close()
		return nil, refusal
	}
	return reply, nil
}

func (g *gate) newRequest(ctx context.Context, head call.Head, body io.Reader) (*http.Request, error) {
	if head.ContentLength == 0 {
		body = http.NoBody
	}
	request, err := http.NewRequestWithContext(ctx, head.Method, "http://"+g.server.Address+head.Target, body)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	request.Host = head.Authority
	request.ContentLength = head.ContentLength
	httpmap.SetFields(request.Header, head.Fields)
	g.mapper.SetHeader(request.Header, head, time.Until(head.Deadline))
	return request, nil
}

// failureRefusal returns the refusal for a call without a reply. The context
// distinguishes canceled and expired calls from a failed backend server.
func failureRefusal(ctx context.Context, notRun bool) *state.Refusal {
	refusal := state.MayHaveRun(state.RefusedBackendServerFailed, "the backend server failed while it had the call")
	if notRun {
		refusal = state.NotRun(state.RefusedBackendServerFailed, "the backend server can't be reached")
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal.Reason = state.RefusedDeadline
		refusal.Detail = "the deadline passed before the backend server answered"
	case errors.Is(context.Cause(ctx), context.Canceled):
		refusal.Reason = state.RefusedCanceled
		refusal.Detail = "the caller went away before the backend server answered"
	}
	return refusal
}
