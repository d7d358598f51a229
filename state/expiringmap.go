package state

import (
	"container/heap"
	"hash/maphash"
	"sync"
	"time"
)

// ExpiringMapConfig sets the capacity of an ExpiringMap. The limits are divided
// evenly among the shards.
type ExpiringMapConfig struct {
	// Shards is the number of shards, at least one.
	Shards int
	// MaxValues is the maximum number of values.
	MaxValues int
	// MaxBytes is the maximum total size of the values, in bytes.
	MaxBytes int64
}

// ChangeKind is the operation that a Change performs.
type ChangeKind uint8

// The kinds of Change.
const (
	// ChangeNone keeps the value and its expiry time.
	ChangeNone ChangeKind = iota
	// ChangePut stores Value, replacing any existing value.
	ChangePut
	// ChangeRemove removes the value.
	ChangeRemove
)

// Change describes an update of one value of an ExpiringMap. The zero Change
// leaves the value as it is.
type Change[V any] struct {
	Kind  ChangeKind
	Value V
	// Bytes is the size of Value that counts toward MaxBytes.
	Bytes int64
	// Expires is the time at which Value is removed. The zero time means that
	// Value does not expire.
	Expires time.Time
}

// ExpiringMap is a bounded map whose values expire at a given time. Values are
// never evicted before they expire: a full map rejects new values. The map is
// divided into shards, each with its own lock. Callbacks run while the lock of
// one shard is held; they must not block and must not access the map.
type ExpiringMap[K comparable, V any] struct {
	seed   maphash.Seed
	shards []expiringShard[K, V]
}

type expiringShard[K comparable, V any] struct {
	mu        sync.Mutex
	entries   map[K]*expiringEntry[K, V]
	expiries  expiryHeap[K, V]
	bytes     int64
	maxValues int
	maxBytes  int64
}

type expiringEntry[K comparable, V any] struct {
	key     K
	value   V
	bytes   int64
	expires time.Time
	// heapIndex is the index in expiryHeap, or notInHeap if the value does not
	// expire.
	heapIndex int
}

const notInHeap = -1

// NewExpiringMap returns an empty map.
func NewExpiringMap[K comparable, V any](config ExpiringMapConfig) *ExpiringMap[K, V] {
	count := max(1, config.Shards)
	m := &ExpiringMap[K, V]{
		seed:   maphash.MakeSeed(),
		shards: make([]expiringShard[K, V], count),
	}
	for i := range m.shards {
		m.shards[i].entries = make(map[K]*expiringEntry[K, V])
		m.shards[i].maxValues = max(1, config.MaxValues/count)
		m.shards[i].maxBytes = config.MaxBytes / int64(count)
	}
	return m
}

// Get returns the value of key if it is present and has not expired at now.
func (m *ExpiringMap[K, V]) Get(now time.Time, key K) (V, bool) {
	shard := m.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.removeExpired(now)
	if entry, ok := shard.entries[key]; ok {
		return entry.value, true
	}
	var zero V
	return zero, false
}

// Update calls change with the current value of key, or with the zero value if
// there is none, and applies the Change that it returns. It returns false and
// leaves the map unchanged if the shard does not have the capacity for the new
// value.
func (m *ExpiringMap[K, V]) Update(now time.Time, key K, change func(value V, present bool) Change[V]) bool {
	shard := m.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.removeExpired(now)
	entry, present := shard.entries[key]
	var value V
	if present {
		value = entry.value
	}
	return shard.apply(key, entry, change(value, present))
}

// Range calls visit for every value that has not expired at now, until visit
// returns false. It locks one shard at a time, so the values of different shards
// are not a consistent view.
func (m *ExpiringMap[K, V]) Range(now time.Time, visit func(K, V) bool) {
	for i := range m.shards {
		if !m.shards[i].visit(now, visit) {
			return
		}
	}
}

// Len returns the number of values that have not expired at now. It locks one
// shard at a time, so concurrent updates may or may not be counted.
func (m *ExpiringMap[K, V]) Len(now time.Time) int {
	total := 0
	m.Range(now, func(K, V) bool {
		total++
		return true
	})
	return total
}

func (m *ExpiringMap[K, V]) shard(key K) *expiringShard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)%uint64(len(m.shards))]
}

func (s *expiringShard[K, V]) apply(key K, entry *expiringEntry[K, V], change Change[V]) bool {
	switch change.Kind {
	case ChangePut:
	case ChangeRemove:
		s.remove(entry)
		return true
	default:
		return true
	}
	if !s.hasCapacity(entry, change.Bytes) {
		return false
	}
	s.remove(entry)
	next := &expiringEntry[K, V]{
		key:       key,
		value:     change.Value,
		bytes:     change.Bytes,
		expires:   change.Expires,
		heapIndex: notInHeap,
	}
	s.entries[key] = next
	s.bytes += next.bytes
	if !next.expires.IsZero() {
		heap.Push(&s.expiries, next)
	}
	return true
}

func (s *expiringShard[K, V]) hasCapacity(entry *expiringEntry[K, V], bytes int64) bool {
	if entry != nil {
		return s.bytes-entry.bytes+bytes <= s.maxBytes || bytes <= entry.bytes
	}
	return len(s.entries) < s.maxValues && s.bytes+bytes <= s.maxBytes
}

func (s *expiringShard[K, V]) remove(entry *expiringEntry[K, V]) {
	if entry == nil {
		return
	}
	delete(s.entries, entry.key)
	s.bytes -= entry.bytes
	if entry.heapIndex != notInHeap {
		heap.Remove(&s.expiries, entry.heapIndex)
	}
}

func (s *expiringShard[K, V]) removeExpired(now time.Time) {
	for len(s.expiries) > 0 && !now.Before(s.expiries[0].expires) {
		s.remove(s.expiries[0])
	}
}

func (s *expiringShard[K, V]) visit(now time.Time, visit func(K, V) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	for key, entry := range s.entries {
		if !visit(key, entry.value) {
			return false
		}
	}
	return true
}

// expiryHeap is a min-heap of values, ordered by expiry time. It implements
// heap.Interface.
type expiryHeap[K comparable, V any] []*expiringEntry[K, V]

func (h expiryHeap[K, V]) Len() int { return len(h) }

func (h expiryHeap[K, V]) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap[K, V]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *expiryHeap[K, V]) Push(x any) {
	entry := x.(*expiringEntry[K, V])
	entry.heapIndex = len(*h)
	*h = append(*h, entry)
}

func (h *expiryHeap[K, V]) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	entry.heapIndex = notInHeap
	return entry
}
