package wasabiport_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
)

// Guards against a node that is not ready and says "not run" of a call with an
// idempotency key: it has not read the record of the key.
func TestNodeThatIsNotReadyDoesNotAnswerForRecordsItHasNotRead(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stop()
		time.Sleep(10 * time.Second)
		keyed := f.exchange("POST / HTTP/1.1\r\nHost: desk\r\nIdempotency-Key: notice-7\r\nContent-Length: 0\r\n\r\n")
		require.Equal(t, "not-ready", keyed.Header.Get("Wasabiport-Reason"))
		require.Equal(t, "may-have-run", keyed.Header.Get("Wasabiport-Outcome"))
	})
}
