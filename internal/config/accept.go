package config

import (
	"context"
	"fmt"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// writeRoot makes the conditional write that accepts the configuration and
// returns a store revision at which the configuration can be read. Retrying
// after an ambiguous write is safe, because at most one write on top of the
// same base can take effect.
func (p Publisher) writeRoot(ctx context.Context, old *storedRoot, r *root, d *Document) (int64, error) {
	data, err := r.encode()
	if err != nil {
		return 0, err
	}
	ambiguous := false
	for attempt := range maxWriteAttempts {
		if attempt > 0 {
			if backoffErr := p.Backoff(ctx, attempt); backoffErr != nil {
				break
			}
		}
		var object objectstore.Object
		object, err = p.tryWriteRoot(ctx, old, data)
		switch {
		case err == nil:
			return object.Revision, nil
		case errs.Is(err, errs.Conflict), errs.Is(err, errs.NotFound):
			return p.resolveRejectedWrite(ctx, old, r, d, ambiguous)
		case errs.Is(err, errs.StoreAmbiguous):
			ambiguous = true
		}
		if !errs.Is(err, errs.StoreAmbiguous) && !errs.Is(err, errs.StoreUnavailable) {
			break
		}
	}
	if ambiguous {
		return 0, ambiguousWriteError(err)
	}
	return 0, err
}

// tryWriteRoot makes one conditional write of the encoded root: it creates the
// root if old is nil, and otherwise replaces the version in old.
func (p Publisher) tryWriteRoot(ctx context.Context, old *storedRoot, data []byte) (objectstore.Object, error) {
	if old == nil {
		return p.Store.Create(ctx, RootKey, data)
	}
	return p.Store.Update(ctx, RootKey, data, old.object.Version)
}

// ambiguousWriteError returns the error for a root write whose result is
// unknown.
func ambiguousWriteError(cause error) error {
	return errs.Wrap(cause, errs.StoreAmbiguous, "the configuration may have been accepted; read the accepted version before the next change")
}

// resolveRejectedWrite determines, after a conditional write of the root failed
// because the root had changed, whether an earlier attempt of this publication
// or another operator changed it. ambiguous reports whether an earlier attempt
// had an unknown result.
func (p Publisher) resolveRejectedWrite(ctx context.Context, old *storedRoot, r *root, d *Document, ambiguous bool) (int64, error) {
	current, err := p.readRootNewerThan(ctx, old)
	if err != nil {
		if ambiguous {
			return 0, ambiguousWriteError(err)
		}
		return 0, errs.Wrap(err, errs.Conflict, "another operator published a newer version, which cannot be read")
	}
	found, certain := current.findWrite(r.Version, r.Recent[0].ID)
	switch {
	case found:
		return current.object.Revision, nil
	case ambiguous && !certain:
		return 0, ambiguousWriteError(nil)
	}
	return 0, p.conflictError(ctx, current, d, old.version())
}

// readRootNewerThan reads the root until its version is newer than old,
// retrying when a stale replica answers.
func (p Publisher) readRootNewerThan(ctx context.Context, old *storedRoot) (*storedRoot, error) {
	var minRevision int64
	if old != nil {
		minRevision = old.object.Revision + 1
	}
	err := errs.New(errs.StoreStale, "the store does not return the newer configuration root yet")
	for attempt := range maxWriteAttempts {
		if attempt > 0 {
			if backoffErr := p.Backoff(ctx, attempt); backoffErr != nil {
				return nil, backoffErr
			}
		}
		current, _, readErr := readRoot(ctx, p.Store, minRevision)
		if readErr == nil && current.version() > old.version() {
			return current, nil
		}
		if readErr != nil {
			err = errs.As(readErr)
		}
	}
	return nil, err
}

// conflictError returns the error for a base version that is no longer the
// accepted version. Its details list the differences between the accepted
// document and d.
func (p Publisher) conflictError(ctx context.Context, current *storedRoot, d *Document, base uint64) error {
	message := fmt.Sprintf("the accepted version is %d, but this change is based on version %d", current.version(), base)
	conflict := errs.New(errs.Conflict, message)
	snapshot, err := current.load(ctx, p.Store)
	if err != nil {
		return conflict.WithDetails("the accepted configuration cannot be read to list the differences: " + err.Error())
	}
	differences := Diff(snapshot.Document, d)
	for i, difference := range differences {
		if i == maxConflictDetails {
			return conflict.WithDetails(fmt.Sprintf("and %d more", len(differences)-i))
		}
		conflict = conflict.WithDetails(difference.String())
	}
	return conflict
}
