package peerwire

import (
	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/coordination/membership"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

func encodeHostUpdates(updates control.HostUpdates) *wirepb.Sightings {
	message := &wirepb.Sightings{}
	for _, update := range updates.Updates {
		message.Sightings = append(message.Sightings, &wirepb.Sighting{
			Host:        string(update.Host),
			Incarnation: update.Incarnation,
			Heartbeat:   update.Heartbeat,
			Phase:       uint32(update.Phase),
		})
	}
	return message
}

func decodeHostUpdates(message *wirepb.Sightings) (control.Message, error) {
	var updates control.HostUpdates
	for _, update := range message.GetSightings() {
		phase, err := decodePhase(update.GetPhase())
		if err != nil {
			return nil, err
		}
		updates.Updates = append(updates.Updates, control.HostUpdate{
			Host:        state.HostName(update.GetHost()),
			Incarnation: update.GetIncarnation(),
			Heartbeat:   update.GetHeartbeat(),
			Phase:       phase,
		})
	}
	return updates, nil
}

func encodeHostList(list control.HostList) *wirepb.HostList {
	return &wirepb.HostList{
		Version:    list.List.Version,
		Hosts:      encodeHosts(list.List.Hosts),
		Registered: encodeBackendServers(list.List.Registered),
	}
}

func decodeHostList(message *wirepb.HostList) (control.Message, error) {
	hosts, err := decodeHosts(message.GetHosts())
	if err != nil {
		return nil, err
	}
	return control.HostList{List: state.HostList{
		Version:    message.GetVersion(),
		Hosts:      hosts,
		Registered: decodeBackendServers(message.GetRegistered()),
	}}, nil
}

func encodeHostListChanges(message control.HostListChanges) *wirepb.HostListChanges {
	changes := message.Changes
	return &wirepb.HostListChanges{
		Base:    changes.Base,
		Version: changes.Version,
		Digest:  uint64(changes.Digest),
		Set:     encodeHosts(changes.Set),
		Remove:  toStrings(changes.Remove),

		SetRegistered:    encodeBackendServers(changes.SetRegistered),
		RemoveRegistered: toStrings(changes.RemoveRegistered),
	}
}

func decodeHostListChanges(message *wirepb.HostListChanges) (control.Message, error) {
	set, err := decodeHosts(message.GetSet())
	if err != nil {
		return nil, err
	}
	return control.HostListChanges{Changes: membership.Changes{
		Base:    message.GetBase(),
		Version: message.GetVersion(),
		Digest:  state.Digest(message.GetDigest()),
		Set:     set,
		Remove:  fromStrings[state.HostName](message.GetRemove()),

		SetRegistered:    decodeBackendServers(message.GetSetRegistered()),
		RemoveRegistered: fromStrings[state.BackendServerName](message.GetRemoveRegistered()),
	}}, nil
}

func encodeHosts(hosts []state.Host) []*wirepb.Host {
	encoded := make([]*wirepb.Host, 0, len(hosts))
	for _, host := range hosts {
		encoded = append(encoded, &wirepb.Host{
			Name:        string(host.Name),
			Zone:        string(host.Zone),
			Region:      string(host.Region),
			PeerAddress: host.PeerAddress,
			Phase:       uint32(host.Phase),
		})
	}
	return encoded
}

func decodeHosts(messages []*wirepb.Host) ([]state.Host, error) {
	var hosts []state.Host
	for _, message := range messages {
		phase, err := decodePhase(message.GetPhase())
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, state.Host{
			Name:        state.HostName(message.GetName()),
			Zone:        state.AvailabilityZone(message.GetZone()),
			Region:      state.Region(message.GetRegion()),
			PeerAddress: message.GetPeerAddress(),
			Phase:       phase,
		})
	}
	return hosts, nil
}
