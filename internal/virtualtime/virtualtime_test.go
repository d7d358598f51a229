package virtualtime_test

import (
	"sync"
	"testing"
	"time"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
)

// Guards against a crash under the race detector, which ended the process when
// two threads received from expired timers of a bubble concurrently.
func TestConcurrentReceiveFromExpiredTimers(t *testing.T) {
	const (
		goroutines = 64
		timers     = 200
	)
	virtualtime.Test(t, func(*testing.T) {
		var group sync.WaitGroup
		for range goroutines {
			group.Go(func() {
				for range timers {
					<-time.NewTimer(0).C
				}
			})
		}
		group.Wait()
	})
}
