// Package soak runs entry VMs as separate processes against stand-ins of the users'
// platform, and injects faults from outside: signals that stop, pause, kill and
// restart processes, a loopback proxy that delays, resets, silences and cuts the
// connections to the store, and stand-ins that misbehave. A checker reads only what
// callers and targets see. The schedule of a run follows from its seed.
package soak
