package config

import (
	"context"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// maxPruned bounds the parts deleted with one publication, so that its number
// of calls stays bounded.
const maxPruned = 8

// expire takes parts that were retired long enough ago off the new root's list
// and returns their objects, which may be deleted once the root is accepted.
//
// Why no part in use is deleted: an operator that wants such a part again on
// top of the new root first raises its object's version, so that the delete,
// which demands the version read here, fails; one that builds on an older root
// is refused.
func (p Publisher) expire(ctx context.Context, old *storedRoot, r *root) []objectstore.Object {
	if old == nil {
		return nil
	}
	var expired []objectstore.Object
	var kept []retiredPart
	for _, part := range r.Retired {
		if len(expired) == maxPruned || part.Version+keepRetired > r.Version {
			kept = append(kept, part)
			continue
		}
		object, err := p.Store.Get(ctx, partPrefix+part.Digest, old.object.Revision)
		switch {
		case err == nil:
			expired = append(expired, object)
		case !errs.Is(err, errs.NotFound):
			kept = append(kept, part)
		}
	}
	r.Retired = kept
	return expired
}

// prune deletes objects. A delete whose response is lost may take effect much
// later, so the object's version is raised, which makes it void. An object that
// stays because of a fault is unused and harmless.
func (p Publisher) prune(ctx context.Context, expired []objectstore.Object) {
	for _, object := range expired {
		if err := p.Store.Delete(ctx, object.Key, object.Version); errs.Is(err, errs.StoreAmbiguous) {
			_, _ = p.Store.Update(ctx, object.Key, object.Value, object.Version)
		}
	}
}
