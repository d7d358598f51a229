package control

import (
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/sourcereading"
	"github.com/wasabiport/wasabiport/state"
)

// readCursor stores the ticket number after which the current read of the
// source started, because peers may deliver tickets before the source answers.
type readCursor struct {
	mu    sync.Mutex
	after state.TicketNumber
}

func (c *readCursor) set(after state.TicketNumber) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.after = after
}

func (c *readCursor) get() state.TicketNumber {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.after
}

// HandleTickets processes the answer to the read of the tickets that
// NextTicketsRead has returned. It is called for every answer, including an
// empty one.
func (p *Plane) HandleTickets(now time.Time, tickets []state.Ticket) Output {
	output := p.detectPause(now)
	after := p.cursor.get()
	p.addTickets(now, &output, "", tickets)
	answer := classifyTickets(tickets, after, p.Version().Evaluated)
	if answer == sourcereading.AnswerStale {
		output.report(StaleSourceAnswer{})
	}
	p.ticketReads.RecordAnswer(now, answer)
	p.hostListReads.RecordSourceAnswer(now)
	p.readiness.recordSourceAnswer()
	return output
}

// HandleTicketsReadFailure records that a read of the tickets failed.
func (p *Plane) HandleTicketsReadFailure(now time.Time) Output {
	output := p.detectPause(now)
	p.ticketReads.RecordFailure(now)
	return output
}

// NextTicketsRead returns the time and kind of the next read of the tickets.
func (p *Plane) NextTicketsRead(now time.Time) TicketsRead {
	next := p.ticketReads.Next(now)
	after := p.Version().Evaluated
	p.cursor.set(after)
	return TicketsRead{At: next.At, After: after, Watch: next.Watch, Reason: next.Reason}
}

// Staleness returns the time since the source last confirmed the configuration
// in force to the local node or, as reported in offers, to another node. It
// returns false if the source never confirmed it.
func (p *Plane) Staleness(now time.Time) (time.Duration, bool) {
	age := ageOf(now, p.ticketReads.ConfirmedAt())
	return max(0, age), age != NeverConfirmed
}

// HostListStaleness returns the same for the host list and the backend servers
// that register themselves.
func (p *Plane) HostListStaleness(now time.Time) (time.Duration, bool) {
	age := ageOf(now, p.hostListReads.ConfirmedAt())
	return max(0, age), age != NeverConfirmed
}

// classifyTickets compares the latest evaluated ticket with the number after
// which the read started. If they are equal, the answer has only old tickets or
// tickets that follow a gap.
func classifyTickets(tickets []state.Ticket, after, evaluated state.TicketNumber) sourcereading.Answer {
	switch {
	case len(tickets) == 0:
		return sourcereading.AnswerUnchanged
	case evaluated > after:
		return sourcereading.AnswerNewer
	case tickets[len(tickets)-1].Number == after:
		// A full-state source returns its newest baseline again.
		return sourcereading.AnswerUnchanged
	default:
		return sourcereading.AnswerStale
	}
}

// classifyHostList compares the version of an answer with the known version.
// Version 0 is the answer to a watch that ended without a change.
func classifyHostList(version, known uint64) sourcereading.Answer {
	switch {
	case version > known:
		return sourcereading.AnswerNewer
	case version == known || version == 0:
		return sourcereading.AnswerUnchanged
	default:
		return sourcereading.AnswerStale
	}
}
