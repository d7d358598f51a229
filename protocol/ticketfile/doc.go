// Package ticketfile decodes and encodes change tickets in JSON, the format in
// which operators publish them. Decoding never fails: what can't be decoded is
// recorded in the ticket as validation errors, so that every node rejects the
// ticket for the same reasons. The schema is documented in docs/TICKETS.md.
package ticketfile

import "github.com/wasabiport/wasabiport/state"

const (
	// MaxTicketBytes is the largest size of an encoded ticket.
	MaxTicketBytes = 1 << 20
	// maxDepth is the maximum nesting depth of objects and arrays.
	maxDepth = 16
	// maxErrors is the maximum number of validation errors that are listed for
	// a ticket. A further entry counts the rest.
	maxErrors = 100
	// maxQuotedBytes is the length to which input is truncated when it is
	// quoted in a validation error.
	maxQuotedBytes = 64
)

// Decode decodes the ticket that was published under the given number. A ticket
// whose file contains another number is malformed. Decoding is deterministic:
// equal input gives equal tickets, including the validation errors.
func Decode(number state.TicketNumber, data []byte) state.Ticket {
	ticket := state.Ticket{Number: number}
	reader := newReader(data)
	fileNumber := decodeTicket(reader, &ticket)
	if fileNumber != 0 && fileNumber != number {
		reader.addError("number", "the file names ticket %d but it was published as ticket %d", fileNumber, number)
	}
	ticket.Malformed = reader.result()
	return ticket
}

// DecodeFile decodes a ticket that is not published yet. Its number is the one
// in the file, or 0 when that can't be decoded.
func DecodeFile(data []byte) state.Ticket {
	var ticket state.Ticket
	reader := newReader(data)
	ticket.Number = decodeTicket(reader, &ticket)
	ticket.Malformed = reader.result()
	return ticket
}
