package httpmap_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/protocol/httpmap"
)

// FuzzRequest checks that internal and hop-by-hop header fields are never
// forwarded, and that no accepted path has a ".." segment.
func FuzzRequest(f *testing.F) {
	f.Add("GET /a/../b HTTP/1.1\r\nHost: desk\r\nConnection: x-hop, close\r\nX-Hop: 1\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: desk\r\nWasabiport-Call-Id: 1\r\nIdempotency-Key: k\r\n\r\n")
	f.Add("OPTIONS * HTTP/1.1\r\nHost: desk\r\nUpgrade: websocket\r\n\r\n")
	f.Fuzz(func(t *testing.T, raw string) {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			return
		}
		for _, field := range httpmap.RequestFields(request.Header) {
			name := http.CanonicalHeaderKey(field.Name)
			require.False(t, strings.HasPrefix(name, "Wasabiport-"), name)
			require.NotContains(t, []string{"Connection", "Upgrade", "Te", "Transfer-Encoding", "Expect"}, name)
		}
		if httpmap.CheckRequest(request, 100) != nil {
			return
		}
		require.NotContains(t, strings.Split(request.URL.Path, "/"), "..")
		require.Empty(t, request.Header.Get("Upgrade"))
		require.Equal(t, strings.ToLower(httpmap.Host(request)), httpmap.Host(request))
	})
}
