package state

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Digest is a hash of a Snapshot. Nodes that report the same digest have the
// same configuration.
type Digest uint64

// String returns the digest as 16 hexadecimal digits.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// digestOf hashes the ticket numbers together with the sum of all resource
// hashes.
func digestOf(evaluated, accepted TicketNumber, resourceSum uint64) Digest {
	var numbers [24]byte
	binary.BigEndian.PutUint64(numbers[0:], uint64(evaluated))
	binary.BigEndian.PutUint64(numbers[8:], uint64(accepted))
	binary.BigEndian.PutUint64(numbers[16:], resourceSum)
	return Digest(xxhash.Sum64(numbers[:]))
}

// resourceEncoder builds the canonical binary encoding of one resource, which
// is the input of its hash. Strings are length-prefixed, so that only equal
// resources have the same encoding.
type resourceEncoder struct {
	encoded []byte
}

func newResourceEncoder(kind byte) *resourceEncoder {
	return &resourceEncoder{encoded: append(make([]byte, 0, 256), kind)}
}

func (e *resourceEncoder) writeString(value string) {
	e.encoded = binary.AppendUvarint(e.encoded, uint64(len(value)))
	e.encoded = append(e.encoded, value...)
}

func (e *resourceEncoder) writeInt(value int64) {
	e.encoded = binary.AppendVarint(e.encoded, value)
}

func (e *resourceEncoder) writeFloat(value float64) {
	e.encoded = binary.BigEndian.AppendUint64(e.encoded, math.Float64bits(value))
}

func (e *resourceEncoder) writeBool(value bool) {
	if value {
		e.encoded = append(e.encoded, 1)
		return
	}
	e.encoded = append(e.encoded, 0)
}

func (e *resourceEncoder) hash() uint64 { return xxhash.Sum64(e.encoded) }

func hashRoute(route Route) uint64 {
	encoder := newResourceEncoder('r')
	encoder.writeString(string(route.Name))
	encoder.writeString(route.Match.Host)
	encoder.writeString(route.Match.PathPrefix)
	encoder.writeInt(int64(len(route.Match.Methods)))
	for _, method := range route.Match.Methods {
		encoder.writeString(method)
	}
	encoder.writeString(string(route.Service))
	encoder.writeInt(int64(len(route.Split)))
	for _, part := range route.Split {
		encoder.writeString(string(part.Service))
		encoder.writeFloat(part.Weight)
	}
	encoder.writeInt(int64(route.Class))
	encoder.writeInt(int64(route.LatencyTarget))
	encoder.writeInt(int64(route.Timeout))
	encoder.writeFloat(route.Worth)
	encoder.writeBool(route.Idempotent)
	encoder.writeInt(int64(route.MaxAttempts))
	encoder.writeFloat(route.CallerLimit.CallsPerSecond)
	encoder.writeInt(int64(route.CallerLimit.Burst))
	return encoder.hash()
}

func hashService(service Service) uint64 {
	encoder := newResourceEncoder('s')
	encoder.writeString(string(service.Name))
	for class := range ClassCount {
		encoder.writeFloat(service.Floors[class])
		encoder.writeInt(int64(service.QueueLimits[class]))
	}
	encoder.writeInt(int64(service.SlowStart))
	encoder.writeInt(int64(service.RecordRetention))
	encoder.writeBool(service.SelfRegistered)
	encoder.writeInt(int64(service.Connections))
	if service.ColdStart != 0 || service.ColdPerSecond != 0 || service.HealthPath != "" {
		// Without these fields the hash is that of earlier releases.
		encoder.writeInt(int64(service.ColdStart))
		encoder.writeFloat(service.ColdPerSecond)
		encoder.writeString(service.HealthPath)
	}
	return encoder.hash()
}

func hashBackendServer(server BackendServer) uint64 {
	encoder := newResourceEncoder('b')
	encoder.writeString(string(server.Name))
	encoder.writeString(string(server.Service))
	encoder.writeString(string(server.Host))
	encoder.writeString(string(server.Zone))
	encoder.writeString(server.Address)
	encoder.writeInt(int64(server.Slots))
	encoder.writeInt(int64(server.Connections))
	encoder.writeBool(server.Draining)
	encoder.writeInt(server.Incarnation)
	encoder.writeInt(server.WarmAt)
	return encoder.hash()
}
