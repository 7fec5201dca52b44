// Package edge is the daemon of one entry VM on a platform whose store tells the
// configuration and the targets. It wires the front end, the owners of target
// groups, the view of the deployment and the calls between VMs, and takes the VM
// out of service.
//
// Nothing durable is kept here. What lasts is in the platform's store.
package edge
