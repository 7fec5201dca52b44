package config

import (
	"context"
	"fmt"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// writeRoot makes the conditional write that accepts the configuration and
// returns a revision at which it can be read. A repeat after an ambiguous write
// is safe, because at most one write on top of the same base can take effect.
func (p Publisher) writeRoot(ctx context.Context, old *storedRoot, r *root, d *Document) (int64, error) {
	data, err := r.encode()
	if err != nil {
		return 0, err
	}
	ambiguous := false
	for attempt := range writeAttempts {
		if attempt > 0 {
			if pauseErr := p.Pause(ctx, attempt); pauseErr != nil {
				break
			}
		}
		var object objectstore.Object
		object, err = p.replace(ctx, old, data)
		switch {
		case err == nil:
			return object.Revision, nil
		case errs.Is(err, errs.Conflict), errs.Is(err, errs.NotFound):
			return p.settle(ctx, old, r, d, ambiguous)
		case errs.Is(err, errs.StoreAmbiguous):
			ambiguous = true
		}
		if !errs.Is(err, errs.StoreAmbiguous) && !errs.Is(err, errs.StoreUnavailable) {
			break
		}
	}
	if ambiguous {
		return 0, unknown(err)
	}
	return 0, err
}

func (p Publisher) replace(ctx context.Context, old *storedRoot, data []byte) (objectstore.Object, error) {
	if old == nil {
		return p.Store.Create(ctx, RootKey, data)
	}
	return p.Store.Update(ctx, RootKey, data, old.object.Version)
}

func unknown(cause error) error {
	return errs.Wrap(cause, errs.StoreAmbiguous, "the configuration may have been accepted; read the accepted version before the next change")
}

// settle finds out, after the root was found changed, whether this or another
// write changed it.
func (p Publisher) settle(ctx context.Context, old *storedRoot, r *root, d *Document, ambiguous bool) (int64, error) {
	current, err := p.readNewer(ctx, old)
	if err != nil {
		if ambiguous {
			return 0, unknown(err)
		}
		return 0, errs.Wrap(err, errs.Conflict, "another operator was first; the newer version cannot be read")
	}
	accepted, certain := current.accepted(r.Version, r.Recent[0].ID)
	switch {
	case accepted:
		return current.object.Revision, nil
	case ambiguous && !certain:
		return 0, unknown(nil)
	}
	return 0, p.conflict(ctx, current, d, old.version())
}

// readNewer reads the root until it is newer than old, past stale replicas.
func (p Publisher) readNewer(ctx context.Context, old *storedRoot) (*storedRoot, error) {
	var minRevision int64
	if old != nil {
		minRevision = old.object.Revision + 1
	}
	err := errs.New(errs.StoreStale, "the newer root cannot be read yet")
	for attempt := range writeAttempts {
		if attempt > 0 {
			if pauseErr := p.Pause(ctx, attempt); pauseErr != nil {
				return nil, pauseErr
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

// conflict returns the error for a base that is no longer the accepted version.
func (p Publisher) conflict(ctx context.Context, current *storedRoot, d *Document, base uint64) error {
	message := fmt.Sprintf("version %d is accepted, this change was based on version %d", current.version(), base)
	conflict := errs.New(errs.Conflict, message)
	snapshot, err := current.load(ctx, p.Store)
	if err != nil {
		return conflict.WithDetails("the differences cannot be read: " + err.Error())
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
