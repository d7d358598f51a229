package bench

import (
	"context"
	"sync"
	"time"
)

// Settings and targets of the herd benchmark.
const (
	maxHerdSeconds = 5
	// maxHerdReads is a quarter of the platform's limit of reads per second.
	maxHerdReads = maxSourceReadsPerSec / 4
	// herdNodes is the default size of the fleet.
	herdNodes = 100
	// readyPollInterval is the time between two readiness checks of a node.
	readyPollInterval = 5 * time.Millisecond
)

// herd measures the recovery from a thundering herd: first half and then all of
// the nodes restart at the same time.
func herd(ctx context.Context, options Options) ([]Result, error) {
	nodes := options.nodes(herdNodes)[0]
	f, err := startFleet(ctx, options.Seed, nodes, serviceCount(nodes))
	if err != nil {
		return nil, err
	}
	defer f.stop()
	if err := f.awaitReady(ctx, f.members); err != nil {
		return nil, err
	}
	half, err := f.restartConcurrently(ctx, f.members[:nodes/2])
	if err != nil {
		return nil, err
	}
	all, err := f.restartConcurrently(ctx, f.members)
	if err != nil {
		return nil, err
	}
	return append(withPrefix("half", half), withPrefix("all", all)...), nil
}

// restartConcurrently kills nodes, starts all of them again at the same time and
// waits until they serve callers.
func (f *fleet) restartConcurrently(ctx context.Context, restarted []*member) ([]Result, error) {
	f.source.platform.ResetPeak()
	readsBefore, _ := f.source.platform.Reads()
	bytesBefore := f.bytes()
	var threads sync.WaitGroup
	for _, member := range restarted {
		threads.Go(member.node.Shutdown)
	}
	threads.Wait()
	started := time.Now()
	for _, member := range restarted {
		if err := f.startNode(ctx, member); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(ctx, restarted); err != nil {
		return nil, err
	}
	took := time.Since(started).Seconds()
	reads, peak := f.source.platform.Reads()
	return []Result{
		below("time until all serve", took, maxHerdSeconds, unitSeconds),
		below("source_reads_peak", float64(peak), maxHerdReads, unitReadsPerSecond),
		informational("source_reads", float64(reads-readsBefore), unitReads),
		informational("control_bytes_per_node", float64(f.bytes()-bytesBefore)/float64(len(f.members)), unitBytes),
	}, nil
}

// awaitReady waits until all members serve callers.
func (f *fleet) awaitReady(ctx context.Context, members []*member) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, member := range members {
		for member.node.Ready() != nil {
			if err := sleep(ctx, readyPollInterval); err != nil {
				return err
			}
		}
	}
	return nil
}
