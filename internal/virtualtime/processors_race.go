//go:build race

package virtualtime

import "runtime"

// limitProcessors sets GOMAXPROCS to 1 until the returned function is called.
// The timers of a synctest bubble share one context of the race detector. If two
// threads fire timers concurrently, as happens when they receive from channels
// of expired timers, an internal consistency check of the detector ends the
// process. Races are still found, because the detector uses the happens-before
// order and the scheduler randomizes the order of goroutines in race builds.
func limitProcessors() (restore func()) {
	before := runtime.GOMAXPROCS(1)
	return func() { runtime.GOMAXPROCS(before) }
}
