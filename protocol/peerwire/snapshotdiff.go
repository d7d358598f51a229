package peerwire

import (
	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

func encodeSnapshotDiff(diff state.SnapshotDiff) *wirepb.SnapshotDiff {
	return &wirepb.SnapshotDiff{
		Base:   uint64(diff.Base),
		Head:   encodeVersion(diff.Version),
		Set:    encodeResources(diff.Set),
		Remove: encodeRemovals(diff.Remove),
	}
}

func decodeSnapshotDiff(message *wirepb.SnapshotDiff) (control.Message, error) {
	set, err := decodeResources(message.GetSet())
	if err != nil {
		return nil, err
	}
	return control.SnapshotDiff{Diff: state.SnapshotDiff{
		Base:    state.TicketNumber(message.GetBase()),
		Version: decodeVersion(message.GetHead()),
		Set:     set,
		Remove:  decodeRemovals(message.GetRemove()),
	}}, nil
}
