package wasabiport_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/standin"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
)

// Guards against a leaving node that says "deadline" of a call which it broke off long
// before the deadline that the caller and the route allow.
func TestLeavingNodeDoesNotBlameTheDeadlineOfACall(t *testing.T) {
	const (
		leaveTime   = 4 * time.Second
		serviceTime = 6 * time.Second
		// runs is enough for each of the timers that end the call to be the first.
		runs = 12
	)
	for run := range runs {
		t.Run(fmt.Sprint(run), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				ticket := f.deskTicket(1)
				ticket.Set.Routes[0].Timeout = time.Minute
				ticket.Set.BackendServers = ticket.Set.BackendServers[:1]
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
				assert.NotEqual(t, "deadline", response.Header.Get("Wasabiport-Reason"), "%d", response.StatusCode)
				assert.NoError(t, <-left)
				time.Sleep(serviceTime)
				f.nodes = f.nodes[1:]
				f.stop()
			})
		})
	}
}
