package peerwire

import (
	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

func encodeDrainedZones(message control.DrainedZones) *wirepb.DrainedZones {
	return &wirepb.DrainedZones{
		Version: message.Zones.Version(),
		Zones:   toStrings(message.Zones.Zones()),
	}
}

func decodeDrainedZones(message *wirepb.DrainedZones) control.Message {
	zones := fromStrings[state.AvailabilityZone](message.GetZones())
	return control.DrainedZones{Zones: state.NewDrainedZones(message.GetVersion(), zones)}
}
