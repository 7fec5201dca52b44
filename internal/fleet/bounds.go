package fleet

import (
	"net/netip"
	"strconv"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
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
	case !ValidStart(t.Born, now):
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

// ValidStart reports whether a number can be the start of a target in Unix milliseconds, or 0 for
// an unknown one.
func ValidStart(born int64, now time.Time) bool {
	return born >= 0 && born <= now.Add(MaxStartAhead).UnixMilli()
}

// CheckRows returns the rows that another VM, which knows all changes up to a position, has sent as
// they can be used, and why others can't. A target that can't be used is missing, as if its
// description were read here.
func CheckRows(now time.Time, asOf objectstore.Position, rows []Row) (usable []Row, ignored []error) {
	for _, row := range rows {
		if !ValidName(row.Target.ID) || row.Revision < 0 || row.Revision.Era() > asOf.Era() {
			ignored = append(ignored, invalidTarget(row.Target.ID, "name or revision, "+strconv.FormatInt(int64(row.Revision), 10)))
			continue
		}
		row.Kept = max(0, min(row.Kept, reregistrationGrace))
		if !row.Missing || row.Kept > 0 {
			if err := row.Target.Check(now); err != nil {
				ignored = append(ignored, err)
				row.Missing, row.Kept, row.Target = true, 0, Target{ID: row.Target.ID}
			}
		}
		usable = append(usable, row)
	}
	return usable, ignored
}
