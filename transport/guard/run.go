package guard

import (
	"bytes"
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

// backendIdleTimeout is how long a connection to a backend server is kept
// without a call. It is shorter than backend servers keep theirs, so that a call
// seldom meets the end of its connection.
const backendIdleTimeout = 4 * time.Second

func (g *Guard) newTransport(server state.BackendServer) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := g.network.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return &backendConn{Conn: conn}, nil
		},
		MaxConnsPerHost:     server.Connections,
		MaxIdleConnsPerHost: server.Connections,
		DisableCompression:  true,
		IdleConnTimeout:     backendIdleTimeout,
	}
}

// run sends a call to the backend server. It calls beforeSend before the first
// byte is written, and release once the body of the reply is closed.
func (g *gate) run(
	ctx context.Context,
	head call.Head,
	body io.Reader,
	beforeSend func(),
	release func(admission.Result),
) (*callstream.Reply, *state.Refusal) {
	ctx, cancel := context.WithCancelCause(ctx)
	delivery := &delivery{repeatable: head.Idempotent, cancel: cancel, beforeSend: beforeSend}
	request, err := g.newRequest(httptrace.WithClientTrace(ctx, delivery.trace()), head, body)
	if err != nil {
		cancel(err)
		return nil, state.NotRun(state.RefusedBadRequest, "the request can't be passed on")
	}
	response, err := g.transport.RoundTrip(request) //nolint:bodyclose // closed with the reply's body
	if err != nil {
		refusal := failure(ctx, delivery.end())
		if refusal.Reason == state.RefusedBackendServerFailed && refusal.Outcome == state.OutcomeMayHaveRun {
			g.crashed(head.ID)
		}
		cancel(err)
		return nil, refusal
	}
	if response.StatusCode < http.StatusOK {
		_ = response.Body.Close()
		cancel(nil)
		refusal := state.MayHaveRun(state.RefusedBackendServerFailed, "the backend server changed the protocol")
		refusal.ReachedBackendServer = true
		return nil, refusal
	}
	judgement := g.back.Classify(head, response)
	if judgement.Refusal != nil {
		delivery.discard(response, judgement.DiscardConnection)
		cancel(nil)
		if judgement.Shed {
			release(admission.ResultShed)
		}
		if judgement.Replaced {
			g.gone.Store(true)
		}
		return nil, judgement.Refusal
	}
	cut := func() {
		if ctx.Err() == nil {
			g.crashed(head.ID)
		}
	}
	reply := newReply(head.ID, response, judgement.Shed, cut, func(result admission.Result) {
		cancel(nil)
		release(result)
	})
	return held(ctx, reply)
}

// maxHeldBytes is the length of answers that are read whole before the entry
// node gets any of them, so that a call whose answer is cut can be sent again.
const maxHeldBytes = 64 << 10

// heldBody is an answer that has been read whole. Closing it gives back the
// slot: until then the call counts as running.
type heldBody struct {
	io.Reader
	io.Closer
}

// held reads a short answer whole.
func held(ctx context.Context, reply *callstream.Reply) (*callstream.Reply, *state.Refusal) {
	if length := reply.Head.ContentLength; length < 0 || length > maxHeldBytes {
		return reply, nil
	}
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		refusal := failure(ctx, false)
		// The error of a body that was cut says all there is to say.
		_ = reply.Body.Close()
		return nil, refusal
	}
	reply.Body = heldBody{Reader: bytes.NewReader(body), Closer: reply.Body}
	return reply, nil
}

func (g *gate) newRequest(ctx context.Context, head call.Head, body io.Reader) (*http.Request, error) {
	if head.ContentLength == 0 {
		body = http.NoBody
	}
	request, err := http.NewRequestWithContext(ctx, head.Method, "http://"+g.server.Address+head.Target, body)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Host = head.Authority
	request.ContentLength = head.ContentLength
	httpmap.SetFields(request.Header, head.Fields)
	g.back.SetHeader(request.Header, head, time.Until(head.Deadline))
	return request, nil
}

// failure returns the refusal for a call without an answer. Its context tells
// apart a call that was given up from a backend server that failed.
func failure(ctx context.Context, notRun bool) *state.Refusal {
	refusal := &state.Refusal{
		Reason:               state.RefusedBackendServerFailed,
		Outcome:              state.OutcomeMayHaveRun,
		Detail:               "the backend server failed while it had the call",
		ReachedBackendServer: true,
	}
	if notRun {
		refusal.ReachedBackendServer = false
		refusal.Outcome = state.OutcomeNotRun
		refusal.Detail = "the backend server can't be reached"
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
