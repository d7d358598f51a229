package state

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Digest is a hash of a snapshot. Two nodes with the same digest have the same
// configuration.
type Digest uint64

// String returns the digest as 16 hexadecimal digits.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// digestOf combines the ticket numbers with the sum of all resource hashes.
func digestOf(judged, accepted TicketNumber, resourceSum uint64) Digest {
	var numbers [24]byte
	binary.BigEndian.PutUint64(numbers[0:], uint64(judged))
	binary.BigEndian.PutUint64(numbers[8:], uint64(accepted))
	binary.BigEndian.PutUint64(numbers[16:], resourceSum)
	return Digest(xxhash.Sum64(numbers[:]))
}

// resourceBuffer is an unambiguous binary form of one resource: every string
// has its length in front, so that two resources have the same form only when
// they are equal.
type resourceBuffer struct {
	bytes []byte
}

func newResourceBuffer(kind byte) *resourceBuffer {
	return &resourceBuffer{bytes: append(make([]byte, 0, 256), kind)}
}

func (b *resourceBuffer) text(value string) {
	b.bytes = binary.AppendUvarint(b.bytes, uint64(len(value)))
	b.bytes = append(b.bytes, value...)
}

func (b *resourceBuffer) integer(value int64) {
	b.bytes = binary.AppendVarint(b.bytes, value)
}

func (b *resourceBuffer) decimal(value float64) {
	b.bytes = binary.BigEndian.AppendUint64(b.bytes, math.Float64bits(value))
}

func (b *resourceBuffer) flag(value bool) {
	if value {
		b.bytes = append(b.bytes, 1)
		return
	}
	b.bytes = append(b.bytes, 0)
}

func (b *resourceBuffer) sum() uint64 { return xxhash.Sum64(b.bytes) }

func hashRoute(route Route) uint64 {
	buffer := newResourceBuffer('r')
	buffer.text(string(route.Name))
	buffer.text(route.Match.Host)
	buffer.text(route.Match.PathPrefix)
	buffer.integer(int64(len(route.Match.Methods)))
	for _, method := range route.Match.Methods {
		buffer.text(method)
	}
	buffer.text(string(route.Service))
	buffer.integer(int64(len(route.Split)))
	for _, part := range route.Split {
		buffer.text(string(part.Service))
		buffer.decimal(part.Weight)
	}
	buffer.integer(int64(route.Class))
	buffer.integer(int64(route.LatencyTarget))
	buffer.integer(int64(route.Timeout))
	buffer.decimal(route.Worth)
	buffer.flag(route.Idempotent)
	buffer.integer(int64(route.MaxAttempts))
	buffer.decimal(route.CallerLimit.CallsPerSecond)
	buffer.integer(int64(route.CallerLimit.Burst))
	return buffer.sum()
}

func hashService(service Service) uint64 {
	buffer := newResourceBuffer('s')
	buffer.text(string(service.Name))
	for class := range ClassCount {
		buffer.decimal(service.Floors[class])
		buffer.integer(int64(service.QueueLimits[class]))
	}
	buffer.integer(int64(service.SlowStart))
	buffer.integer(int64(service.RecordRetention))
	buffer.flag(service.SelfRegistered)
	buffer.integer(int64(service.Connections))
	return buffer.sum()
}

func hashBackendServer(server BackendServer) uint64 {
	buffer := newResourceBuffer('b')
	buffer.text(string(server.Name))
	buffer.text(string(server.Service))
	buffer.text(string(server.Host))
	buffer.text(string(server.Zone))
	buffer.text(server.Address)
	buffer.integer(int64(server.Slots))
	buffer.integer(int64(server.Connections))
	buffer.flag(server.Draining)
	buffer.integer(server.Incarnation)
	buffer.integer(server.WarmAt)
	return buffer.sum()
}
