package edge

import (
	"net"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/retrybudget"
)

// Settings are those of one VM.
type Settings struct {
	VM            string            // name, unique over the deployment
	IP            string            // address of the VM
	DataCentre    string            // of this VM
	Regions       map[string]string // of the data centres
	CallerAddress string            // HTTP for callers, ip:port
	ReadyAddress  string            // HTTP for the readiness check, ip:port
	ReadyPath     string
	PeerAddress   string // net/rpc for other VMs, ip:port
	StoreAddress  string
	MetricsPort   int           // 0: no metrics are served
	MemoryBytes   int64         // that the process may use
	Grace         time.Duration // from SIGTERM to the end
	TargetDrain   time.Duration // in which new work on a leaving target must end
	Lease         time.Duration // in which two owners of a group must not take turns
	Budget        retrybudget.Settings
	Settle        time.Duration // without new targets before the number of groups is decided, 0: the default
	LogDropped    func() int64  // lines of the log dropped so far, nil if not counted
}

// Validate checks the settings and names every fault.
func (s *Settings) Validate() error {
	var faults []string
	for name, value := range map[string]string{
		"VM name": s.VM, "data centre": s.DataCentre, "ready path": s.ReadyPath,
	} {
		if value == "" {
			faults = append(faults, "the "+name+" is missing")
		}
	}
	for name, address := range map[string]string{
		"callers' address": s.CallerAddress, "ready address": s.ReadyAddress,
		"peer address": s.PeerAddress, "store address": s.StoreAddress,
	} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			faults = append(faults, "the "+name+" is no ip:port")
		}
	}
	if s.TargetDrain <= 2*relayTime {
		faults = append(faults, "the time for leaving targets is missing or too short")
	}
	if s.Grace <= 0 {
		faults = append(faults, "the time for a shutdown is missing")
	}
	if s.Budget.Window <= 0 {
		faults = append(faults, "the window of the retry budget is missing")
	}
	if len(faults) > 0 {
		return errs.New(errs.InvalidSettings, "invalid settings of the VM").WithDetails(faults...)
	}
	return nil
}
