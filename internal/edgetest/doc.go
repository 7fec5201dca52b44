// Package edgetest tests entry VMs on loopback against stand-ins of the users'
// platform: real sockets, real time, no bench. Each test names the promise it
// guards.
package edgetest
