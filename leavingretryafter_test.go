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

// Guards against a leaving node that tells the caller of a call that is not idempotent,
// and that it broke off while it ran, when to send it again.
func TestLeavingNodeDoesNotAskForARetryOfACallThatHasRun(t *testing.T) {
	const (
		leaveTime   = 4 * time.Second
		serviceTime = 6 * time.Second
	)
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		ticket := f.deskTicket(1)
		ticket.Set.Routes[0].Timeout = time.Minute
		ticket.Set.BackendServers = ticket.Set.BackendServers[1:]
		f.fileTicket(ticket)
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), leaveTime)
		defer cancel()
		left := make(chan error, 1)
		go func() { left <- f.nodes[0].Leave(ctx) }()
		time.Sleep(100 * time.Millisecond)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+callerAddress(0)+"/", strings.NewReader("notice"))
		require.NoError(t, err)
		request.Header.Set(standin.HeaderServiceTime, serviceTime.String())
		response, err := f.client().Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		assert.Equal(t, "may-have-run", response.Header.Get("Wasabiport-Outcome"))
		assert.Empty(t, response.Header.Get("Retry-After"), "%d", response.StatusCode)
		assert.Equal(t, 1, f.backends[1].RunsTotal())
		assert.NoError(t, <-left)
		time.Sleep(serviceTime)
		f.nodes = f.nodes[1:]
		f.stop()
	})
}
