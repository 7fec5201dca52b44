// Package config implements the declared configuration: the document, its
// strict decoding and validation, differences between documents, publication
// through the object API, and the follower that keeps a node's copy up to date.
//
// In the store, the configuration consists of one root object and
// content-addressed parts. The root contains the version number, the scalar
// values and the digests of the parts. The boundaries between parts depend on
// the keys of the entries, so that a small change rewrites few parts.
//
// Invariants: a configuration is accepted if and only if the conditional write
// of its root took effect; versions increase by one per accepted configuration;
// a follower applies only valid configurations of increasing version, whatever
// a stale read or a peer returns; a part in use is never deleted.
package config
