package peerwire

import (
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

// Encoder encodes messages and caches the encoded form of the latest snapshot,
// so that a thundering herd of joining nodes costs a single encoding. The zero
// value is ready to use. An Encoder is safe for concurrent use.
type Encoder struct {
	mu       sync.Mutex
	snapshot *state.Snapshot
	encoded  *wirepb.Snapshot
}

func (e *Encoder) encodeSnapshot(message control.Snapshot) (*wirepb.Snapshot, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.snapshot == message.Snapshot && e.encoded != nil {
		return e.encoded, nil
	}
	resources, err := proto.Marshal(encodeResources(message.Snapshot.Resources()))
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot resources")
	}
	version := message.Snapshot.Version()
	version.Digest = message.Digest
	e.snapshot = message.Snapshot
	e.encoded = &wirepb.Snapshot{Head: encodeVersion(version), Resources: resources}
	return e.encoded, nil
}

func decodeSnapshot(message *wirepb.Snapshot) (control.Message, error) {
	var encoded wirepb.Resources
	if err := proto.Unmarshal(message.GetResources(), &encoded); err != nil {
		return nil, malformed("decode snapshot resources: %v", err)
	}
	resources, err := decodeResources(&encoded)
	if err != nil {
		return nil, err
	}
	version := decodeVersion(message.GetHead())
	builder := state.NewSnapshotBuilder(nil)
	builder.Set(resources)
	return control.Snapshot{Snapshot: builder.Build(version.Evaluated, version.Accepted), Digest: version.Digest}, nil
}
