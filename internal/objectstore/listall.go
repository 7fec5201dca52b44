package objectstore

import "context"

// listPageSize is the maximum number of objects that ListAll reads with one call.
const listPageSize = 500

// ListAll reads all objects whose keys start with prefix. It reads page by page,
// each page at a revision of at least minRevision, and returns the revision at
// which the last page was read. Its errors are those of Store.List.
func ListAll(ctx context.Context, store Store, prefix string, minRevision int64) ([]Object, int64, error) {
	var all []Object
	after := ""
	for {
		page, err := store.List(ctx, prefix, after, listPageSize, minRevision)
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
