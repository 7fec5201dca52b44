// Package rpcapi defines the request and reply types of the calls between the
// processes of the system. They are sent by net/rpc in gob encoding, so the names
// of their exported fields are part of the wire format. A reply carries a typed
// error in its Err field, because net/rpc transports errors only as strings. A
// nil Err means that the call succeeded.
package rpcapi
