// Package httpapi defines the paths and query parameters of the platform's HTTP
// object API. The client and the stand-in server share them. Each line shows a
// request and the body of its response:
//
//	GET    /v1/objects/{key}?min_revision=N            Object
//	PUT    /v1/objects/{key}?mode=create|update|put&version=N   Object; the request body is the value
//	DELETE /v1/objects/{key}?version=N
//	GET    /v1/objects?prefix=P&after=K&limit=N&min_revision=N  Page
//	GET    /v1/watch?prefix=P&since=N&wait_ms=N        Changes
//	GET    /v1/list                                    model.Listing
//
// A failed call is answered with an errs.Error in JSON.
package httpapi
