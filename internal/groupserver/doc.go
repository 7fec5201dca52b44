// Package groupserver runs the decision cores of the target groups that this VM
// owns: it takes groups over, answers front ends, and sends the orders.
//
// Locks: Manager.mu may be held when group.mu is taken, not the other way round.
package groupserver
