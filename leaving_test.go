package wasabiport_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
)

// Guards against a leaving node that says "not run" of a call with an idempotency key:
// it has not read the record of the key, so an earlier call with it may have run.
func TestLeavingNodeDoesNotAnswerForRecordsItHasNotRead(t *testing.T) {
	const (
		// leaveTime is less than the timeout of the route, so that late calls are refused.
		leaveTime = 4 * time.Second
		late      = 1900 * time.Millisecond
	)
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.fileTicket(f.deskTicket(1))
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), leaveTime)
		defer cancel()
		left := make(chan error, 1)
		go func() { left <- f.nodes[0].Leave(ctx) }()
		time.Sleep(late)
		keyed := f.exchange("POST / HTTP/1.1\r\nHost: desk\r\nIdempotency-Key: notice-7\r\nContent-Length: 0\r\n\r\n")
		require.Equal(t, "may-have-run", keyed.Header.Get("Wasabiport-Outcome"))
		plain := f.exchange("POST / HTTP/1.1\r\nHost: desk\r\nContent-Length: 0\r\n\r\n")
		require.Equal(t, "not-run", plain.Header.Get("Wasabiport-Outcome"))
		require.NoError(t, <-left)
		f.nodes = f.nodes[1:]
		f.stop()
	})
}
