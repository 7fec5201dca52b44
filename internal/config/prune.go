package config

import (
	"context"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// maxPrunedParts limits the parts that one publication deletes, and thereby its
// number of store calls.
const maxPrunedParts = 8

// expireRetiredParts removes parts that were retired at least
// retiredPartLifetimeVersions ago from the new root's list of retired parts. It
// returns their objects, which may be deleted once the root is accepted.
//
// A part in use is never deleted. An operator that uses such a part again on
// top of the new root first updates the part's object, which increments its
// version, so that the delete fails, because it is conditional on the version
// read here. A publication based on an older root is rejected.
func (p Publisher) expireRetiredParts(ctx context.Context, old *storedRoot, r *root) []objectstore.Object {
	if old == nil {
		return nil
	}
	var expired []objectstore.Object
	var kept []retiredPart
	for _, part := range r.Retired {
		if len(expired) == maxPrunedParts || part.Version+retiredPartLifetimeVersions > r.Version {
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

// deleteParts deletes the objects of expired parts. A delete whose response is
// lost may take effect much later, so deleteParts then updates the object to
// increment its version, which makes that delete fail. An object that remains
// because of an error is unused and harmless.
func (p Publisher) deleteParts(ctx context.Context, expired []objectstore.Object) {
	for _, object := range expired {
		if err := p.Store.Delete(ctx, object.Key, object.Version); errs.Is(err, errs.StoreAmbiguous) {
			_, _ = p.Store.Update(ctx, object.Key, object.Value, object.Version)
		}
	}
}
