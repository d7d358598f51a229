package peering

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
)

// Guards against calls that waited for a peer without a limit: a multiplexer blocks
// once the peer has not accepted acceptBacklog streams.
func TestOpeningStreamsToPeerThatAcceptsNoneEnds(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		pair := startMuxPair(t)
		close(pair.conn.release)
		opener := newOpener(pair.near.open)
		for range acceptBacklog {
			_, err := opener.openWithin(t.Context())
			require.NoError(t, err)
		}

		ctx, cancel := context.WithTimeout(t.Context(), 2*stallTimeout)
		defer cancel()
		_, err := opener.openWithin(ctx)
		require.ErrorIs(t, err, ErrUnresponsive)

		began := time.Now()
		_, err = opener.openWithin(t.Context())
		require.ErrorIs(t, err, ErrUnresponsive)
		require.Zero(t, time.Since(began), "a call to an unresponsive peer must fail immediately")

		for range acceptBacklog + 1 {
			_, err := pair.far.accept(t.Context())
			require.NoError(t, err)
		}
		synctest.Wait()
		_, err = opener.openWithin(t.Context())
		require.NoError(t, err, "the peer responds again")
	})
}
