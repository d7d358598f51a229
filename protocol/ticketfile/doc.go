// Package ticketfile reads and writes change tickets as JSON, the form in
// which operators publish them. Decoding never fails: what can't be read is
// recorded as faults in the ticket, so that every node rejects the ticket for
// the same reasons. The schema is documented in docs/TICKETS.md.
package ticketfile

import "github.com/wasabiport/wasabiport/state"

const (
	// MaxTicketBytes is the largest size of an encoded ticket.
	MaxTicketBytes = 1 << 20
	// maxDepth is the deepest nesting of objects and arrays that is read.
	maxDepth = 16
	// maxFaults is the number of faults that are listed for one ticket.
	maxFaults = 100
	// maxQuotedBytes is the length to which input is cut when it is quoted in
	// a fault.
	maxQuotedBytes = 64
)

// Decode reads the ticket that was published under number. A ticket whose
// file names another number is malformed. Equal input gives equal tickets.
func Decode(number state.TicketNumber, data []byte) state.Ticket {
	ticket := state.Ticket{Number: number}
	reader := newReader(data)
	named := decodeTicket(reader, &ticket)
	if named != 0 && named != number {
		reader.fault("number", "the file names ticket %d but it was published as ticket %d", named, number)
	}
	ticket.Malformed = reader.result()
	return ticket
}

// DecodeFile reads a ticket that is not published yet. Its number is the one
// in the file, or 0 when that can't be read.
func DecodeFile(data []byte) state.Ticket {
	var ticket state.Ticket
	reader := newReader(data)
	ticket.Number = decodeTicket(reader, &ticket)
	ticket.Malformed = reader.result()
	return ticket
}
