package wasabiport_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/standin"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
)

// Guards against uploads that reached a backend server after their callers had left
// while they waited for a slot: only the end of a body shows that a caller has gone.
func TestUploadOfCallerThatHasLeftIsNotRun(t *testing.T) {
	const bodyBytes = 200 << 10
	for name, host := range map[string]int{"own host": 0, "other host": 1} {
		for part, sent := range map[string]int{"complete body": bodyBytes, "part of the body": bodyBytes / 2} {
			t.Run(name+", "+part, func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					f := newFleet(t, 2)
					defer f.stop()
					ticket := f.deskTicket(1)
					ticket.Set.BackendServers = ticket.Set.BackendServers[host : host+1]
					ticket.Set.BackendServers[0].Slots = 1
					f.fileTicket(ticket)
					time.Sleep(10 * time.Second)
					occupied := make(chan struct{})
					go func() {
						defer close(occupied)
						f.getSlowly(2 * time.Second)
					}()
					time.Sleep(100 * time.Millisecond)
					f.uploadAndLeave(bodyBytes, sent, 300*time.Millisecond)
					<-occupied
					time.Sleep(2 * time.Second)
					require.Equal(t, 1, f.backends[host].RunsTotal(), "only the call that held the slot")
					require.Equal(t, http.StatusOK, f.post(bodyBytes))
				})
			})
		}
	}
}

// uploadAndLeave sends a part of an upload, and closes its connection after a while.
func (f *fleet) uploadAndLeave(bodyBytes, sent int, after time.Duration) {
	conn, err := f.network.Dial(f.t.Context(), callerAddress(0))
	require.NoError(f.t, err)
	go func() {
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: desk\r\n%s: upload\r\nContent-Length: %d\r\n\r\n%s",
			standin.HeaderCallID, bodyBytes, strings.Repeat("x", sent))
	}()
	time.Sleep(after)
	require.NoError(f.t, conn.Close())
}
