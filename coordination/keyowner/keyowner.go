// Package keyowner determines which backend server owns the record of an
// idempotency key, and since when. Entry nodes and guards compute the same
// result from the same configuration by rendezvous hashing.
package keyowner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiport/wasabiport/state"
)

// Key is an idempotency key. Keys of different callers are distinct.
type Key struct {
	Caller state.CallerName
	Value  string
}

// Order returns the servers in the order in which they are asked for key. The
// first one keeps the record of the key. A server that takes no new calls, and
// so will never run the call, declines, and the next one is asked.
func Order(servers []state.BackendServerName, key Key) []state.BackendServerName {
	ordered := slices.Clone(servers)
	slices.SortFunc(ordered, func(a, b state.BackendServerName) int {
		return compare(a, b, key)
	})
	return ordered
}

// compare orders a before b when a is asked first.
func compare(a, b state.BackendServerName, key Key) int {
	return cmp.Or(cmp.Compare(weight(b, key), weight(a, key)), cmp.Compare(a, b))
}

func weight(server state.BackendServerName, key Key) uint64 {
	hash := xxhash.New()
	for _, part := range []string{string(server), string(key.Caller), key.Value} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}
