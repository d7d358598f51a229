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

func TestManyThreadsRunAKeyOnce(t *testing.T) {
	const threads, keys = 20, 100
	records := newRecords()
	var runs [keys]atomic.Int64
	var replies atomic.Int64
	var group sync.WaitGroup
	for range threads {
		group.Go(func() {
			for i := range keys {
				claim := records.Begin(settled, payment(strconv.Itoa(i)), service)
				if claim.Kind == callrecord.ClaimRun {
					records.MarkSent(settled, claim)
					runs[i].Add(1)
					records.Finish(settled, claim, records.NewRecording(call.ReplyHead{Status: 201}))
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
	require.EqualValues(t, (threads-1)*keys, replies.Load())
}
