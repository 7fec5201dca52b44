package objectstore

import (
	"strconv"

	"cicadaslip/internal/errs"
)

const (
	// revisionBits is the number of bits of a Position that hold the revision: at 1,000
	// writes per second it lasts for 34 years.
	revisionBits = 40
	// MaxRevision is the largest revision that a Position can hold.
	MaxRevision = 1<<revisionBits - 1
	// FirstEra is the lowest era that a store may state, and the era of one that states none.
	FirstEra = 0
	// LastInitialEra is the highest era that a store may state that was never restored from a
	// copy: stores count their eras from 0 or from 1.
	LastInitialEra = 1
	// MaxEra is the largest era that a Position can hold.
	MaxEra = FirstEra + 1<<(63-revisionBits) - 1
)

// Position is a point in the history of the store: a revision, and the era of the store in
// which it was given out. A store that is restored from a copy begins a new era and gives
// the revisions after the copy out again, so revisions of two eras have no order by
// themselves. Positions are ordered by era first, and may be compared with the operators of
// Go. The zero Position precedes all others.
type Position int64

// NewPosition returns the position of a revision in an era.
func NewPosition(era, revision int64) (Position, error) {
	if era < FirstEra || era > MaxEra || revision < 0 || revision > MaxRevision {
		return 0, errs.New(errs.InvalidMessage, "era "+strconv.FormatInt(era, 10)+" or revision "+strconv.FormatInt(revision, 10)+" is out of range")
	}
	return Position((era-FirstEra)<<revisionBits | revision), nil
}

// Era returns the era of the store.
func (p Position) Era() int64 { return int64(p)>>revisionBits + FirstEra }

// Revision returns the revision, which is only meaningful in the position's era.
func (p Position) Revision() int64 { return int64(p) & MaxRevision }

// Position returns the position of the last write of the object.
func (o *Object) Position() Position { return Position(o.Revision) }

// Position returns the position at which the page was read.
func (p *Page) Position() Position { return Position(p.Revision) }

// Position returns the position up to which all changes are included.
func (c *Changes) Position() Position { return Position(c.Revision) }

// Restorable is implemented by stores that report that they were restored from a copy.
type Restorable interface {
	// OnRestore sets a function that is called with the era before and the era after each
	// restore, once an answer of the store shows it. It must be set before the first call.
	OnRestore(f func(from, to int64))
}
