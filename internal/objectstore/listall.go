package objectstore

import "context"

// listPage is the number of objects that ListAll reads with one call.
const listPage = 500

// ListAll reads all objects with a prefix, page by page, each at a revision of
// at least minRevision. It returns the revision at which the last page was read.
// Errors are those of Store.List.
func ListAll(ctx context.Context, store Store, prefix string, minRevision int64) ([]Object, int64, error) {
	var all []Object
	after := ""
	for {
		page, err := store.List(ctx, prefix, after, listPage, minRevision)
		if err != nil {
			return nil, 0, err
		}
		all = append(all, page.Objects...)
		if !page.More || len(page.Objects) == 0 {
			return all, page.Revision, nil
		}
		after = page.Objects[len(page.Objects)-1].Key
	}
}
