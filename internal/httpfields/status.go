package httpfields

// Range of the statuses of final answers.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// FinalStatus reports whether a status is that of a final answer. The HTTP library reads
// interim answers over, except for 101, which no request here asks for.
func FinalStatus(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }
