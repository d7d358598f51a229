//go:build !race

package virtualtime

// limitProcessors does nothing in builds without the race detector.
func limitProcessors() (restore func()) { return func() {} }
