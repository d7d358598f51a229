// Package peerwire converts the messages of package control to and from
// protobuf.
package peerwire

import (
	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

// Encode returns the protobuf form of a message. Use an Encoder to send the
// same snapshot to several peers: it encodes the snapshot only once.
func Encode(message control.Message) (*wirepb.PeerMessage, error) {
	return new(Encoder).Encode(message)
}

// Encode returns the protobuf form of a message. Snapshots are cached.
func (e *Encoder) Encode(message control.Message) (*wirepb.PeerMessage, error) {
	switch message := message.(type) {
	case control.Offer:
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_Offer{Offer: encodeOffer(message)}}, nil
	case control.Tickets:
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_Tickets{Tickets: encodeTickets(message)}}, nil
	case control.TicketsRequest:
		request := &wirepb.Request{After: uint64(message.After), Whole: message.Whole}
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_Request{Request: request}}, nil
	case control.Snapshot:
		snapshot, err := e.encodeSnapshot(message)
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_Snapshot{Snapshot: snapshot}}, err
	case control.SnapshotDiff:
		diff := encodeSnapshotDiff(message.Diff)
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_SnapshotDiff{SnapshotDiff: diff}}, nil
	case control.HostUpdates:
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_Sightings{Sightings: encodeHostUpdates(message)}}, nil
	case control.HostList:
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_HostList{HostList: encodeHostList(message)}}, nil
	case control.HostListRequest:
		request := &wirepb.HostListRequest{Have: message.Have}
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_HostListRequest{HostListRequest: request}}, nil
	case control.HostListChanges:
		changes := encodeHostListChanges(message)
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_HostListChanges{HostListChanges: changes}}, nil
	case control.DrainedZones:
		zones := encodeDrainedZones(message)
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_DrainedZones{DrainedZones: zones}}, nil
	case control.SubtreeStatus:
		status := &wirepb.SubtreeStatus{Counts: encodeVersionCounts(message.Counts)}
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_SubtreeStatus{SubtreeStatus: status}}, nil
	case control.FleetStatus:
		status := encodeFleetStatus(message)
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_FleetStatus{FleetStatus: status}}, nil
	case control.CrashNotices:
		notices := encodeCrashNotices(message)
		return &wirepb.PeerMessage{Body: &wirepb.PeerMessage_CrashNotices{CrashNotices: notices}}, nil
	default:
		return nil, malformed("message type %T has no protobuf encoding", message)
	}
}

// Decode converts a protobuf message to a control message. Its errors are
// marked with frame.ErrMalformed.
func Decode(message *wirepb.PeerMessage) (control.Message, error) {
	switch body := message.GetBody().(type) {
	case *wirepb.PeerMessage_Offer:
		return decodeOffer(body.Offer)
	case *wirepb.PeerMessage_Tickets:
		return decodeTickets(body.Tickets)
	case *wirepb.PeerMessage_Request:
		request := body.Request
		return control.TicketsRequest{After: state.TicketNumber(request.GetAfter()), Whole: request.GetWhole()}, nil
	case *wirepb.PeerMessage_Snapshot:
		return decodeSnapshot(body.Snapshot)
	case *wirepb.PeerMessage_SnapshotDiff:
		return decodeSnapshotDiff(body.SnapshotDiff)
	case *wirepb.PeerMessage_Sightings:
		return decodeHostUpdates(body.Sightings)
	case *wirepb.PeerMessage_HostList:
		return decodeHostList(body.HostList)
	case *wirepb.PeerMessage_HostListRequest:
		return control.HostListRequest{Have: body.HostListRequest.GetHave()}, nil
	case *wirepb.PeerMessage_HostListChanges:
		return decodeHostListChanges(body.HostListChanges)
	case *wirepb.PeerMessage_DrainedZones:
		return decodeDrainedZones(body.DrainedZones), nil
	case *wirepb.PeerMessage_SubtreeStatus:
		return control.SubtreeStatus{Counts: decodeVersionCounts(body.SubtreeStatus.GetCounts())}, nil
	case *wirepb.PeerMessage_FleetStatus:
		return decodeFleetStatus(body.FleetStatus), nil
	case *wirepb.PeerMessage_CrashNotices:
		return decodeCrashNotices(body.CrashNotices)
	default:
		return nil, malformed("message has no body or a body of unknown type")
	}
}

func encodeVersion(version control.Version) *wirepb.Head {
	return &wirepb.Head{
		Judged:   uint64(version.Evaluated),
		Accepted: uint64(version.Accepted),
		Digest:   uint64(version.Digest),
	}
}

func decodeVersion(message *wirepb.Head) control.Version {
	return control.Version{
		Evaluated: state.TicketNumber(message.GetJudged()),
		Accepted:  state.TicketNumber(message.GetAccepted()),
		Digest:    state.Digest(message.GetDigest()),
	}
}
