// Package quarantine finds parts of prompts that crash the targets that process them, and
// tells which requests must therefore be kept from targets.
//
// Each VM has a Table. A front end observes a crash when a target breaks off a request
// that had made no progress there, and then accepts no connection. All requests that were
// in the same state on the target are observed, so that most parts in the observations are
// sound: a part is cleared of all earlier observations when a request with it makes
// progress anywhere. A part that stays in several crashes, with different requests, is
// quarantined.
//
// VMs exchange what they have observed. Every fact has an identity, so that the order and
// the number of the exchanges do not matter.
package quarantine
