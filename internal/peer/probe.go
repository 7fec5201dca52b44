package peer

// Names of the net/rpc service and method that a Client calls to check that a
// connection works.
const (
	probeService = "Probe"
	probeMethod  = "Probe.Answer"
)

// probeResponder is the net/rpc service that answers probes.
type probeResponder struct{}

// Answer does nothing. Its reply shows that the connection works.
func (*probeResponder) Answer(_ struct{}, _ *struct{}) error { return nil }
