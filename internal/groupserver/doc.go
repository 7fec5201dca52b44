// Package groupserver manages the target groups that this VM owns. It takes groups
// over, runs the placement core of each owned group, replies to the front ends and
// sends orders to the targets.
//
// Lock order: group.mu may be locked while Manager.mu is held, but not the reverse.
package groupserver
