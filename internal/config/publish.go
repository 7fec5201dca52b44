package config

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

const (
	// writeAttempts bounds the repeats of one write and of one read-back.
	writeAttempts = 6
	// firstPause is the pause before the first repeat; it doubles each time, so
	// all repeats of one write take up to 1.6 s.
	firstPause = 50 * time.Millisecond
	// maxConflictDetails bounds the differences in the details of a conflict.
	maxConflictDetails = 100
)

// Result says what Publish did.
type Result struct {
	Version     uint64       `json:"version"`
	Revision    int64        `json:"revision"` // of the store, at which the version can be read
	Differences []Difference `json:"differences"`
}

// Publish makes a document the accepted configuration if the accepted version
// is still baseVersion (0: none yet). Every error but errs.StoreAmbiguous means
// that the document was not accepted and will not be: errs.InvalidConfig with
// all faults, errs.Conflict with the differences between the newer accepted
// document and this one in Details when another operator was first,
// errs.StoreStale when the read root is older than baseVersion, and those of
// objectstore.Store.
func Publish(ctx context.Context, store objectstore.Store, document *Document, baseVersion uint64) (Result, error) {
	return Publisher{Store: store, Pause: pause}.Publish(ctx, document, baseVersion)
}

// Publisher publishes documents.
type Publisher struct {
	Store objectstore.Store
	// Pause waits before a repeat (from 1) and returns an error when ctx ended.
	Pause func(ctx context.Context, repeat int) error
}

func pause(ctx context.Context, repeat int) error {
	timer := time.NewTimer(firstPause << (repeat - 1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.Cancelled, "publication was given up")
	}
}

// Publish is as the function Publish.
func (p Publisher) Publish(ctx context.Context, document *Document, baseVersion uint64) (Result, error) {
	d := document.Normalised()
	if err := d.Validate(); err != nil {
		return Result{}, err
	}
	parts, err := split(d)
	if err != nil {
		return Result{}, err
	}
	old, _, err := readRoot(ctx, p.Store, 0)
	if err != nil {
		return Result{}, err
	}
	switch {
	case old.version() < baseVersion:
		return Result{}, errs.New(errs.StoreStale, fmt.Sprintf("version %d was read, the base is %d", old.version(), baseVersion))
	case old.version() > baseVersion:
		return Result{}, p.conflict(ctx, old, d, baseVersion)
	}
	differences, err := p.compare(ctx, old, d)
	if err != nil {
		return Result{}, err
	}
	return p.accept(ctx, old, d, parts, differences)
}

// compare returns the differences to the accepted document and refuses a
// change that would break at-most-once calls: a key that moves to another shard
// is no longer found there.
func (p Publisher) compare(ctx context.Context, old *storedRoot, d *Document) ([]Difference, error) {
	if old == nil {
		return Diff(nil, d), nil
	}
	if old.JournalShards != d.JournalShards {
		detail := fmt.Sprintf("journal_shards: %d is refused; allowed: %d, it cannot change", d.JournalShards, old.JournalShards)
		return nil, errs.New(errs.InvalidConfig, "1 fault in the configuration").WithDetails(detail)
	}
	snapshot, err := old.load(ctx, p.Store)
	if err != nil {
		return nil, err
	}
	return Diff(snapshot.Document, d), nil
}

func (p Publisher) accept(ctx context.Context, old *storedRoot, d *Document, parts []encodedPart, differences []Difference) (Result, error) {
	if err := p.writeParts(ctx, old, parts); err != nil {
		return Result{}, err
	}
	r := next(old, d, parts, rand.Text())
	expired := p.expire(ctx, old, &r)
	revision, err := p.writeRoot(ctx, old, &r, d)
	if err != nil {
		return Result{}, err
	}
	p.prune(ctx, expired)
	return Result{Version: r.Version, Revision: revision, Differences: differences}, nil
}

// writeParts makes sure that all parts exist. The base's own parts do.
func (p Publisher) writeParts(ctx context.Context, old *storedRoot, parts []encodedPart) error {
	present := map[string]bool{}
	if old != nil {
		for _, digest := range old.Parts {
			present[digest] = true
		}
	}
	for _, part := range parts {
		if present[part.digest] {
			continue
		}
		if err := p.writePart(ctx, part); err != nil {
			return err
		}
	}
	return nil
}

// writePart creates a part or, when it exists, raises its object's version, so
// that a conditional delete by another operator's pruning fails. A part whose
// write is ambiguous is written again: its content cannot differ.
func (p Publisher) writePart(ctx context.Context, part encodedPart) error {
	key := partPrefix + part.digest
	var err error
	for attempt := range writeAttempts {
		if attempt > 0 {
			if err := p.Pause(ctx, attempt); err != nil {
				return err
			}
		}
		if _, err = p.Store.Create(ctx, key, part.data); err == nil {
			return nil
		}
		if errs.Is(err, errs.Conflict) {
			err = p.touch(ctx, key, part.data)
		}
		if err == nil || errs.Is(err, errs.TooLarge) {
			return err
		}
	}
	return errs.Wrap(err, errs.StoreUnavailable, "a part of the configuration cannot be written; it is not accepted")
}

func (p Publisher) touch(ctx context.Context, key string, data []byte) error {
	object, err := p.Store.Get(ctx, key, 0)
	if err != nil {
		return err
	}
	_, err = p.Store.Update(ctx, key, data, object.Version)
	return err
}
