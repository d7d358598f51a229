package wasabiport_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
)

// customBackendAddress is the address of a backend server that a test implements.
const customBackendAddress = "192.0.2.200:8080"

// serveCustomBackend serves handler and files a ticket in which all backend servers
// have its address.
func (f *fleet) serveCustomBackend(handler http.HandlerFunc) {
	f.serve(customBackendAddress, handler)
	ticket := f.deskTicket(1)
	for i := range ticket.Set.BackendServers {
		ticket.Set.BackendServers[i].Address = customBackendAddress
	}
	f.fileTicket(ticket)
	time.Sleep(10 * time.Second)
}

// exchange sends a raw HTTP request to a node and returns the response.
func (f *fleet) exchange(raw string) *http.Response {
	conn, err := f.network.Dial(f.t.Context(), callerAddress(0))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	go func() { _, _ = io.WriteString(conn, raw) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(f.t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(f.t, err)
	return response
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	const end = "Host: desk\r\n\r\n"
	tests := map[string]struct {
		raw    string
		status int
	}{
		"connect":            {"CONNECT desk:80 HTTP/1.1\r\n" + end, http.StatusNotImplemented},
		"websocket":          {"GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" + end, http.StatusNotImplemented},
		"dot segments":       {"GET /public/%2e%2e/admin HTTP/1.1\r\n" + end, http.StatusBadRequest},
		"target is no path":  {"OPTIONS * HTTP/1.1\r\n" + end, http.StatusBadRequest},
		"two keys":           {"POST / HTTP/1.1\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n" + end, http.StatusBadRequest},
		"too many fields":    {"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 200) + end, http.StatusBadRequest},
		"headers too large":  {"GET / HTTP/1.1\r\nA: " + strings.Repeat("b", 80<<10) + "\r\n" + end, http.StatusRequestHeaderFieldsTooLarge},
		"body too large":     {"POST / HTTP/1.1\r\nContent-Length: 2000000000\r\n" + end, http.StatusRequestEntityTooLarge},
		"two lengths":        {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n" + end, http.StatusBadRequest},
		"unknown coding":     {"POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n" + end, http.StatusNotImplemented},
		"space before colon": {"GET / HTTP/1.1\r\nA : b\r\n" + end, http.StatusBadRequest},
	}
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stop()
		f.fileTicket(f.deskTicket(1))
		time.Sleep(10 * time.Second)
		for name, test := range tests {
			require.Equal(t, test.status, f.exchange(test.raw).StatusCode, name)
		}
		require.Zero(t, f.backends[0].RunsTotal())
	})
}

func TestChunkedBodyIsNotParsedAsRequest(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: desk\r\n\r\n"
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stop()
		received := make(chan string, 10)
		f.serveCustomBackend(func(_ http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			received <- r.URL.Path + " " + string(body)
		})
		// The Content-Length covers only the size line of the first chunk: a
		// node that uses it would parse the chunk as a second request.
		f.exchange(fmt.Sprintf("POST /first HTTP/1.1\r\nHost: desk\r\nContent-Length: 4\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled))
		require.Equal(t, "/first "+smuggled, <-received)
		require.Empty(t, received)
	})
}

func TestHopByHopAndInternalFieldsAreNotForwarded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stop()
		seen := make(chan http.Header, 1)
		f.serveCustomBackend(func(w http.ResponseWriter, r *http.Request) {
			seen <- r.Header
			w.Header().Set("Wasabiport-Outcome", "not-run")
			w.Header().Set("Connection", "X-Private")
			w.Header().Set("X-Private", "1")
			w.Header().Set("X-Public", "1")
		})
		response := f.exchange("GET / HTTP/1.1\r\nHost: desk\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 1\r\n" +
			"Wasabiport-Call-Id: forged\r\nWasabiport-Outcome: forged\r\nWasabiport-Caller: clinic-7\r\n" +
			"Wasabiport-Timeout: 3s\r\nTE: trailers\r\n\r\n")
		request := <-seen
		require.Equal(t, "1", request.Get("X-End"))
		require.Empty(t, request.Get("X-Hop"))
		require.Empty(t, request.Get("TE"))
		require.Empty(t, request.Get("Wasabiport-Outcome"))
		require.Equal(t, response.Header.Get("Wasabiport-Call-Id"), request.Get("Wasabiport-Call-Id"))
		require.NotEqual(t, "forged", request.Get("Wasabiport-Call-Id"))
		require.Equal(t, "clinic-7", request.Get("Wasabiport-Caller"))
		remaining, err := time.ParseDuration(request.Get("Wasabiport-Timeout"))
		require.NoError(t, err)
		require.LessOrEqual(t, remaining, 3*time.Second)
		require.Equal(t, "done", response.Header.Get("Wasabiport-Outcome"))
		require.Equal(t, "1", response.Header.Get("X-Public"))
		require.Empty(t, response.Header.Get("X-Private"))
	})
}

