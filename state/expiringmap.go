package state

import (
	"container/heap"
	"hash/maphash"
	"sync"
	"time"
)

// ExpiringMapConfig bounds an ExpiringMap. The bounds are divided evenly
// among the shards.
type ExpiringMapConfig struct {
	// Shards is the number of shards, at least one.
	Shards int
	// MaxValues is the number of values that the map holds.
	MaxValues int
	// MaxBytes is the sum of the sizes of the values, in bytes.
	MaxBytes int64
}

// ChangeKind says what a Change does.
type ChangeKind uint8

// The kinds of Change.
const (
	// ChangeNone leaves the value and its expiry as they are.
	ChangeNone ChangeKind = iota
	// ChangePut stores Value in place of the value held.
	ChangePut
	// ChangeRemove removes the value.
	ChangeRemove
)

// Change is what happens to one value of an ExpiringMap.
type Change[V any] struct {
	Kind  ChangeKind
	Value V
	// Bytes is the size that the value counts for.
	Bytes int64
	// Expires is the time from which the value is forgotten. The zero time
	// keeps it until it is changed.
	Expires time.Time
}

// ExpiringMap is a bounded map whose values are forgotten at a stated time and
// never before. It is cut into shards, each under its own lock. Functions that
// are passed to it run under the lock of one shard: they must not block and
// must not call the map again.
type ExpiringMap[K comparable, V any] struct {
	seed   maphash.Seed
	shards []expiringShard[K, V]
}

type expiringShard[K comparable, V any] struct {
	mu        sync.Mutex
	values    map[K]*expiringValue[K, V]
	expiries  expiryHeap[K, V]
	bytes     int64
	maxValues int
	maxBytes  int64
}

type expiringValue[K comparable, V any] struct {
	key     K
	value   V
	bytes   int64
	expires time.Time
	// position is the index in the heap, or notInHeap.
	position int
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
		m.shards[i].values = make(map[K]*expiringValue[K, V])
		m.shards[i].maxValues = max(1, config.MaxValues/count)
		m.shards[i].maxBytes = config.MaxBytes / int64(count)
	}
	return m
}

// Get returns the value of key unless it has expired.
func (m *ExpiringMap[K, V]) Get(now time.Time, key K) (V, bool) {
	shard := m.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.expire(now)
	if held, ok := shard.values[key]; ok {
		return held.value, true
	}
	var none V
	return none, false
}

// Update calls change with the value of key, or with the zero value, and
// carries out what it returns. It returns false and changes nothing when the
// shard has no room for the result.
func (m *ExpiringMap[K, V]) Update(now time.Time, key K, change func(value V, present bool) Change[V]) bool {
	shard := m.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.expire(now)
	held, present := shard.values[key]
	var value V
	if present {
		value = held.value
	}
	return shard.apply(key, held, change(value, present))
}

// Range calls visit for every value that has not expired, one shard at a time,
// until visit returns false. It is not a consistent view across shards.
func (m *ExpiringMap[K, V]) Range(now time.Time, visit func(K, V) bool) {
	for i := range m.shards {
		if !m.shards[i].visit(now, visit) {
			return
		}
	}
}

// Len returns the number of values at now, counted one shard at a time.
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

func (s *expiringShard[K, V]) apply(key K, held *expiringValue[K, V], change Change[V]) bool {
	switch change.Kind {
	case ChangePut:
	case ChangeRemove:
		s.remove(held)
		return true
	default:
		return true
	}
	if !s.hasRoom(held, change.Bytes) {
		return false
	}
	s.remove(held)
	next := &expiringValue[K, V]{
		key:      key,
		value:    change.Value,
		bytes:    change.Bytes,
		expires:  change.Expires,
		position: notInHeap,
	}
	s.values[key] = next
	s.bytes += next.bytes
	if !next.expires.IsZero() {
		heap.Push(&s.expiries, next)
	}
	return true
}

func (s *expiringShard[K, V]) hasRoom(held *expiringValue[K, V], bytes int64) bool {
	if held != nil {
		return s.bytes-held.bytes+bytes <= s.maxBytes || bytes <= held.bytes
	}
	return len(s.values) < s.maxValues && s.bytes+bytes <= s.maxBytes
}

func (s *expiringShard[K, V]) remove(held *expiringValue[K, V]) {
	if held == nil {
		return
	}
	delete(s.values, held.key)
	s.bytes -= held.bytes
	if held.position != notInHeap {
		heap.Remove(&s.expiries, held.position)
	}
}

func (s *expiringShard[K, V]) expire(now time.Time) {
	for len(s.expiries) > 0 && !now.Before(s.expiries[0].expires) {
		s.remove(s.expiries[0])
	}
}

func (s *expiringShard[K, V]) visit(now time.Time, visit func(K, V) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for key, held := range s.values {
		if !visit(key, held.value) {
			return false
		}
	}
	return true
}

// expiryHeap is a min-heap by time of expiry.
type expiryHeap[K comparable, V any] []*expiringValue[K, V]

func (h expiryHeap[K, V]) Len() int { return len(h) }

func (h expiryHeap[K, V]) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap[K, V]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

func (h *expiryHeap[K, V]) Push(x any) {
	held := x.(*expiringValue[K, V])
	held.position = len(*h)
	*h = append(*h, held)
}

func (h *expiryHeap[K, V]) Pop() any {
	last := len(*h) - 1
	held := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	held.position = notInHeap
	return held
}
