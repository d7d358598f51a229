// Package peerwire maps the messages of package control to protobuf and back.
package peerwire

import (
	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

// Encode returns the protobuf form of a message. An Encoder does the same and
// encodes a snapshot once for many peers.
func Encode(message control.Message) (*wirepb.PeerMessage, error) {
	return new(Encoder).Encode(message)
}

// Encode returns the protobuf form of a message.
func (e *Encoder) Encode(message control.Message) (*wirepb.PeerMessage, error) {
	switch message := message.(type) {
	case control.Offer:
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_Offer{Offer: encodeOffer(message)}}, nil
	case control.Tickets:
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_Tickets{Tickets: encodeTickets(message)}}, nil
	case control.TicketsRequest:
		request := &wirepb.Request{After: uint64(message.After)}
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_Request{Request: request}}, nil
	case control.Snapshot:
		snapshot, err := e.encodeSnapshot(message)
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_Snapshot{Snapshot: snapshot}}, err
	case control.HostUpdates:
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_Sightings{Sightings: encodeSightings(message)}}, nil
	case control.HostList:
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_HostList{HostList: encodeHostList(message)}}, nil
	case control.HostListRequest:
		request := &wirepb.HostListRequest{Have: message.Have}
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_HostListRequest{HostListRequest: request}}, nil
	case control.HostListChanges:
		changes := encodeHostListChanges(message)
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_HostListChanges{HostListChanges: changes}}, nil
	case control.SubtreeStatus:
		status := &wirepb.SubtreeStatus{Counts: encodeHeadCounts(message.Counts)}
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_SubtreeStatus{SubtreeStatus: status}}, nil
	case control.FleetStatus:
		status := encodeFleetStatus(message)
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_FleetStatus{FleetStatus: status}}, nil
	case control.CrashNotices:
		notices := encodeCrashNotices(message)
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_CrashNotices{CrashNotices: notices}}, nil
	default:
		return nil, malformed("message type %T has no wire form", message)
	}
}

// Decode returns the message in its typed form. Its errors are marked with
// frame.ErrMalformed.
func Decode(message *wirepb.PeerMessage) (control.Message, error) {
	switch body := message.GetBody().(type) {
	case *wirepb.PeerMessage_Offer:
		return decodeOffer(body.Offer)
	case *wirepb.PeerMessage_Tickets:
		return decodeTickets(body.Tickets)
	case *wirepb.PeerMessage_Request:
		return control.TicketsRequest{After: state.TicketNumber(body.Request.GetAfter())}, nil
	case *wirepb.PeerMessage_Snapshot:
		return decodeSnapshot(body.Snapshot)
	case *wirepb.PeerMessage_Sightings:
		return decodeSightings(body.Sightings)
	case *wirepb.PeerMessage_HostList:
		return decodeHostList(body.HostList)
	case *wirepb.PeerMessage_HostListRequest:
		return control.HostListRequest{Have: body.HostListRequest.GetHave()}, nil
	case *wirepb.PeerMessage_HostListChanges:
		return decodeHostListChanges(body.HostListChanges)
	case *wirepb.PeerMessage_SubtreeStatus:
		return control.SubtreeStatus{Counts: decodeHeadCounts(body.SubtreeStatus.GetCounts())}, nil
	case *wirepb.PeerMessage_FleetStatus:
		return decodeFleetStatus(body.FleetStatus), nil
	case *wirepb.PeerMessage_CrashNotices:
		return decodeCrashNotices(body.CrashNotices)
	default:
		return nil, malformed("message has no known body")
	}
}

func encodeHead(head control.Version) *wirepb.Head {
	return &wirepb.Head{
		Judged:   uint64(head.Evaluated),
		Accepted: uint64(head.Accepted),
		Digest:   uint64(head.Digest),
	}
}

func decodeHead(message *wirepb.Head) control.Version {
	return control.Version{
		Evaluated: state.TicketNumber(message.GetJudged()),
		Accepted:  state.TicketNumber(message.GetAccepted()),
		Digest:    state.Digest(message.GetDigest()),
	}
}