// callerClient returns an HTTP client that uses only HTTP/2 or only HTTP/1.1.
func (f *fleet) callerClient(http2 bool) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	transport := &http.Transport{
		Protocols: protocols,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return f.network.Dial(ctx, address)
		},
	}
	f.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// forBothHTTPVersions runs check with an HTTP/1.1 client and with an HTTP/2 client.
func forBothHTTPVersions(t *testing.T, handler http.HandlerFunc, check func(t *testing.T, f *fleet, client *http.Client)) {
	for name, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				defer f.stop()
				f.serveCustomBackend(handler)
				client := f.callerClient(http2)
				defer client.CloseIdleConnections()
				check(t, f, client)
			})
		})
	}
}

func TestTruncatedResponseIsReportedAsError(t *testing.T) {
	truncate := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 100<<10))
		panic(http.ErrAbortHandler)
	}
	forBothHTTPVersions(t, truncate, func(t *testing.T, f *fleet, client *http.Client) {
		response, err := client.Get("http://" + callerAddress(0) + "/")
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.Error(t, err)
		_ = response.Body.Close()
	})
}

func TestCancellationReachesTheBackendServer(t *testing.T) {
	canceled := make(chan struct{}, 2)
	hang := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		canceled <- struct{}{}
	}
	forBothHTTPVersions(t, hang, func(t *testing.T, f *fleet, client *http.Client) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callerAddress(0)+"/", nil)
		require.NoError(t, err)
		started := time.Now()
		_, err = client.Do(request)
		require.Error(t, err)
		<-canceled
		require.Less(t, time.Since(started), time.Second)
	})
}

func TestResponsesWithoutBodyAndWithTrailers(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/204":
			w.WriteHeader(http.StatusNoContent)
		case "/304":
			w.Header().Set("Etag", `"7"`)
			w.WriteHeader(http.StatusNotModified)
		case "/hints":
			w.WriteHeader(http.StatusEarlyHints)
			_, _ = io.WriteString(w, "whole")
		case "/trailers":
			w.Header().Set(http.TrailerPrefix+"X-Sum", "7")
			_, _ = io.Copy(w, r.Body)
		default:
			w.Header().Set("Content-Length", "5")
			_, _ = io.WriteString(w, "whole")
		}
	}
	forBothHTTPVersions(t, handler, func(t *testing.T, f *fleet, client *http.Client) {
		tests := []struct {
			method, path string
			status       int
			body         string
			length       int64
		}{
			{http.MethodHead, "/", http.StatusOK, "", 5},
			{http.MethodGet, "/", http.StatusOK, "whole", 5},
			{http.MethodGet, "/204", http.StatusNoContent, "", 0},
			{http.MethodGet, "/304", http.StatusNotModified, "", 0},
			{http.MethodGet, "/hints", http.StatusOK, "whole", 5},
		}
		for _, test := range tests {
			request, err := http.NewRequestWithContext(t.Context(), test.method, "http://"+callerAddress(0)+test.path, nil)
			require.NoError(t, err)
			response, err := client.Do(request)
			require.NoError(t, err, test.path)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
			require.Equal(t, test.body, string(body))
			require.Equal(t, test.length, max(0, response.ContentLength))
		}
		long := strings.Repeat("y", 1<<20)
		response, err := client.Post("http://"+callerAddress(0)+"/trailers", "text/plain", strings.NewReader(long))
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, len(long), len(body))
		require.Equal(t, "7", response.Trailer.Get("X-Sum"))
	})
}

func TestConnectionOfStalledCallerIsClosed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.stop()
		ticket := f.deskTicket(1)
		ticket.Set.Routes[0].Timeout = 10 * time.Minute
		f.fileTicket(ticket)
		time.Sleep(10 * time.Second)
		conn, err := f.network.Dial(t.Context(), callerAddress(0))
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: desk\r\nStandin-Answer-Bytes: 1000000\r\n\r\n")
		require.NoError(t, err)
		time.Sleep(4 * time.Second)
		_, err = conn.Write([]byte("x"))
		require.NoError(t, err, "the connection was closed before the stall timeout")
		time.Sleep(time.Minute)
		n, err := io.Copy(io.Discard, conn)
		require.NoError(t, err)
		require.Less(t, n, int64(1_000_000))
	})
}
