package source_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/sourcereading"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/transport/network"
	"github.com/wasabiport/wasabiport/transport/source"
)

// serve runs a handler in place of the service, under virtual time.
func serve(t *testing.T, handler http.HandlerFunc, use func(*testing.T, *source.Client)) {
	virtualtime.Test(t, func(t *testing.T) {
		memory := network.NewMemory()
		listener, err := memory.Listen(t.Context(), "192.0.2.1:80")
		require.NoError(t, err)
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(listener) }()
		defer func() { require.NoError(t, server.Close()) }()
		transport := &http.Transport{
			DisableKeepAlives: true,
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return memory.Dial(ctx, address)
			},
		}
		use(t, source.NewClient("http://192.0.2.1:80", &http.Client{Transport: transport}, logr.Discard()))
	})
}

func TestInvalidResponsesAreUnavailable(t *testing.T) {
	tests := []struct {
		name   string
		answer http.HandlerFunc
		want   string
	}{
		{"down", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "", http.StatusServiceUnavailable) }, "status 503"},
		{"garbage", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "<html>") }, "invalid character"},
		{"trailing garbage", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"tickets":[]}}`) }, "invalid character"},
		{"truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"tickets":[]}`)
		}, "unexpected EOF"},
		{"too large", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"tickets":[]`+strings.Repeat(" ", 9<<20)+"}")
		}, "more than"},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://192.0.2.9/v1/tickets", http.StatusFound)
		}, "status 302"},
		{"slow body", func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, "deadline exceeded"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			serve(t, test.answer, func(t *testing.T, client *source.Client) {
				_, err := client.Tickets(t.Context(), 0, 0)
				require.True(t, errors.Is(err, source.ErrUnavailable))
				require.ErrorContains(t, err, test.want)
			})
		})
	}
}

// Guards against an answer that is read without one of its fields, because the name of the
// field is not valid.
func TestAnswerWithInvalidFieldNameIsUnavailable(t *testing.T) {
	for name, field := range map[string]string{"blank": "X Bad: 1", "blank before the colon": "Content-Length : 14"} {
		t.Run(name, func(t *testing.T) {
			answer := func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\n"+`{"tickets":[]}`)
			}
			serve(t, answer, func(t *testing.T, client *source.Client) {
				_, err := client.Tickets(t.Context(), 0, 0)
				require.True(t, errors.Is(err, source.ErrUnavailable))
				require.ErrorContains(t, err, "invalid name")
			})
		})
	}
}

func TestRetryAfterHeaderIsReturned(t *testing.T) {
	answer := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "7")
		http.Error(w, "", http.StatusTooManyRequests)
	}
	serve(t, answer, func(t *testing.T, client *source.Client) {
		_, err := client.Hosts(t.Context(), sourcereading.Query{})
		var throttled *source.ThrottledError
		require.ErrorAs(t, err, &throttled)
		require.Equal(t, 7*time.Second, throttled.RetryAfter())
	})
}
