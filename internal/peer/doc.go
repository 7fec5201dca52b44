// Package peer is the authenticated plane between the system's processes.
//
// Calls use net/rpc over mutual TLS 1.3. Every process derives the same
// ed25519 key from the cluster secret and accepts only a peer that proves
// possession of that key. A connection can go silent for ever while new ones
// work, so a Client probes its connections and replaces one that does not
// answer. Every call and every reply carry a timeline stamp.
//
// Heartbeats are UDP datagrams received with gnet. One datagram holds one
// rpcapi.Digest in msgpack behind an HMAC-SHA256. A datagram that is forged,
// meant for another VM, replayed or reordered is dropped and counted.
//
// Bounds: the size of a message, the number of connections, of handshakes, of
// concurrent calls and of type definitions per connection, and the number of
// heartbeat senders are limited by the constants in this package.
package peer
