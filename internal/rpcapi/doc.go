// Package rpcapi holds the request and reply types of the calls between the
// system's processes. They cross net/rpc in gob encoding. A reply carries a
// typed error in its Err field, because net/rpc transports only error strings.
package rpcapi
