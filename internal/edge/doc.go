// Package edge is the daemon of one entry VM on a platform that publishes the
// configuration and the targets in its object store. It connects the front end, the
// owners of target groups, this VM's view of the deployment and the calls between VMs,
// and takes the VM out of service at the end.
//
// The daemon keeps no durable state of its own: all durable state is in the platform's
// store.
package edge
