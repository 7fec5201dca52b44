// Package ratelimit keeps the requests to a target within the rate that the target names.
// It reads no clock: callers pass in the time.
//
// A target names one rate for the requests of all VMs together. The owner of a target group,
// which grants all requests to the group's engines, applies it as a whole (Bucket). Where
// each VM chooses targets by itself, the rate is divided among a few VMs (Table).
package ratelimit
