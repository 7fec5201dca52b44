package httpstore

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/httpapi"
)

func escape(key string) string { return url.PathEscape(key) }

func query(pairs ...string) string {
	values := url.Values{}
	for i := 0; i < len(pairs); i += 2 {
		values.Set(pairs[i], pairs[i+1])
	}
	return values.Encode()
}

func decimal(n int64) string { return strconv.FormatInt(n, 10) }

// Get reads one object at a revision of at least minRevision.
func (c *Client) Get(ctx context.Context, key string, minRevision int64) (objectstore.Object, error) {
	var object objectstore.Object
	err := c.do(ctx, c.read(objectPath(key), query(httpapi.MinRevision, decimal(minRevision))), &object)
	return object, err
}

// Create writes an object that must not exist.
func (c *Client) Create(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return c.put(ctx, key, value, query(httpapi.Mode, httpapi.ModeCreate))
}

// Update replaces an object whose version must be the given one.
func (c *Client) Update(ctx context.Context, key string, value []byte, version int64) (objectstore.Object, error) {
	return c.put(ctx, key, value, query(httpapi.Mode, httpapi.ModeUpdate, httpapi.Version, decimal(version)))
}

// Put writes an object without a condition.
func (c *Client) Put(ctx context.Context, key string, value []byte) (objectstore.Object, error) {
	return c.put(ctx, key, value, query(httpapi.Mode, httpapi.ModePut))
}

func (c *Client) put(ctx context.Context, key string, value []byte, parameters string) (objectstore.Object, error) {
	var object objectstore.Object
	if len(value) > objectstore.MaxValueBytes {
		return object, errs.New(errs.TooLarge, "the value is over the store's limit")
	}
	// The exchange can outlive the call, so it gets its own copy of the value.
	body := append([]byte(nil), value...)
	request := call{
		client: c.calls, method: fasthttp.MethodPut, path: objectPath(key), query: parameters,
		body: body, limit: c.options.CallTimeout, write: true,
	}
	err := c.do(ctx, request, &object)
	return object, err
}

// Delete removes an object whose version must be the given one.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	request := call{
		client: c.calls, method: fasthttp.MethodDelete, path: objectPath(key),
		query: query(httpapi.Version, decimal(version)), limit: c.options.CallTimeout, write: true,
	}
	return c.do(ctx, request, &struct{}{})
}

// List returns up to limit objects with the prefix and keys after "after".
func (c *Client) List(ctx context.Context, prefix, after string, limit int, minRevision int64) (objectstore.Page, error) {
	var page objectstore.Page
	parameters := query(httpapi.Prefix, prefix, httpapi.After, after,
		httpapi.Limit, decimal(int64(limit)), httpapi.MinRevision, decimal(minRevision))
	err := c.do(ctx, c.read(httpapi.ObjectsPath, parameters), &page)
	return page, err
}

// Watch waits until an object with the prefix changes after revision since, or
// until wait has passed. A connection that went silent is noticed after wait
// and the call timeout.
func (c *Client) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (objectstore.Changes, error) {
	var changes objectstore.Changes
	parameters := query(httpapi.Prefix, prefix, httpapi.Since, decimal(since),
		httpapi.WaitMillis, decimal(max(wait, 0).Milliseconds()))
	request := c.read(httpapi.WatchPath, parameters)
	request.client = c.watches
	request.limit += wait
	err := c.do(ctx, request, &changes)
	return changes, err
}

// Lister returns the port to the platform's list.
func (c *Client) Lister() objectstore.Lister { return lister{c} }

type lister struct{ client *Client }

// List reads the platform's list.
func (l lister) List(ctx context.Context) (model.Listing, error) {
	var listing model.Listing
	err := l.client.do(ctx, l.client.read(httpapi.ListPath, ""), &listing)
	return listing, err
}
