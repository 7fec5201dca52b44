// Package journal records calls that must run at most once. Keys are hashed
// over a fixed number of shards. A shard's journal is a sequence of objects in
// the platform's store, one per batch of records, each created only if its
// position is free. The shard's owner decides about claims from an index that is
// a pure function of the records up to a position.
//
// Invariant: a claim is answered as granted only when its batch is certainly in
// the store and above the floor, and a granted key is never granted to another
// claim id unless the first one released it.
package journal
