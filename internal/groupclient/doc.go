// Package groupclient gets targets for this VM's requests from the owners of the
// target groups. It keeps a recent view of where adapters are resident in each group,
// so that requests for resident adapters are served while the group has no reachable
// owner.
package groupclient
