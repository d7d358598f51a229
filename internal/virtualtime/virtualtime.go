// Package virtualtime runs tests with a virtual clock.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f like synctest.Test. It first empties all sync.Pools: yamux keeps
// its timers in one, and a timer of an earlier test can't be used in a later
// one. Under the race detector f runs on one processor, see limitProcessors.
// Tests that use it must not run in parallel.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	// A value that is put into a pool survives one collection and not two.
	runtime.GC()
	runtime.GC()
	defer limitProcessors()()
	synctest.Test(t, f)
}
