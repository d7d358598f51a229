package peering

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestThreadGroupRejectsGoAfterClose(t *testing.T) {
	var group threadGroup
	ended := false
	require.True(t, group.Go(func() { ended = true }))
	group.Close()
	require.True(t, ended)
	require.False(t, group.Go(func() { t.Error("goroutine started after Close") }))
	group.Close()
}
