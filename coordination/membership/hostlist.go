package membership

import "github.com/wasabiport/wasabiport/state"

// Changes is the difference between two versions of the host list.
type Changes struct {
	// Base is the version to which the changes apply.
	Base uint64
	// Version is the version after the changes.
	Version uint64
	// Digest is the digest of the list after the changes.
	Digest state.Digest
	Set    []state.Host
	Remove []state.HostName
	// SetRegistered holds the backend servers that were registered or have
	// changed their registration, and RemoveRegistered those that are no longer
	// registered.
	SetRegistered    []state.BackendServer
	RemoveRegistered []state.BackendServerName
}

// Size returns the number of changed hosts and backend servers.
func (c Changes) Size() int {
	return len(c.Set) + len(c.Remove) + len(c.SetRegistered) + len(c.RemoveRegistered)
}

// Diff returns the changes from old to next.
func Diff(old, next state.HostList) Changes {
	changes := Changes{Base: old.Version, Version: next.Version, Digest: next.Digest()}
	changes.Set, changes.Remove = diff(old.Hosts, next.Hosts, hostName)
	changes.SetRegistered, changes.RemoveRegistered = diff(old.Registered, next.Registered, serverName)
	return changes
}

// Apply returns old after changes. It returns false if the result does not
// match the digest of the changes; the caller then needs the full list.
func Apply(old state.HostList, changes Changes) (state.HostList, bool) {
	if changes.Base > old.Version || changes.Version <= old.Version {
		return state.HostList{}, false
	}
	next := state.HostList{
		Version:    changes.Version,
		Hosts:      apply(old.Hosts, changes.Set, changes.Remove, hostName),
		Registered: apply(old.Registered, changes.SetRegistered, changes.RemoveRegistered, serverName),
	}
	return next, next.Digest() == changes.Digest
}

func hostName(host state.Host) state.HostName { return host.Name }

func serverName(server state.BackendServer) state.BackendServerName { return server.Name }

// diff returns the values that are new or changed in next and the names of the
// values that only old has.
func diff[N comparable, V comparable](old, next []V, name func(V) N) (set []V, remove []N) {
	before := make(map[N]V, len(old))
	for _, value := range old {
		before[name(value)] = value
	}
	for _, value := range next {
		if known, ok := before[name(value)]; !ok || known != value {
			set = append(set, value)
		}
		delete(before, name(value))
	}
	for _, value := range old {
		if _, left := before[name(value)]; left {
			remove = append(remove, name(value))
		}
	}
	return set, remove
}

// apply returns old with the values in set replaced or added and those in
// remove dropped.
func apply[N comparable, V any](old, set []V, remove []N, name func(V) N) []V {
	replaced := make(map[N]struct{}, len(set)+len(remove))
	for _, value := range set {
		replaced[name(value)] = struct{}{}
	}
	for _, gone := range remove {
		replaced[gone] = struct{}{}
	}
	var next []V
	for _, value := range old {
		if _, drop := replaced[name(value)]; !drop {
			next = append(next, value)
		}
	}
	return append(next, set...)
}
