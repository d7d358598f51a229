package events_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/transport/events"
)

// blockedWriter blocks every write until it is released.
type blockedWriter struct{ released chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	return len(p), nil
}

// brokenPipeWriter fails every write, like a pipe whose reader has exited.
type brokenPipeWriter struct{}

func (brokenPipeWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

func TestWriteNeverBlocksOnSlowReader(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		stuck := blockedWriter{released: make(chan struct{})}
		writer := events.NewAsyncWriter(stuck)
		const lines = 5000
		for range lines {
			_, err := writer.Write([]byte("line\n"))
			require.NoError(t, err)
		}
		require.Positive(t, writer.Dropped())
		require.Less(t, writer.Dropped(), int64(lines))
		done := make(chan struct{})
		time.AfterFunc(time.Second, func() { close(done) })
		writer.Flush(done)
		close(stuck.released)
		writer.Flush(nil)
	})
}

func TestLineForClosedReaderIsCountedAsDropped(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		writer := events.NewAsyncWriter(brokenPipeWriter{})
		_, err := writer.Write([]byte("line\n"))
		require.NoError(t, err)
		writer.Flush(nil)
		require.Equal(t, int64(1), writer.Dropped())
	})
}

func TestFlushWritesQueuedLines(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		writer := events.NewAsyncWriter(&output)
		for _, line := range []string{"a\n", "b\n"} {
			_, err := writer.Write([]byte(line))
			require.NoError(t, err)
		}
		writer.Flush(nil)
		require.Equal(t, "a\nb\n", output.String())
	})
}
