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

// maxClientConnections is the number of idle connections that a load client
// keeps per host.
const maxClientConnections = 512

func newLoadClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxClientConnections,
		DisableCompression:  true,
	}}
}

// checkAnswer reads the answer and returns an error unless it is complete and
// has status 200.
func checkAnswer(response *http.Response, err error) error {
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

// loadGenerator simulates concurrent callers that make the same call.
type loadGenerator struct {
	client  *http.Client
	callers int
	url     string
	header  http.Header
	seed    uint64

	latencies latencies
	failures  atomic.Int64
}

// runClosedLoop lets every caller make one call after the other and returns the
// number of calls per second, including failed ones.
func (l *loadGenerator) runClosedLoop(ctx context.Context, duration time.Duration) float64 {
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

// runOpenLoop makes calls at a rate with uniformly distributed random intervals.
// The latency of a call that starts late because the previous one took too long
// counts from its scheduled time, which avoids coordinated omission.
func (l *loadGenerator) runOpenLoop(ctx context.Context, rate float64, duration time.Duration) {
	started := time.Now()
	interval := time.Duration(float64(time.Second) * float64(l.callers) / rate)
	var threads sync.WaitGroup
	for i := range l.callers {
		random := rand.New(rand.NewPCG(l.seed, uint64(i)))
		threads.Go(func() {
			scheduled := started.Add(time.Duration(random.Int64N(int64(interval))))
			for scheduled.Before(started.Add(duration)) && ctx.Err() == nil {
				start := scheduled
				if early := time.Until(scheduled); early > 0 {
					time.Sleep(early)
					// Excludes the delay of the timer from the latency.
					start = time.Now()
				}
				l.call(ctx, start)
				scheduled = scheduled.Add(interval/2 + time.Duration(random.Int64N(int64(interval))))
			}
		})
	}
	threads.Wait()
}

func (l *loadGenerator) call(ctx context.Context, start time.Time) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err == nil {
		request.Header = l.header.Clone()
		err = checkAnswer(l.client.Do(request))
	}
	if err != nil {
		l.failures.Add(1)
		return
	}
	l.latencies.add(time.Since(start))
}

// processorTime returns the processor time of this process on all cores.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
