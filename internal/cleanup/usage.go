package cleanup

import (
	"context"

	"cicadaslip/internal/account"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
)

// vmUsage is what the store has of one VM's account.
type vmUsage struct {
	stored  []model.Incarnation // with a document of their own
	gone    []storedDocument    // those that are gone
	rollup  account.Rollup
	version int64 // of the roll-up's object, 0: absent
}

type storedDocument struct {
	object   objectstore.Object
	document account.Document
}

// usage moves the documents of gone incarnations into roll-ups. The documents
// are deleted after the roll-up that holds them was written.
func (c *Cleaner) usage(ctx context.Context) error {
	usages, err := c.readUsage(ctx)
	if err != nil {
		return err
	}
	var first error
	for _, usage := range usages {
		if err := c.rollUp(ctx, usage); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// readUsage reads the documents before the roll-ups: a document that is moved in
// between is then seen in both, which does no harm.
func (c *Cleaner) readUsage(ctx context.Context) (map[string]*vmUsage, error) {
	documents, revision, err := objectstore.ListAll(ctx, c.Store, account.Prefix, 0)
	if err != nil {
		return nil, err
	}
	rollups, _, err := objectstore.ListAll(ctx, c.Store, account.RollupPrefix, revision)
	if err != nil {
		return nil, err
	}
	usages := map[string]*vmUsage{}
	for _, object := range documents {
		document, err := account.Parse(object.Value)
		if err != nil || account.Key(document.Holder) != object.Key {
			continue // unreadable: kept for the operators
		}
		c.enter(usages, storedDocument{object, document})
	}
	for _, object := range rollups {
		rollup, err := account.ParseRollup(object.Value)
		if err != nil {
			return nil, err
		}
		usage := usageOf(usages, rollup.Totals.Holder.VM)
		usage.rollup, usage.version = rollup, object.Version
	}
	return usages, nil
}

func usageOf(usages map[string]*vmUsage, vm string) *vmUsage {
	if usages[vm] == nil {
		usages[vm] = &vmUsage{rollup: account.NewRollup(vm)}
	}
	return usages[vm]
}

func (c *Cleaner) enter(usages map[string]*vmUsage, stored storedDocument) {
	holder := stored.document.Holder
	usage := usageOf(usages, holder.VM)
	usage.stored = append(usage.stored, holder.Incarnation)
	if c.Liveness.Gone(holder) {
		usage.gone = append(usage.gone, stored)
	}
}

func (c *Cleaner) rollUp(ctx context.Context, usage *vmUsage) error {
	now := c.Now().UTC().Round(0)
	changed := false
	for _, stored := range usage.gone {
		changed = usage.rollup.AddPending(stored.document, now) || changed
	}
	changed = usage.rollup.Fold(now.Add(-c.Retention), usage.stored) || changed
	if changed {
		value, err := usage.rollup.Encode(c.Self)
		if err != nil {
			return err
		}
		if err := c.write(ctx, account.RollupKey(usage.rollup.Totals.Holder.VM), value, usage.version); err != nil {
			return err
		}
	}
	for _, stored := range usage.gone {
		if !usage.rollup.Covers(stored.document) {
			continue
		}
		if err := c.remove(ctx, stored.object); err != nil {
			return err
		}
	}
	return nil
}
