//go:build race

package virtualtime

import "runtime"

// limitProcessors keeps Go code on one processor until the returned function
// is called. The timers of a bubble share one context of the race detector;
// when two threads fire timers at once, as they do when they receive from
// channels of timers that have expired, the detector's own consistency check
// ends the process. Races are still found: the detector goes by the order of
// synchronization, and the scheduler mixes goroutines at random under it.
func limitProcessors() (restore func()) {
	before := runtime.GOMAXPROCS(1)
	return func() { runtime.GOMAXPROCS(before) }
}
