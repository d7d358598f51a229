package control

import (
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/sourcereading"
	"github.com/wasabiport/wasabiport/state"
)

// readCursor remembers where the latest read of the tickets started, because
// tickets may come from peers while the source is still answering.
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

// HandleTickets takes the answer to a read of the tickets that
// NextSourceRead has asked for. It is called for every answer, also for an
// empty one.
func (p *Plane) HandleTickets(now time.Time, tickets []state.Ticket) Output {
	output := p.noticePause(now)
	after := p.cursor.get()
	p.takeTickets(now, &output, "", tickets)
	answer := classifyTickets(tickets, after, p.Version().Evaluated)
	if answer == sourcereading.AnswerStale {
		output.report(StaleSourceAnswer{})
	}
	p.tickets.Answered(now, answer)
	p.readiness.heardSource()
	return output
}

// HandleTicketsReadFailure tells that a read of the tickets failed.
func (p *Plane) HandleTicketsReadFailure(now time.Time) Output {
	output := p.noticePause(now)
	p.tickets.Failed(now)
	return output
}

// NextTicketsRead returns when and how to read the tickets next.
func (p *Plane) NextTicketsRead(now time.Time) TicketsRead {
	next := p.tickets.Next(now)
	after := p.Version().Evaluated
	p.cursor.set(after)
	return TicketsRead{At: next.At, After: after, Watch: next.Watch}
}

// Staleness returns the time since the source is known to have confirmed the
// configuration in force, read here or by a node that passed it on. It
// returns false when it never was.
func (p *Plane) Staleness(now time.Time) (time.Duration, bool) {
	age := ageOf(now, p.tickets.ConfirmedAt())
	return max(0, age), age != NeverConfirmed
}

// HostListStaleness returns the same for the host list and the backend servers
// that register themselves.
func (p *Plane) HostListStaleness(now time.Time) (time.Duration, bool) {
	age := ageOf(now, p.hostLists.ConfirmedAt())
	return max(0, age), age != NeverConfirmed
}

// classifyTickets tells what an answer to a read after a number has brought,
// by how far the node has come since. An answer that brings it no further has
// only old tickets, or some that wait behind a gap.
func classifyTickets(tickets []state.Ticket, after, judged state.TicketNumber) sourcereading.Answer {
	switch {
	case len(tickets) == 0:
		return sourcereading.AnswerUnchanged
	case judged > after:
		return sourcereading.AnswerNewer
	case tickets[len(tickets)-1].Number == after:
		// A source that holds the newest alone has been read whole.
		return sourcereading.AnswerUnchanged
	default:
		return sourcereading.AnswerStale
	}
}

// classifyHostList tells what a host list brought beyond the one known. A
// version of 0 is the answer to a watch that ended without news.
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
