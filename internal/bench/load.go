package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxClientConnections is the number of connections that a load client keeps.
const maxClientConnections = 512

func newLoadClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxClientConnections,
		DisableCompression:  true,
	}}
}

// answered returns an error unless the whole answer came with status 200.
func answered(response *http.Response, err error) error {
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, %s", response.StatusCode, response.Header.Get("Wasabiport-Reason"))
	}
	return nil
}

// load is a number of callers that make the same call.
type load struct {
	client  *http.Client
	callers int
	url     string
	header  http.Header
	seed    uint64

	latencies latencies
	failures  atomic.Int64
}

// saturate lets every caller make one call after the other, and returns the
// number of calls answered a second.
func (l *load) saturate(ctx context.Context, duration time.Duration) float64 {
	until := time.Now().Add(duration)
	var calls atomic.Int64
	var threads sync.WaitGroup
	for range l.callers {
		threads.Go(func() {
			for time.Now().Before(until) && ctx.Err() == nil {
				l.call(ctx, time.Now())
				calls.Add(1)
			}
		})
	}
	threads.Wait()
	return float64(calls.Load()) / duration.Seconds()
}

// offer makes calls at a rate, at times that are drawn evenly. A call that is
// late because the one before took long counts from when it was due.
func (l *load) offer(ctx context.Context, rate float64, duration time.Duration) {
	started := time.Now()
	gap := time.Duration(float64(time.Second) * float64(l.callers) / rate)
	var threads sync.WaitGroup
	for i := range l.callers {
		random := rand.New(rand.NewPCG(l.seed, uint64(i)))
		threads.Go(func() {
			due := started.Add(time.Duration(random.Int64N(int64(gap))))
			for due.Before(started.Add(duration)) && ctx.Err() == nil {
				begin := due
				if early := time.Until(due); early > 0 {
					time.Sleep(early)
					// The timer's own delay is not a part of the call.
					begin = time.Now()
				}
				l.call(ctx, begin)
				due = due.Add(gap/2 + time.Duration(random.Int64N(int64(gap))))
			}
		})
	}
	threads.Wait()
}

func (l *load) call(ctx context.Context, begin time.Time) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err == nil {
		request.Header = l.header.Clone()
		err = answered(l.client.Do(request))
	}
	if err != nil {
		l.failures.Add(1)
		return
	}
	l.latencies.add(time.Since(begin))
}

// processorTime returns the time that this process has used on all cores.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
