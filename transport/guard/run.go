package guard

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/callstream"
)

func (g *Guard) newClient(server state.BackendServer) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return g.network.Dial(ctx, address)
			},
			MaxConnsPerHost:     server.Connections,
			MaxIdleConnsPerHost: server.Connections,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// run sends a call to the backend server. It calls release once the body of
// the reply is closed.
func (g *gate) run(
	ctx context.Context,
	head call.Head,
	body io.Reader,
	release func(),
) (*callstream.Reply, *state.Refusal) {
	// The client sends a request again when a kept connection turns out to
	// be closed. A call must reach the backend server once, so it is counted
	// as sent when the first connection for it is there.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), g.server, head, body)
	if err != nil {
		return nil, state.NotRun(state.RefusedBadRequest, "the request can't be passed on")
	}
	response, err := g.client.Do(request) //nolint:bodyclose // closed with the reply's body
	if err != nil {
		return nil, failure(err, sent.Load())
	}
	reply := &callstream.Reply{
		Head: call.ReplyHead{
			ID:            head.ID,
			Status:        response.StatusCode,
			Fields:        httpmap.Fields(response.Header),
			ContentLength: response.ContentLength,
		},
		Body:     &releasingBody{ReadCloser: response.Body, release: release},
		Trailers: func() []call.Field { return httpmap.Fields(response.Trailer) },
	}
	return reply, nil
}

func newRequest(
	ctx context.Context,
	server state.BackendServer,
	head call.Head,
	body io.Reader,
) (*http.Request, error) {
	if head.ContentLength == 0 {
		body = http.NoBody
	}
	request, err := http.NewRequestWithContext(ctx, head.Method, "http://"+server.Address+head.Target, body)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Host = head.Authority
	request.ContentLength = head.ContentLength
	httpmap.SetFields(request.Header, head.Fields)
	request.Header.Set(httpmap.HeaderCallID, string(head.ID))
	request.Header.Set(httpmap.HeaderCaller, string(head.Caller))
	return request, nil
}

func failure(err error, sent bool) *state.Refusal {
	switch {
	case !sent:
		return state.NotRun(state.RefusedBackendServerFailed, "the backend server can't be reached")
	case errors.Is(err, context.DeadlineExceeded):
		return state.MayHaveRun(state.RefusedDeadline, "the deadline passed while the call ran")
	case errors.Is(err, context.Canceled):
		return state.MayHaveRun(state.RefusedCanceled, "the caller went away while the call ran")
	default:
		return state.MayHaveRun(state.RefusedBackendServerFailed, "the backend server failed while it had the call")
	}
}

// releasingBody gives the slot back when the body is closed.
type releasingBody struct {
	io.ReadCloser
	release func()
	once    sync.Once
}

func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}
