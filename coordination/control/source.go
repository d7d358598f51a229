package control

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/sourcereading"
	"github.com/wasabiport/wasabiport/state"
)

// SourceAnswered takes the answer to a read of the tickets. It is called for
// every answer, also for an empty one.
func (p *Plane) SourceAnswered(now time.Time, tickets []state.Ticket) Output {
	output := p.noticePause(now)
	answer := classifyTickets(tickets, p.Head().Judged)
	if answer == sourcereading.AnswerOld {
		output.report(SourceAnsweredOld{})
	}
	p.takeTickets(now, &output, "", tickets)
	p.tickets.Answered(now, answer)
	p.readiness.heardSource()
	return output
}

// SourceFailed tells that a read of the tickets failed.
func (p *Plane) SourceFailed(now time.Time) Output {
	output := p.noticePause(now)
	p.tickets.Failed(now)
	return output
}

// NextSourceRead returns when and how to read the tickets next.
func (p *Plane) NextSourceRead(now time.Time) SourceRead {
	next := p.tickets.Next(now)
	return SourceRead{At: next.At, After: p.Head().Judged, Watch: next.Watch}
}

// Staleness returns the time since the source is known to have confirmed the
// configuration in force, read here or by a node that passed it on. It
// returns false when it never was.
func (p *Plane) Staleness(now time.Time) (time.Duration, bool) {
	age := ageOf(now, p.tickets.ConfirmedAt())
	return max(0, age), age != NeverConfirmed
}

// classifyTickets tells what an answer brought beyond the tickets judged.
func classifyTickets(tickets []state.Ticket, judged state.TicketNumber) sourcereading.Answer {
	if len(tickets) == 0 {
		return sourcereading.AnswerNothing
	}
	for _, ticket := range tickets {
		if ticket.Number > judged {
			return sourcereading.AnswerNews
		}
	}
	return sourcereading.AnswerOld
}

// classifyHostList tells what a host list brought beyond the one known. A
// version of 0 is the answer to a watch that ended without news.
func classifyHostList(version, known uint64) sourcereading.Answer {
	switch {
	case version > known:
		return sourcereading.AnswerNews
	case version == known || version == 0:
		return sourcereading.AnswerNothing
	default:
		return sourcereading.AnswerOld
	}
}
