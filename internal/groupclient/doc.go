// Package groupclient gets targets for this VM's requests from the owners of the
// target groups. It keeps a recent view of the groups, so that requests for
// resident adapters are served while a group has no owner that can be reached.
package groupclient
