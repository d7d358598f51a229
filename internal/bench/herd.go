package bench

import (
	"context"
	"sync"
	"time"
)

// Targets of herd.
const (
	maxHerdSeconds = 5
	// maxHerdReads is a quarter of the reads a second of the platform.
	maxHerdReads = maxSourceReadsPerSec / 4
	// herdNodes is the size of the fleet.
	herdNodes = 100
	// readyPoll is how often a restarted node is asked whether it serves.
	readyPoll = 5 * time.Millisecond
)

// herd restarts half and then all of the nodes at once.
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
	half, err := f.restartAtOnce(ctx, f.members[:nodes/2])
	if err != nil {
		return nil, err
	}
	all, err := f.restartAtOnce(ctx, f.members)
	if err != nil {
		return nil, err
	}
	return append(prefixed("half", half), prefixed("all", all)...), nil
}

// restartAtOnce ends nodes without notice, starts them at the same moment and
// waits until all serve.
func (f *fleet) restartAtOnce(ctx context.Context, herd []*member) ([]Result, error) {
	f.source.platform.ResetPeak()
	readsBefore, _ := f.source.platform.Reads()
	bytesBefore := f.bytes()
	var threads sync.WaitGroup
	for _, member := range herd {
		threads.Go(member.node.Shutdown)
	}
	threads.Wait()
	started := time.Now()
	for _, member := range herd {
		if err := f.start(ctx, member); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(ctx, herd); err != nil {
		return nil, err
	}
	took := time.Since(started).Seconds()
	reads, peak := f.source.platform.Reads()
	return []Result{
		below("time until all serve", took, maxHerdSeconds, unitSeconds),
		below("source_reads_peak", float64(peak), maxHerdReads, unitReadsPerSecond),
		plain("source_reads", float64(reads-readsBefore), unitReads),
		plain("control_bytes_per_node", float64(f.bytes()-bytesBefore)/float64(len(f.members)), unitBytes),
	}, nil
}

// awaitReady waits until nodes serve callers.
func (f *fleet) awaitReady(ctx context.Context, members []*member) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, member := range members {
		for member.node.Ready() != nil {
			if err := sleep(ctx, readyPoll); err != nil {
				return err
			}
		}
	}
	return nil
}
