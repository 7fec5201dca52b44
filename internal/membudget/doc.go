// Package membudget accounts for the memory that is held for callers and targets: connections
// with the heads of their messages, bodies that are being read, and answers that have not been
// read. Memory is reserved before it is taken.
//
// One budget follows from the memory of the VM. A part of it is kept for small requests, and one
// connection, and all connections of one address, each get a bounded part of the rest. When
// memory is short, reservations wait, and the account that has held the most for the longest time
// while its peer was slow is cut off.
package membudget
