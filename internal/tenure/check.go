package tenure

import (
	"strconv"

	"cicadaslip/internal/errs"
)

const (
	// MaxEpoch is the largest integer that all readers of JSON represent exactly; epochs are
	// sent to targets as fencing tokens.
	MaxEpoch = 1<<53 - 1
	// maxOwnerBytes bounds the names of owners, which are kept and logged.
	maxOwnerBytes = 256
	// maxReadPast bounds the past owners in a record that was read, which other versions of the
	// program may have written.
	maxReadPast = 64
)

// Check returns why the record can't be one that an owner has written, nil if it can.
func (r *Record) Check() error {
	switch {
	case r.Epoch < 1 || r.Epoch > MaxEpoch:
		return errs.New(errs.InvalidMessage, "the record of a group has the epoch "+strconv.FormatInt(r.Epoch, 10))
	case r.Reliant < 0 || r.Reliant > MaxEpoch:
		return errs.New(errs.InvalidMessage, "the record of a group relies on the epoch "+strconv.FormatInt(r.Reliant, 10))
	case r.Owner == "" || len(r.Owner) > maxOwnerBytes || len(r.Address) > maxOwnerBytes:
		return errs.New(errs.InvalidMessage, "the record of a group has an invalid owner")
	case len(r.Past) > maxReadPast:
		return errs.New(errs.InvalidMessage, "the record of a group has "+strconv.Itoa(len(r.Past))+" past owners")
	}
	return nil
}
