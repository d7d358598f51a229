package state

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest is a hash of a snapshot. Two nodes with the same digest have the same
// configuration.
type Digest uint64

// String returns the digest as 16 hexadecimal digits.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

func digestSnapshot(s *Snapshot) Digest {
	// Resource hashes are added up, so that the order does not matter.
	var sum uint64
	for _, route := range s.routes {
		sum += hashResource("route", route)
	}
	for _, service := range s.services {
		sum += hashResource("service", service)
	}
	for _, server := range s.backendServers {
		sum += hashResource("backend server", server)
	}
	var numbers [24]byte
	binary.BigEndian.PutUint64(numbers[0:], uint64(s.judged))
	binary.BigEndian.PutUint64(numbers[8:], uint64(s.accepted))
	binary.BigEndian.PutUint64(numbers[16:], sum)
	return Digest(xxhash.Sum64(numbers[:]))
}

func hashResource(kind string, resource any) uint64 {
	// %#v names every field and quotes every string, so that two resources
	// have the same text only when they are equal.
	return xxhash.Sum64String(kind + fmt.Sprintf("%#v", resource))
}
