package quarantine

import "time"

const (
	// minCrashes is the number of crashes that quarantine a part with which no request is
	// known to have made progress, and minCrashesAfterProgress that of any other part.
	minCrashes              = 3
	minCrashesAfterProgress = 5
	// minRequests is the number of different requests in them. Repeats of one request
	// crash several targets without a shared part being the cause.
	minRequests = 2
	// crashSeparation is the least time between two crashes that count as two. Targets
	// that fail together, such as those of one rack, count once.
	crashSeparation = 100 * time.Millisecond
	// settleTime is the time from the first of these crashes in which other VMs can report
	// progress of the part.
	settleTime = 500 * time.Millisecond
	// suspectCrashes is the number of crashes from which a request with the part is not
	// repeated at a further target.
	suspectCrashes = 2
	// Duration is how long a part is quarantined. Then its evidence starts anew, because
	// the targets may have been repaired.
	Duration = 10 * time.Minute
	// maxObservations, maxObservedParts, maxParts and maxRecent bound the memory of a table, and the time
	// that it takes to judge.
	maxObservations  = 256
	maxObservedParts = 4096
	maxParts         = 1024
	maxRecent        = 2048
	// maxBreakParts is the number of parts of a prompt that are observed. Of more, the last ones are:
	// fewer requests share them. Front ends join the parts of long prompts, and name fewer.
	maxBreakParts = 256
	// maxIDBytes limits the IDs of parts and requests. Front ends use shorter ones.
	maxIDBytes = 64
)

// Part identifies a part of the prompts of a service.
type Part struct {
	Service string
	ID      string
}

// Break is a request that had made no progress on its target when the target crashed.
type Break struct {
	Service string
	Crash   string   // identifies the crashed process
	Parts   []string // shared parts of the prompt, in its order
	Request string   // equal for repeats of the same request
}

// Observation is a Break as one VM has seen it. VMs send it to each other with gob, so its
// field names are part of the protocol, like those of all types of Delta.
type Observation struct {
	Origin string // the VM, and its process
	Number uint64 // unique at the origin
	Break  Break
	Age    time.Duration // when it was sent
}

// Progress tells that requests with a part have made progress.
type Progress struct {
	Part   Part
	Origin string        // the VM, and its process
	Count  uint64        // increases with each report of the origin
	Age    time.Duration // of the newest progress, when it was sent
}

// Quarantined is a part that is kept from targets.
type Quarantined struct {
	Part  Part
	Since int64 // Unix time in milliseconds
}

// Delta holds what a table has learned after a version of it.
type Delta struct {
	Version      uint64 // of the sender's table
	Observations []Observation
	Progress     []Progress
	Quarantined  []Quarantined
}

// Change is a part that was quarantined or released.
type Change struct {
	Part    Part
	Blocked bool
	Crashes int    // in the observations of this VM, 0 if it has learned of the quarantine otherwise
	Request string // of the newest observation
}
