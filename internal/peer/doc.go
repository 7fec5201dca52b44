// Package peer carries authenticated RPC calls and heartbeats between the
// system's processes.
//
// Calls use net/rpc over mutual TLS 1.3. Every process derives the same
// ed25519 key from the cluster secret and accepts only a peer that proves
// possession of that key. A connection can stop delivering data permanently
// while new connections to the same peer work, so a Client probes its
// connections and replaces one that does not answer. Every call and every reply
// carries a timeline stamp. A client and a server without credentials use plain
// TCP instead.
//
// Heartbeats are UDP datagrams received with gnet. A datagram consists of an
// HMAC-SHA256 followed by one rpcapi.Digest in msgpack. A datagram that is
// forged, meant for another VM, replayed or reordered is dropped and counted.
//
// Constants in this package limit the size of a message, the number of
// connections and of concurrent handshakes, the number of concurrent calls and
// of gob type definitions per connection, and the number of heartbeat senders
// that are remembered.
package peer
