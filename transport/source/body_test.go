package source_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/transport/source"
)

// writeSlowly writes chunks of spaces with a pause after each, until the caller
// closes the connection when count is negative.
func writeSlowly(w http.ResponseWriter, r *http.Request, count int, pause time.Duration) {
	chunk := strings.Repeat(" ", 16<<10)
	for i := 0; i != count && r.Context().Err() == nil; i++ {
		if _, err := io.WriteString(w, chunk); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
		}
	}
}

// Guards against a large answer that never arrives on a busy link, because its
// transfer takes longer than the service may take to answer.
func TestAnswerMayArriveSlowlyAsLongAsItProgresses(t *testing.T) {
	answer := func(w http.ResponseWriter, r *http.Request) {
		writeSlowly(w, r, 40, 200*time.Millisecond)
		_, _ = io.WriteString(w, `{"tickets":[]}`)
	}
	serve(t, answer, func(t *testing.T, client *source.Client) {
		started := time.Now()
		_, err := client.Tickets(t.Context(), 0, 0)
		require.NoError(t, err)
		require.Equal(t, 8*time.Second, time.Since(started))
	})
}

func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration
		limit time.Duration
		want  error
	}{
		{"many bytes", 0, time.Second, source.ErrTooLarge},
		{"few bytes", time.Second, 10 * time.Second, source.ErrUnavailable},
		{"silence", time.Hour, 1500 * time.Millisecond, source.ErrUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer := func(w http.ResponseWriter, r *http.Request) { writeSlowly(w, r, -1, test.pause) }
			serve(t, answer, func(t *testing.T, client *source.Client) {
				started := time.Now()
				_, err := client.Tickets(t.Context(), 0, 0)
				require.True(t, errors.Is(err, test.want), "%v", err)
				require.LessOrEqual(t, time.Since(started), test.limit)
			})
		})
	}
}
