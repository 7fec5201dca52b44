package peer

const (
	probeService = "Probe"
	probeMethod  = "Probe.Answer"
)

// prober answers probes.
type prober struct{}

// Answer does nothing: the reply shows that the connection works.
func (*prober) Answer(_ struct{}, _ *struct{}) error { return nil }
