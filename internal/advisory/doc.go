// Package advisory keeps what targets state about themselves in the heads of their answers:
// that they leave, that they want no requests from this VM for a while, and how many requests
// they take. It reads no clock: callers pass in the time.
//
// Each statement belongs to one incarnation of a target and ends with it. Leaving concerns all
// VMs, which exchange it (Delta); a pause binds only the VM that was told; a rate limit is
// divided among the VMs (package ratelimit).
package advisory
