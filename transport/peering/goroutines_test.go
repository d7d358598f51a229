package peering

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestGoroutineGroupRejectsGoAfterClose(t *testing.T) {
	var group goroutineGroup
	ended := false
	require.True(t, group.Go(func() { ended = true }))
	group.Close()
	require.True(t, ended)
	require.False(t, group.Go(func() { t.Error("goroutine started after Close") }))
	group.Close()
}
