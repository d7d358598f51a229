package state

import (
	"hash/maphash"
	"sync"
)

// DefaultShardCount is the number of shards of a ShardedMap.
const DefaultShardCount = 32

// ShardedMap is a map cut into shards, each under its own lock. Functions that
// are passed to it run under the lock of one shard: they must not block and
// must not call the map again.
type ShardedMap[K comparable, V any] struct {
	seed   maphash.Seed
	shards []mapShard[K, V]
}

type mapShard[K comparable, V any] struct {
	mu     sync.Mutex
	values map[K]V
}

// NewShardedMap returns an empty map with the given number of shards, at
// least one.
func NewShardedMap[K comparable, V any](shardCount int) *ShardedMap[K, V] {
	m := &ShardedMap[K, V]{
		seed:   maphash.MakeSeed(),
		shards: make([]mapShard[K, V], max(1, shardCount)),
	}
	for i := range m.shards {
		m.shards[i].values = make(map[K]V)
	}
	return m
}

func (m *ShardedMap[K, V]) shard(key K) *mapShard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)%uint64(len(m.shards))]
}

// Get returns the value of key.
func (m *ShardedMap[K, V]) Get(key K) (V, bool) {
	shard := m.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	value, ok := shard.values[key]
	return value, ok
}

// Set stores the value of key.
func (m *ShardedMap[K, V]) Set(key K, value V) {
	shard := m.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.values[key] = value
}

// Delete removes key.
func (m *ShardedMap[K, V]) Delete(key K) {
	shard := m.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.values, key)
}

// Update calls change under the lock of the shard of key, with the value or
// the zero value. It stores what change returns, or removes the key when keep
// is false.
func (m *ShardedMap[K, V]) Update(key K, change func(value V, present bool) (next V, keep bool)) {
	shard := m.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	value, present := shard.values[key]
	next, keep := change(value, present)
	if keep {
		shard.values[key] = next
		return
	}
	delete(shard.values, key)
}

// RemoveIf removes every value for which drop returns true, one shard at a
// time, and returns how many were removed.
func (m *ShardedMap[K, V]) RemoveIf(drop func(K, V) bool) int {
	removed := 0
	for i := range m.shards {
		removed += m.shards[i].removeIf(drop)
	}
	return removed
}

func (s *mapShard[K, V]) removeIf(drop func(K, V) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := 0
	for key, value := range s.values {
		if drop(key, value) {
			delete(s.values, key)
			removed++
		}
	}
	return removed
}

// Range calls visit for every value, one shard at a time, until visit returns
// false. It is not a consistent view across shards.
func (m *ShardedMap[K, V]) Range(visit func(K, V) bool) {
	for i := range m.shards {
		if !m.shards[i].visit(visit) {
			return
		}
	}
}

func (s *mapShard[K, V]) visit(visit func(K, V) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, value := range s.values {
		if !visit(key, value) {
			return false
		}
	}
	return true
}

// Len returns the number of values, counted one shard at a time.
func (m *ShardedMap[K, V]) Len() int {
	total := 0
	for i := range m.shards {
		m.shards[i].mu.Lock()
		total += len(m.shards[i].values)
		m.shards[i].mu.Unlock()
	}
	return total
}
