package intake

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// shardCount is the number of shards of a Tracker.
const shardCount = 16

// Tracker tracks the open connections. It is safe for concurrent use.
type Tracker struct {
	config Config
	shards [shardCount]shard
	next   atomic.Uint64
	open   atomic.Int64
	bytes  atomic.Int64
	closed [causeCount]atomic.Int64
}

// shard holds a part of the connections. Its lock guards their fields.
type shard struct {
	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Conn is an open connection.
type Conn struct {
	tracker *Tracker
	shard   *shard
	closer  io.Closer

	// The fields below are guarded by the lock of the shard.
	phase Phase
	since time.Time
	// writing is the time at which a write began that has not ended, or zero.
	writing time.Time
	bytes   int64
	// gone is set when the connection was evicted or closed.
	gone bool
}

// Eviction is a connection that the caller of a method has to close.
type Eviction struct {
	Conn  io.Closer
	Cause Cause
}

// NewTracker returns a tracker without connections.
func NewTracker(config Config) *Tracker {
	t := &Tracker{config: config.withDefaults()}
	for i := range t.shards {
		t.shards[i].conns = make(map[*Conn]struct{})
	}
	return t
}

// Open adds a connection. If too many are open, it evicts another one. It returns nil,
// and adds nothing, if there is none to evict.
func (t *Tracker) Open(now time.Time, closer io.Closer) (conn *Conn, evicted []Eviction) {
	if t.open.Add(1) > int64(t.config.MaxConnections) {
		victim := t.evict(now, 0)
		if victim == nil {
			t.open.Add(-1)
			t.Count(CauseNotAdmitted)
			return nil, nil
		}
		evicted = append(evicted, *victim)
	}
	conn = &Conn{tracker: t, shard: &t.shards[t.next.Add(1)%shardCount], closer: closer, since: now}
	conn.shard.mu.Lock()
	defer conn.shard.mu.Unlock()
	conn.shard.conns[conn] = struct{}{}
	return conn, evicted
}

// Count counts a connection that was closed or refused.
func (t *Tracker) Count(cause Cause) { t.closed[cause].Add(1) }

// Count counts the end of the connection.
func (c *Conn) Count(cause Cause) { c.tracker.Count(cause) }

// Enter changes the phase of the connection. It returns false if the connection has been
// evicted: it must not begin a request then.
func (c *Conn) Enter(now time.Time, phase Phase) bool {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	if c.phase != phase {
		c.phase, c.since = phase, now
	}
	return !c.gone
}

// EnterSince changes the phase of the connection to one that may have begun earlier.
func (c *Conn) EnterSince(phase Phase, since time.Time) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.phase, c.since = phase, since
}

// Write is called before a write to the connection, and with the zero time after it.
func (c *Conn) Write(began time.Time) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.writing = began
}

// Hold adds bytes to those that are held for the connection. If that are too many for
// all connections, it evicts others that hold bytes; it returns false, and adds nothing,
// if there are none or if the connection itself is the first to close.
func (c *Conn) Hold(now time.Time, bytes int64) (held bool, evicted []Eviction) {
	for c.tracker.bytes.Add(bytes) > c.tracker.config.MaxBytes {
		c.tracker.bytes.Add(-bytes)
		victim := c.tracker.evict(now, 1)
		if victim == nil {
			c.Count(CauseNoMemory)
			return false, evicted
		}
		evicted = append(evicted, *victim)
		if victim.Conn == c.closer {
			return false, evicted
		}
	}
	return c.add(bytes), evicted
}

// TryHold is Hold without evictions.
func (c *Conn) TryHold(bytes int64) bool {
	if c.tracker.bytes.Add(bytes) > c.tracker.config.MaxBytes {
		c.tracker.bytes.Add(-bytes)
		return false
	}
	return c.add(bytes)
}

// add adds bytes that the tracker has counted. It returns false, and takes them back, if
// the connection is gone.
func (c *Conn) add(bytes int64) bool {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	if c.gone {
		c.tracker.bytes.Add(-bytes)
		return false
	}
	c.bytes += bytes
	return true
}

// Release removes bytes from those that are held for the connection.
func (c *Conn) Release(bytes int64) {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	released := min(bytes, c.bytes)
	c.bytes -= released
	c.tracker.bytes.Add(-released)
}

// Close removes the connection.
func (c *Conn) Close() {
	c.shard.mu.Lock()
	defer c.shard.mu.Unlock()
	c.forget()
}

// forget ends the accounting of a connection. The caller must hold the lock of the shard.
func (c *Conn) forget() {
	if c.gone {
		return
	}
	c.gone = true
	delete(c.shard.conns, c)
	c.tracker.open.Add(-1)
	c.tracker.bytes.Add(-c.bytes)
	c.bytes = 0
}

// evictAttempts bounds the searches for a connection to close while the candidates that
// are found change their phase.
const evictAttempts = 4

// evict removes the first connection to close of those that hold a number of bytes. It
// returns nil if there is none.
func (t *Tracker) evict(now time.Time, minHeld int64) *Eviction {
	for range evictAttempts {
		found := t.find(now, minHeld)
		if found.conn == nil {
			return nil
		}
		if found.take() {
			cause := causeOf(found.phase)
			t.Count(cause)
			return &Eviction{Conn: found.conn.closer, Cause: cause}
		}
	}
	return nil
}

// candidate is a connection with its phase at the time of the search.
type candidate struct {
	conn    *Conn
	phase   Phase
	since   time.Time
	writing time.Time
	rank    int
}

func (t *Tracker) find(now time.Time, minHeld int64) candidate {
	best := candidate{rank: rankKept}
	for i := range t.shards {
		t.shards[i].find(now, minHeld, &best)
	}
	return best
}

func (s *shard) find(now time.Time, minHeld int64, best *candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		rank := rankOf(conn.phase, now.Sub(conn.since), conn.blocked(now))
		if conn.bytes < minHeld || rank > best.rank || rank == rankKept {
			continue
		}
		if rank < best.rank || conn.since.Before(best.since) {
			*best = candidate{conn: conn, phase: conn.phase, since: conn.since, writing: conn.writing, rank: rank}
		}
	}
}

// blocked returns how long a write has been blocked.
func (c *Conn) blocked(now time.Time) time.Duration {
	if c.writing.IsZero() {
		return 0
	}
	return now.Sub(c.writing)
}

// take evicts the connection unless its phase has changed.
func (c candidate) take() bool {
	c.conn.shard.mu.Lock()
	defer c.conn.shard.mu.Unlock()
	if c.conn.gone || c.conn.phase != c.phase || !c.conn.since.Equal(c.since) || !c.conn.writing.Equal(c.writing) {
		return false
	}
	c.conn.forget()
	return true
}

// Counts are the numbers of a Tracker.
type Counts struct {
	// Open is the number of connections and Bytes what is held for them.
	Open, Bytes int64
	// MaxConnections and MaxBytes are the bounds.
	MaxConnections, MaxBytes int64
	// Closed is the number of connections that were closed or refused by Cause.
	Closed [causeCount]int64
}

// Counts returns the current numbers.
func (t *Tracker) Counts() Counts {
	counts := Counts{
		Open: t.open.Load(), Bytes: t.bytes.Load(),
		MaxConnections: int64(t.config.MaxConnections), MaxBytes: t.config.MaxBytes,
	}
	for cause := range counts.Closed {
		counts.Closed[cause] = t.closed[cause].Load()
	}
	return counts
}
