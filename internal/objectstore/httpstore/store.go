package httpstore

import (
	"context"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/httpapi"
)

// escape encodes a key as one path segment.
func escape(key string) string { return url.PathEscape(key) }

// query encodes pairs of a parameter name and a value as a query string.
func query(pairs ...string) string {
	values := url.Values{}
	for i := 0; i < len(pairs); i += 2 {
		values.Set(pairs[i], pairs[i+1])
	}
	return values.Encode()
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// Get reads one object at a revision of at least minRevision.
func (c *Client) Get(ctx context.Context, key string, minRevision int64) (objectstore.Object, error) {
	var object objectstore.Object
	err := c.do(ctx, c.readCall(objectPath(key), query(httpapi.MinRevision, formatInt(minRevision))), &object)
	if err == nil && object.Key != key {
		return objectstore.Object{}, otherCallError(c.calls, false)
	}
	return object, err
}

// Create writes a new object. It fails with errs.Conflict if the key exists.
func (c *Client) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return c.put(ctx, key, value, query(httpapi.Mode, httpapi.ModeCreate))
}

// Update replaces the object if its current version equals version.
func (c *Client) Update(ctx context.Context, key string, value []byte, version int64) (objectstore.Object, error) {
	object, err := c.put(ctx, key, value, query(httpapi.Mode, httpapi.ModeUpdate, httpapi.Version, formatInt(version)))
	if err == nil && object.Version <= version {
		return objectstore.Object{}, otherCallError(c.calls, true)
	}
	return object, err
}

// Put creates or replaces an object unconditionally.
func (c *Client) Put(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return c.put(ctx, key, value, query(httpapi.Mode, httpapi.ModePut))
}

func (c *Client) put(ctx context.Context, key string, value []byte, parameters string) (objectstore.Object, error) {
	var object objectstore.Object
	if len(value) > objectstore.MaxValueBytes {
		return object, errs.New(errs.TooLarge, "the value exceeds the store's limit of 1 MiB")
	}
	// The HTTP exchange can outlive this call, so it needs its own copy of value.
	body := append([]byte(nil), value...)
	request := call{
		client: c.calls, method: fasthttp.MethodPut, path: objectPath(key), query: parameters,
		body: body, timeout: c.options.CallTimeout, isWrite: true,
	}
	err := c.do(ctx, request, &object)
	if err == nil && object.Key != key {
		return objectstore.Object{}, otherCallError(c.calls, true)
	}
	return object, err
}

// Delete removes the object if its current version equals version.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	request := call{
		client: c.calls, method: fasthttp.MethodDelete, path: objectPath(key),
		query: query(httpapi.Version, formatInt(version)), timeout: c.options.CallTimeout, isWrite: true,
	}
	return c.do(ctx, request, &struct{}{})
}

// List returns, in key order, up to limit objects whose keys start with prefix
// and sort after the key after.
func (c *Client) List(ctx context.Context, prefix, after string, limit int, minRevision int64) (objectstore.Page, error) {
	var page objectstore.Page
	parameters := query(httpapi.Prefix, prefix, httpapi.After, after,
		httpapi.Limit, formatInt(int64(limit)), httpapi.MinRevision, formatInt(minRevision))
	err := c.do(ctx, c.readCall(httpapi.ObjectsPath, parameters), &page)
	other := func(o objectstore.Object) bool { return !strings.HasPrefix(o.Key, prefix) }
	if err == nil && (page.Revision < minRevision || slices.ContainsFunc(page.Objects, other)) {
		return objectstore.Page{}, otherCallError(c.calls, false)
	}
	return page, err
}

// Watch waits until an object whose key starts with prefix changes after revision
// since. If wait passes first, it returns no changes. A connection that has
// stopped responding is detected after wait plus the call timeout.
func (c *Client) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (objectstore.Changes, error) {
	var changes objectstore.Changes
	parameters := query(httpapi.Prefix, prefix, httpapi.Since, formatInt(since),
		httpapi.WaitMillis, formatInt(max(wait, 0).Milliseconds()))
	request := c.readCall(httpapi.WatchPath, parameters)
	request.client = c.watches
	request.timeout += wait
	err := c.do(ctx, request, &changes)
	other := func(c objectstore.Change) bool { return !strings.HasPrefix(c.Object.Key, prefix) }
	if err == nil && (changes.Revision < since || slices.ContainsFunc(changes.Changes, other)) {
		return objectstore.Changes{}, otherCallError(c.watches, false)
	}
	return changes, err
}

// Lister returns a reader of the platform's list of VMs and targets.
func (c *Client) Lister() objectstore.Lister { return lister{c} }

type lister struct{ client *Client }

// List reads the platform's list of VMs and targets.
func (l lister) List(ctx context.Context) (model.Listing, error) {
	var listing model.Listing
	err := l.client.do(ctx, l.client.readCall(httpapi.ListPath, ""), &listing)
	return listing, err
}
