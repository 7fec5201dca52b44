// Package delivery bounds when bytes that were written to a TCP connection can still arrive.
// By default the operating system goes on delivering them after the connection was closed and
// after the process has ended, for as long as it takes until the path to the peer is back.
package delivery
