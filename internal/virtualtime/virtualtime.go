// Package virtualtime runs tests with a virtual clock that include sessions
// between nodes.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f like synctest.Test. It first empties all sync.Pools: yamux keeps
// its timers in one, and a timer of an earlier test can't be used in a later
// one. Tests that use it must not run in parallel.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	// A value that is put into a pool survives one collection and not two.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}
