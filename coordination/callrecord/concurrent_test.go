package callrecord_test

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/callrecord"
)

func TestConcurrentCallsRunEachKeyOnce(t *testing.T) {
	const callers, keys = 20, 100
	records := newRecords()
	var runs [keys]atomic.Int64
	var replies atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for i := range keys {
				claim := records.Begin(recordsComplete, bookingCall(strconv.Itoa(i)), service)
				if claim.Kind == callrecord.ClaimRun {
					records.MarkSent(recordsComplete, claim)
					runs[i].Add(1)
					records.Finish(recordsComplete, claim, records.NewRecording(call.ReplyHead{Status: 201}))
					continue
				}
				if claim.Kind == callrecord.ClaimWait {
					<-claim.Done
					claim = records.Result(claim)
				}
				if claim.Kind == callrecord.ClaimReplay && claim.Reply.Head.Status == 201 {
					replies.Add(1)
				}
			}
		})
	}
	group.Wait()
	for i := range runs {
		require.EqualValues(t, 1, runs[i].Load())
	}
	require.EqualValues(t, (callers-1)*keys, replies.Load())
}
