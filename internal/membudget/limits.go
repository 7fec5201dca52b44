package membudget

const (
	// ConnectionBytes is what a connection costs by itself: the read buffer of the HTTP server,
	// which holds a head, its write buffer, the first part of a body, and the stacks of its
	// goroutines.
	ConnectionBytes = 64 << 10
	// SmallBytes is what an account may hold of the part that is kept for small requests.
	SmallBytes = 64 << 10
	// minTotal is enough for one body and one answer of the largest size. A process with less
	// memory than that needs could serve no such request at all.
	minTotal = 24 << 20
)

// Shares of a VM's memory and of the budget. The heap grows to 1.75 times the live data before
// it is collected, and the process needs about 30 MB for other data, its code and its stacks, so
// three tenths of 144 MB leave the process within them.
const (
	totalShare      = 0.3
	smallShare      = 0.125
	connectionShare = 0.5
	oneShare        = 0.75
	addressShare    = 0.875
)

// Limits are the bounds of a Budget, in bytes.
type Limits struct {
	Total       int64 // of everything that is held
	Small       int64 // part of Total that only small requests get
	Connections int64 // most that connections cost by themselves
	One         int64 // most that one connection holds besides that
	Address     int64 // likewise all connections of one address, apart from small requests
}

// ForMemory returns the limits for the memory of a VM.
func ForMemory(bytes int64) Limits {
	total := max(minTotal, int64(totalShare*float64(bytes)))
	part := func(of int64, share float64) int64 { return int64(share * float64(of)) }
	small := part(total, smallShare)
	return Limits{
		Total: total, Small: small, Connections: part(total, connectionShare),
		One: part(total-small, oneShare), Address: part(total-small, addressShare),
	}
}

const (
	// TargetConnectionBytes is what a connection to a target costs by itself: the buffers for the
	// request and the answer, and the stacks of its goroutines. About 21 KB were measured for one with
	// a request of 8 KiB.
	TargetConnectionBytes = 32 << 10
	// targetConnectionShare is the share of a VM's memory for the connections to targets, apart from the
	// budget. On 144 MB it allows 263, of which 198 are for requests. The engines of the larger
	// deployment take 95 requests for each VM.
	targetConnectionShare = 0.06
	// keptShare is the share of the connections to targets that may be kept open for orders.
	keptShare = 0.25
)

// TargetConnections returns how many connections to targets may be open on a VM for requests, and how
// many may be kept for orders, by its memory and its descriptors, of which either is unknown if it is 0.
// Both are 0 if there is no limit.
func TargetConnections(memory int64, descriptors int) (requests, kept int) {
	limit := 0
	if descriptors > 0 {
		limit = Connections(descriptors)
	}
	if byMemory := int(targetConnectionShare * float64(memory) / TargetConnectionBytes); memory > 0 && (limit == 0 || byMemory < limit) {
		limit = max(minTargetConnections, byMemory)
	}
	kept = int(keptShare * float64(limit))
	return limit - kept, kept
}

const (
	// minTargetConnections is for VMs with less memory than any of the deployments.
	minTargetConnections = 16
	// fileDescriptors is the number of descriptors of a VM that are for files.
	fileDescriptors = 200
	// ownShare is the share of the other descriptors for the connections between VMs, to the
	// store and to the operator's tools.
	ownShare = 0.125
)

// Connections returns how many connections of callers, and as many to targets, fit into the
// descriptors of a VM.
func Connections(descriptors int) int {
	return max(1, int((1-ownShare)*float64(descriptors-fileDescriptors))/2)
}
