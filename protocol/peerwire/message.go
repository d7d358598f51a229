// Package peerwire maps the messages of package control to protobuf and back.
package peerwire

import (
	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

// Encode returns the protobuf form of a message.
func Encode(message control.Message) (*wirepb.PeerMessage, error) {
	switch message := message.(type) {
	case control.Offer:
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_Offer{
			Offer: &wirepb.Offer{Head: encodeHead(message.Head)},
		}}, nil
	case control.Tickets:
		tickets := &wirepb.Tickets{}
		for _, ticket := range message.Tickets {
			tickets.Tickets = append(tickets.Tickets, encodeTicket(ticket))
		}
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_Tickets{Tickets: tickets}}, nil
	case control.Request:
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_Request{
			Request: &wirepb.Request{After: uint64(message.After)},
		}}, nil
	default:
		return nil, malformed("message type %T has no wire form", message)
	}
}

// Decode returns the message in its typed form. Its errors are marked with
// frame.ErrMalformed.
func Decode(message *wirepb.PeerMessage) (control.Message, error) {
	switch body := message.GetBody().(type) {
	case *wirepb.PeerMessage_Offer:
		return control.Offer{Head: decodeHead(body.Offer.GetHead())}, nil
	case *wirepb.PeerMessage_Tickets:
		return decodeTickets(body.Tickets)
	case *wirepb.PeerMessage_Request:
		return control.Request{After: state.TicketNumber(body.Request.GetAfter())}, nil
	default:
		return nil, malformed("message has no known body")
	}
}

func decodeTickets(message *wirepb.Tickets) (control.Message, error) {
	var tickets control.Tickets
	for _, ticket := range message.GetTickets() {
		decoded, err := decodeTicket(ticket)
		if err != nil {
			return nil, err
		}
		tickets.Tickets = append(tickets.Tickets, decoded)
	}
	return tickets, nil
}

func encodeHead(head control.Head) *wirepb.Head {
	return &wirepb.Head{
		Judged:   uint64(head.Judged),
		Accepted: uint64(head.Accepted),
		Digest:   uint64(head.Digest),
	}
}

func decodeHead(message *wirepb.Head) control.Head {
	return control.Head{
		Judged:   state.TicketNumber(message.GetJudged()),
		Accepted: state.TicketNumber(message.GetAccepted()),
		Digest:   state.Digest(message.GetDigest()),
	}
}
