// Package cleanup deletes objects of the store that are no longer needed: the
// registrations of VMs that are gone, and the usage documents of incarnations
// that are gone, whose counters are first moved into one roll-up per VM name
// (account.Rollup). One VM at a time is responsible for the clean-up. Two VMs
// that both consider themselves responsible do no harm: every write and
// deletion is conditional on the version that was read, and every step can be
// repeated.
package cleanup
