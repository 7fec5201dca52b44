package cleanup

import (
	"context"

	"cicadaslip/internal/account"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
)

// vmUsage is the usage of one VM as read from the store.
type vmUsage struct {
	incarnations []model.Incarnation // those that have a document of their own
	gone         []storedDocument    // documents of incarnations that are gone
	rollup       account.Rollup
	version      int64 // version of the object of the roll-up, 0 if it does not exist
}

// storedDocument is a usage document and the object from which it was decoded.
type storedDocument struct {
	object   objectstore.Object
	document account.Document
}

// rollUpUsage moves the usage documents of incarnations that are gone into the
// roll-ups of their VMs. It continues after a failure and returns the first
// one.
func (c *Cleaner) rollUpUsage(ctx context.Context) error {
	usages, err := c.readUsage(ctx)
	if err != nil {
		return err
	}
	var firstErr error
	for _, usage := range usages {
		if err := c.rollUpVM(ctx, usage); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// readUsage returns the usage of each VM by name. It reads the documents before
// the roll-ups, so that a document that is moved in between is read from both,
// which is harmless.
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
			continue // kept for operators, because it cannot be decoded or has the wrong key
		}
		c.addDocument(usages, storedDocument{object, document})
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

// usageOf returns the usage of a VM and adds an empty one if there is none.
func usageOf(usages map[string]*vmUsage, vm string) *vmUsage {
	if usages[vm] == nil {
		usages[vm] = &vmUsage{rollup: account.NewRollup(vm)}
	}
	return usages[vm]
}

// addDocument adds a document to the usage of its VM.
func (c *Cleaner) addDocument(usages map[string]*vmUsage, stored storedDocument) {
	holder := stored.document.Holder
	usage := usageOf(usages, holder.VM)
	usage.incarnations = append(usage.incarnations, holder.Incarnation)
	if c.Liveness.Gone(holder) {
		usage.gone = append(usage.gone, stored)
	}
}

// rollUpVM moves the documents of the incarnations of one VM that are gone into
// its roll-up, and deletes each document after a roll-up that covers it was
// written.
func (c *Cleaner) rollUpVM(ctx context.Context, usage *vmUsage) error {
	now := c.Now().UTC().Round(0)
	changed := false
	for _, stored := range usage.gone {
		changed = usage.rollup.AddPending(stored.document, now) || changed
	}
	changed = usage.rollup.Fold(now.Add(-c.Retention), usage.incarnations) || changed
	if changed {
		value, err := usage.rollup.Encode(c.Self)
		if err != nil {
			return err
		}
		if err := c.writeObject(ctx, account.RollupKey(usage.rollup.Totals.Holder.VM), value, usage.version); err != nil {
			return err
		}
	}
	for _, stored := range usage.gone {
		if !usage.rollup.Covers(stored.document) {
			continue
		}
		if err := c.deleteUnchanged(ctx, stored.object); err != nil {
			return err
		}
	}
	return nil
}
