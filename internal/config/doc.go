// Package config holds the declared configuration: its document, strict
// decoding, validation, differences, publication through the object API, and
// the follower that keeps a node's copy up to date.
//
// In the store the configuration is one root object and content-addressed
// parts. The root holds the version number, the scalar values and the digests
// of the parts. Parts are cut at positions that depend on the names of the
// entries, so that a small change touches few parts.
//
// Invariants: a configuration is accepted if and only if the conditional write
// of its root took effect; versions rise by one per accepted configuration; a
// follower applies only valid configurations of increasing version, whatever a
// stale read or a peer returns; a part in use is never deleted.
package config
