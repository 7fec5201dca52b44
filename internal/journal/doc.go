// Package journal records calls that must run at most once. Before a front end
// dispatches such a call, it claims the call's key; afterwards it records the
// outcome, or releases the key if the call was certainly not sent.
//
// Keys are distributed over a fixed number of shards by their hash. A shard's
// journal is a sequence of objects in the platform's store, one per batch of
// records, each created only if its position is free. Compaction replaces the
// positions up to the floor by a snapshot. The shard's owner decides claims from
// an index that is a pure function of the records up to a position.
//
// Invariant: a claim is answered as granted only when its batch is certainly in
// the store and above the floor, and a granted key is never granted to another
// claim id unless the first one released it, or the retention of its outcome has
// ended.
package journal
