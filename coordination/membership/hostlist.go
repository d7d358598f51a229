package membership

import "github.com/wasabiport/wasabiport/state"

// Changes is the difference between two versions of the host list.
type Changes struct {
	// Base is the version that the changes start from.
	Base uint64
	// Version is the version after the changes.
	Version uint64
	// Digest is the digest of the list after the changes.
	Digest state.Digest
	Set    []state.Host
	Remove []state.HostName
}

// Diff returns the changes from old to next.
func Diff(old, next state.HostList) Changes {
	changes := Changes{Base: old.Version, Version: next.Version, Digest: next.Digest()}
	before := hostsByName(old)
	for _, host := range next.Hosts {
		if known, ok := before[host.Name]; !ok || known != host {
			changes.Set = append(changes.Set, host)
		}
		delete(before, host.Name)
	}
	for _, host := range old.Hosts {
		if _, left := before[host.Name]; left {
			changes.Remove = append(changes.Remove, host.Name)
		}
	}
	return changes
}

// Apply returns the list after changes. It returns false when the result is
// not the list that the changes were made from, and the whole list is needed.
func Apply(old state.HostList, changes Changes) (state.HostList, bool) {
	if changes.Base > old.Version || changes.Version <= old.Version {
		return state.HostList{}, false
	}
	replaced := make(map[state.HostName]struct{}, len(changes.Set)+len(changes.Remove))
	for _, host := range changes.Set {
		replaced[host.Name] = struct{}{}
	}
	for _, name := range changes.Remove {
		replaced[name] = struct{}{}
	}
	next := state.HostList{Version: changes.Version}
	for _, host := range old.Hosts {
		if _, drop := replaced[host.Name]; !drop {
			next.Hosts = append(next.Hosts, host)
		}
	}
	next.Hosts = append(next.Hosts, changes.Set...)
	return next, next.Digest() == changes.Digest
}

func hostsByName(list state.HostList) map[state.HostName]state.Host {
	hosts := make(map[state.HostName]state.Host, len(list.Hosts))
	for _, host := range list.Hosts {
		hosts[host.Name] = host
	}
	return hosts
}
