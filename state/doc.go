// Package state is the lowest layer: the immutable values that describe the
// configuration of the mesh, and the sharded stores that hold what changes.
//
// Every store is cut into shards and each shard has its own lock. No lock is
// held over I/O or while another shard is called, with one exception: a swap
// of the configuration locks all shards of a SnapshotStore in index order.
package state
