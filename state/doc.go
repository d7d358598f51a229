// Package state is the lowest layer. It defines the immutable values that
// describe the configuration of the mesh, and the sharded stores that hold
// mutable state.
//
// Every store is divided into shards, each with its own lock. No lock is held
// during I/O or while another shard is accessed, with one exception: replacing
// the snapshot in a SnapshotStore locks all of its shards in index order.
package state
