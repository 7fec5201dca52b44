package fleet

import (
	"net/netip"
	"strconv"
	"time"

	"cicadaslip/internal/errs"
)

// Bounds of what targets, other VMs and the operator may state.
const (
	// MaxSlots is more than any engine batches. Requests go by free slots, so a target that
	// claims more would get nearly all.
	MaxSlots = 1 << 16
	// MaxSequence is a description each millisecond for 34 years. Descriptions with a lower
	// number than the last one count as old.
	MaxSequence = 1 << 40
	// MaxStartAhead is more than the difference between the clocks of two machines.
	// Descriptions of an earlier start than the last one count as old.
	MaxStartAhead = 24 * time.Hour
	// MaxDuration bounds stated times, so that sums and products of them do not overflow.
	MaxDuration = 24 * time.Hour
	// MaxCount bounds other counts, so that sums and products of them do not overflow.
	MaxCount = 1 << 30
	// MaxVersion is the largest integer that all readers of JSON represent exactly.
	MaxVersion = 1<<53 - 1
	// MaxNameBytes bounds names, which are kept and logged; those of the platform are short.
	MaxNameBytes = 256
)

// ValidName reports whether a name can be a field value in a head and be kept.
func ValidName(name string) bool {
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return false
		}
	}
	return name != "" && len(name) <= MaxNameBytes
}

// Check returns why the target can't be used, nil if it can. The caller passes in the time.
func (t *Target) Check(now time.Time) error {
	switch {
	case !ValidName(t.ID):
		return invalidTarget(t.ID, "name")
	case !ValidName(t.Service):
		return invalidTarget(t.ID, "service")
	case !ValidName(t.DataCentre):
		return invalidTarget(t.ID, "data centre")
	case t.Slots < 1 || t.Slots > MaxSlots:
		return invalidTarget(t.ID, "number of slots, "+strconv.Itoa(t.Slots))
	case t.Born < 0 || t.Born > now.Add(MaxStartAhead).UnixMilli():
		return invalidTarget(t.ID, "start, "+strconv.FormatInt(t.Born, 10))
	case t.Sequence < 0 || t.Sequence > MaxSequence:
		return invalidTarget(t.ID, "sequence, "+strconv.FormatInt(t.Sequence, 10))
	case t.Remaining < 0 || t.Remaining > MaxDuration:
		return invalidTarget(t.ID, "remaining time, "+t.Remaining.String())
	}
	if address, err := netip.ParseAddrPort(t.Address); err != nil || !usableAddress(address) {
		return invalidTarget(t.ID, "address, "+strconv.Quote(t.Address))
	}
	for i := range t.Models {
		if !t.Models[i].valid() {
			return invalidTarget(t.ID, "base model, "+strconv.Quote(t.Models[i].Name))
		}
	}
	for _, model := range t.OnDisk {
		if !ValidName(model) {
			return invalidTarget(t.ID, "base model on disk, "+strconv.Quote(model))
		}
	}
	return nil
}

func invalidTarget(id, what string) error {
	return errs.New(errs.InvalidMessage, "the description of target "+strconv.Quote(id)+" has an invalid "+what)
}

// usableAddress reports whether connections can be made to an address from another machine.
func usableAddress(address netip.AddrPort) bool {
	ip := address.Addr()
	return address.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == ""
}

func (m *ResidentModel) valid() bool {
	for _, a := range m.Adapters {
		if !a.Valid() {
			return false
		}
	}
	return ValidName(m.Name) && ValidVersion(m.Version)
}

// Valid reports whether the adapter has a name and a possible version.
func (a ResidentAdapter) Valid() bool { return ValidName(a.Name) && ValidVersion(a.Version) }

// ValidVersion reports whether a number can be a version of a model or adapter, or 0 for an
// unknown one.
func ValidVersion(version int64) bool { return version >= 0 && version <= MaxVersion }
