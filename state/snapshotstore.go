package state

import (
	"sync"
	"sync/atomic"
)

// SnapshotStore holds the configuration in force. Every shard holds the same
// immutable snapshot, so that readers on different threads share no lock.
//
// A swap locks all shards in index order before it changes the first. No
// reader can therefore see a snapshot after any reader has seen a newer one.
type SnapshotStore struct {
	next   atomic.Uint32
	shards []snapshotShard
	// changed is closed and replaced at each swap, under the lock of shard 0.
	changed chan struct{}
}

type snapshotShard struct {
	mu       sync.RWMutex
	snapshot *Snapshot
	_        [64]byte // keeps two shards off the same cache line
}

// NewSnapshotStore returns a store whose shards hold the empty snapshot.
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

// Load returns the snapshot in force.
func (s *SnapshotStore) Load() *Snapshot {
	shard := &s.shards[int(s.next.Add(1))%len(s.shards)]
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.snapshot
}

// Watch returns the snapshot in force and a channel that is closed when
// a newer one is.
func (s *SnapshotStore) Watch() (*Snapshot, <-chan struct{}) {
	shard := &s.shards[0]
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.snapshot, s.changed
}

// Swap puts the configuration of next in force and returns true. It changes
// nothing and returns false when next is not newer than the snapshot in force.
// The registry stays as it is.
func (s *SnapshotStore) Swap(next *Snapshot) bool {
	return s.replace(func(current *Snapshot) *Snapshot {
		if next.Evaluated() <= current.Evaluated() {
			return nil
		}
		return next.withRegistry(current.registry)
	})
}

// SwapRegistry replaces the backend servers that have registered themselves
// and returns true. It changes nothing and returns false when registry is not
// newer than the one held.
func (s *SnapshotStore) SwapRegistry(registry *Registry) bool {
	return s.replace(func(current *Snapshot) *Snapshot {
		if registry.Version() <= current.registry.Version() {
			return nil
		}
		return current.withRegistry(registry)
	})
}

// replace puts what change returns into all shards, unless it is nil.
func (s *SnapshotStore) replace(change func(current *Snapshot) *Snapshot) bool {
	for i := range s.shards {
		s.shards[i].mu.Lock()
	}
	next := change(s.shards[0].snapshot)
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
