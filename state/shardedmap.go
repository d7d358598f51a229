package state

import (
	"hash/maphash"
	"sync"
)

// DefaultShardCount is the number of shards of maps without special requirements.
const DefaultShardCount = 32

// ShardedMap is a concurrent map that is divided into shards, each with its own
// lock. Callbacks run while the lock of one shard is held; they must not block
// and must not access the map.
type ShardedMap[K comparable, V any] struct {
	seed   maphash.Seed
	shards []mapShard[K, V]
}

type mapShard[K comparable, V any] struct {
	mu     sync.Mutex
	values map[K]V
}

// NewShardedMap returns an empty map with the given number of shards. Fewer than
// one means one.
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

// Get returns the value of key and whether it is present.
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

// Update calls change with the current value of key, or with the zero value if
// there is none. It stores the value that change returns, or removes the key if
// keep is false. The update is atomic.
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

// RemoveIf removes every value for which match returns true and returns the
// number of removed values. It locks one shard at a time.
func (m *ShardedMap[K, V]) RemoveIf(match func(K, V) bool) int {
	removed := 0
	for i := range m.shards {
		removed += m.shards[i].removeIf(match)
	}
	return removed
}

func (s *mapShard[K, V]) removeIf(match func(K, V) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := 0
	for key, value := range s.values {
		if match(key, value) {
			delete(s.values, key)
			removed++
		}
	}
	return removed
}

// Range calls visit for every value until visit returns false. It locks one
// shard at a time, so the values of different shards are not a consistent view.
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

// Len returns the number of values. It locks one shard at a time, so concurrent
// updates may or may not be counted.
func (m *ShardedMap[K, V]) Len() int {
	total := 0
	for i := range m.shards {
		m.shards[i].mu.Lock()
		total += len(m.shards[i].values)
		m.shards[i].mu.Unlock()
	}
	return total
}
