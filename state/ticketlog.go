package state

import (
	"maps"
	"slices"
	"sync"
)

// ticketLogShardCount is the number of shards of a TicketLog. Consecutive ticket
// numbers are in different shards.
const ticketLogShardCount = 16

// TicketLog stores the latest tickets and their verdicts in bounded memory. It is
// sharded by ticket number, and each shard has its own lock. A full shard evicts
// its oldest evaluated tickets. Tickets that have not been evaluated are never
// evicted; when they fill the shard, Add does not store further ones.
type TicketLog struct {
	shards [ticketLogShardCount]ticketLogShard
}

type ticketLogShard struct {
	mu         sync.Mutex
	limitBytes int
	bytes      int
	entries    map[TicketNumber]ticketLogEntry
	// evictedThrough is the highest ticket number that was evicted.
	evictedThrough TicketNumber
	highest        TicketNumber
}

type ticketLogEntry struct {
	ticket    Ticket
	bytes     int
	verdict   Verdict
	evaluated bool
}

// NewTicketLog returns an empty log with a capacity of about limitBytes.
func NewTicketLog(limitBytes int) *TicketLog {
	log := &TicketLog{}
	for i := range log.shards {
		log.shards[i].limitBytes = limitBytes / ticketLogShardCount
		log.shards[i].entries = make(map[TicketNumber]ticketLogEntry)
	}
	return log
}

func (l *TicketLog) shard(number TicketNumber) *ticketLogShard {
	return &l.shards[number%ticketLogShardCount]
}

// Add stores a ticket unless the log holds it or has evicted it, and reports
// whether the ticket was stored. Tickets up to number evaluated may be evicted to
// make room.
func (l *TicketLog) Add(ticket Ticket, evaluated TicketNumber) bool {
	return l.shard(ticket.Number).add(ticket, evaluated)
}

func (s *ticketLogShard) add(ticket Ticket, evaluated TicketNumber) bool {
	size := ticket.ApproximateBytes()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, stored := s.entries[ticket.Number]; stored || ticket.Number <= s.evictedThrough {
		return false
	}
	s.evict(size, evaluated)
	// A ticket that exceeds the capacity of the shard is stored if it is the
	// only one: otherwise it could never be evaluated.
	if s.bytes+size > s.limitBytes && len(s.entries) > 0 {
		return false
	}
	s.entries[ticket.Number] = ticketLogEntry{ticket: ticket, bytes: size}
	s.bytes += size
	s.highest = max(s.highest, ticket.Number)
	return true
}

func (s *ticketLogShard) evict(size int, evaluated TicketNumber) {
	if s.bytes+size <= s.limitBytes {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(s.entries)) {
		if number > evaluated || s.bytes+size <= s.limitBytes {
			return
		}
		s.bytes -= s.entries[number].bytes
		delete(s.entries, number)
		s.evictedThrough = max(s.evictedThrough, number)
	}
}

// Get returns the ticket with the given number, if the log holds it.
func (l *TicketLog) Get(number TicketNumber) (Ticket, bool) {
	shard := l.shard(number)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry, ok := shard.entries[number]
	return entry.ticket, ok
}

// SetVerdict stores the verdict on a ticket. It has no effect if the log no
// longer holds the ticket.
func (l *TicketLog) SetVerdict(verdict Verdict) {
	shard := l.shard(verdict.Number)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry, ok := shard.entries[verdict.Number]
	if !ok {
		return
	}
	entry.verdict = verdict
	entry.evaluated = true
	shard.entries[verdict.Number] = entry
}

// Verdict returns the verdict on a ticket. It returns false if this node has not
// evaluated the ticket or no longer holds it.
func (l *TicketLog) Verdict(number TicketNumber) (Verdict, bool) {
	shard := l.shard(number)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry, ok := shard.entries[number]
	return entry.verdict, ok && entry.evaluated
}

// Between returns consecutive tickets in order, from after+1 up to through. It
// stops at a missing ticket or after about limitBytes, but a first ticket of any
// size is returned. It returns false if the log does not hold the first ticket.
func (l *TicketLog) Between(after, through TicketNumber, limitBytes int) ([]Ticket, bool) {
	var tickets []Ticket
	size := 0
	for number := after + 1; number <= through; number++ {
		ticket, ok := l.Get(number)
		if !ok {
			break
		}
		size += ticket.ApproximateBytes()
		if size > limitBytes && len(tickets) > 0 {
			break
		}
		tickets = append(tickets, ticket)
	}
	return tickets, len(tickets) > 0
}

// FirstAfter returns the lowest ticket number above evaluated that the log holds,
// or 0 if there is none. A result above evaluated+1 means that tickets in between
// are missing.
func (l *TicketLog) FirstAfter(evaluated TicketNumber) TicketNumber {
	var first TicketNumber
	for i := range l.shards {
		number := l.shards[i].firstAfter(evaluated)
		if number != 0 && (first == 0 || number < first) {
			first = number
		}
	}
	return first
}

func (s *ticketLogShard) firstAfter(evaluated TicketNumber) TicketNumber {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.highest <= evaluated {
		return 0
	}
	var first TicketNumber
	for number := range s.entries {
		if number > evaluated && (first == 0 || number < first) {
			first = number
		}
	}
	return first
}

// Bytes returns the approximate total size of all tickets. It locks one shard at
// a time, so concurrent changes may or may not be counted.
func (l *TicketLog) Bytes() int {
	total := 0
	for i := range l.shards {
		l.shards[i].mu.Lock()
		total += l.shards[i].bytes
		l.shards[i].mu.Unlock()
	}
	return total
}
