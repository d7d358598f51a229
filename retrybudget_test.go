package wasabiport_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
)

// breakingBackend answers every second request, and closes the connection of the
// others without an answer.
type breakingBackend struct{ requests atomic.Int64 }

func (b *breakingBackend) ServeHTTP(http.ResponseWriter, *http.Request) {
	if b.requests.Add(1)%2 == 0 {
		panic(http.ErrAbortHandler)
	}
}

// Guards against repeats that the retry budget did not count: those of the HTTP
// client, as often as a kept connection broke.
func TestRepeatsStayWithinTheBudgetWhenConnectionsBreak(t *testing.T) {
	const calls = 2000
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		var backend breakingBackend
		f.serveCustomBackend(backend.ServeHTTP)
		ticket := f.deskTicket(2)
		for i := range ticket.Set.BackendServers {
			ticket.Set.BackendServers[i].Address = customBackendAddress
		}
		ticket.Set.Routes[0].Idempotent = true
		f.fileTicket(ticket)
		time.Sleep(10 * time.Second)
		for range calls {
			response, err := f.client().Get("http://" + callerAddress(0) + "/")
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
		}
		repeats := backend.requests.Load() - calls
		require.LessOrEqual(t, repeats, int64(retry.DefaultCapacity+retry.DefaultShare*calls))
	})
}
