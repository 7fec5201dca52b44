package edge

import (
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/quota"
	"cicadaslip/internal/retrybudget"
)

// Settings are the settings of the daemon on one VM.
type Settings struct {
	// VM is the name of the VM. It is unique in the deployment.
	VM string
	// IP is the address of the VM, without a port.
	IP string
	// DataCentre is the data centre of the VM.
	DataCentre string
	// Regions are the regions of the data centres, by the name of the data centre.
	Regions map[string]string
	// CallerAddress is the ip:port on which callers are served over HTTP.
	CallerAddress string
	// ReadyAddress is the ip:port on which the readiness check is served over HTTP.
	ReadyAddress string
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// PeerAddress is the ip:port on which other VMs are served over net/rpc.
	PeerAddress string
	// StoreAddress is the ip:port of the platform's store.
	StoreAddress string
	// MetricsPort is the port on which metrics are served over HTTP. No metrics are
	// served if it is 0.
	MetricsPort int
	// MemoryBytes is the memory that the process may use, in bytes. No memory limit is
	// set if it is 0.
	MemoryBytes int64
	// Descriptors is the number of file descriptors that the process may use. The connections
	// of callers follow from it. They have a default if it is 0.
	Descriptors int
	// Cores is the processor time that the process may use, in cores. VMs with more of it
	// are preferred as owners of groups. It is unknown if it is 0.
	Cores float64
	// Bootstrap is set if the whole deployment starts for the first time. Without it, and where
	// targets check no fences, this VM loads no adapters for 5.1 s after its start if the store
	// is in era 1, because the store may have lost the record of an owner.
	Bootstrap bool
	// ShutdownGrace is the time from SIGTERM until the process is killed.
	ShutdownGrace time.Duration
	// TargetDrainTime is the time after a target has announced that it leaves by which
	// every VM must have stopped sending new work to it.
	TargetDrainTime time.Duration
	// Lease is the time within which the ownership of a group must not change hands
	// between two VMs. The default of tenure applies if it is 0.
	Lease time.Duration
	// TargetsCheckFences is set if the targets refuse orders whose fencing token is lower
	// than one that they have seen.
	TargetsCheckFences bool
	// KeyConfirmation is the time after the last confirmation of the configuration from which
	// the VM accepts no keys of organisations, because they may have been withdrawn. It accepts
	// those of its configuration without a time limit if it is 0.
	KeyConfirmation time.Duration
	// HedgeLimit is the largest share of the requests to a service that may have a second
	// attempt beside the first one. If it is 0, fixed delays and the retry budget alone decide
	// on second attempts.
	HedgeLimit float64
	// Budget limits the retries of requests, per service.
	Budget retrybudget.Settings
	// GroupSettleTime is the time without new targets after which the number of groups
	// is decided. The default of groupserver applies if it is 0.
	GroupSettleTime time.Duration
	// Quota states by how much the usage of an organisation may exceed its limit.
	Quota quota.Bounds
	// DroppedLogLines returns the number of log lines dropped so far. It is nil if
	// dropped lines are not counted.
	DroppedLogLines func() int64
}

const (
	// smallVMCores is the processor time below which a VM is small. Others are preferred
	// as owners of groups.
	smallVMCores = 0.3
	// bootstrapListWait is how long small VMs wait, when the whole deployment starts, for
	// the owners to send them the deployment. Otherwise each would read it from the store.
	bootstrapListWait = 9 * time.Second
	// One in listingShare small VMs does not wait, in case that there are no others.
	listingShare = 8
)

// initialListWait returns how long this VM waits for the deployment from other VMs before
// it reads it from the store.
func (s *Settings) initialListWait() time.Duration {
	if !s.Bootstrap || s.Cores <= 0 || s.Cores >= smallVMCores || xxhash.Sum64String(s.VM)%listingShare == 0 {
		return 0
	}
	return bootstrapListWait
}

// Validate checks the settings. Its error lists every invalid setting.
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
			faults = append(faults, "the "+name+" is not an ip:port")
		}
	}
	if s.TargetDrainTime <= 2*relayMargin {
		faults = append(faults, "the drain time of leaving targets is missing or too short")
	}
	if s.ShutdownGrace <= 0 {
		faults = append(faults, "the grace period for shutdown is missing")
	}
	if !(s.HedgeLimit >= 0 && s.HedgeLimit <= 1) {
		faults = append(faults, "the limit of hedges is not a share from 0 to 1")
	}
	if s.Budget.Window <= 0 {
		faults = append(faults, "the window of the retry budget is missing")
	}
	if len(faults) > 0 {
		return errs.New(errs.InvalidSettings, "invalid settings of the VM").WithDetails(faults...)
	}
	return nil
}
