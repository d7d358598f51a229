// Package virtualtime runs tests with a virtual clock.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f like synctest.Test. It first empties all sync.Pools, because yamux
// pools its timers and a timer of an earlier bubble can't be used in a later
// one. Under the race detector f runs on one processor, see limitProcessors.
// Tests that use it must not run in parallel.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	// A pooled value survives one garbage collection but not two.
	runtime.GC()
	runtime.GC()
	defer limitProcessors()()
	synctest.Test(t, f)
}
