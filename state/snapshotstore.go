package state

import (
	"sync"
	"sync/atomic"
)

// SnapshotStore holds the current snapshot. Every shard holds a reference to the
// same immutable snapshot, so that concurrent readers do not contend for one
// lock.
//
// A writer locks all shards in index order before it updates the first one. Reads
// are therefore monotonic: once any reader has seen a snapshot, no reader sees an
// older one.
type SnapshotStore struct {
	next   atomic.Uint32
	shards []snapshotShard
	// changed is closed and replaced when the snapshot changes. The lock of
	// shard 0 guards it.
	changed chan struct{}
}

type snapshotShard struct {
	mu       sync.RWMutex
	snapshot *Snapshot
	_        [64]byte // prevents false sharing of a cache line between shards
}

// NewSnapshotStore returns a store that holds the empty snapshot.
func NewSnapshotStore(shardCount int) *SnapshotStore {
	store := &SnapshotStore{
		shards:  make([]snapshotShard, max(1, shardCount)),
		changed: make(chan struct{}),
	}
	empty := EmptySnapshot()
	for i := range store.shards {
		store.shards[i].snapshot = empty
	}
	return store
}

// Load returns the current snapshot.
func (s *SnapshotStore) Load() *Snapshot {
	shard := &s.shards[int(s.next.Add(1))%len(s.shards)]
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.snapshot
}

// Watch returns the current snapshot and a channel that is closed when the
// snapshot is replaced.
func (s *SnapshotStore) Watch() (*Snapshot, <-chan struct{}) {
	shard := &s.shards[0]
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.snapshot, s.changed
}

// Swap replaces the configuration by that of next and returns true. If next is
// not newer than the current snapshot, Swap has no effect and returns false. The
// registry and the drained zones are kept.
func (s *SnapshotStore) Swap(next *Snapshot) bool {
	return s.replace(func(current *Snapshot) *Snapshot {
		if next.Evaluated() <= current.Evaluated() {
			return nil
		}
		return next.withRegistry(current.registry).WithDrainedZones(current.drained)
	})
}

// SwapRegistry replaces the registry and returns true. If registry is not newer
// than the current one, SwapRegistry has no effect and returns false.
func (s *SnapshotStore) SwapRegistry(registry *Registry) bool {
	return s.replace(func(current *Snapshot) *Snapshot {
		if registry.Version() <= current.registry.Version() {
			return nil
		}
		return current.withRegistry(registry)
	})
}

// SwapDrainedZones replaces the drained zones, and returns those before and true. If
// drained is not newer than the current ones, SwapDrainedZones has no effect and
// returns false.
func (s *SnapshotStore) SwapDrainedZones(drained DrainedZones) (before DrainedZones, swapped bool) {
	swapped = s.replace(func(current *Snapshot) *Snapshot {
		before = current.drained
		if drained.version <= before.version {
			return nil
		}
		return current.WithDrainedZones(drained)
	})
	return before, swapped
}

// ConfirmDrainedZones raises the version of the drained zones if they have the given
// digest: the same zones were drained at that later version too.
func (s *SnapshotStore) ConfirmDrainedZones(version uint64, digest Digest) {
	s.replace(func(current *Snapshot) *Snapshot {
		if version <= current.drained.version || digest != current.drained.Digest() {
			return nil
		}
		return current.WithDrainedZones(DrainedZones{version: version, zones: current.drained.zones})
	})
}

// replace stores the snapshot that update returns in all shards and notifies
// the watchers. It has no effect and returns false if update returns nil.
func (s *SnapshotStore) replace(update func(current *Snapshot) *Snapshot) bool {
	for i := range s.shards {
		s.shards[i].mu.Lock()
	}
	next := update(s.shards[0].snapshot)
	if next != nil {
		for i := range s.shards {
			s.shards[i].snapshot = next
		}
		close(s.changed)
		s.changed = make(chan struct{})
	}
	for i := range s.shards {
		s.shards[i].mu.Unlock()
	}
	return next != nil
}
