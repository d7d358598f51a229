package peerwire

import (
	"math"
	"time"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/coordination/fleetstatus"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

func encodeVersionCounts(counts []fleetstatus.VersionCount) []*wirepb.HeadCount {
	encoded := make([]*wirepb.HeadCount, 0, len(counts))
	for _, count := range counts {
		encoded = append(encoded, &wirepb.HeadCount{
			Head:      encodeVersion(count.Version),
			Hosts:     uint32(count.Hosts),
			AgeMillis: encodeMillis(count.Age),
		})
	}
	return encoded
}

func decodeVersionCounts(messages []*wirepb.HeadCount) []fleetstatus.VersionCount {
	var counts []fleetstatus.VersionCount
	for _, message := range messages {
		counts = append(counts, fleetstatus.VersionCount{
			Version: decodeVersion(message.GetHead()),
			Hosts:   int(message.GetHosts()),
			Age:     decodeMillis(message.GetAgeMillis()),
		})
	}
	return counts
}

func encodeFleetStatus(status control.FleetStatus) *wirepb.FleetStatus {
	message := &wirepb.FleetStatus{}
	for _, report := range status.Zones {
		message.Zones = append(message.Zones, &wirepb.ZoneReport{
			Zone:      string(report.Zone),
			Counts:    encodeVersionCounts(report.Counts),
			AgeMillis: encodeMillis(report.Age),
		})
	}
	return message
}

func decodeFleetStatus(message *wirepb.FleetStatus) control.Message {
	var status control.FleetStatus
	for _, report := range message.GetZones() {
		status.Zones = append(status.Zones, fleetstatus.ZoneReport{
			Zone:   state.AvailabilityZone(report.GetZone()),
			Counts: decodeVersionCounts(report.GetCounts()),
			Age:    decodeMillis(report.GetAgeMillis()),
		})
	}
	return status
}

// encodeMillis returns a duration in milliseconds. Negative values become 0 and
// values above the range of uint32, about 49 days, become its maximum.
func encodeMillis(duration time.Duration) uint32 {
	return uint32(min(max(0, duration).Milliseconds(), math.MaxUint32))
}

func decodeMillis(millis uint32) time.Duration { return time.Duration(millis) * time.Millisecond }
