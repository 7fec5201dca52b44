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
	// maxWriteAttempts limits the attempts of one write and of one read-back.
	maxWriteAttempts = 6
	// initialBackoff is the wait before the first retry. It doubles with each
	// retry, so that all retries of one write take up to 1.6 s.
	initialBackoff = 50 * time.Millisecond
	// maxConflictDetails limits the differences that the details of a conflict
	// list.
	maxConflictDetails = 100
)

// Result describes an accepted publication.
type Result struct {
	Version     uint64       `json:"version"`
	Revision    int64        `json:"revision"` // store revision at which the version can be read
	Differences []Difference `json:"differences"`
}

// Publish makes a document the accepted configuration if the accepted version
// is still baseVersion (0 if none has been published). Every error except
// errs.StoreAmbiguous means that the document was not accepted and will not be.
// It returns errs.InvalidConfig with all validation errors; errs.Conflict if
// another operator published first, with the differences between the newer
// accepted document and this one in Details; errs.StoreStale if the root that
// was read is older than baseVersion; and the errors of objectstore.Store.
func Publish(ctx context.Context, store objectstore.Store, document *Document, baseVersion uint64) (Result, error) {
	return Publisher{Store: store, Backoff: backoff}.Publish(ctx, document, baseVersion)
}

// Publisher publishes documents to a store.
type Publisher struct {
	Store objectstore.Store
	// Backoff waits before a retry, which is numbered from 1, and returns an
	// error if ctx ends first.
	Backoff func(ctx context.Context, retry int) error
}

// backoff waits before a retry, with a duration that doubles with each retry.
func backoff(ctx context.Context, retry int) error {
	timer := time.NewTimer(initialBackoff << (retry - 1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.Cancelled, "publication cancelled while waiting to retry")
	}
}

// Publish publishes a document as described at the function Publish.
func (p Publisher) Publish(ctx context.Context, document *Document, baseVersion uint64) (Result, error) {
	d := document.Normalised()
	if err := d.Validate(); err != nil {
		return Result{}, err
	}
	parts, err := splitDocument(d)
	if err != nil {
		return Result{}, err
	}
	old, _, err := readRoot(ctx, p.Store, 0)
	if err != nil {
		return Result{}, err
	}
	switch {
	case old.version() < baseVersion:
		return Result{}, errs.New(errs.StoreStale, fmt.Sprintf("the store returned version %d, which is older than base version %d", old.version(), baseVersion))
	case old.version() > baseVersion:
		return Result{}, p.conflictError(ctx, old, d, baseVersion)
	}
	differences, err := p.diffWithAccepted(ctx, old, d)
	if err != nil {
		return Result{}, err
	}
	return p.commit(ctx, old, d, parts, differences)
}

// diffWithAccepted returns the differences between the accepted document and d.
// It rejects a change of the number of journal shards, which would break
// at-most-once calls: a key that moves to another shard is no longer found
// there.
func (p Publisher) diffWithAccepted(ctx context.Context, old *storedRoot, d *Document) ([]Difference, error) {
	if old == nil {
		return Diff(nil, d), nil
	}
	if old.JournalShards != d.JournalShards {
		detail := fmt.Sprintf("journal_shards: %d is refused; allowed: %d, because the value cannot change after the first publication", d.JournalShards, old.JournalShards)
		return nil, errs.New(errs.InvalidConfig, "1 fault in the configuration").WithDetails(detail)
	}
	snapshot, err := old.load(ctx, p.Store)
	if err != nil {
		return nil, err
	}
	return Diff(snapshot.Document, d), nil
}

// commit writes the parts that the store lacks, then the root, and finally
// deletes expired parts.
func (p Publisher) commit(ctx context.Context, old *storedRoot, d *Document, parts []encodedPart, differences []Difference) (Result, error) {
	if err := p.writeParts(ctx, old, parts); err != nil {
		return Result{}, err
	}
	r := nextRoot(old, d, parts, rand.Text())
	expired := p.expireRetiredParts(ctx, old, &r)
	revision, err := p.writeRoot(ctx, old, &r, d)
	if err != nil {
		return Result{}, err
	}
	p.deleteParts(ctx, expired)
	return Result{Version: r.Version, Revision: revision, Differences: differences}, nil
}

// writeParts ensures that all parts exist in the store. The parts of the base
// root exist already.
func (p Publisher) writeParts(ctx context.Context, old *storedRoot, parts []encodedPart) error {
	existing := map[string]bool{}
	if old != nil {
		for _, digest := range old.Parts {
			existing[digest] = true
		}
	}
	for _, part := range parts {
		if existing[part.digest] {
			continue
		}
		if err := p.writePart(ctx, part); err != nil {
			return err
		}
	}
	return nil
}

// writePart creates a part or, if it exists, updates it to increment its
// object's version, so that a conditional delete by another operator fails. A
// part whose write is ambiguous is written again, which is safe because its
// content cannot differ.
func (p Publisher) writePart(ctx context.Context, part encodedPart) error {
	key := partPrefix + part.digest
	var err error
	for attempt := range maxWriteAttempts {
		if attempt > 0 {
			if err := p.Backoff(ctx, attempt); err != nil {
				return err
			}
		}
		if _, err = p.Store.Create(ctx, key, part.data); err == nil {
			return nil
		}
		if errs.Is(err, errs.Conflict) {
			err = p.bumpPartVersion(ctx, key, part.data)
		}
		if err == nil || errs.Is(err, errs.TooLarge) {
			return err
		}
	}
	return errs.Wrap(err, errs.StoreUnavailable, "a part of the configuration cannot be written; the configuration was not accepted")
}

// bumpPartVersion rewrites an existing part with the same content to increment
// its object's version.
func (p Publisher) bumpPartVersion(ctx context.Context, key string, data []byte) error {
	object, err := p.Store.Get(ctx, key, 0)
	if err != nil {
		return err
	}
	_, err = p.Store.Update(ctx, key, data, object.Version)
	return err
}
