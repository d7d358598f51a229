package state

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DrainedZones is the set of drained availability zones: their backend servers get no
// calls. It is immutable. The zero value is the empty set that a node has before it
// receives the first one.
type DrainedZones struct {
	version uint64
	zones   []AvailabilityZone
}

// NewDrainedZones returns the set of the given zones. Higher versions are newer, and
// version 0 means that the set is not known.
func NewDrainedZones(version uint64, zones []AvailabilityZone) DrainedZones {
	sorted := slices.Clone(zones)
	slices.Sort(sorted)
	return DrainedZones{version: version, zones: slices.Compact(sorted)}
}

// Version returns the version of the set.
func (d DrainedZones) Version() uint64 { return d.version }

// Zones returns the zones in the set, sorted. The caller must not modify the slice.
func (d DrainedZones) Zones() []AvailabilityZone { return d.zones }

// Contains reports whether a zone is in the set.
func (d DrainedZones) Contains(zone AvailabilityZone) bool { return slices.Contains(d.zones, zone) }

// SameZones reports whether two sets have the same zones, whatever their versions.
func (d DrainedZones) SameZones(other DrainedZones) bool { return slices.Equal(d.zones, other.zones) }

// Digest returns a digest of the zones. It does not cover the version.
func (d DrainedZones) Digest() Digest {
	hash := xxhash.New()
	for _, zone := range d.zones {
		_, _ = hash.WriteString(string(zone))
		_, _ = hash.Write([]byte{0})
	}
	return Digest(hash.Sum64())
}
