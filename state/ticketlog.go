package state

import (
	"maps"
	"slices"
	"sync"
)

// ticketLogShardCount is the number of shards of a TicketLog. Neighbouring
// numbers lie in different shards.
const ticketLogShardCount = 16

// TicketLog holds the latest tickets and their verdicts in bounded memory. It
// is cut into shards by ticket number, each under its own lock. When a shard
// is full, its oldest judged tickets are dropped; tickets that wait to be
// judged are refused rather than dropped.
type TicketLog struct {
	shards [ticketLogShardCount]ticketLogShard
}

type ticketLogShard struct {
	mu         sync.Mutex
	limitBytes int
	bytes      int
	entries    map[TicketNumber]ticketLogEntry
	// droppedThrough is the largest number that was dropped.
	droppedThrough TicketNumber
	highest        TicketNumber
}

type ticketLogEntry struct {
	ticket  Ticket
	bytes   int
	verdict Verdict
	judged  bool
}

// NewTicketLog returns an empty log that holds about limitBytes of tickets.
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

// Add stores a ticket that is not yet known and returns whether it was stored.
// Tickets up to judged may be dropped to make room.
func (l *TicketLog) Add(ticket Ticket, judged TicketNumber) bool {
	return l.shard(ticket.Number).add(ticket, judged)
}

func (s *ticketLogShard) add(ticket Ticket, judged TicketNumber) bool {
	size := ticket.ApproximateBytes()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.entries[ticket.Number]; known || ticket.Number <= s.droppedThrough {
		return false
	}
	s.makeRoom(size, judged)
	// A ticket that is larger than the shard is still stored when it is the
	// only one, for it has to be judged.
	if s.bytes+size > s.limitBytes && len(s.entries) > 0 {
		return false
	}
	s.entries[ticket.Number] = ticketLogEntry{ticket: ticket, bytes: size}
	s.bytes += size
	s.highest = max(s.highest, ticket.Number)
	return true
}

func (s *ticketLogShard) makeRoom(size int, judged TicketNumber) {
	if s.bytes+size <= s.limitBytes {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(s.entries)) {
		if number > judged || s.bytes+size <= s.limitBytes {
			return
		}
		s.bytes -= s.entries[number].bytes
		delete(s.entries, number)
		s.droppedThrough = max(s.droppedThrough, number)
	}
}

// Get returns the ticket with the given number.
func (l *TicketLog) Get(number TicketNumber) (Ticket, bool) {
	shard := l.shard(number)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry, ok := shard.entries[number]
	return entry.ticket, ok
}

// SetVerdict stores the verdict on a ticket that the log still holds.
func (l *TicketLog) SetVerdict(verdict Verdict) {
	shard := l.shard(verdict.Number)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry, ok := shard.entries[verdict.Number]
	if !ok {
		return
	}
	entry.verdict = verdict
	entry.judged = true
	shard.entries[verdict.Number] = entry
}

// Verdict returns the verdict on a ticket that this node has judged and still
// holds.
func (l *TicketLog) Verdict(number TicketNumber) (Verdict, bool) {
	shard := l.shard(number)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	entry, ok := shard.entries[number]
	return entry.verdict, ok && entry.judged
}

// Between returns the tickets after one number through another, in order, up
// to about limitBytes but at least one. It returns false when the first of
// them is not held.
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

// FirstAfter returns the smallest number above judged that the log holds, or
// 0. A result above judged+1 is a gap.
func (l *TicketLog) FirstAfter(judged TicketNumber) TicketNumber {
	var first TicketNumber
	for i := range l.shards {
		number := l.shards[i].firstAfter(judged)
		if number != 0 && (first == 0 || number < first) {
			first = number
		}
	}
	return first
}

func (s *ticketLogShard) firstAfter(judged TicketNumber) TicketNumber {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.highest <= judged {
		return 0
	}
	var first TicketNumber
	for number := range s.entries {
		if number > judged && (first == 0 || number < first) {
			first = number
		}
	}
	return first
}

// Bytes returns the approximate size of all tickets, counted one shard at a
// time.
func (l *TicketLog) Bytes() int {
	total := 0
	for i := range l.shards {
		l.shards[i].mu.Lock()
		total += l.shards[i].bytes
		l.shards[i].mu.Unlock()
	}
	return total
}
