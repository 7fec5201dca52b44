// Package cleanup deletes objects of the store that nobody needs any more: the
// registrations of VMs that are gone, and the usage documents of gone
// incarnations, whose counters are first moved into one roll-up per VM name
// (account.Rollup). One VM has the duty. Two that believe to have it do no harm:
// every write and deletion is conditional on the version that was read, and every
// step can be repeated.
package cleanup
