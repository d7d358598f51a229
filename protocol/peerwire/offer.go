package peerwire

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

// maxAgeMillis limits a decoded age to 100 years, which fits in a
// time.Duration.
const maxAgeMillis = uint64(100 * 365 * 24 * time.Hour / time.Millisecond)

func encodeOffer(offer control.Offer) *wirepb.Offer {
	return &wirepb.Offer{
		Head:            encodeVersion(offer.Version),
		Incarnation:     offer.Incarnation,
		Heartbeat:       offer.Heartbeat,
		Phase:           uint32(offer.Phase),
		HostListVersion: offer.HostListVersion,
		HostListDigest:  uint64(offer.HostListDigest),
		TicketsAge:      encodeAge(offer.TicketsAge),
		HostListAge:     encodeAge(offer.HostListAge),
		Reply:           offer.Reply,
		AcceptsDiffs:    offer.AcceptsDiffs,

		AcceptsDrainedZones: offer.AcceptsDrainedZones,
		DrainedZonesVersion: offer.DrainedZonesVersion,
		DrainedZonesDigest:  uint64(offer.DrainedZonesDigest),
	}
}

func decodeOffer(message *wirepb.Offer) (control.Message, error) {
	phase, err := decodePhase(message.GetPhase())
	if err != nil {
		return nil, err
	}
	return control.Offer{
		Version:         decodeVersion(message.GetHead()),
		Incarnation:     message.GetIncarnation(),
		Heartbeat:       message.GetHeartbeat(),
		Phase:           phase,
		HostListVersion: message.GetHostListVersion(),
		HostListDigest:  state.Digest(message.GetHostListDigest()),
		TicketsAge:      decodeAge(message.GetTicketsAge()),
		HostListAge:     decodeAge(message.GetHostListAge()),
		Reply:           message.GetReply(),
		AcceptsDiffs:    message.GetAcceptsDiffs(),

		AcceptsDrainedZones: message.GetAcceptsDrainedZones(),
		DrainedZonesVersion: message.GetDrainedZonesVersion(),
		DrainedZonesDigest:  state.Digest(message.GetDrainedZonesDigest()),
	}, nil
}

// encodeAge returns an age in milliseconds plus one, or 0 for
// control.NeverConfirmed.
func encodeAge(age time.Duration) uint64 {
	if age == control.NeverConfirmed {
		return 0
	}
	return uint64(max(0, age).Milliseconds()) + 1
}

func decodeAge(encoded uint64) time.Duration {
	if encoded == 0 {
		return control.NeverConfirmed
	}
	return time.Duration(min(encoded-1, maxAgeMillis)) * time.Millisecond
}

func decodePhase(encoded uint32) (state.HostPhase, error) {
	if encoded > uint32(state.HostGone) {
		return 0, malformed("unknown host phase %d", encoded)
	}
	return state.HostPhase(encoded), nil
}
