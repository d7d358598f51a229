package guard_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
)

// Guards against an answer that is taken for complete though its trailer is not valid HTTP.
func TestAnswerWithInvalidTrailerIsNotComplete(t *testing.T) {
	tests := map[string]struct {
		trailer string
		valid   bool
	}{
		"none":                     {"", true},
		"valid":                    {"X-Good: 1\r\n", true},
		"blank in the name":        {"X Bad: 1\r\n", false},
		"blank before the colon":   {"X-Bad : 1\r\n", false},
		"control byte in the name": {"X\x01Bad: 1\r\n", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				fixture := newFixture(t, 10)
				defer fixture.guard.Shutdown()
				fixture.serve(func(conn net.Conn) {
					defer func() { _ = conn.Close() }()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+test.trailer+"\r\n")
				})
				reply, refusal := fixture.do(http.MethodGet, "")
				require.Nil(t, refusal)
				_, err := io.ReadAll(reply.Body)
				require.NoError(t, reply.Body.Close())
				require.Equal(t, test.valid, err == nil, "%v", err)
			})
		})
	}
}
