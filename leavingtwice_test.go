package wasabiport_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/standin"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
)

// Guards against a leaving node that is told again to leave: it took calls by the later
// deadline and broke them off by the earlier one.
func TestSecondLeaveKeepsTheScheduleOfTheFirst(t *testing.T) {
	const (
		firstLeave  = 4 * time.Second
		secondLeave = time.Minute
		// late is after the node withdraws waiting calls by the first deadline.
		late        = 1900 * time.Millisecond
		serviceTime = "1800ms"
	)
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.fileTicket(f.deskTicket(1))
		time.Sleep(10 * time.Second)
		left := make(chan error, 2)
		for _, limit := range []time.Duration{firstLeave, secondLeave} {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			go func() { left <- f.nodes[0].Leave(ctx) }()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(late - 200*time.Millisecond)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+callerAddress(0)+"/", strings.NewReader("notice"))
		require.NoError(t, err)
		request.Header.Set(standin.HeaderServiceTime, serviceTime)
		response, err := f.client().Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		assert.Contains(t, []string{"not-run", "done"}, response.Header.Get("Wasabiport-Outcome"), "%d", response.StatusCode)
		assert.NoError(t, <-left)
		assert.NoError(t, <-left)
		f.nodes = f.nodes[1:]
		f.stop()
	})
}
