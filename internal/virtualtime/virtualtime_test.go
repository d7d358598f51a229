package virtualtime_test

import (
	"sync"
	"testing"
	"time"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
)

// Many goroutines receive from timers that have expired already. Under the
// race detector this ended the process when two threads did so at once.
func TestExpiredTimersAreReceivedByManyGoroutines(t *testing.T) {
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
