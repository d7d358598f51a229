package httpmap

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNamesOfFieldsAreTokens(t *testing.T) {
	for _, name := range []string{"Content-Length", "x", "X-1", "!#$%&'*+-.^_`|~"} {
		require.True(t, HasValidNames(http.Header{"Date": {""}, name: {""}}), "%q", name)
	}
	for _, name := range []string{"", " ", "Content-Length ", " X", "X Y", "X\tY", "X\x00", "X\x1f", "X\x7f", "X\r", "X:Y", "X(Y)", "\u00e9", "X\xff"} {
		require.False(t, HasValidNames(http.Header{"Date": {""}, name: {""}}), "%q", name)
	}
}
